"""Assigns the live requests of one gateway to slots of targets.

Requests that find no free slot wait in a bounded queue for each team of a
service.  The queues are served by weighted fair queueing.  A request that
cannot start before its deadline is refused before it is sent, so the caller
can rely on it not having run.
"""

import collections
import statistics
import typing

import msgspec

from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    InvariantError,
    RetryHint,
)
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.routing.admission import (
    QueueEstimate,
    ServiceCapacity,
    TeamQueue,
    estimate_wait,
)
from cassiahold.routing.health import MIN_UNEJECTED_FRACTION, TargetHealth


class Endpoint(msgspec.Struct, frozen=True):
    """The instance of a target that a request is sent to."""

    target: TargetId
    incarnation: int
    address: str
    max_connections: int


class SlotRequest(msgspec.Struct):
    """A request for one slot, and the decision once it is made.

    Either ``endpoint`` or ``error`` is set by the dispatcher.  Times are in
    seconds, by the clock that the dispatcher's callers pass as ``now``.
    ``excluded_targets`` are those where a retry has failed; it goes there
    only when no other target is healthy.
    """

    service: ServiceName
    team: TeamName
    deadline: float
    arrived_at: float
    excluded_targets: frozenset[TargetId] = frozenset()
    endpoint: Endpoint | None = None
    error: CassiaholdError | None = None
    # Set and read by the caller only, for instance a future to resolve.
    context: typing.Any = None


class SlotGrant(msgspec.Struct, frozen=True):
    """The slots of one target that the gateway may use."""

    target: TargetId
    incarnation: int
    service: ServiceName
    address: str
    slots: int
    max_connections: int
    is_leaving: bool = False


class _Target(msgspec.Struct):
    grant: SlotGrant
    health: TargetHealth
    in_use: int = 0

    def usable_slots(self, now: float) -> int:
        """Return how many requests may be in progress at the target."""
        usable = max(int(self.grant.slots * self.health.slot_fraction(now)), 1)
        return min(usable, self.grant.slots)

    def free_slots(self, now: float) -> int:
        """Return how many more requests may be sent to the target."""
        return self.usable_slots(now) - self.in_use


class _Service(msgspec.Struct):
    target_by_id: dict[TargetId, _Target] = msgspec.field(default_factory=dict)
    queue_by_team: collections.OrderedDict[
        TeamName, collections.deque[SlotRequest]
    ] = msgspec.field(default_factory=collections.OrderedDict)
    # Requests served divided by the team's weight.
    virtual_time_by_team: dict[TeamName, float] = msgspec.field(
        default_factory=dict
    )
    waiting_count: int = 0


DecisionCallback = typing.Callable[[SlotRequest], None]


