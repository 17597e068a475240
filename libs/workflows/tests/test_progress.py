"""Tests of when attempts without progress count as stalled."""

from state_fixtures import attempt_key

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, AttemptOutcome

SOUND = WorkerId('sound')
BAD = WorkerId('bad')
POLL_S = 0.5
FIVE_MINUTES_S = 300.0
EIGHT_HOURS_S = 8 * 3600.0


def run_task(
    tracker: HealthTracker,
    attempt: AttemptKey,
    work_s: float,
    expected_s: float,
    *,
    until_s: float,
    started_at: float = 0.0,
) -> float | None:
    """Poll the worker of a task; return when the attempt has stalled."""
    tracker.record_start(SOUND, attempt, started_at)
    polls = int(until_s / POLL_S)
    for poll in range(1, polls):
        elapsed_s = poll * POLL_S
        now = started_at + elapsed_s
        percent = min(int(elapsed_s / work_s * 100), 99)
        tracker.record_progress(SOUND, attempt, percent, now)
        if tracker.is_stalled(attempt, expected_s, now):
            return elapsed_s
    return None


def test_sound_tasks_of_any_length_are_not_stalled() -> None:
    # Those of more than 200 s were stopped again and again.
    for work_s in (5.0, FIVE_MINUTES_S, EIGHT_HOURS_S):
        for factor in (0.25, 1.0, 4.0):
            tracker = HealthTracker()
            stalled_at = run_task(
                tracker,
                attempt_key('j', 0, 0),
                work_s,
                work_s * factor,
                until_s=work_s,
            )
            assert stalled_at is None, (work_s, factor)


def test_task_that_takes_four_times_its_estimate_is_not_stalled() -> None:
    # A task that says 66 s and takes 264 s was never done.
    stalled_at = run_task(
        HealthTracker(), attempt_key('j', 0, 0), 264.0, 66.0, until_s=264.0
    )
    assert stalled_at is None


def test_long_task_with_a_far_too_short_estimate_is_done_in_the_end() -> None:
    tracker = HealthTracker()
    now = 0.0
    stalls = 0
    while stalls < 12:
        attempt = attempt_key('j', 0, 0, stalls + 1)
        stalled_after_s = run_task(
            tracker, attempt, EIGHT_HOURS_S, 1.0, until_s=3600, started_at=now
        )
        if stalled_after_s is None:
            break
        tracker.record_stall(SOUND, attempt, now + stalled_after_s)
        tracker.record_outcome(
            SOUND, attempt, AttemptOutcome.STOPPED, now + stalled_after_s
        )
        now += stalled_after_s
        stalls += 1
    assert stalls <= 8
    assert now <= EIGHT_HOURS_S / 40


def test_slow_task_does_not_blame_one_worker_after_the_other() -> None:
    tracker = HealthTracker()
    for number, worker in enumerate((SOUND, BAD), start=1):
        attempt = attempt_key('j', 0, 0, number)
        tracker.record_start(worker, attempt, 0.0)
        tracker.record_stall(worker, attempt, 3.0)
    assert tracker.is_quarantined(SOUND, 3.1)
    assert not tracker.is_quarantined(BAD, 3.1)


def test_short_task_on_a_worker_that_hangs_is_stalled_after_two_seconds() -> (
    None
):
    tracker = HealthTracker()
    attempt = attempt_key('j', 0, 0)
    tracker.record_start(BAD, attempt, 0.0)
    assert not tracker.is_stalled(attempt, 5.0, 1.9)
    assert tracker.is_stalled(attempt, 5.0, 2.0)


def test_wait_for_a_gang_is_not_taken_for_the_pace_of_a_task() -> None:
    tracker = HealthTracker()
    attempt = attempt_key('j', 0, 0)
    tracker.record_start(BAD, attempt, 0.0)
    for elapsed_s, percent in ((6.0, 0), (6.5, 10), (7.0, 20)):
        tracker.record_progress(BAD, attempt, percent, elapsed_s)
    assert not tracker.is_stalled(attempt, 5.0, 8.9)
    assert tracker.is_stalled(attempt, 5.0, 9.0)


def test_long_tasks_on_a_worker_that_hangs_all_are_stalled_as_soon() -> None:
    tracker = HealthTracker()
    short = [attempt_key(job, 0, 0) for job in ('a', 'b')]
    long = [attempt_key(job, 0, 0) for job in ('c', 'd')]
    for attempt in (*short, *long):
        tracker.record_start(BAD, attempt, 0.0)
    assert not tracker.is_stalled(long[0], FIVE_MINUTES_S, 2.0)
    for attempt in short:
        tracker.record_stall(BAD, attempt, 2.0)
    assert tracker.is_stalled(long[0], FIVE_MINUTES_S, 2.0)
    assert tracker.is_stalled(long[1], EIGHT_HOURS_S, 2.0)


def test_long_task_beside_stalled_ones_is_kept_while_another_works() -> None:
    tracker = HealthTracker()
    short = [attempt_key(job, 0, 0) for job in ('a', 'b', 'works')]
    long = attempt_key('c', 0, 0)
    for attempt in (*short, long):
        tracker.record_start(BAD, attempt, 0.0)
    for attempt in short[:2]:
        tracker.record_stall(BAD, attempt, 2.0)
    tracker.record_progress(BAD, short[2], 50, 2.1)
    assert not tracker.is_stalled(long, EIGHT_HOURS_S, 2.2)


def test_stalled_attempt_stays_so_until_it_ends() -> None:
    # Its stops may get no reply.
    tracker = HealthTracker()
    attempt = attempt_key('j', 0, 0)
    tracker.record_start(BAD, attempt, 0.0)
    tracker.record_stall(BAD, attempt, 2.0)
    assert tracker.is_stalled(attempt, 5.0, 2.1)
    tracker.record_stall(BAD, attempt, 2.1)
    following = attempt_key('j', 0, 0, 2)
    tracker.record_start(SOUND, following, 3.0)
    assert not tracker.is_stalled(following, 5.0, 6.9)
    assert tracker.is_stalled(following, 5.0, 7.0)


load_tests = function_tests(globals())
