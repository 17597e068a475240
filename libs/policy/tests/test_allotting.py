"""Tests of where a team's limit should lie."""

from cassiahold.core.ids import DataCentre
from cassiahold.core.testing import function_tests
from cassiahold.policy.quota_split import (
    CentreDemand,
    is_short_of_quota,
    split_limit,
    unblocks_oldest_job,
)

P, Q = DataCentre('p'), DataCentre('q')


def split(limit: int, p: CentreDemand, q: CentreDemand) -> tuple[int, int]:
    parts = split_limit((limit,), {P: p, Q: q})
    return parts[P][0], parts[Q][0]


def test_what_runs_is_never_taken_away_to_move_a_limit() -> None:
    """Regression: a move stopped running tasks of the giver."""
    busy, waiting = CentreDemand((8,), (0,)), CentreDemand((0,), (100,))
    assert split(10, busy, waiting) == (8, 2)


def test_gangs_never_get_half_each() -> None:
    """Regression: two gangs of 80 got 75 each and never started."""
    older = CentreDemand((0,), (80,), (80,), oldest_wait_s=9.0)
    younger = CentreDemand((0,), (80,), (80,), oldest_wait_s=1.0)
    assert split(150, younger, older) == (70, 80)
    assert unblocks_oldest_job(
        {P: (70,), Q: (80,)}, {P: (75,), Q: (75,)}, {P: younger, Q: older}
    )


def test_what_nobody_wants_is_split_evenly() -> None:
    assert split(10, CentreDemand((0,), (0,)), CentreDemand((0,), (0,))) == (
        5,
        5,
    )
    assert split(10, CentreDemand((1,), (1,)), CentreDemand((0,), (4,))) == (
        4,
        6,
    )


def test_a_lowered_limit_is_split_by_what_runs() -> None:
    assert split(4, CentreDemand((6,), (0,)), CentreDemand((2,), (0,))) == (
        3,
        1,
    )


def test_the_parts_never_exceed_the_limit() -> None:
    for limit in range(20):
        for used in range(6):
            for waits in range(9):
                parts = split(
                    limit,
                    CentreDemand((used,), (waits,)),
                    CentreDemand((3,), (1,)),
                )
                assert sum(parts) == limit


def test_short_means_waiting_for_the_limit() -> None:
    assert is_short_of_quota((5,), CentreDemand((5,), (1,)))
    assert not is_short_of_quota((6,), CentreDemand((5,), (1,)))
    assert not is_short_of_quota((4,), CentreDemand((5,), (0,)))


load_tests = function_tests(globals())
