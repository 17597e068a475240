"""Start latency of urgent tasks in a full cell at the planned peak."""

import random

import msgspec

from cassiahold.bench.experiments.results import (
    BenchmarkResult,
    expect_at_most,
    percentile,
)
from cassiahold.bench.experiments.simulated_cell import (
    JobProfile,
    SimulatedCell,
)
from cassiahold.core.ids import TeamName
from cassiahold.core.resources import Resources


class UrgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    ``urgent_part`` is the fraction of urgent tasks.  Waits are measured for
    ``measure_s`` after ``warm_s``.  ``target_s`` bounds the 99th percentile
    of the urgent ones.
    """

    workers: int
    starts_per_s: float
    urgent_part: float
    run_s: float
    warm_s: float
    measure_s: float
    report_s: float
    target_s: float
    seed: int


def run(settings: UrgentSettings) -> list[BenchmarkResult]:
    """Measure the waits of urgent tasks among batch tasks."""
    weight_by_team = {TeamName(f't{number}'): 1.0 for number in range(30)}
    # The capacity equals the load that arrives, which keeps the cell full.
    slot_count = int(settings.starts_per_s * settings.run_s)
    cores = max(slot_count // settings.workers, 1)
    worker_capacity = Resources(cores * 1000, cores * 2000, 0)
    cell = SimulatedCell(
        settings.workers,
        worker_capacity,
        weight_by_team,
        settings.report_s,
        settings.seed,
    )
    generator = random.Random(settings.seed)
    teams = list(weight_by_team)

    def submit_arrivals(span_start: float, span_end: float) -> None:
        expected_count = settings.starts_per_s * (span_end - span_start)
        count = int(expected_count) + (generator.random() < expected_count % 1)
        for _ in range(count):
            cell.submit_job(
                JobProfile(
                    generator.choice(teams),
                    Resources(1000, 2000, 0),
                    Resources(1000, 2000, 0),
                    settings.run_s,
                    'peak',
                    generator.random() < settings.urgent_part,
                ),
                1,
            )

    cell.simulate_until(settings.warm_s, submit_arrivals)
    cell.wait_s_by_urgency[True].clear()
    cell.wait_s_by_urgency[False].clear()
    cell.simulate_until(settings.warm_s + settings.measure_s, submit_arrivals)
    return [
        expect_at_most(
            'urgent start in a full cell, p99',
            percentile(cell.wait_s_by_urgency[True], 0.99),
            settings.target_s,
            's',
            'batch beside it',
            percentile(cell.wait_s_by_urgency[False], 0.99),
        )
    ]
