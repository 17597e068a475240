"""Tests of the times at which refused callers are told to return."""

import collections
import math
import random

from cassiahold.core.conf.settings import RetrySettings
from cassiahold.core.exceptions import RetryHint
from cassiahold.core.ids import TeamName
from cassiahold.core.testing import function_tests
from cassiahold.routing.retry_after import (
    MAX_FLOWS,
    RefusedCaller,
    ReturnSchedule,
    time_until_leader_s,
    whole_seconds,
)

RED, BLUE = TeamName('red'), TeamName('blue')
SETTINGS = RetrySettings()
BUSY = RetryHint(earliest_s=1.0, drain_rate_per_s=100.0)
NOW = 50.0


def new_schedule() -> ReturnSchedule:
    return ReturnSchedule(SETTINGS, random.Random(1))


def delays(
    schedule: ReturnSchedule,
    count: int,
    caller: RefusedCaller,
    hint: RetryHint = BUSY,
) -> list[float]:
    decisions = [schedule.decide(hint, caller, NOW) for _ in range(count)]
    return [
        decision.delay_s
        for decision in decisions
        if decision.delay_s is not None
    ]


def test_refused_callers_do_not_all_return_in_the_same_second() -> None:
    given = delays(new_schedule(), 1000, RefusedCaller(RED))
    returns_by_second = collections.Counter(int(delay) for delay in given)
    assert set(returns_by_second) == set(range(1, 21))
    assert all(45 <= count <= 55 for count in returns_by_second.values())


def test_nobody_returns_before_the_cause_is_gone() -> None:
    assert min(delays(new_schedule(), 300, RefusedCaller(RED))) >= 1.0


def test_nobody_returns_after_the_deadline() -> None:
    caller = RefusedCaller(RED, time_left_s=3.0)
    for rate_per_s in (0.0, 10.0, 100.0):
        hint = RetryHint(earliest_s=1.0, drain_rate_per_s=rate_per_s)
        given = delays(new_schedule(), 1000, caller, hint)
        assert max(given) < 3.0


def test_long_queue_of_returns_makes_nobody_give_up() -> None:
    """Those before may give up, so a later turn proves nothing."""
    caller = RefusedCaller(RED, time_left_s=3.0)
    given = delays(new_schedule(), 1000, caller)
    assert len(given) == 1000
    assert min(given[200:]) >= 1.95


def test_caller_without_enough_time_is_told_so() -> None:
    schedule = new_schedule()
    hint = RetryHint(earliest_s=2.0)
    decision = schedule.decide(hint, RefusedCaller(RED, 1.9), NOW)
    assert decision.delay_s is None
    assert decision.earliest_s == 2.0
    slow = RetryHint(earliest_s=1.0, service_s=1.0)
    assert schedule.decide(slow, RefusedCaller(RED, 1.9), NOW).delay_s is None


def test_burst_of_one_team_does_not_delay_another_team() -> None:
    schedule = new_schedule()
    delays(schedule, 1000, RefusedCaller(RED))
    assert delays(schedule, 1, RefusedCaller(BLUE))[0] < 1.1


def test_urgent_callers_return_before_others() -> None:
    schedule = new_schedule()
    delays(schedule, 500, RefusedCaller(RED))
    assert max(delays(schedule, 20, RefusedCaller(RED, 1.9))) < 1.9


def test_callers_who_have_waited_long_return_before_others() -> None:
    schedule = new_schedule()
    delays(schedule, 500, RefusedCaller(RED, 20.0))
    waited = RefusedCaller(RED, time_left_s=10.0, waited_s=10.0)
    assert max(delays(schedule, 20, waited)) < 2.0


def test_larger_share_returns_sooner() -> None:
    schedule = new_schedule()
    light, heavy = [], []
    for _ in range(200):
        light += delays(schedule, 1, RefusedCaller(RED))
        heavy += delays(schedule, 1, RefusedCaller(BLUE, weight=3.0))
    assert max(heavy) < max(light) / 1.5


def test_pause_is_capped_without_a_deadline() -> None:
    hint = RetryHint(earliest_s=500.0)
    for capped in (hint, BUSY):
        given = delays(new_schedule(), 9000, RefusedCaller(RED), capped)
        assert len(given) == 9000
        assert max(given) <= SETTINGS.max_delay_s
        assert len({int(delay) for delay in given[-6000:]}) >= 15


def test_names_of_teams_do_not_fill_the_memory() -> None:
    schedule = new_schedule()
    for number in range(3 * MAX_FLOWS):
        delays(schedule, 1, RefusedCaller(TeamName(str(number))))
    assert len(schedule._flow_by_key) <= MAX_FLOWS + 2


def test_bookings_of_the_past_delay_nobody() -> None:
    schedule = new_schedule()
    delays(schedule, 1000, RefusedCaller(RED))
    later = schedule.decide(BUSY, RefusedCaller(RED), NOW + 60)
    assert later.delay_s is not None
    assert later.delay_s < 1.1


def test_first_election_ends_within_its_longest_timeout() -> None:
    assert math.isclose(time_until_leader_s(0.5, 0.7), 0.9)


def test_long_outage_brings_longer_pauses() -> None:
    assert time_until_leader_s(2.0, 0.7) == 0.5
    assert time_until_leader_s(20.0, 0.7) == 5.0


def test_pause_on_the_wire_is_neither_too_early_nor_too_late() -> None:
    assert whole_seconds(0.2, 0.1, 3.0) == 1
    assert whole_seconds(1.0, 0.1, 3.0) == 1
    assert whole_seconds(2.1, 2.05, 3.0) is None
    assert whole_seconds(0.2, 0.1, 1.0) is None
    assert whole_seconds(0.2, 0.1, math.inf) == 1


def test_caller_who_reads_whole_seconds_gets_any_that_is_useful() -> None:
    """Rounded up, the pause of 1.35 s would end after the deadline."""
    assert whole_seconds(1.35, 0.55, 1.8) == 1
    assert whole_seconds(1.35, 1.1, 1.8) is None


load_tests = function_tests(globals())
