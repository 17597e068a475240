"""Chooses a target for each live request, and who goes first when full.

Requests wait in one bounded queue for each team of a service.  Queues are
served by turns, by weight.  A request whose deadline would pass is refused
before it is sent, so the refusal is true.
"""

import collections
import typing

import msgspec

from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    InvariantError,
)
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.routing.health import MIN_KEPT_FRACTION, TargetHealth


class Endpoint(msgspec.Struct, frozen=True):
    """A target that a request may now be sent to."""

    target: TargetId
    incarnation: int
    address: str
    max_connections: int


class SlotRequest(msgspec.Struct):
    """One request that wants a slot."""

    service: ServiceName
    team: TeamName
    deadline: float
    arrived_at: float
    excluded_targets: frozenset[TargetId] = frozenset()
    endpoint: Endpoint | None = None
    error: CassiaholdError | None = None
    # Belongs to the caller, for instance a future to resolve.
    context: typing.Any = None


class SlotGrant(msgspec.Struct, frozen=True):
    """What the gateway may use of one target."""

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

    def free(self, now: float) -> int:
        """Return how many more requests may be sent."""
        warm = max(int(self.grant.slots * self.health.warmth(now)), 1)
        return min(warm, self.grant.slots) - self.in_use


class _Service(msgspec.Struct):
    target_by_id: dict[TargetId, _Target] = msgspec.field(default_factory=dict)
    queue_by_team: collections.OrderedDict[
        TeamName, collections.deque[SlotRequest]
    ] = msgspec.field(default_factory=collections.OrderedDict)
    credit_by_team: dict[TeamName, float] = msgspec.field(default_factory=dict)
    waiting: int = 0


Notify = typing.Callable[[SlotRequest], None]


