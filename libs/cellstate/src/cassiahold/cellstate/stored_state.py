"""What a scheduler group stores: the records that a snapshot holds."""

import msgspec

from cassiahold.cellstate.jobs import JobRecord, WorkerRecord
from cassiahold.cellstate.quotas import ZERO_TOTALS, QuotaOffer, ResourceTotals
from cassiahold.config.document import Configuration
from cassiahold.core.ids import GatewayId, JobId, TeamName, WorkerId


class GatewayRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest incarnation of a gateway and when it was registered."""

    incarnation: int
    registered_at: float


class StoredState(msgspec.Struct, array_like=True):
    """All replicated records; new fields are added at the end."""

    next_job_number: int = 1
    configuration_version: int = 0
    configuration: Configuration = Configuration()
    quota_offer: QuotaOffer = QuotaOffer(0, {})
    job_by_id: dict[JobId, JobRecord] = msgspec.field(default_factory=dict)
    job_id_by_request: dict[str, JobId] = msgspec.field(default_factory=dict)
    worker_by_id: dict[WorkerId, WorkerRecord] = msgspec.field(
        default_factory=dict
    )
    usage_by_team: dict[TeamName, ResourceTotals] = msgspec.field(
        default_factory=dict
    )
    waiting_count_by_queue: dict[str, int] = msgspec.field(default_factory=dict)
    gateway_by_id: dict[GatewayId, GatewayRecord] = msgspec.field(
        default_factory=dict
    )

    def team_usage(self, team: TeamName) -> ResourceTotals:
        """Return what a team runs in this data centre."""
        return self.usage_by_team.get(team, ZERO_TOTALS)

    def team_quota(self, team: TeamName) -> ResourceTotals:
        """Return what a team may run in this data centre."""
        return self.quota_offer.quota_by_team.get(team, ZERO_TOTALS)


encode_state = msgspec.msgpack.Encoder().encode
decode_state = msgspec.msgpack.Decoder(StoredState).decode
