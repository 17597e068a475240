"""The replicated service of the coordinator group.

It has two tasks: it stores the configuration and leases it to gateways, and
it splits the upper limit of each team into quotas of the data centres.  A
quota moves from one data centre to another only after the first has
confirmed that it uses less.
"""

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

REBALANCE_INTERVAL_S: typing.Final = 1.0
MAX_REBALANCES_PER_ROUND: typing.Final = 32
# Quotas are not rebalanced while a data centre has not reported for this
# long.
DEMAND_VALIDITY_S: typing.Final = 5.0
_MIN_REBALANCE_FRACTION: typing.Final = 0.02  # of a limit

_encode = msgspec.msgpack.Encoder().encode


class _GatewayLease(msgspec.Struct, frozen=True):
    version: int
    expires_at: float


class _DataCentreReport(msgspec.Struct, frozen=True):
    version: int
    reported_at: float
    demand_by_team: dict[TeamName, messages.TeamDemand]


class CoordinatorService:
    """Serves the configuration and rebalances the quotas of data centres.

    All methods are called from the thread of the replica's actor.  Times
    passed as ``now`` are monotonic.
    """

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        centres = sorted({host.data_centre for host in settings.cell.hosts})
        self.state = CoordinatorState(centres)
        self._settings = settings
        self._metrics = metrics
        self._gateways = [
            GatewayId(host.name) for host in settings.cell.hosts if host.gateway
        ]
        self._lease_by_gateway: dict[GatewayId, _GatewayLease] = {}
        self._report_by_centre: dict[DataCentre, _DataCentreReport] = {}
        self._leader_since = 0.0
        self._next_rebalance_at = 0.0

    # Interface of a replicated service.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command and return its outcome."""
        return self.state.apply(payload)

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the whole replicated state."""
        self.state.restore(state)

    def start_leading(self, term: int, now: float) -> None:
        """Drop leases and reports from an earlier term as leader."""
        self._leader_since = now
        self._lease_by_gateway.clear()
        self._report_by_centre.clear()

    def stop_leading(self) -> None:
        """Do nothing: the next start as leader drops the old records."""

    def due_commands(self, now: float) -> list[bytes]:
        """Return the quota changes that are due."""
        if now < self._next_rebalance_at:
            return []
        self._next_rebalance_at = now + REBALANCE_INTERVAL_S
        rebalances = []
        for team, limit in self.state.quota_ledger.limit_by_team.items():
            rebalance = self._plan_rebalance(team, limit, now)
            if rebalance is not None:
                rebalances.append(_encode(rebalance))
            if len(rebalances) >= MAX_REBALANCES_PER_ROUND:
                break
        return rebalances

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Return the reply to a request, or a proposal that will produce it."""
        return _handle_request(request, self, now)

    # Configuration.

    def change_configuration(
        self, request: messages.ChangeConfiguration
    ) -> Proposal:
        """Propose a change of the configuration or its keys.

        The state recognises a resent change and returns its first outcome.
        """
        return Proposal(_encode(request.change), self._change_reply)

    def _change_reply(
        self, outcome: ChangeOutcome
    ) -> messages.ConfigurationChanged:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, outcome.detail)
        logs.info('configuration_changed', version=outcome.version)
        self._metrics.gauge('configuration_version', outcome.version)
        return messages.ConfigurationChanged(outcome.version)

    def current_configuration(
        self, now: float
    ) -> messages.CurrentConfiguration:
        """Return the configuration and what still delays a newer version."""
        effective = self.state.effective_configuration
        return messages.CurrentConfiguration(
            effective.version,
            effective.configuration,
            effective.team_by_key,
            self._configuration_blockers(now),
        )

    def renew_configuration_lease(
        self, request: messages.ConfigurationSync, now: float
    ) -> messages.ConfigurationLease:
        """Renew a gateway's lease on the effective configuration.

        The configuration is sent only if its version differs from the
        gateway's.
        """
        timing = self._settings.cell.timing
        effective = self.state.effective_configuration
        update = None
        if request.version != effective.version:
            update = messages.EffectiveUpdate(
                effective.configuration,
                effective.team_by_key,
                effective.key_by_id,
            )
        # Allows for the maximum drift of both clocks.
        max_lease_s = timing.configuration_lease_s * (
            1 + 2 * timing.clock_drift
        )
        self._lease_by_gateway[request.gateway] = _GatewayLease(
            request.version, now + max_lease_s
        )
        return messages.ConfigurationLease(
            timing.configuration_lease_s, effective.version, update
        )

    def _configuration_blockers(self, now: float) -> list[str]:
        version = self.state.configuration_version
        blockers = []
        for gateway in self._gateways:
            lease = self._lease_by_gateway.get(gateway)
            if lease is None:
                # The gateway may hold a lease granted by an earlier leader.
                if now < self._leader_since + self._max_lease_s():
                    blockers.append(f'gateway {gateway}: has not reported yet')
            elif lease.version < version and now < lease.expires_at:
                blockers.append(f'gateway {gateway}: version {lease.version}')
        for centre, report in sorted(self._report_by_centre.items()):
            if report.version < version:
                blockers.append(f'scheduler {centre}: version {report.version}')
        for centre in self.state.quota_ledger.quotas_by_centre:
            if centre not in self._report_by_centre:
                blockers.append(f'scheduler {centre}: has not reported yet')
        centres_by_team = self.state.quota_ledger.centres_above_offer()
        for team in self.state.quota_ledger.teams_above_limit():
            blockers.append(
                f'limit of team {team}: lower quota not confirmed by '
                f'{", ".join(centres_by_team[team])}'
            )
        return blockers

    def _max_lease_s(self) -> float:
        timing = self._settings.cell.timing
        return timing.configuration_lease_s * (1 + 2 * timing.clock_drift)

    # Quotas.

    def sync_scheduler(
        self, request: messages.SchedulerSync, now: float
    ) -> messages.SchedulerUpdate | Proposal:
        """Record the report of a data centre and return its updates.

        If the report confirms the present quota offer, that is committed
        first.
        """
        self._report_by_centre[request.centre] = _DataCentreReport(
            request.version,
            now,
            {demand.team: demand for demand in request.demand},
        )
        record = self.state.quota_ledger.quotas_by_centre.get(request.centre)
        if record is not None and self._confirms_offer(request):
            command = ConfirmQuotaOffer(request.centre, request.kept_epoch)
            return Proposal(
                _encode(command), lambda _: self._scheduler_update(request)
            )
        return self._scheduler_update(request)

    def _confirms_offer(self, request: messages.SchedulerSync) -> bool:
        record = self.state.quota_ledger.quotas_by_centre[request.centre]
        return (
            request.kept_epoch == record.offer.epoch
            and record.max_held_by_team != record.offer.quota_by_team
        )

    def _scheduler_update(
        self, request: messages.SchedulerSync
    ) -> messages.SchedulerUpdate:
        version = self.state.configuration_version
        record = self.state.quota_ledger.quotas_by_centre.get(request.centre)
        is_outdated = request.version < version
        offer = record.offer if record else None
        if offer is not None and offer.epoch <= request.adopted_epoch:
            offer = None
        return messages.SchedulerUpdate(
            version,
            self.state.effective_configuration.configuration
            if is_outdated
            else None,
            offer,
        )

    def _plan_rebalance(
        self, team: TeamName, limit: ResourceTotals, now: float
    ) -> RebalanceQuota | None:
        record_by_centre = self.state.quota_ledger.quotas_by_centre
        demand_by_centre = self._demand_by_centre(team, now)
        if demand_by_centre.keys() != record_by_centre.keys():
            # Not every data centre has reported lately; one that is cut off
            # keeps its quota.
            return None
        current = {
            centre: record.target_by_team.get(team, ResourceTotals())
            for centre, record in record_by_centre.items()
        }
        if not any(
            is_short_of_quota(_to_amounts(current[centre]), demand)
            for centre, demand in demand_by_centre.items()
        ):
            return None
        split = split_limit(_to_amounts(limit), demand_by_centre)
        targets = {
            centre: _to_totals(amounts) for centre, amounts in split.items()
        }
        current_amounts = {
            centre: _to_amounts(target) for centre, target in current.items()
        }
        if not (
            _is_worth_rebalancing(targets, current, limit)
            or unblocks_oldest_job(split, current_amounts, demand_by_centre)
        ):
            return None
        return RebalanceQuota(team, targets)

    def _demand_by_centre(
        self, team: TeamName, now: float
    ) -> dict[DataCentre, CentreDemand]:
        return {
            centre: _to_centre_demand(report.demand_by_team.get(team))
            for centre, report in self._report_by_centre.items()
            if now <= report.reported_at + DEMAND_VALIDITY_S
        }


