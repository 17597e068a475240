"""Fraction of jobs on time in a full cell that depends on advisors."""

import random
import typing

import msgspec

from cassiahold.bench.experiments.advised_cell import (
    AdvisedCell,
    Workload,
    on_time_fraction_by_queue,
)
from cassiahold.bench.experiments.results import (
    BenchmarkResult,
    expect_at_least,
)
from cassiahold.core.resources import Resources


class AdvisedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    Attributes:
        cores_m: Millicores of a worker, which has twice as many MB of memory.
        speeds: Relative worker speeds; each worker gets a random one.
        kinds: The workloads; the first one is the urgent one.
        lanes: Concurrent advisor calls.
        few_lanes: Concurrent advisor calls of the baseline.
        arrive_s: Time after which no more jobs arrive.
        burst_from_s: Start of the burst of arrivals.
        until_s: End of the simulation.
        target_urgent: Least fraction of the urgent jobs on time.
        target_worst: Least fraction on time in the worst queue.
    """

    workers: int
    cores_m: int
    speeds: list[float]
    kinds: list[Workload]
    lanes: int
    few_lanes: int
    arrive_s: float
    burst_from_s: float
    until_s: float
    target_urgent: float
    target_worst: float
    seed: int


def run(settings: AdvisedSettings) -> list[BenchmarkResult]:
    """Simulate a burst of urgent jobs with many and with few advisor calls."""
    on_time_by_queue = _simulate(settings, settings.lanes)
    baseline_on_time = _simulate(settings, settings.few_lanes)
    urgent_queue = settings.kinds[0].queue
    baseline_name = f'{settings.few_lanes} lanes'
    return [
        expect_at_least(
            'advised: urgent work on time at a burst',
            on_time_by_queue[urgent_queue],
            settings.target_urgent,
            'part',
            baseline_name,
            baseline_on_time[urgent_queue],
        ),
        expect_at_least(
            'advised: worst queue on time at a burst',
            min(on_time_by_queue.values()),
            settings.target_worst,
            'part',
            baseline_name,
            min(baseline_on_time.values()),
        ),
    ]


def _simulate(
    settings: AdvisedSettings, max_advisor_calls: int
) -> dict[str, float]:
    generator = random.Random(settings.seed)
    worker_speeds: typing.Sequence[float] = [
        generator.choice(settings.speeds) for _ in range(settings.workers)
    ]
    cell = AdvisedCell(
        settings.kinds,
        worker_speeds,
        Resources(settings.cores_m, 2 * settings.cores_m),
        max_advisor_calls,
        settings.seed,
    )
    cell.simulate(settings.arrive_s, settings.burst_from_s, settings.until_s)
    return on_time_fraction_by_queue(cell.job_by_id.values())
