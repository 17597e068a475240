"""Tests of estimates and of blame."""

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.policy.estimates import ENOUGH_SAMPLES, Estimator
from cassiahold.policy.failure_tracking import FailureTracker

RED = TeamName('red')
DECLARED = Resources(10_000, 10_000)


def seen(estimator: Estimator, used: Resources, times: int) -> None:
    for _ in range(times):
        estimator.finished(RED, 'work', used, 2.0)


def size(estimator: Estimator) -> Resources:
    return estimator.estimate_resources(RED, 'work', DECLARED)


def test_declared_counts_until_enough_was_seen() -> None:
    estimator = Estimator()
    seen(estimator, Resources(1000, 1000), ENOUGH_SAMPLES - 1)
    assert size(estimator) == DECLARED
    seen(estimator, Resources(1000, 1000), 1)
    assert size(estimator) == Resources(1150, 1150)


def test_more_than_declared_counts_at_once() -> None:
    estimator = Estimator()
    estimator.record_usage(RED, 'work', Resources(20_000, 5000))
    assert size(estimator) == Resources(20_000, 10_000)


def test_work_within_its_size_is_not_padded_above_it() -> None:
    """Regression: padded tasks did not fit the places of unpadded ones."""
    estimator = Estimator()
    seen(estimator, DECLARED, ENOUGH_SAMPLES)
    assert size(estimator) == DECLARED


def test_estimates_fall_slowly_and_changed_work_is_noticed() -> None:
    estimator = Estimator()
    seen(estimator, Resources(8000, 8000), 20)
    seen(estimator, Resources(1000, 1000), 2)
    assert size(estimator).cores_m > 6000
    seen(estimator, Resources(1000, 1000), 5)
    assert size(estimator).cores_m < 2000


def test_run_times_are_learned() -> None:
    estimator = Estimator()
    assert estimator.estimate_run_s(RED, 'work', 100.0) == 100.0
    seen(estimator, DECLARED, ENOUGH_SAMPLES)
    assert estimator.estimate_run_s(RED, 'work', 100.0) == 2.0


def test_unnamed_work_is_not_learned() -> None:
    estimator = Estimator()
    estimator.record_usage(RED, '', Resources(99_000))
    assert estimator.estimate_resources(RED, '', DECLARED) == DECLARED


def worker(number: int) -> WorkerId:
    return WorkerId(f'w{number}')


def test_a_worker_that_fails_good_work_is_quarantined() -> None:
    blame = FailureTracker(quarantine_after=4)
    blame.record_success(worker(1), RED, 'a')
    judged = [blame.record_failure(worker(0), RED, 'a', 0.0) for _ in range(4)]
    assert [found.is_worker_quarantined for found in judged] == [False] * 3 + [
        True
    ]
    assert blame.concurrency_limit(worker(0)) == 0
    assert not judged[-1].counts_against_job


def test_quarantine_ends_with_one_probe_and_doubles() -> None:
    blame = FailureTracker(quarantine_after=1)
    blame.record_success(worker(1), RED, 'a')
    blame.record_failure(worker(0), RED, 'a', 0.0)
    assert not blame.end_expired_quarantines(29.0)
    assert blame.end_expired_quarantines(30.0) == [worker(0)]
    assert blame.concurrency_limit(worker(0)) == 1
    assert blame.record_failure(worker(0), RED, 'a', 31.0).is_worker_quarantined
    assert not blame.end_expired_quarantines(90.0)
    assert blame.end_expired_quarantines(91.0)
    blame.record_success(worker(0), RED, 'a')
    assert blame.concurrency_limit(worker(0)) is None


def test_a_job_that_fails_everywhere_harms_no_worker() -> None:
    blame = FailureTracker()
    for number in range(6):
        blame.record_success(worker(number), RED, 'good')
    for attempt in range(30):
        judged = blame.record_failure(
            worker(attempt % 6), RED, 'bad', float(attempt)
        )
        assert not judged.is_worker_quarantined
    assert judged.counts_against_job
    assert judged.backoff_s == 300.0


def test_an_unproven_worker_gets_few_tasks() -> None:
    blame = FailureTracker()
    blame.add_worker(worker(0))
    assert blame.concurrency_limit(worker(0)) == 4
    blame.record_failure(worker(0), RED, 'a', 0.0)
    assert blame.concurrency_limit(worker(0)) == 3
    blame.record_success(worker(0), RED, 'a')
    assert blame.concurrency_limit(worker(0)) is None


def test_without_evidence_a_worker_only_rests() -> None:
    blame = FailureTracker()
    for _ in range(4):
        blame.record_failure(worker(0), RED, 'a', 0.0)
    assert blame.concurrency_limit(worker(0)) == 0
    assert blame.end_expired_quarantines(5.0) == [worker(0)]
    blame.record_healthy_start(RED, 'a')
    assert blame.record_failure(worker(0), RED, 'a', 6.0).is_worker_quarantined


load_tests = function_tests(globals())
