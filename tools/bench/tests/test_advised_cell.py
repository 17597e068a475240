"""Tests of the simulated cell whose advisors must be asked."""

from cassiahold.bench.experiments.advised_cell import (
    AdvisedCell,
    Kind,
    on_time_part,
)
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests

CHECKS = Kind(
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


def play(lanes: int) -> float:
    cell = AdvisedCell([CHECKS], [1.2] * 20, Resources(8000, 8000), lanes, 1)
    cell.run(4.0, 8.0, 12.0)
    return on_time_part(cell.job_by_id.values())['checks']


def test_work_is_on_time_when_advisors_keep_up() -> None:
    assert play(lanes=8) > 0.95


def test_equal_seeds_give_equal_runs() -> None:
    assert play(lanes=2) == play(lanes=2)


load_tests = function_tests(globals())