def _to_centre_demand(demand: messages.TeamDemand | None) -> CentreDemand:
    if demand is None:
        return CentreDemand((0, 0, 0, 0), (0, 0, 0, 0))
    return CentreDemand(
        _to_amounts(demand.usage),
        _to_amounts(demand.waiting),
        _to_amounts(demand.oldest_job_demand),
        demand.oldest_wait_s,
    )


def _to_amounts(totals: ResourceTotals) -> tuple[int, ...]:
    resources = totals.resources
    return (
        resources.cores_m,
        resources.memory_mb,
        resources.accelerators,
        totals.tasks,
    )


def _to_totals(amounts: tuple[int, ...]) -> ResourceTotals:
    cores, memory, accelerators, tasks = amounts
    return ResourceTotals(Resources(cores, memory, accelerators), tasks)


def _is_worth_rebalancing(
    targets: dict[DataCentre, ResourceTotals],
    current: dict[DataCentre, ResourceTotals],
    limit: ResourceTotals,
) -> bool:
    # A small change of quotas is not worth the messages that it takes.
    for centre, target in targets.items():
        pairs = zip(
            _to_amounts(target),
            _to_amounts(current[centre]),
            _to_amounts(limit),
            strict=True,
        )
        if any(
            abs(new - old) > limit_amount * _MIN_REBALANCE_FRACTION
            for new, old, limit_amount in pairs
        ):
            return True
    return False


@functools.singledispatch
def _handle_request(
    request: object, service: CoordinatorService, now: float
) -> typing.Any:
    raise CassiaholdError(
        ErrorKind.BAD_REQUEST,
        f'the coordinator group does not handle {type(request).__name__}',
    )


@_handle_request.register
def _(
    request: messages.ChangeConfiguration,
    service: CoordinatorService,
    now: float,
) -> Proposal:
    return service.change_configuration(request)


@_handle_request.register
def _(
    request: messages.GetConfiguration,
    service: CoordinatorService,
    now: float,
) -> messages.CurrentConfiguration:
    return service.current_configuration(now)


@_handle_request.register
def _(
    request: messages.ConfigurationSync,
    service: CoordinatorService,
    now: float,
) -> messages.ConfigurationLease:
    return service.renew_configuration_lease(request, now)


@_handle_request.register
def _(
    request: messages.SchedulerSync,
    service: CoordinatorService,
    now: float,
) -> messages.SchedulerUpdate | Proposal:
    return service.sync_scheduler(request, now)
