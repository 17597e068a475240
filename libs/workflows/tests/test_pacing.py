"""Tests of the pause between placement passes."""

from cassiahold.core.testing import function_tests
from cassiahold.workflows.pacing import (
    MAX_PLANNING_SHARE,
    PAUSE_WITH_CHANGES_S,
    PAUSE_WITHOUT_CHANGES_S,
    pause_after_pass,
)


def test_short_passes_follow_changes_quickly() -> None:
    assert pause_after_pass(0.0001, has_changes=True) == PAUSE_WITH_CHANGES_S
    assert (
        pause_after_pass(0.0001, has_changes=False) == PAUSE_WITHOUT_CHANGES_S
    )


def test_backlog_does_not_take_the_leader_away_from_its_callers() -> None:
    """A burst of wide steps: each pass takes 13 ms and changes the state."""
    pass_s = 0.013
    pause_s = pause_after_pass(pass_s, has_changes=True)
    assert pass_s / pause_s <= MAX_PLANNING_SHARE


load_tests = function_tests(globals())
