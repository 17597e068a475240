"""The coordinator group as its leader runs it."""

import functools
import typing

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cellstate.coordinator_state import (
    ChangeOutcome,
    ConfirmQuotaOffer,
    CoordinatorState,
    RebalanceQuota,
)
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.core import logs
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, GatewayId, TeamName
from cassiahold.core.metrics import Metrics
from cassiahold.core.resources import Resources
from cassiahold.policy.quota_split import (
    CentreDemand,
    is_short_of_quota,
    split_limit,
    unblocks_oldest_job,
)
from cassiahold.wire import messages

BALANCE_PAUSE_S: typing.Final = 1.0
MAX_MOVES_PER_PAUSE: typing.Final = 32
# A data centre that has not reported for this long keeps what it has.
DEMAND_VALID_S: typing.Final = 5.0
_SMALL_MOVE: typing.Final = 0.02  # of a limit; not worth its messages

_encode = msgspec.msgpack.Encoder().encode


class _GatewayLease(msgspec.Struct, frozen=True):
    version: int
    until: float


class _CentreView(msgspec.Struct, frozen=True):
    version: int
    at: float
    demand_by_team: dict[TeamName, messages.TeamDemand]


class CoordinatorService:
    """Answers requests and moves allotments."""

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        centres = sorted({host.data_centre for host in settings.cell.hosts})
        self.state = CoordinatorState(centres)
        self._settings = settings
        self._metrics = metrics
        self._gateways = [
            GatewayId(host.name) for host in settings.cell.hosts if host.gateway
        ]
        self._lease_by_gateway: dict[GatewayId, _GatewayLease] = {}
        self._view_by_centre: dict[DataCentre, _CentreView] = {}
        self._since = 0.0
        self._balance_at = 0.0

    # What the replica calls.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command."""
        return self.state.apply(payload)

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the whole replicated state."""
        self.state.restore(state)

    def start_leading(self, term: int, now: float) -> None:
        """Forget what an earlier time as leader was told."""
        self._since = now
        self._lease_by_gateway.clear()
        self._view_by_centre.clear()

    def stop_leading(self) -> None:
        """Nothing is kept by a follower but the state."""

    def due_commands(self, now: float) -> list[bytes]:
        """Return the moves of allotments that are due."""
        if now < self._balance_at:
            return []
        self._balance_at = now + BALANCE_PAUSE_S
        moves = []
        for team, limit in self.state.quota_ledger.limit_by_team.items():
            move = self._move_for(team, limit, now)
            if move is not None:
                moves.append(_encode(move))
            if len(moves) >= MAX_MOVES_PER_PAUSE:
                break
        return moves

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Answer a request or propose its command."""
        return _handle(request, self, now)

    # Configuration.

    def change(self, request: messages.ChangeConfiguration) -> Proposal:
        """Propose a change; a resend is answered by the state."""
        return Proposal(_encode(request.change), self._changed)

    def _changed(self, outcome: ChangeOutcome) -> messages.ConfigurationChanged:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, outcome.detail)
        logs.info('configuration_changed', version=outcome.version)
        self._metrics.gauge('configuration_version', outcome.version)
        return messages.ConfigurationChanged(outcome.version)

    def current(self, now: float) -> messages.CurrentConfiguration:
        """Return the configuration and where it is not yet in force."""
        effective = self.state.effective_configuration
        return messages.CurrentConfiguration(
            effective.version,
            effective.configuration,
            effective.team_by_key,
            self._waiting_for(now),
        )

    def lease(
        self, request: messages.ConfigurationSync, now: float
    ) -> messages.ConfigurationLease:
        """Renew a gateway's lease on the configuration."""
        timing = self._settings.cell.timing
        effective = self.state.effective_configuration
        update = None
        if request.version != effective.version:
            update = messages.EffectiveUpdate(
                effective.configuration,
                effective.team_by_key,
                effective.key_by_id,
            )
        bound_s = timing.configuration_lease_s * (1 + 2 * timing.clock_drift)
        self._lease_by_gateway[request.gateway] = _GatewayLease(
            request.version, now + bound_s
        )
        return messages.ConfigurationLease(
            timing.configuration_lease_s, effective.version, update
        )

    def _waiting_for(self, now: float) -> list[str]:
        version = self.state.configuration_version
        waiting = []
        for gateway in self._gateways:
            lease = self._lease_by_gateway.get(gateway)
            if lease is None:
                # It may hold a lease from the leader before this one.
                if now < self._since + self._longest_lease_s():
                    waiting.append(f'gateway {gateway}: not heard from')
            elif lease.version < version and now < lease.until:
                waiting.append(f'gateway {gateway}: version {lease.version}')
        for centre, view in sorted(self._view_by_centre.items()):
            if view.version < version:
                waiting.append(f'scheduler {centre}: version {view.version}')
        for centre in self.state.quota_ledger.quotas_by_centre:
            if centre not in self._view_by_centre:
                waiting.append(f'scheduler {centre}: not heard from')
        overheld = self.state.quota_ledger.centres_above_offer()
        for team in self.state.quota_ledger.teams_above_limit():
            waiting.append(f'limit of {team}: {", ".join(overheld[team])}')
        return waiting

    def _longest_lease_s(self) -> float:
        timing = self._settings.cell.timing
        return timing.configuration_lease_s * (1 + 2 * timing.clock_drift)

    # Allotments.

    def scheduler_sync(
        self, request: messages.SchedulerSync, now: float
    ) -> messages.SchedulerUpdate | Proposal:
        """Take a data centre's view and return what it should adopt."""
        self._view_by_centre[request.centre] = _CentreView(
            request.version,
            now,
            {demand.team: demand for demand in request.demand},
        )
        record = self.state.quota_ledger.quotas_by_centre.get(request.centre)
        if record is not None and self._confirms(request):
            command = ConfirmQuotaOffer(request.centre, request.kept_epoch)
            return Proposal(
                _encode(command), lambda _: self._update_for(request)
            )
        return self._update_for(request)

    def _confirms(self, request: messages.SchedulerSync) -> bool:
        record = self.state.quota_ledger.quotas_by_centre[request.centre]
        return (
            request.kept_epoch == record.offer.epoch
            and record.max_held_by_team != record.offer.quota_by_team
        )

    def _update_for(
        self, request: messages.SchedulerSync
    ) -> messages.SchedulerUpdate:
        version = self.state.configuration_version
        record = self.state.quota_ledger.quotas_by_centre.get(request.centre)
        newer = request.version < version
        offer = record.offer if record else None
        if offer is not None and offer.epoch <= request.adopted_epoch:
            offer = None
        return messages.SchedulerUpdate(
            version,
            self.state.effective_configuration.configuration if newer else None,
            offer,
        )

    def _move_for(
        self, team: TeamName, limit: ResourceTotals, now: float
    ) -> RebalanceQuota | None:
        record_by_centre = self.state.quota_ledger.quotas_by_centre
        wants = self._wants_of(team, now)
        if wants.keys() != record_by_centre.keys():
            # A data centre that is cut off keeps what it holds.
            return None
        current = {
            centre: record.target_by_team.get(team, ResourceTotals())
            for centre, record in record_by_centre.items()
        }
        if not any(
            is_short_of_quota(_amounts(current[centre]), want)
            for centre, want in wants.items()
        ):
            return None
        split = split_limit(_amounts(limit), wants)
        targets = {
            centre: _allowance(amounts) for centre, amounts in split.items()
        }
        current_amounts = {
            centre: _amounts(target) for centre, target in current.items()
        }
        if not (
            _differs_much(targets, current, limit)
            or unblocks_oldest_job(split, current_amounts, wants)
        ):
            return None
        return RebalanceQuota(team, targets)

    def _wants_of(
        self, team: TeamName, now: float
    ) -> dict[DataCentre, CentreDemand]:
        return {
            centre: _want(view.demand_by_team.get(team))
            for centre, view in self._view_by_centre.items()
            if now <= view.at + DEMAND_VALID_S
        }


