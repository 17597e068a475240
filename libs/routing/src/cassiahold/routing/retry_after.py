"""Decides when a refused caller should try again.

A refused caller gets a time at which a try has a fair chance: not before the
cause of the refusal is expected to be gone, and not at the same time as the
other refused callers.  Callers are spread by weighted fair queueing over
virtual flows: each team has one flow for urgent callers and one for others,
and returns are booked on all flows together at a share of the drain rate.  A
caller whose turn would come after its deadline returns in the second half of
its time.  Nothing here reads a clock; every method takes the current time as
an argument.
"""

import math
import random
import typing

import msgspec

from cassiahold.core.conf.settings import RetrySettings
from cassiahold.core.exceptions import RetryHint
from cassiahold.core.ids import TeamName

# Of a flow of callers who are urgent or have waited long; others have 1.
URGENT_WEIGHT: typing.Final = 4.0
# Names of teams may come from callers without a valid key.
MAX_FLOWS: typing.Final = 1000
_OTHER_TEAMS: typing.Final = TeamName('')
# Of the drain rate; new callers need the rest.
RETURN_SHARE: typing.Final = 0.5
# Of the longest pause, when the cause lasts longer.
MIN_CAPPED_SHARE: typing.Final = 0.5
# Election timeouts are random between one and two of the configured ones.
MAX_ELECTION_TIMEOUTS: typing.Final = 2.0
# The longer an outage lasts, the less likely it ends within the next second.
OUTAGE_SHARE: typing.Final = 0.25


class RefusedCaller(msgspec.Struct, frozen=True):
    """A caller whose request was refused.

    Attributes:
        team: The team, or any name that tells its callers from others.
        time_left_s: Time until the caller's deadline, infinite without one.
        waited_s: Time since the caller's first try.
        weight: Share of the caller's team.
    """

    team: TeamName
    time_left_s: float = math.inf
    waited_s: float = 0.0
    weight: float = 1.0


class RetryDecision(msgspec.Struct, frozen=True):
    """The pause before the next try; None if no try can be in time.

    ``earliest_s`` is the time before which a try was not expected to be
    served.
    """

    delay_s: float | None
    earliest_s: float


class _Window(msgspec.Struct, frozen=True):
    """The pauses after which a try of one caller has a fair chance."""

    earliest_s: float
    end_s: float


class _Flow(msgspec.Struct):
    """Returns booked for one team in one class of urgency."""

    weight: float
    next_at: float


class ReturnSchedule:
    """Books the returns of the callers that one resource has refused.

    Not thread-safe.
    """

    def __init__(self, settings: RetrySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._flow_by_key: dict[tuple[TeamName, bool], _Flow] = {}

    def decide(
        self, hint: RetryHint, caller: RefusedCaller, now: float
    ) -> RetryDecision:
        """Return when the caller should try again, and book its return.

        Without a time before the caller's deadline nothing is booked.
        """
        settings = self._settings
        earliest_s = max(hint.earliest_s, settings.min_delay_s)
        service_s = max(hint.service_s, settings.min_delay_s)
        latest_s = caller.time_left_s - service_s
        if earliest_s >= latest_s:
            return RetryDecision(None, earliest_s)
        if earliest_s >= settings.max_delay_s:
            delay_s = settings.max_delay_s * self._rng.uniform(
                MIN_CAPPED_SHARE, 1
            )
        else:
            window = _Window(earliest_s, min(latest_s, settings.max_delay_s))
            delay_s = self._book(hint, caller, window, now)
        return RetryDecision(delay_s, earliest_s)

    def _book(
        self,
        hint: RetryHint,
        caller: RefusedCaller,
        window: '_Window',
        now: float,
    ) -> float:
        flow = self._open_flow(caller, now)
        rate_per_s = hint.drain_rate_per_s or self._settings.default_rate_per_s
        spacing_s = 1 / (RETURN_SHARE * rate_per_s * self._share(flow))
        start_s = max(flow.next_at - now, window.earliest_s)
        if start_s < window.end_s:
            flow.next_at = now + start_s + spacing_s
            return self._rng.uniform(
                start_s, min(start_s + spacing_s, window.end_s)
            )
        # Others may give up, and the backlog is shortest towards the end.
        middle_s = (window.earliest_s + window.end_s) / 2
        return self._rng.uniform(middle_s, window.end_s)

    def _open_flow(self, caller: RefusedCaller, now: float) -> _Flow:
        self._flow_by_key = {
            key: flow
            for key, flow in self._flow_by_key.items()
            if flow.next_at > now
        }
        is_urgent = _comes_first(caller, self._settings)
        weight = caller.weight
        if is_urgent:
            weight *= URGENT_WEIGHT
        key = (caller.team, is_urgent)
        is_new = key not in self._flow_by_key
        if is_new and len(self._flow_by_key) >= MAX_FLOWS:
            key = (_OTHER_TEAMS, is_urgent)
        return self._flow_by_key.setdefault(key, _Flow(weight, now))

    def _share(self, flow: _Flow) -> float:
        weights = sum(other.weight for other in self._flow_by_key.values())
        return flow.weight / weights


def time_until_leader_s(silence_s: float, election_s: float) -> float:
    """Return the expected time until a group without leader has one.

    ``silence_s`` is the time since a leader last replied, ``election_s`` the
    group's shortest election timeout.  A first election ends within
    ``MAX_ELECTION_TIMEOUTS``; afterwards something else is wrong, and the
    time grows with the outage.
    """
    election_left_s = MAX_ELECTION_TIMEOUTS * election_s - silence_s
    if election_left_s > 0:
        return election_left_s
    return max(OUTAGE_SHARE * silence_s, election_s / 2)


def whole_seconds(
    delay_s: float, earliest_s: float, time_left_s: float
) -> int | None:
    """Return a pause in whole seconds, None if none is useful.

    It is rounded up.  If that is not before the caller's deadline, it is the
    last whole second from ``earliest_s`` that is.
    """
    seconds = math.ceil(delay_s)
    if seconds >= time_left_s:
        seconds = math.ceil(time_left_s) - 1
    return seconds if seconds >= earliest_s else None


def _comes_first(caller: RefusedCaller, settings: RetrySettings) -> bool:
    has_waited_long = caller.waited_s >= caller.time_left_s
    return has_waited_long or caller.time_left_s < settings.urgent_time_left_s
