"""Tests of where a team's limit should lie."""

from cassiahold.core.ids import DataCentre
from cassiahold.core.testing import function_tests
from cassiahold.policy.allotting import Want, is_short, split_by_need, unlocks

P, Q = DataCentre('p'), DataCentre('q')


def split_limit_of_two(limit: int, p: Want, q: Want) -> tuple[int, int]:
    parts = split_by_need((limit,), {P: p, Q: q})
    return parts[P][0], parts[Q][0]


def test_what_runs_is_never_taken_away_to_move_a_limit() -> None:
    """Regression: a move stopped running tasks of the giver."""
    busy, waiting = Want((8,), (0,)), Want((0,), (100,))
    assert split_limit_of_two(10, busy, waiting) == (8, 2)


def test_gangs_never_get_half_each() -> None:
    """Regression: two gangs of 80 got 75 each and never started."""
    older = Want((0,), (80,), (80,), age_s=9.0)
    younger = Want((0,), (80,), (80,), age_s=1.0)
    assert split_limit_of_two(150, younger, older) == (70, 80)
    assert unlocks(
        {P: (70,), Q: (80,)}, {P: (75,), Q: (75,)}, {P: younger, Q: older}
    )


def test_what_nobody_wants_is_split_evenly() -> None:
    assert split_limit_of_two(10, Want((0,), (0,)), Want((0,), (0,))) == (5, 5)
    assert split_limit_of_two(10, Want((1,), (1,)), Want((0,), (4,))) == (4, 6)


def test_a_lowered_limit_is_split_by_what_runs() -> None:
    assert split_limit_of_two(4, Want((6,), (0,)), Want((2,), (0,))) == (3, 1)


def test_the_parts_never_exceed_the_limit() -> None:
    for limit in range(20):
        for used in range(6):
            for waits in range(9):
                parts = split_limit_of_two(
                    limit, Want((used,), (waits,)), Want((3,), (1,))
                )
                assert sum(parts) == limit


def test_short_means_waiting_for_the_limit() -> None:
    assert is_short((5,), Want((5,), (1,)))
    assert not is_short((6,), Want((5,), (1,)))
    assert not is_short((4,), Want((5,), (0,)))


load_tests = function_tests(globals())
