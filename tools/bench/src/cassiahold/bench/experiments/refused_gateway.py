"""A simulated gateway whose refused callers return after a pause.

The dispatcher, the choice of the pause and the client's handling of it are the
product's; callers, targets, the outage of the leader and time are simulated.
Callers and policies differ only in the pause after a refusal.
"""

import collections
import heapq
import itertools
import math
import random
import typing

import msgspec

from cassiahold.client.retries import Retries
from cassiahold.core.conf.settings import RetrySettings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind, RetryAfter
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.core.metrics import NullMetrics
from cassiahold.gateway.refusals import RefusalPolicy
from cassiahold.routing.dispatcher import Dispatcher
from cassiahold.routing.refusal_hints import RefusalHints
from cassiahold.routing.retry_after import RefusedCaller
from cassiahold.routing.slots import SlotGrant, SlotRequest

SERVICE: typing.Final = ServiceName('prices')
TICK_S: typing.Final = 0.05
CONSTANT_PAUSE_S: typing.Final = 1.0


class Caller(msgspec.Struct):
    """A caller that repeats its request until it is served or gives up."""

    team: TeamName
    arrives_at: float
    deadline: float
    refused_tries: int = 0
    served_at: float = math.nan
    retries: Retries | None = None

    @property
    def is_served(self) -> bool:
        """Return whether a response came before the deadline."""
        return not math.isnan(self.served_at)


class PausePolicy(typing.Protocol):
    """Chooses the pause after a refusal; None to give up."""

    def pause_s(
        self, caller: Caller, error: CassiaholdError, now: float
    ) -> float | None:
        """Return the pause before the caller's next try."""


class ConstantPause:
    """Every refusal says 1 s, as the product did before."""

    def pause_s(
        self, caller: Caller, error: CassiaholdError, now: float
    ) -> float | None:
        """Return 1 s if that is before the deadline."""
        is_in_time = now + CONSTANT_PAUSE_S < caller.deadline
        return CONSTANT_PAUSE_S if is_in_time else None


class OwnBackoff:
    """No refusal has a time: callers back off exponentially with jitter."""

    def pause_s(
        self, caller: Caller, error: CassiaholdError, now: float
    ) -> float | None:
        """Return the pause of the product's client without a time."""
        return _client_pause_s(
            caller, CassiaholdError(ErrorKind.OVERLOADED, ''), now
        )


class ProductPause:
    """The product's pauses, as exact times or in whole seconds."""

    def __init__(self, seed: int, *, is_exact: bool) -> None:
        self._is_exact = is_exact
        self._policy = RefusalPolicy(
            RetrySettings(), NullMetrics(), random.Random(seed)
        )

    def pause_s(
        self, caller: Caller, error: CassiaholdError, now: float
    ) -> float | None:
        """Return the pause that the product's client takes."""
        self._policy.apply(
            error,
            RefusedCaller(
                caller.team, caller.deadline - now, now - caller.arrives_at
            ),
            now,
        )
        if error.retry_after is not None and not self._is_exact:
            whole_s = error.retry_after.whole_s
            error.retry_after = None if whole_s is None else RetryAfter(whole_s)
        return _client_pause_s(caller, error, now)


def _client_pause_s(
    caller: Caller, error: CassiaholdError, now: float
) -> float | None:
    if caller.retries is None:
        caller.retries = Retries(
            caller.deadline, random.Random(str(caller.arrives_at))
        )
    try:
        return caller.retries.pause_s(error, now)
    except CassiaholdError:
        return None


class GatewayShape(msgspec.Struct, frozen=True, kw_only=True):
    """Size of the simulated gateway.

    Attributes:
        slots: Requests that are served at a time.
        work_s: Mean time of service, exponentially distributed.
        queue_length: Waiting requests of one team.
        election_s: Shortest election timeout of the group.
        outage_at: Time at which the leader is lost; infinite for never.
        outage_s: Time until there is a new leader.
    """

    slots: int
    work_s: float
    queue_length: int
    election_s: float
    outage_at: float = math.inf
    outage_s: float = 0.0

    @property
    def capacity_per_s(self) -> float:
        """Return how many requests are served per second."""
        return self.slots / self.work_s


