"""The coordinator group as its leader runs it."""

import functools
import typing

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cellstate.allotments import Allowance
from cassiahold.cellstate.coordination import (
    ChangeOutcome,
    ConfirmOffer,
    CoordinatorState,
    MoveAllotment,
)
from cassiahold.core import logs
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, GatewayId, TeamName
from cassiahold.core.metrics import Metrics
from cassiahold.core.resources import Resources
from cassiahold.policy.allotting import Want, is_short, split_by_need, unlocks
from cassiahold.wire import messages

BALANCE_INTERVAL_S: typing.Final = 1.0
MAX_MOVES_PER_ROUND: typing.Final = 32
# A data centre that has not reported for this long keeps what it has.
DEMAND_VALIDITY_S: typing.Final = 5.0
_MIN_MOVE_FRACTION: typing.Final = 0.02  # of a limit; not worth its messages

_encode = msgspec.msgpack.Encoder().encode


class _GatewayLease(msgspec.Struct, frozen=True):
    version: int
    expires_at: float


class _DataCentreReport(msgspec.Struct, frozen=True):
    version: int
    reported_at: float
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
        self._report_by_data_centre: dict[DataCentre, _DataCentreReport] = {}
        self._leader_since = 0.0
        self._next_balance_at = 0.0

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

    def lead(self, term: int, now: float) -> None:
        """Forget what an earlier time as leader was told."""
        self._leader_since = now
        self._lease_by_gateway.clear()
        self._report_by_data_centre.clear()

    def follow(self) -> None:
        """Nothing is kept by a follower but the state."""

    def work(self, now: float) -> list[bytes]:
        """Return the moves of allotments that are due."""
        if now < self._next_balance_at:
            return []
        self._next_balance_at = now + BALANCE_INTERVAL_S
        moves = []
        for team, limit in self.state.allotments.limit_by_team.items():
            move = self._plan_move(team, limit, now)
            if move is not None:
                moves.append(_encode(move))
            if len(moves) >= MAX_MOVES_PER_ROUND:
                break
        return moves

    def handle(self, request: typing.Any, now: float) -> typing.Any:
        """Answer a request or propose its command."""
        return _handle_request(request, self, now)

    # Configuration.

    def change_configuration(
        self, request: messages.ChangeConfiguration
    ) -> Proposal:
        """Propose a change; a resend is answered by the state."""
        return Proposal(_encode(request.change), self._change_reply)

    def _change_reply(self, outcome: ChangeOutcome) -> messages.Changed:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, outcome.detail)
        logs.info('configuration_changed', version=outcome.version)
        self._metrics.gauge('configuration_version', outcome.version)
        return messages.Changed(outcome.version)

    def current_configuration(
        self, now: float
    ) -> messages.CurrentConfiguration:
        """Return the configuration and where it is not yet in force."""
        effective = self.state.effective
        return messages.CurrentConfiguration(
            effective.version,
            effective.configuration,
            effective.team_by_key,
            self._configuration_blockers(now),
        )

    def renew_configuration_lease(
        self, request: messages.ConfigurationSync, now: float
    ) -> messages.ConfigurationLease:
        """Renew a gateway's lease on the configuration."""
        timing = self._settings.cell.timing
        effective = self.state.effective
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

    def _configuration_blockers(self, now: float) -> list[str]:
        version = self.state.version
        waiting = []
        for gateway in self._gateways:
            lease = self._lease_by_gateway.get(gateway)
            if lease is None:
                # It may hold a lease from the leader before this one.
                if now < self._leader_since + self._max_lease_s():
                    waiting.append(f'gateway {gateway}: not heard from')
            elif lease.version < version and now < lease.expires_at:
                waiting.append(f'gateway {gateway}: version {lease.version}')
        for centre, view in sorted(self._report_by_data_centre.items()):
            if view.version < version:
                waiting.append(f'scheduler {centre}: version {view.version}')
        for centre in self.state.allotments.by_centre:
            if centre not in self._report_by_data_centre:
                waiting.append(f'scheduler {centre}: not heard from')
        overheld = self.state.allotments.overheld()
        for team in self.state.allotments.above_limit():
            waiting.append(f'limit of {team}: {", ".join(overheld[team])}')
        return waiting

    def _max_lease_s(self) -> float:
        timing = self._settings.cell.timing
        return timing.configuration_lease_s * (1 + 2 * timing.clock_drift)

    # Allotments.

    def sync_scheduler(
        self, request: messages.SchedulerSync, now: float
    ) -> messages.SchedulerUpdate | Proposal:
        """Take a data centre's view and return what it should adopt."""
        self._report_by_data_centre[request.centre] = _DataCentreReport(
            request.version,
            now,
            {demand.team: demand for demand in request.demand},
        )
        record = self.state.allotments.by_centre.get(request.centre)
        if record is not None and self._confirms_offer(request):
            command = ConfirmOffer(request.centre, request.kept_epoch)
            return Proposal(
                _encode(command), lambda _: self._update_for(request)
            )
        return self._update_for(request)

    def _confirms_offer(self, request: messages.SchedulerSync) -> bool:
        record = self.state.allotments.by_centre[request.centre]
        return (
            request.kept_epoch == record.offer.epoch
            and record.held_by_team != record.offer.allowance_by_team
        )

    def _update_for(
        self, request: messages.SchedulerSync
    ) -> messages.SchedulerUpdate:
        version = self.state.version
        record = self.state.allotments.by_centre.get(request.centre)
        newer = request.version < version
        offer = record.offer if record else None
        if offer is not None and offer.epoch <= request.adopted_epoch:
            offer = None
        return messages.SchedulerUpdate(
            version,
            self.state.effective.configuration if newer else None,
            offer,
        )

    def _plan_move(
        self, team: TeamName, limit: Allowance, now: float
    ) -> MoveAllotment | None:
        record_by_centre = self.state.allotments.by_centre
        wants = self._want_by_data_centre(team, now)
        if wants.keys() != record_by_centre.keys():
            # A data centre that is cut off keeps what it holds.
            return None
        current = {
            centre: record.target_by_team.get(team, Allowance())
            for centre, record in record_by_centre.items()
        }
        if not any(
            is_short(_amounts(current[centre]), want)
            for centre, want in wants.items()
        ):
            return None
        split = split_by_need(_amounts(limit), wants)
        targets = {
            centre: _to_allowance(amounts) for centre, amounts in split.items()
        }
        current_amounts = {
            centre: _amounts(target) for centre, target in current.items()
        }
        if not (
            _is_large_move(targets, current, limit)
            or unlocks(split, current_amounts, wants)
        ):
            return None
        return MoveAllotment(team, targets)

    def _want_by_data_centre(
        self, team: TeamName, now: float
    ) -> dict[DataCentre, Want]:
        return {
            centre: _to_want(view.demand_by_team.get(team))
            for centre, view in self._report_by_data_centre.items()
            if now <= view.reported_at + DEMAND_VALIDITY_S
        }


