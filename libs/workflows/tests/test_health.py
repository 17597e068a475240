"""Tests of the health inferred from outcomes and progress of attempts."""

import msgspec
from state_fixtures import attempt_key, worker_info

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome

WORKER = WorkerId('w')


def record_failed_attempt(
    tracker: HealthTracker, job: str, now: float, worker: WorkerId = WORKER
) -> None:
    tracker.record_outcome(
        worker, attempt_key(job, 0, 0), AttemptOutcome.FAILED, now
    )


def test_several_jobs_failing_in_a_row_quarantine_a_worker() -> None:
    tracker = HealthTracker()
    for job in ('a', 'b', 'c'):
        assert not tracker.is_quarantined(WORKER, 1.0)
        record_failed_attempt(tracker, job, 1.0)
    assert tracker.is_quarantined(WORKER, 1.1)
    assert not tracker.is_quarantined(WORKER, 9.0)
    record_failed_attempt(tracker, 'd', 9.0)
    assert tracker.is_quarantined(WORKER, 9.1)


def run_long_running_task(
    tracker: HealthTracker, job: str, started_at: float, duration_s: float
) -> None:
    """Let a long-running task fail after a time."""
    attempt = attempt_key(job, 0, 0)
    tracker.record_start(WORKER, attempt, started_at)
    tracker.record_outcome(
        WORKER,
        attempt,
        AttemptOutcome.FAILED,
        started_at + duration_s,
        is_long_running=True,
    )


def test_long_running_tasks_that_fail_now_and_then_blame_no_worker() -> None:
    # Their only worker was quarantined for 16 s after nearly each failure.
    tracker = HealthTracker()
    for number in range(12):
        run_long_running_task(tracker, f'j{number % 4}', number * 2.0, 6.0)
        assert not tracker.is_quarantined(WORKER, number * 2.0 + 6.1)
    assert not tracker.is_unreliable(WORKER)


def test_long_running_tasks_that_fail_at_once_quarantine_their_worker() -> None:
    tracker = HealthTracker()
    for job in ('a', 'b', 'c'):
        run_long_running_task(tracker, job, 1.0, 0.5)
    assert tracker.is_quarantined(WORKER, 1.6)


def test_failures_far_apart_are_not_in_a_row() -> None:
    tracker = HealthTracker()
    for number in range(9):
        record_failed_attempt(tracker, f'j{number}', number * 60.0)
        assert not tracker.is_quarantined(WORKER, number * 60.0 + 0.1)


def test_worker_that_fails_all_is_held_back_ever_longer() -> None:
    # Time in quarantine does not separate failures.
    tracker = HealthTracker()
    now = 0.0
    for job in ('a', 'b'):
        record_failed_attempt(tracker, job, now)
    held_back_s = []
    for number in range(5):
        record_failed_attempt(tracker, f'j{number}', now)
        quarantined_at = now
        while tracker.is_quarantined(WORKER, now):
            now += 0.5
        held_back_s.append(now - quarantined_at)
        now += 1.0
    assert held_back_s == [2.0, 4.0, 8.0, 16.0, 16.0]


def test_repeated_failures_of_one_job_quarantine_no_worker() -> None:
    tracker = HealthTracker()
    for attempt in range(9):
        tracker.record_outcome(
            WORKER, attempt_key('a', 0, 0, attempt), AttemptOutcome.FAILED, 1.0
        )
    assert not tracker.is_quarantined(WORKER, 1.1)


def test_a_success_resets_the_count_of_failed_jobs() -> None:
    tracker = HealthTracker()
    record_failed_attempt(tracker, 'a', 1.0)
    record_failed_attempt(tracker, 'b', 1.0)
    assert tracker.is_unreliable(WORKER)
    tracker.record_outcome(
        WORKER, attempt_key('c', 0, 0), AttemptOutcome.DONE, 1.0
    )
    assert not tracker.is_unreliable(WORKER)
    record_failed_attempt(tracker, 'd', 1.0)
    assert not tracker.is_quarantined(WORKER, 1.1)


def test_an_attempt_without_progress_is_stalled() -> None:
    tracker = HealthTracker()
    progressing, stalled = attempt_key('a', 0, 0), attempt_key('b', 0, 0)
    for tenth in range(40):
        now = tenth / 10
        tracker.record_progress(WORKER, progressing, tenth, now)
        tracker.record_progress(WORKER, stalled, 7, now)
    assert not tracker.is_stalled(progressing, 1.0, 4.0)
    assert tracker.is_stalled(stalled, 1.0, 4.0)


def test_bad_jobs_do_not_hold_back_all_workers_of_a_service() -> None:
    tracker = HealthTracker()
    workers = [
        msgspec.structs.replace(worker_info(name), service=service)
        for name, service in (
            ('u', 'other'),
            ('v', 'svc'),
            ('w', 'svc'),
            ('x', 'svc'),
        )
    ]
    for worker in workers:
        for job in ('a', 'b', 'c'):
            record_failed_attempt(tracker, job, 1.0, worker.id)
    assert len(tracker.held_back_workers(workers, 1.1)) == 1
    # The worker that fails again takes the place of the one held back.
    record_failed_attempt(tracker, 'd', 1.2, WorkerId('x'))
    assert tracker.held_back_workers(workers, 1.3) == {'x'}
    assert not tracker.held_back_workers(workers, 9.0)


def test_bad_worker_is_held_back_beside_a_good_one() -> None:
    tracker = HealthTracker()
    for job in ('a', 'b', 'c'):
        record_failed_attempt(tracker, job, 1.0)
    workers = [worker_info('v'), worker_info('w')]
    assert tracker.held_back_workers(workers, 1.1) == {WORKER}


def test_worker_in_use_after_a_stall_is_a_last_choice() -> None:
    tracker = HealthTracker()
    tracker.record_stall(WORKER, attempt_key('a', 0, 0), 1.0)
    assert not tracker.held_back_workers([worker_info('w')], 1.1)
    assert tracker.is_unreliable(WORKER)
    tracker.record_outcome(
        WORKER, attempt_key('a', 0, 0), AttemptOutcome.DONE, 1.2
    )
    assert not tracker.is_unreliable(WORKER)


def test_a_confirmed_start_shortens_the_next_pause_of_a_worker() -> None:
    tracker = HealthTracker()
    workers = [worker_info('w'), worker_info('x')]
    attempt = attempt_key('j', 0, 0)
    tracker.record_unanswered_start(WorkerId('w'), 0.0)
    assert tracker.held_back_workers(workers, 0.9) == {'w'}
    tracker.record_unanswered_start(WorkerId('w'), 1.0)
    assert tracker.held_back_workers(workers, 2.9) == {'w'}
    assert not tracker.held_back_workers(workers, 3.1)
    tracker.record_start(WorkerId('w'), attempt, 3.1)
    tracker.record_unanswered_start(WorkerId('w'), 4.0)
    assert not tracker.held_back_workers(workers, 5.1)


def test_starts_without_reply_never_hold_back_every_worker() -> None:
    tracker = HealthTracker()
    workers = [worker_info(name) for name in 'wxyz']
    for number in range(20):
        for worker in workers:
            tracker.record_unanswered_start(worker.id, float(number))
    assert len(tracker.held_back_workers(workers, 20.0)) == 2


load_tests = function_tests(globals())