class Dispatcher:
    """Queues live requests and assigns them to the gateway's slots.

    ``max_queue_length`` bounds each team's queue at each service.
    ``on_decision`` is called once for each submitted request, when it has
    an endpoint or is refused.  Not thread-safe.
    """

    def __init__(
        self, max_queue_length: int, on_decision: DecisionCallback
    ) -> None:
        self._max_queue_length = max_queue_length
        self._on_decision = on_decision
        self._lease_expires_at = float('-inf')
        self._service_by_name: dict[ServiceName, _Service] = {}
        # Slots still in use at incarnations that are no longer granted, by
        # target and incarnation.
        self._retired_in_use: dict[tuple[TargetId, int], int] = {}
        self.weight_by_team: dict[TeamName, float] = {}

    # Grants.

    def renew_grants(
        self, grants: list[SlotGrant], lease_expires_at: float, now: float
    ) -> None:
        """Replace all grants with those of a renewed lease."""
        self._lease_expires_at = lease_expires_at
        granted_by_service: dict[ServiceName, dict[TargetId, SlotGrant]] = {}
        for grant in grants:
            granted_by_service.setdefault(grant.service, {})[grant.target] = (
                grant
            )
        for name in set(self._service_by_name) | set(granted_by_service):
            service = self._service_by_name.setdefault(name, _Service())
            self._update_targets(service, granted_by_service.get(name, {}), now)
            self._assign_waiting(service, now)

    def _update_targets(
        self,
        service: _Service,
        grant_by_target: dict[TargetId, SlotGrant],
        now: float,
    ) -> None:
        for target_id, target in list(service.target_by_id.items()):
            grant = grant_by_target.get(target_id)
            is_same = grant is not None and (
                grant.incarnation == target.grant.incarnation
            )
            if not is_same:
                service.target_by_id.pop(target_id)
                if target.in_use:
                    key = (target_id, target.grant.incarnation)
                    self._retired_in_use[key] = target.in_use
        for target_id, grant in grant_by_target.items():
            current = service.target_by_id.get(target_id)
            if current is None:
                key = (target_id, grant.incarnation)
                service.target_by_id[target_id] = _Target(
                    grant,
                    TargetHealth(now),
                    self._retired_in_use.pop(key, 0),
                )
            else:
                current.grant = grant

    def holdings(self, now: float) -> list[tuple[TargetId, int, int, int]]:
        """Return target, incarnation, held slots and slots in use.

        Once the lease has lapsed, only slots in use count as held, since
        the others may have been granted to another gateway.
        """
        is_lapsed = now >= self._lease_expires_at
        holdings = [
            (
                target_id,
                target.grant.incarnation,
                target.in_use
                if is_lapsed
                else max(target.grant.slots, target.in_use),
                target.in_use,
            )
            for service in self._service_by_name.values()
            for target_id, target in service.target_by_id.items()
        ]
        holdings.extend(
            (target_id, incarnation, in_use, in_use)
            for (target_id, incarnation), in_use in self._retired_in_use.items()
        )
        return holdings

    def demand_by_service(self) -> dict[ServiceName, int]:
        """Return waiting and running requests by service."""
        return {
            name: service.waiting_count
            + sum(target.in_use for target in service.target_by_id.values())
            for name, service in self._service_by_name.items()
        }

    # Requests.

    def submit(self, request: SlotRequest, now: float) -> None:
        """Assign a request to an endpoint, queue it, or refuse it.

        ``on_decision`` is called once, now or later, with the request.
        """
        service = self._service_by_name.get(request.service)
        targets = _serving_targets(service, now) if service else []
        if service is None or not targets:
            self._refuse(
                request,
                ErrorKind.NO_TARGET,
                f'no target of service {request.service!r} that stays is '
                'known to this gateway',
            )
            return
        if now >= self._lease_expires_at:
            self._refuse(
                request,
                ErrorKind.UNREACHABLE,
                'the lease of this gateway on slots of targets has lapsed',
            )
            return
        if self._is_full(service, request.team):
            self._refuse_expired(service, now)
        must_wait = self._must_wait(service, request, now)
        if must_wait and self._is_refused(service, request, targets, now):
            return
        self._enqueue(service, request)
        self._assign_waiting(service, now)

    def complete(
        self,
        service_name: ServiceName,
        endpoint: Endpoint,
        now: float,
        *,
        latency_s: float | None = None,
        has_failed: bool = False,
    ) -> None:
        """Free the slot of a finished request and update target health.

        ``latency_s`` is ignored for a failed request.
        """
        service = self._service_by_name.get(service_name)
        target = service.target_by_id.get(endpoint.target) if service else None
        if target is None or target.grant.incarnation != endpoint.incarnation:
            self._release_retired(endpoint)
            return
        target.in_use -= 1
        if has_failed:
            if target.health.record_failure(now) and service is not None:
                self._limit_ejections(service, target, now)
        elif latency_s is not None:
            target.health.record_success(latency_s)
        if service is not None:
            self._assign_waiting(service, now)

    def tick(self, now: float) -> None:
        """Refuse requests past their deadline and use slots now free.

        Must be called periodically: slots also become free with time, when
        an ejection ends or a new target passes its slow start.
        """
        for service in self._service_by_name.values():
            self._refuse_expired(service, now)
            self._assign_waiting(service, now)

    # Helpers.

    def _release_retired(self, endpoint: Endpoint) -> None:
        key = (endpoint.target, endpoint.incarnation)
        in_use = self._retired_in_use.get(key, 0) - 1
        if in_use > 0:
            self._retired_in_use[key] = in_use
        else:
            self._retired_in_use.pop(key, None)

    def _limit_ejections(
        self, service: _Service, target: _Target, now: float
    ) -> None:
        targets = service.target_by_id.values()
        ejected = sum(other.health.is_ejected(now) for other in targets)
        if ejected > len(targets) * (1 - MIN_UNEJECTED_FRACTION):
            target.health.ejected_until = now

    def _must_wait(
        self, service: _Service, request: SlotRequest, now: float
    ) -> bool:
        """Return whether a new request cannot start at once.

        Slots that have become free with time go to waiting requests first.
        Those that still wait then may not use the slots that are free.
        """
        if _choose_target(service, request, now) is None:
            return True
        if not service.waiting_count:
            return False
        self._assign_waiting(service, now)
        return _choose_target(service, request, now) is None

    def _is_full(self, service: _Service, team: TeamName) -> bool:
        queue = service.queue_by_team.get(team, ())
        return len(queue) >= self._max_queue_length

    def _is_refused(
        self,
        service: _Service,
        request: SlotRequest,
        targets: list[_Target],
        now: float,
    ) -> bool:
        """Refuse a request that finds a full queue or waits too long."""
        capacity = _measure_capacity(targets, now)
        estimate = None
        if capacity is not None:
            estimate = self._estimate_wait(service, request.team, capacity)
        if estimate is not None and (
            now + estimate.response_s > request.deadline
        ):
            self._refuse(
                request,
                ErrorKind.DEADLINE_TOO_SHORT,
                f'a response takes {estimate.response_s:.3f} s, of which '
                f'{estimate.wait_s:.3f} s in the queue; the deadline is in '
                f'{request.deadline - now:.3f} s',
            )
            return True
        if not self._is_full(service, request.team):
            return False
        self._refuse(
            request,
            ErrorKind.OVERLOADED,
            f'{self._max_queue_length} requests of team {request.team!r} are '
            'waiting; the queue is full',
            estimate.full_queue_hint(request.service) if estimate else None,
        )
        return True

    def _estimate_wait(
        self, service: _Service, team: TeamName, capacity: ServiceCapacity
    ) -> QueueEstimate:
        return estimate_wait(
            TeamQueue(
                self.weight_by_team.get(team, 1.0),
                _virtual_time(service, team),
                len(service.queue_by_team.get(team, ())),
            ),
            [
                TeamQueue(
                    self.weight_by_team.get(other, 1.0),
                    service.virtual_time_by_team[other],
                    len(queue),
                )
                for other, queue in service.queue_by_team.items()
                if other != team
            ],
            capacity,
        )

    def _enqueue(self, service: _Service, request: SlotRequest) -> None:
        team = request.team
        service.virtual_time_by_team[team] = _virtual_time(service, team)
        service.queue_by_team.setdefault(team, collections.deque()).append(
            request
        )
        service.waiting_count += 1

    def _assign_waiting(self, service: _Service, now: float) -> None:
        if now >= self._lease_expires_at:
            return
        has_assigned = True
        while service.waiting_count and has_assigned:
            has_assigned = self._assign_next(service, now)

    def _assign_next(self, service: _Service, now: float) -> bool:
        """Assign the next request that may use a free slot.

        Returns whether there was one.  A request that may use none of the
        free slots keeps its place, and others go first.
        """
        self._refuse_expired(service, now)
        passed_teams: list[TeamName] = []
        for team in _teams_in_turn(service):
            queue = service.queue_by_team[team]
            for position, request in enumerate(queue):
                target = _choose_target(service, request, now)
                if target is not None:
                    _keep_up(service, passed_teams, team)
                    self._dequeue(service, team, position)
                    self._assign(target, request)
                    return True
                if not request.excluded_targets:
                    # No target has a free slot.
                    return False
            passed_teams.append(team)
        return False

    def _assign(self, target: _Target, request: SlotRequest) -> None:
        grant = target.grant
        if target.in_use >= grant.slots:
            raise InvariantError(
                1,
                f'request assigned to target {grant.target!r}, whose '
                f'{grant.slots} granted slots are all in use',
            )
        if grant.is_leaving:
            raise InvariantError(
                8,
                f'request assigned to target {grant.target!r}, '
                'which is leaving',
            )
        target.in_use += 1
        request.endpoint = Endpoint(
            grant.target,
            grant.incarnation,
            grant.address,
            grant.max_connections,
        )
        self._on_decision(request)

    def _dequeue(
        self, service: _Service, team: TeamName, position: int
    ) -> None:
        queue = service.queue_by_team[team]
        queue.rotate(-position)
        queue.popleft()
        queue.rotate(position)
        service.waiting_count -= 1
        weight = self.weight_by_team.get(team, 1.0)
        service.virtual_time_by_team[team] += 1 / weight
        if not queue:
            service.queue_by_team.pop(team)

    def _refuse_expired(self, service: _Service, now: float) -> None:
        for team, queue in list(service.queue_by_team.items()):
            expired = [request for request in queue if now >= request.deadline]
            for request in expired:
                queue.remove(request)
                service.waiting_count -= 1
                self._refuse(
                    request,
                    ErrorKind.DEADLINE_PASSED,
                    'deadline passed after waiting '
                    f'{now - request.arrived_at:.3f} s for a free slot',
                )
            if not queue:
                service.queue_by_team.pop(team)

    def _refuse(
        self,
        request: SlotRequest,
        kind: ErrorKind,
        detail: str,
        hint: RetryHint | None = None,
    ) -> None:
        request.error = CassiaholdError(kind, detail, hint)
        self._on_decision(request)


