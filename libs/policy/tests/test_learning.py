"""Tests of resource estimates and of failure tracking."""

from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.policy.estimates import MIN_SAMPLES, Estimator
from cassiahold.policy.failure_tracking import FailureTracker

RED = TeamName('red')
DECLARED = Resources(10_000, 10_000)


def record_finished(estimator: Estimator, used: Resources, times: int) -> None:
    for _ in range(times):
        estimator.record_finished_task(RED, 'work', used, 2.0)


def estimate(estimator: Estimator) -> Resources:
    return estimator.estimate_resources(RED, 'work', DECLARED)


def test_the_declared_size_counts_until_enough_samples() -> None:
    estimator = Estimator()
    record_finished(estimator, Resources(1000, 1000), MIN_SAMPLES - 1)
    assert estimate(estimator) == DECLARED
    record_finished(estimator, Resources(1000, 1000), 1)
    assert estimate(estimator) == Resources(1150, 1150)


def test_usage_above_the_declared_size_counts_at_once() -> None:
    estimator = Estimator()
    estimator.record_usage(RED, 'work', Resources(20_000, 5000))
    assert estimate(estimator) == Resources(20_000, 10_000)


def test_headroom_does_not_exceed_the_declared_size() -> None:
    """Regression: tasks with headroom did not fit where those without did."""
    estimator = Estimator()
    record_finished(estimator, DECLARED, MIN_SAMPLES)
    assert estimate(estimator) == DECLARED


def test_estimates_fall_slowly_until_the_work_has_changed() -> None:
    estimator = Estimator()
    record_finished(estimator, Resources(8000, 8000), 20)
    record_finished(estimator, Resources(1000, 1000), 2)
    assert estimate(estimator).cores_m > 6000
    record_finished(estimator, Resources(1000, 1000), 5)
    assert estimate(estimator).cores_m < 2000


def test_run_times_are_estimated_from_finished_tasks() -> None:
    estimator = Estimator()
    assert estimator.estimate_run_s(RED, 'work', 100.0) == 100.0
    record_finished(estimator, DECLARED, MIN_SAMPLES)
    assert estimator.estimate_run_s(RED, 'work', 100.0) == 2.0


def test_jobs_without_a_name_are_not_estimated() -> None:
    estimator = Estimator()
    estimator.record_usage(RED, '', Resources(99_000))
    assert estimator.estimate_resources(RED, '', DECLARED) == DECLARED


def worker_id(number: int) -> WorkerId:
    return WorkerId(f'w{number}')


def test_a_worker_that_fails_known_good_work_is_quarantined() -> None:
    tracker = FailureTracker(quarantine_after=4)
    tracker.record_success(worker_id(1), RED, 'a')
    assessments = [
        tracker.record_failure(worker_id(0), RED, 'a', 0.0) for _ in range(4)
    ]
    assert [each.is_worker_quarantined for each in assessments] == [
        False
    ] * 3 + [True]
    assert tracker.concurrency_limit(worker_id(0)) == 0
    assert not assessments[-1].counts_against_job


def test_a_quarantine_ends_with_one_probe_and_doubles() -> None:
    tracker = FailureTracker(quarantine_after=1)
    tracker.record_success(worker_id(1), RED, 'a')
    tracker.record_failure(worker_id(0), RED, 'a', 0.0)
    assert not tracker.end_expired_quarantines(29.0)
    assert tracker.end_expired_quarantines(30.0) == [worker_id(0)]
    assert tracker.concurrency_limit(worker_id(0)) == 1
    assert tracker.record_failure(
        worker_id(0), RED, 'a', 31.0
    ).is_worker_quarantined
    assert not tracker.end_expired_quarantines(90.0)
    assert tracker.end_expired_quarantines(91.0)
    tracker.record_success(worker_id(0), RED, 'a')
    assert tracker.concurrency_limit(worker_id(0)) is None


def test_a_job_that_fails_everywhere_quarantines_no_worker() -> None:
    tracker = FailureTracker()
    for number in range(6):
        tracker.record_success(worker_id(number), RED, 'good')
    for attempt in range(30):
        assessment = tracker.record_failure(
            worker_id(attempt % 6), RED, 'bad', float(attempt)
        )
        assert not assessment.is_worker_quarantined
    assert assessment.counts_against_job
    assert assessment.backoff_s == 300.0


def test_an_unproven_worker_gets_few_tasks_at_once() -> None:
    tracker = FailureTracker()
    tracker.add_worker(worker_id(0))
    assert tracker.concurrency_limit(worker_id(0)) == 4
    tracker.record_failure(worker_id(0), RED, 'a', 0.0)
    assert tracker.concurrency_limit(worker_id(0)) == 3
    tracker.record_success(worker_id(0), RED, 'a')
    assert tracker.concurrency_limit(worker_id(0)) is None


def test_without_evidence_a_worker_is_only_suspended() -> None:
    tracker = FailureTracker()
    for _ in range(4):
        tracker.record_failure(worker_id(0), RED, 'a', 0.0)
    assert tracker.concurrency_limit(worker_id(0)) == 0
    assert tracker.end_expired_quarantines(5.0) == [worker_id(0)]
    tracker.record_healthy_start(RED, 'a')
    assert tracker.record_failure(
        worker_id(0), RED, 'a', 6.0
    ).is_worker_quarantined


def backoff_s(tracker: FailureTracker, name: str, job: str) -> float:
    return tracker.record_failure(
        worker_id(0), RED, name, 0.0, JobId(job)
    ).backoff_s


def test_failures_of_unnamed_jobs_do_not_delay_other_unnamed_jobs() -> None:
    # One failure of a sound job waited for 300 s after a streak of others.
    tracker = FailureTracker()
    for number in range(30):
        backoff_s(tracker, '', f'bad{number % 3}')
    assert backoff_s(tracker, '', 'sound') == 1.0
    assert backoff_s(tracker, '', 'bad0') == 300.0


def test_failures_of_a_named_job_delay_the_next_job_of_that_name() -> None:
    tracker = FailureTracker()
    assert backoff_s(tracker, 'work', 'first') == 1.0
    assert backoff_s(tracker, 'work', 'second') == 2.0
    tracker.record_success(worker_id(1), RED, 'work', JobId('third'))
    assert backoff_s(tracker, 'work', 'fourth') == 1.0


load_tests = function_tests(globals())