def _to_want(demand: messages.TeamDemand | None) -> Want:
    if demand is None:
        return Want((0, 0, 0, 0), (0, 0, 0, 0))
    return Want(
        _amounts(demand.usage),
        _amounts(demand.waiting),
        _amounts(demand.unit),
        demand.oldest_wait_s,
    )


def _amounts(allowance: Allowance) -> tuple[int, ...]:
    resources = allowance.resources
    return (
        resources.cores_m,
        resources.memory_mb,
        resources.accelerators,
        allowance.tasks,
    )


def _to_allowance(amounts: tuple[int, ...]) -> Allowance:
    cores, memory, accelerators, tasks = amounts
    return Allowance(Resources(cores, memory, accelerators), tasks)


def _is_large_move(
    targets: dict[DataCentre, Allowance],
    current: dict[DataCentre, Allowance],
    limit: Allowance,
) -> bool:
    # Small moves would cost more messages than they win.
    for centre, target in targets.items():
        pairs = zip(
            _amounts(target),
            _amounts(current[centre]),
            _amounts(limit),
            strict=True,
        )
        if any(
            abs(new - old) > most * _MIN_MOVE_FRACTION
            for new, old, most in pairs
        ):
            return True
    return False


@functools.singledispatch
def _handle_request(
    request: object, service: CoordinatorService, now: float
) -> typing.Any:
    raise CassiaholdError(
        ErrorKind.BAD_REQUEST,
        f'the coordinator does not answer {type(request).__name__}',
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
