"""Tests of the simulated cell that depends on advisors."""

from cassiahold.bench.experiments.advised_cell import (
    AdvisedCell,
    Workload,
    on_time_fraction_by_queue,
)
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests

CHECKS = Workload(
    queue='checks',
    priority=0,
    rate=10.0,
    objective_s=0.25,
    slack=1.5,
    tasks=2.0,
    steps=1.0,
    work_s=1.0,
    cores_m=1000,
    gang_part=0.0,
    fail_part=0.0,
    estimate_error=0.0,
    decision_s=0.01,
    per_worker_s=0.0001,
    allowed_part=0.7,
)


def on_time_fraction(max_advisor_calls: int) -> float:
    cell = AdvisedCell(
        [CHECKS], [1.2] * 20, Resources(8000, 8000), max_advisor_calls, 1
    )
    cell.simulate(4.0, 8.0, 12.0)
    return on_time_fraction_by_queue(cell.job_by_id.values())['checks']


def test_jobs_are_on_time_if_advisors_keep_up() -> None:
    assert on_time_fraction(max_advisor_calls=8) > 0.95


def test_equal_seeds_give_equal_results() -> None:
    assert on_time_fraction(max_advisor_calls=2) == on_time_fraction(
        max_advisor_calls=2
    )


load_tests = function_tests(globals())