def _teams_in_turn(service: _Service) -> list[TeamName]:
    """Return the teams with waiting requests, least virtual time first."""
    return sorted(
        service.queue_by_team,
        key=service.virtual_time_by_team.__getitem__,
    )


def _keep_up(
    service: _Service, passed_teams: list[TeamName], served_team: TeamName
) -> None:
    # A team whose requests may not use the free slots must not claim the
    # service of this time later, nor may a team that joins meanwhile.
    virtual_time = service.virtual_time_by_team
    for team in passed_teams:
        virtual_time[team] = virtual_time[served_team]


def _choose_target(
    service: _Service, request: SlotRequest, now: float
) -> _Target | None:
    """Return the best target with a free slot that a request may use."""
    if request.excluded_targets:
        allowed = _targets_of_retry(service, request, now)
        return min(
            (target for target in allowed if target.free_slots(now) > 0),
            key=_expected_latency_s,
            default=None,
        )
    usable = [
        target
        for target in _open_targets(service)
        if target.free_slots(now) > 0
    ]
    healthy = [target for target in usable if not target.health.is_ejected(now)]
    if healthy:
        return min(healthy, key=_expected_latency_s)
    # Ejected targets serve only when no other target has a free slot.
    return usable[0] if usable else None


def _targets_of_retry(
    service: _Service, request: SlotRequest, now: float
) -> list[_Target]:
    """Return the targets that a request that has failed may use.

    These are healthy targets where it has not failed, whether or not they
    have a free slot now.  If there are none, waiting for one would only use
    up the time until the deadline: then all healthy targets, or else all.
    """
    open_targets = _open_targets(service)
    healthy = [
        target for target in open_targets if not target.health.is_ejected(now)
    ]
    others = [
        target
        for target in healthy
        if target.grant.target not in request.excluded_targets
    ]
    return others or healthy or open_targets


