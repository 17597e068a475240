"""Seeded random histories of a small cell with simulated workers.

No task runs twice at a time or again after its acknowledged end, no worker is
over its capacity, and once the faults are over every job is finished.
"""

from model_histories import HistoryKind, run_history

from cassiahold.core.testing import function_tests

HISTORY_COUNT = 12
MIN_STARTS = 300
# No start is tried again for so long.
SLOW_RESTART_S = 2.5


def check_histories(kind: HistoryKind) -> None:
    """Check some histories that differ by their seed."""
    start_count = 0
    for seed in range(HISTORY_COUNT):
        result = run_history(seed, kind)
        assert not result.violations, f'seed {seed}: {result.violations}'
        start_count += result.start_count
    assert start_count >= MIN_STARTS


def test_histories_with_crashes_departures_and_changes_of_leader() -> None:
    check_histories(
        HistoryKind(is_late=False, cuts=False, min_restart_s=SLOW_RESTART_S)
    )


def test_histories_with_late_requests_and_workers_that_are_cut_off() -> None:
    check_histories(HistoryKind(departures=False, min_restart_s=SLOW_RESTART_S))


def test_history_depends_only_on_its_seed() -> None:
    kind = HistoryKind()
    assert run_history(1, kind).steps == run_history(1, kind).steps


load_tests = function_tests(globals())
