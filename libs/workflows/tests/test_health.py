"""Tests of what is learned of workers from the ends of runs."""

from workbench import run

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome

W = WorkerId('w')


def fail(book: HealthTracker, job: str, now: float) -> None:
    book.record_outcome(W, run(job, 0, 0), AttemptOutcome.FAILED, now)


def test_several_failing_jobs_in_a_row_rest_a_worker() -> None:
    book = HealthTracker()
    for job in ('a', 'b', 'c'):
        assert not book.is_resting(W, 1.0)
        fail(book, job, 1.0)
    assert book.is_resting(W, 1.1)
    assert not book.is_resting(W, 9.0)
    fail(book, 'd', 9.0)
    assert book.is_resting(W, 9.1)


def test_a_job_that_fails_everywhere_blames_no_worker() -> None:
    book = HealthTracker()
    for attempt in range(9):
        book.record_outcome(
            W, run('a', 0, 0, attempt), AttemptOutcome.FAILED, 1.0
        )
    assert not book.is_resting(W, 1.1)


def test_a_success_clears_the_suspicion() -> None:
    book = HealthTracker()
    fail(book, 'a', 1.0)
    fail(book, 'b', 1.0)
    assert book.is_suspect(W)
    book.record_outcome(W, run('c', 0, 0), AttemptOutcome.DONE, 1.0)
    assert not book.is_suspect(W)
    fail(book, 'd', 1.0)
    assert not book.is_resting(W, 1.1)


def test_a_run_that_stands_still_is_noticed() -> None:
    book = HealthTracker()
    moving, still = run('a', 0, 0), run('b', 0, 0)
    for tenth in range(40):
        now = tenth / 10
        book.progressed(W, moving, tenth, now)
        book.progressed(W, still, 7, now)
    assert not book.is_stalled(moving, 4.0)
    assert book.is_stalled(still, 4.0)


load_tests = function_tests(globals())
