"""Tests of the health inferred from outcomes and progress of attempts."""

from state_fixtures import attempt_key

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome

W = WorkerId('w')


def record_failed_attempt(tracker: HealthTracker, job: str, now: float) -> None:
    tracker.record_outcome(
        W, attempt_key(job, 0, 0), AttemptOutcome.FAILED, now
    )


def test_several_jobs_failing_in_a_row_quarantine_a_worker() -> None:
    tracker = HealthTracker()
    for job in ('a', 'b', 'c'):
        assert not tracker.is_quarantined(W, 1.0)
        record_failed_attempt(tracker, job, 1.0)
    assert tracker.is_quarantined(W, 1.1)
    assert not tracker.is_quarantined(W, 9.0)
    record_failed_attempt(tracker, 'd', 9.0)
    assert tracker.is_quarantined(W, 9.1)


def test_repeated_failures_of_one_job_quarantine_no_worker() -> None:
    tracker = HealthTracker()
    for attempt in range(9):
        tracker.record_outcome(
            W, attempt_key('a', 0, 0, attempt), AttemptOutcome.FAILED, 1.0
        )
    assert not tracker.is_quarantined(W, 1.1)


def test_a_success_resets_the_count_of_failed_jobs() -> None:
    tracker = HealthTracker()
    record_failed_attempt(tracker, 'a', 1.0)
    record_failed_attempt(tracker, 'b', 1.0)
    assert tracker.is_suspect(W)
    tracker.record_outcome(W, attempt_key('c', 0, 0), AttemptOutcome.DONE, 1.0)
    assert not tracker.is_suspect(W)
    record_failed_attempt(tracker, 'd', 1.0)
    assert not tracker.is_quarantined(W, 1.1)


def test_an_attempt_without_progress_is_stalled() -> None:
    tracker = HealthTracker()
    progressing, stalled = attempt_key('a', 0, 0), attempt_key('b', 0, 0)
    for tenth in range(40):
        now = tenth / 10
        tracker.record_progress(W, progressing, tenth, now)
        tracker.record_progress(W, stalled, 7, now)
    assert not tracker.is_stalled(progressing, 4.0)
    assert tracker.is_stalled(stalled, 4.0)


load_tests = function_tests(globals())