class SimulatedGateway:
    """One gateway and its callers in simulated time."""

    def __init__(
        self, shape: GatewayShape, policy: PausePolicy, seed: int
    ) -> None:
        self._shape = shape
        self._policy = policy
        self._rng = random.Random(seed)
        self._now = 0.0
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Any]] = []
        self._refusal_hints = RefusalHints(
            shape.election_s, RetrySettings().default_rate_per_s
        )
        self._dispatcher = Dispatcher(shape.queue_length, self._handle_decision)
        grant = SlotGrant(
            TargetId('x'), 1, SERVICE, 'address', shape.slots, shape.slots
        )
        # Granted in the past, so that the target is past its slow start.
        self._dispatcher.renew_grants([grant], math.inf, -60.0)

    def simulate(self, callers: list[Caller]) -> None:
        """Let all callers be served or give up."""
        for caller in callers:
            self._schedule(caller.arrives_at, caller)
        next_tick_at = 0.0
        while self._events:
            while next_tick_at <= self._events[0][0]:
                self._now = next_tick_at
                self._dispatcher.tick(next_tick_at)
                next_tick_at += TICK_S
            now, _, event = heapq.heappop(self._events)
            self._now = now
            if isinstance(event, Caller):
                self._try(event)
            else:
                self._complete(event)

    def _schedule(self, at: float, event: typing.Any) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), event))

    def _try(self, caller: Caller) -> None:
        silence_s = self._now - self._shape.outage_at
        if 0 <= silence_s < self._shape.outage_s:
            error = CassiaholdError(ErrorKind.NO_QUORUM, 'no leader')
            self._refusal_hints.complete(error, silence_s, self._now)
            self._refuse(caller, error)
            return
        self._dispatcher.submit(
            SlotRequest(
                SERVICE,
                caller.team,
                caller.deadline,
                self._now,
                context=caller,
            ),
            self._now,
        )

    def _handle_decision(self, request: SlotRequest) -> None:
        if request.error is not None:
            self._refuse(request.context, request.error)
            return
        work_s = self._rng.expovariate(1 / self._shape.work_s)
        self._schedule(self._now + work_s, (request, work_s))

    def _refuse(self, caller: Caller, error: CassiaholdError) -> None:
        caller.refused_tries += 1
        pause_s = self._policy.pause_s(caller, error, self._now)
        if pause_s is not None:
            self._schedule(self._now + pause_s, caller)

    def _complete(self, event: tuple[SlotRequest, float]) -> None:
        request, work_s = event
        caller = request.context
        if self._now <= caller.deadline:
            caller.served_at = self._now
        self._refusal_hints.record_reply(self._now)
        if request.endpoint is not None:
            self._dispatcher.complete(
                SERVICE, request.endpoint, self._now, latency_s=work_s
            )


class CallerOutcome(msgspec.Struct, frozen=True):
    """What the callers of one load got under one policy.

    Parts are fractions of the callers; ``worst_teams_part`` is the mean of
    the worst tenth of the teams.  Waits are from the first try to the
    response.
    """

    served_part: float
    refused_tries: int
    worst_teams_part: float
    median_wait_s: float
    late_wait_s: float


def summarise(callers: list[Caller]) -> CallerOutcome:
    """Return the outcome of simulated callers."""
    callers_by_team: dict[TeamName, list[Caller]]
    callers_by_team = collections.defaultdict(list)
    for caller in callers:
        callers_by_team[caller.team].append(caller)
    parts = sorted(map(_served_part, callers_by_team.values()))
    worst = parts[: max(len(parts) // 10, 1)]
    waits = sorted(
        caller.served_at - caller.arrives_at
        for caller in callers
        if caller.is_served
    )
    return CallerOutcome(
        _served_part(callers),
        sum(caller.refused_tries for caller in callers),
        sum(worst) / len(worst),
        waits[len(waits) // 2],
        waits[len(waits) * 9 // 10],
    )


def _served_part(callers: list[Caller]) -> float:
    return sum(caller.is_served for caller in callers) / len(callers)