class Dispatcher:
    """Owns the slots of one gateway."""

    def __init__(self, queue_length: int, notify: Notify) -> None:
        self._queue_length = queue_length
        self._notify = notify
        self._lease_until = float('-inf')
        self._service_by_name: dict[ServiceName, _Service] = {}
        self._retired: dict[tuple[TargetId, int], int] = {}
        self.weight_by_team: dict[TeamName, float] = {}

    # Grants.

    def renew_grants(
        self, grants: list[SlotGrant], lease_until: float, now: float
    ) -> None:
        """Take what the scheduler group grants until the lease lapses."""
        self._lease_until = lease_until
        granted_by_service: dict[ServiceName, dict[TargetId, SlotGrant]] = {}
        for grant in grants:
            granted_by_service.setdefault(grant.service, {})[grant.target] = (
                grant
            )
        for name in set(self._service_by_name) | set(granted_by_service):
            service = self._service_by_name.setdefault(name, _Service())
            self._renew_service(service, granted_by_service.get(name, {}), now)
            self._serve(service, now)

    def _renew_service(
        self,
        service: _Service,
        grant_by_target: dict[TargetId, SlotGrant],
        now: float,
    ) -> None:
        for target_id, target in list(service.target_by_id.items()):
            grant = grant_by_target.get(target_id)
            same = grant is not None and (
                grant.incarnation == target.grant.incarnation
            )
            if not same:
                service.target_by_id.pop(target_id)
                if target.in_use:
                    key = (target_id, target.grant.incarnation)
                    self._retired[key] = target.in_use
        for target_id, grant in grant_by_target.items():
            known = service.target_by_id.get(target_id)
            if known is None:
                key = (target_id, grant.incarnation)
                service.target_by_id[target_id] = _Target(
                    grant, TargetHealth(now), self._retired.pop(key, 0)
                )
            else:
                known.grant = grant

    def holdings(self, now: float) -> list[tuple[TargetId, int, int, int]]:
        """Return target, incarnation, slots kept and slots in use.

        Once the lease has lapsed only what is in use is kept, since the
        rest may have been granted to another gateway.
        """
        is_lapsed = now >= self._lease_until
        kept = [
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
        kept.extend(
            (target_id, incarnation, in_use, in_use)
            for (target_id, incarnation), in_use in self._retired.items()
        )
        return kept

    def demand_by_service(self) -> dict[ServiceName, int]:
        """Return waiting and running requests by service."""
        return {
            name: service.waiting
            + sum(target.in_use for target in service.target_by_id.values())
            for name, service in self._service_by_name.items()
        }

    # Requests.

    def submit(self, ticket: SlotRequest, now: float) -> None:
        """Give a request its route, let it wait, or refuse it.

        ``notify`` is called once with the ticket when it is decided.
        """
        service = self._service_by_name.get(ticket.service)
        if service is None or not service.target_by_id:
            self._refuse(
                ticket,
                ErrorKind.NO_TARGET,
                f'no target offers service {ticket.service!r} here',
            )
            return
        if now >= self._lease_until:
            self._refuse(
                ticket,
                ErrorKind.UNREACHABLE,
                'the slots of this gateway have lapsed',
            )
            return
        queue = service.queue_by_team.get(ticket.team)
        if queue is not None and len(queue) >= self._queue_length:
            self._refuse(
                ticket,
                ErrorKind.OVERLOADED,
                f'{len(queue)} requests of team {ticket.team!r} wait',
            )
            return
        if self._cannot_start_in_time(service, ticket, now):
            self._refuse(
                ticket,
                ErrorKind.OVERLOADED,
                'the queue is too long for the deadline',
            )
            return
        service.queue_by_team.setdefault(
            ticket.team, collections.deque()
        ).append(ticket)
        service.waiting += 1
        self._serve(service, now)

    def complete(
        self,
        service_name: ServiceName,
        route: Endpoint,
        now: float,
        *,
        latency_s: float | None = None,
        has_failed: bool = False,
    ) -> None:
        """Free the slot of a request and learn from its answer."""
        service = self._service_by_name.get(service_name)
        target = service.target_by_id.get(route.target) if service else None
        if target is None or target.grant.incarnation != route.incarnation:
            self._free_retired(route)
            return
        target.in_use -= 1
        if has_failed:
            if target.health.failed(now) and service is not None:
                self._keep_enough(service, target, now)
        elif latency_s is not None:
            target.health.succeeded(latency_s)
        if service is not None:
            self._serve(service, now)

    def tick(self, now: float) -> None:
        """Refuse what waited too long and serve what became possible."""
        for service in self._service_by_name.values():
            self._expire(service, now)
            self._serve(service, now)

    # Helpers.

    def _free_retired(self, route: Endpoint) -> None:
        key = (route.target, route.incarnation)
        left = self._retired.get(key, 0) - 1
        if left > 0:
            self._retired[key] = left
        else:
            self._retired.pop(key, None)

    def _keep_enough(
        self, service: _Service, target: _Target, now: float
    ) -> None:
        targets = service.target_by_id.values()
        resting = sum(other.health.is_ejected(now) for other in targets)
        if resting > len(targets) * (1 - MIN_KEPT_FRACTION):
            target.health.ejected_until = now

    def _cannot_start_in_time(
        self, service: _Service, ticket: SlotRequest, now: float
    ) -> bool:
        queue = service.queue_by_team.get(ticket.team)
        if not queue:
            return False
        slots = 0.0
        rate = 0.0
        for target in service.target_by_id.values():
            slots += target.grant.slots
            if target.health.latency_s > 0:
                rate += target.grant.slots / target.health.latency_s
        if rate <= 0:
            return False
        share = self._share_of(service, ticket.team)
        return now + (len(queue) + 1) / (rate * share) > ticket.deadline

    def _share_of(self, service: _Service, team: TeamName) -> float:
        weights = {
            name: self.weight_by_team.get(name, 1.0)
            for name in service.queue_by_team
        }
        weights.setdefault(team, self.weight_by_team.get(team, 1.0))
        return weights[team] / sum(weights.values())

    def _serve(self, service: _Service, now: float) -> None:
        if now >= self._lease_until:
            return
        while service.waiting:
            team = self._next_team(service, now)
            if team is None:
                return
            ticket = service.queue_by_team[team][0]
            target = self._choose(service, ticket, now)
            if target is None:
                return
            self._pop(service, team)
            self._send_to(target, ticket)

    def _next_team(self, service: _Service, now: float) -> TeamName | None:
        self._expire(service, now)
        if not service.queue_by_team:
            return None
        credit = service.credit_by_team
        # The least served team by weight goes first; a newcomer starts
        # level with the others instead of with old credit.
        level = min(
            (credit[team] for team in service.queue_by_team if team in credit),
            default=0.0,
        )
        for team in service.queue_by_team:
            credit.setdefault(team, level)
        return min(service.queue_by_team, key=lambda name: credit[name])

    def _choose(
        self, service: _Service, ticket: SlotRequest, now: float
    ) -> _Target | None:
        usable = [
            target
            for target in service.target_by_id.values()
            if not target.grant.is_leaving and target.free(now) > 0
        ]
        preferred = [
            target
            for target in usable
            if target.grant.target not in ticket.excluded_targets
            and not target.health.is_ejected(now)
        ]
        if preferred:
            return min(preferred, key=_expected_wait)
        # Resting targets serve only when there is nothing else, and not a
        # request that has just failed elsewhere.
        return usable[0] if usable and not ticket.excluded_targets else None

    def _send_to(self, target: _Target, ticket: SlotRequest) -> None:
        grant = target.grant
        if target.in_use >= grant.slots:
            raise InvariantError(
                1, f'target {grant.target!r} has no free slot here'
            )
        if grant.is_leaving:
            raise InvariantError(8, f'target {grant.target!r} is leaving')
        target.in_use += 1
        ticket.endpoint = Endpoint(
            grant.target,
            grant.incarnation,
            grant.address,
            grant.max_connections,
        )
        self._notify(ticket)

    def _pop(self, service: _Service, team: TeamName) -> None:
        queue = service.queue_by_team[team]
        queue.popleft()
        service.waiting -= 1
        weight = self.weight_by_team.get(team, 1.0)
        service.credit_by_team[team] += 1 / weight
        if not queue:
            service.queue_by_team.pop(team)
        if not service.queue_by_team:
            service.credit_by_team.clear()

    def _expire(self, service: _Service, now: float) -> None:
        for team, queue in list(service.queue_by_team.items()):
            late = [ticket for ticket in queue if now >= ticket.deadline]
            for ticket in late:
                queue.remove(ticket)
                service.waiting -= 1
                self._refuse(
                    ticket,
                    ErrorKind.DEADLINE_PASSED,
                    f'waited {now - ticket.arrived_at:.3f} s for a free slot',
                )
            if not queue:
                service.queue_by_team.pop(team)

    def _refuse(
        self, ticket: SlotRequest, kind: ErrorKind, detail: str
    ) -> None:
        ticket.error = CassiaholdError(kind, detail)
        self._notify(ticket)


_UNKNOWN_LATENCY_S: typing.Final = 0.001


def _expected_wait(target: _Target) -> float:
    latency_s = target.health.latency_s or _UNKNOWN_LATENCY_S
    return latency_s * (target.in_use + 1) / target.grant.slots
