"""Tests of the split of a team's limit into quotas."""

from cassiahold.core.ids import DataCentre
from cassiahold.core.testing import function_tests
from cassiahold.policy.quota_split import (
    CentreDemand,
    is_short_of_quota,
    split_limit,
    unblocks_oldest_job,
)

P, Q = DataCentre('p'), DataCentre('q')


def split_limit_of_two(
    limit: int, p: CentreDemand, q: CentreDemand
) -> tuple[int, int]:
    parts = split_limit((limit,), {P: p, Q: q})
    return parts[P][0], parts[Q][0]


def test_running_tasks_are_never_stopped_to_move_quota() -> None:
    """Regression: moving quota stopped tasks in the data centre giving it."""
    busy, waiting = CentreDemand((8,), (0,)), CentreDemand((0,), (100,))
    assert split_limit_of_two(10, busy, waiting) == (8, 2)


def test_two_gangs_never_get_half_of_their_requests() -> None:
    """Regression: two gangs that need 80 got 75 each and never started."""
    older = CentreDemand((0,), (80,), (80,), oldest_wait_s=9.0)
    younger = CentreDemand((0,), (80,), (80,), oldest_wait_s=1.0)
    assert split_limit_of_two(150, younger, older) == (70, 80)
    assert unblocks_oldest_job(
        {P: (70,), Q: (80,)}, {P: (75,), Q: (75,)}, {P: younger, Q: older}
    )


def test_quota_without_demand_is_split_evenly() -> None:
    assert split_limit_of_two(
        10, CentreDemand((0,), (0,)), CentreDemand((0,), (0,))
    ) == (5, 5)
    assert split_limit_of_two(
        10, CentreDemand((1,), (1,)), CentreDemand((0,), (4,))
    ) == (4, 6)


def test_a_lowered_limit_is_split_by_usage() -> None:
    assert split_limit_of_two(
        4, CentreDemand((6,), (0,)), CentreDemand((2,), (0,))
    ) == (3, 1)


def test_the_parts_never_exceed_the_limit() -> None:
    for limit in range(20):
        for used in range(6):
            for waits in range(9):
                parts = split_limit_of_two(
                    limit,
                    CentreDemand((used,), (waits,)),
                    CentreDemand((3,), (1,)),
                )
                assert sum(parts) == limit


def test_short_of_quota_means_waiting_for_the_limit() -> None:
    assert is_short_of_quota((5,), CentreDemand((5,), (1,)))
    assert not is_short_of_quota((6,), CentreDemand((5,), (1,)))
    assert not is_short_of_quota((4,), CentreDemand((5,), (0,)))


load_tests = function_tests(globals())
