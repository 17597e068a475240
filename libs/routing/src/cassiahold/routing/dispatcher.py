"""Assigns the live requests of one gateway to slots of targets.

Requests that find no free slot wait in a bounded queue for each team of a
service.  The queues are served by weighted fair queueing.  A request that
cannot start before its deadline is refused before it is sent, so the caller
can rely on it not having run.
"""

import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError, ErrorKind, RetryHint
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.routing.admission import (
    QueueEstimate,
    ServiceCapacity,
    TeamQueue,
    estimate_wait,
)
from cassiahold.routing.health import TargetHealth
from cassiahold.routing.slots import Endpoint, SlotGrant, SlotRequest
from cassiahold.routing.targets import (
    Target,
    TargetById,
    choose_target,
    limit_ejections,
    measure_capacity,
    serving_targets,
)
from cassiahold.routing.team_queues import TeamQueues


class _Service(msgspec.Struct):
    target_by_id: TargetById = msgspec.field(default_factory=dict)
    queues: TeamQueues = msgspec.field(default_factory=TeamQueues)


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
                service.target_by_id[target_id] = Target(
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
            name: len(service.queues)
            + sum(target.in_use for target in service.target_by_id.values())
            for name, service in self._service_by_name.items()
        }

    # Requests.

    def submit(self, request: SlotRequest, now: float) -> None:
        """Assign a request to an endpoint, queue it, or refuse it.

        ``on_decision`` is called once, now or later, with the request.
        """
        service = self._service_by_name.get(request.service)
        if service is None or not serving_targets(service.target_by_id, now):
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
        if self._assign_at_once(service, request, now):
            return
        if self._is_full(service, request.team):
            self._refuse_expired(service, now)
        must_wait = self._must_wait(service, request, now)
        if must_wait and self._is_refused(service, request, now):
            return
        service.queues.append(request)
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
                limit_ejections(service.target_by_id, target, now)
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

    def _assign_at_once(
        self, service: _Service, request: SlotRequest, now: float
    ) -> bool:
        """Assign a request to a free slot when no other request waits."""
        if len(service.queues):
            return False
        target = choose_target(service.target_by_id, request, now)
        if target is None:
            return False
        self._assign(target, request)
        return True

    def _must_wait(
        self, service: _Service, request: SlotRequest, now: float
    ) -> bool:
        """Return whether a new request cannot start at once.

        Slots that have become free with time go to waiting requests first.
        Those that still wait then may not use the slots that are free.
        """
        if choose_target(service.target_by_id, request, now) is None:
            return True
        if not len(service.queues):
            return False
        self._assign_waiting(service, now)
        return choose_target(service.target_by_id, request, now) is None

    def _is_full(self, service: _Service, team: TeamName) -> bool:
        waiting_count = len(service.queues.requests_of(team))
        return waiting_count >= self._max_queue_length

    def _is_refused(
        self, service: _Service, request: SlotRequest, now: float
    ) -> bool:
        """Refuse a request that finds a full queue or waits too long."""
        capacity = measure_capacity(service.target_by_id, now)
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
            self._team_queue(service, team),
            [
                self._team_queue(service, other)
                for other in service.queues.teams
                if other != team
            ],
            capacity,
        )

    def _team_queue(self, service: _Service, team: TeamName) -> TeamQueue:
        return TeamQueue(
            self.weight_by_team.get(team, 1.0),
            service.queues.virtual_time(team),
            len(service.queues.requests_of(team)),
        )

    def _assign_waiting(self, service: _Service, now: float) -> None:
        if now >= self._lease_expires_at:
            return
        has_assigned = True
        while len(service.queues) and has_assigned:
            has_assigned = self._assign_next(service, now)

    def _assign_next(self, service: _Service, now: float) -> bool:
        """Assign the next request that may use a free slot.

        Returns whether there was one.  A request that may use none of the
        free slots keeps its place, and others go first.
        """
        self._refuse_expired(service, now)
        passed_teams: list[TeamName] = []
        for team in service.queues.teams_in_turn():
            for position, request in enumerate(
                service.queues.requests_of(team)
            ):
                target = choose_target(service.target_by_id, request, now)
                if target is not None:
                    weight = self.weight_by_team.get(team, 1.0)
                    service.queues.serve(team, position, weight, passed_teams)
                    self._assign(target, request)
                    return True
                if not request.excluded_targets:
                    # No target has a free slot.
                    return False
            passed_teams.append(team)
        return False

    def _assign(self, target: Target, request: SlotRequest) -> None:
        request.endpoint = target.occupy_slot()
        self._on_decision(request)

    def _refuse_expired(self, service: _Service, now: float) -> None:
        for request in service.queues.pop_expired(now):
            self._refuse(
                request,
                ErrorKind.DEADLINE_PASSED,
                'deadline passed after waiting '
                f'{now - request.arrived_at:.3f} s for a free slot',
            )

    def _refuse(
        self,
        request: SlotRequest,
        kind: ErrorKind,
        detail: str,
        hint: RetryHint | None = None,
    ) -> None:
        request.error = CassiaholdError(kind, detail, hint)
        self._on_decision(request)
