"""Tests of what is learned of workers from the ends of runs."""

from state_fixtures import run

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.health import HealthBook
from cassiahold.workflows.model import RunEnd

W = WorkerId('w')


def fail(book: HealthBook, job: str, now: float) -> None:
    book.ended(W, run(job, 0, 0), RunEnd.FAILED, now)


def test_several_failing_jobs_in_a_row_rest_a_worker() -> None:
    book = HealthBook()
    for job in ('a', 'b', 'c'):
        assert not book.is_quarantined(W, 1.0)
        fail(book, job, 1.0)
    assert book.is_quarantined(W, 1.1)
    assert not book.is_quarantined(W, 9.0)
    fail(book, 'd', 9.0)
    assert book.is_quarantined(W, 9.1)


def test_a_job_that_fails_everywhere_blames_no_worker() -> None:
    book = HealthBook()
    for attempt in range(9):
        book.ended(W, run('a', 0, 0, attempt), RunEnd.FAILED, 1.0)
    assert not book.is_quarantined(W, 1.1)


def test_a_success_clears_the_suspicion() -> None:
    book = HealthBook()
    fail(book, 'a', 1.0)
    fail(book, 'b', 1.0)
    assert book.is_suspect(W)
    book.ended(W, run('c', 0, 0), RunEnd.DONE, 1.0)
    assert not book.is_suspect(W)
    fail(book, 'd', 1.0)
    assert not book.is_quarantined(W, 1.1)


def test_a_run_that_stands_still_is_noticed() -> None:
    book = HealthBook()
    moving, still = run('a', 0, 0), run('b', 0, 0)
    for tenth in range(40):
        now = tenth / 10
        book.record_progress(W, moving, tenth, now)
        book.record_progress(W, still, 7, now)
    assert not book.is_stalled(moving, 4.0)
    assert book.is_stalled(still, 4.0)


load_tests = function_tests(globals())