def _want(demand: messages.TeamDemand | None) -> CentreDemand:
    if demand is None:
        return CentreDemand((0, 0, 0, 0), (0, 0, 0, 0))
    return CentreDemand(
        _amounts(demand.usage),
        _amounts(demand.waiting),
        _amounts(demand.oldest_job_demand),
        demand.oldest_wait_s,
    )


def _amounts(allowance: ResourceTotals) -> tuple[int, ...]:
    resources = allowance.resources
    return (
        resources.cores_m,
        resources.memory_mb,
        resources.accelerators,
        allowance.tasks,
    )


def _allowance(amounts: tuple[int, ...]) -> ResourceTotals:
    cores, memory, accelerators, tasks = amounts
    return ResourceTotals(Resources(cores, memory, accelerators), tasks)


def _differs_much(
    targets: dict[DataCentre, ResourceTotals],
    current: dict[DataCentre, ResourceTotals],
    limit: ResourceTotals,
) -> bool:
    # Small moves would cost more messages than they win.
    for centre, target in targets.items():
        pairs = zip(
            _amounts(target),
            _amounts(current[centre]),
            _amounts(limit),
            strict=True,
        )
        if any(abs(new - old) > most * _SMALL_MOVE for new, old, most in pairs):
            return True
    return False


@functools.singledispatch
def _handle(
    request: object, service: CoordinatorService, now: float
) -> typing.Any:
    raise CassiaholdError(
        ErrorKind.BAD_REQUEST,
        f'the coordinator does not answer {type(request).__name__}',
    )


@_handle.register
def _(
    request: messages.ChangeConfiguration,
    service: CoordinatorService,
    now: float,
) -> Proposal:
    return service.change(request)


@_handle.register
def _(
    request: messages.GetConfiguration,
    service: CoordinatorService,
    now: float,
) -> messages.CurrentConfiguration:
    return service.current(now)


@_handle.register
def _(
    request: messages.ConfigurationSync,
    service: CoordinatorService,
    now: float,
) -> messages.ConfigurationLease:
    return service.lease(request, now)


@_handle.register
def _(
    request: messages.SchedulerSync,
    service: CoordinatorService,
    now: float,
) -> messages.SchedulerUpdate | Proposal:
    return service.scheduler_sync(request, now)
