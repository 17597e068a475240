"""Tests of the split of a team's limit into quotas."""

from cassiahold.core.ids import DataCentre
from cassiahold.core.testing import function_tests
from cassiahold.policy.allotting import Want, is_short, split_by_need, unlocks

P, Q = DataCentre('p'), DataCentre('q')


def split_limit_of_two(limit: int, p: Want, q: Want) -> tuple[int, int]:
    parts = split_by_need((limit,), {P: p, Q: q})
    return parts[P][0], parts[Q][0]


def test_running_tasks_are_never_stopped_to_move_quota() -> None:
    """Regression: moving quota stopped tasks in the data centre giving it."""
    busy, waiting = Want((8,), (0,)), Want((0,), (100,))
    assert split_limit_of_two(10, busy, waiting) == (8, 2)


def test_two_gangs_never_get_half_of_their_requests() -> None:
    """Regression: two gangs that need 80 got 75 each and never started."""
    older = Want((0,), (80,), (80,), age_s=9.0)
    younger = Want((0,), (80,), (80,), age_s=1.0)
    assert split_limit_of_two(150, younger, older) == (70, 80)
    assert unlocks(
        {P: (70,), Q: (80,)}, {P: (75,), Q: (75,)}, {P: younger, Q: older}
    )


def test_quota_without_demand_is_split_evenly() -> None:
    assert split_limit_of_two(10, Want((0,), (0,)), Want((0,), (0,))) == (5, 5)
    assert split_limit_of_two(10, Want((1,), (1,)), Want((0,), (4,))) == (4, 6)


def test_a_lowered_limit_is_split_by_usage() -> None:
    assert split_limit_of_two(4, Want((6,), (0,)), Want((2,), (0,))) == (3, 1)


def test_the_parts_never_exceed_the_limit() -> None:
    for limit in range(20):
        for used in range(6):
            for waits in range(9):
                parts = split_limit_of_two(
                    limit, Want((used,), (waits,)), Want((3,), (1,))
                )
                assert sum(parts) == limit


def test_short_of_quota_means_waiting_for_the_limit() -> None:
    assert is_short((5,), Want((5,), (1,)))
    assert not is_short((6,), Want((5,), (1,)))
    assert not is_short((4,), Want((5,), (0,)))


load_tests = function_tests(globals())