def _open_targets(service: _Service) -> list[_Target]:
    return [
        target
        for target in service.target_by_id.values()
        if target.grant.slots > 0 and not target.grant.is_leaving
    ]


_DEFAULT_LATENCY_S: typing.Final = 0.001  # before the first response


def _serving_targets(service: _Service, now: float) -> list[_Target]:
    """Return the targets that get requests: ejected ones only without others.

    Leaving targets get no requests.
    """
    staying = [
        target
        for target in service.target_by_id.values()
        if not target.grant.is_leaving
    ]
    return [
        target for target in staying if not target.health.is_ejected(now)
    ] or staying


def _measure_capacity(
    targets: list[_Target], now: float
) -> ServiceCapacity | None:
    """Return what targets can do, None before the first response.

    A target without responses counts as one of average latency.
    """
    latencies_s = [
        target.health.latency_s
        for target in targets
        if target.health.latency_s > 0
    ]
    if not latencies_s:
        return None
    mean_s = statistics.fmean(latencies_s)
    requests_per_s = sum(
        target.usable_slots(now) / (target.health.latency_s or mean_s)
        for target in targets
    )
    if requests_per_s <= 0:
        return None
    return ServiceCapacity(requests_per_s, min(latencies_s))


def _virtual_time(service: _Service, team: TeamName) -> float:
    """Return the virtual time of a team's first request.

    A team that joins starts at the present minimum at least, so it cannot
    claim service for the time before it had requests.
    """
    virtual_time_by_team = service.virtual_time_by_team
    if team in service.queue_by_team:
        return virtual_time_by_team[team]
    waiting_teams = service.queue_by_team
    if not waiting_teams:
        virtual_time_by_team.clear()
    minimum = min(
        (virtual_time_by_team[name] for name in waiting_teams), default=0.0
    )
    return max(virtual_time_by_team.get(team, minimum), minimum)


def _expected_latency_s(target: _Target) -> float:
    latency_s = target.health.latency_s or _DEFAULT_LATENCY_S
    return latency_s * (target.in_use + 1) / target.grant.slots
