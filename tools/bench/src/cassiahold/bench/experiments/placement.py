"""Speed of placement decisions, and its growth with the cell."""

import random
import time
import typing

import msgspec

from cassiahold.bench.experiments.baselines import FirstFit
from cassiahold.bench.experiments.results import (
    BenchmarkResult,
    expect_at_least,
    expect_at_most,
    percentile,
)
from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.workers import Worker

UNLIMITED: typing.Final = Resources(10**9, 10**9, 10**6)
WORKER_CAPACITY: typing.Final = Resources(60_000, 130_000, 0)
TASK_SHAPES: typing.Final = tuple(
    TaskShape(cores, memory)
    for cores in (500, 1000, 2000, 4000)
    for memory in (500, 1000, 4000, 8000)
)


class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    ``running`` is the number of tasks that load the large cell; a smaller
    cell gets as many for each worker.  ``gang`` is the size of a gang.
    ``target_against_scan`` is the least factor by which the index is faster
    than a scan, ``target_growth`` the largest growth of a median decision.
    """

    workers: int
    small_workers: int
    teams: int
    running: int
    decisions: int
    gang: int
    scans: int
    target_rate: float
    target_p99_ms: float
    target_growth: float
    target_against_scan: float
    target_gang_ms: float
    seed: int


def run(settings: PlacementSettings) -> list[BenchmarkResult]:
    """Measure the rate, tail latency and growth of decisions, and a gang."""
    large_planner = _create_loaded_planner(settings.workers, settings)
    small_planner = _create_loaded_planner(settings.small_workers, settings)
    # Measured alternately, so that drift of the machine affects both.
    large_s, small_s = [], []
    for _ in range(settings.decisions):
        small_s.append(_measure_decision_s(small_planner))
        large_s.append(_measure_decision_s(large_planner))
    placements_per_s = _measure_placements_per_s(settings)
    first_fit_s = _measure_first_fit_s(settings)
    median_s = percentile(large_s, 0.5)
    return [
        expect_at_least(
            'placements a second',
            placements_per_s,
            settings.target_rate,
            '1/s',
            'first fit',
            1 / first_fit_s,
        ),
        expect_at_most(
            'one decision, p99',
            percentile(large_s, 0.99) * 1000,
            settings.target_p99_ms,
            'ms',
        ),
        expect_at_most(
            'growth of a decision, small to large cell',
            median_s / percentile(small_s, 0.5),
            settings.target_growth,
            'times',
        ),
        expect_at_least(
            'find a worker, against the plain scan',
            first_fit_s / _measure_find_worker_s(large_planner),
            settings.target_against_scan,
            'times',
        ),
        expect_at_most(
            f'gang of {settings.gang}',
            _measure_gang_s(large_planner, settings) * 1000,
            settings.target_gang_ms,
            'ms',
        ),
    ]


def _team_names(settings: PlacementSettings) -> list[TeamName]:
    return [TeamName(f't{number}') for number in range(settings.teams)]


def _create_loaded_planner(
    worker_count: int, settings: PlacementSettings
) -> Planner:
    """Return a planner whose workers are as loaded as in the large cell."""
    generator = random.Random(settings.seed)
    planner = Planner()
    for number in range(worker_count):
        planner.worker_pool.add(
            Worker(
                WorkerId(f'w{number}'), WORKER_CAPACITY, rack=f'r{number // 6}'
            )
        )
    for team in _team_names(settings):
        planner.limits_by_team[team] = TeamLimits(1.0, UNLIMITED, 10**6)
    running_task_count = settings.running * worker_count // settings.workers
    _submit_jobs(planner, settings, running_task_count, generator, 'running')
    while planner.plan(0.0).start_groups:
        continue
    return planner


def _submit_jobs(
    planner: Planner,
    settings: PlacementSettings,
    task_count: int,
    generator: random.Random,
    job_prefix: str,
) -> None:
    teams = _team_names(settings)
    for number in range(max(task_count // 10, 1)):
        job = WaitingJob(
            JobId(f'{job_prefix}{number}'),
            generator.choice(teams),
            generator.choice(TASK_SHAPES),
            float(number),
        )
        for index in range(10):
            planner.waiting_jobs.add_task(job, index)


def _measure_decision_s(planner: Planner) -> float:
    """Return the seconds of one decision, which is undone afterwards."""
    job = WaitingJob(JobId('one'), TeamName('t0'), TASK_SHAPES[5], 0.0)
    planner.waiting_jobs.add_task(job, 0)
    started_at = time.perf_counter()
    plan = planner.plan(0.0, 1)
    elapsed_s = time.perf_counter() - started_at
    key = next(reversed(planner.task_by_key))
    if plan.start_groups:
        planner.record_end(key)
    return elapsed_s


def _measure_placements_per_s(settings: PlacementSettings) -> float:
    """Return placements per second up to the planned load."""
    generator = random.Random(settings.seed)
    planner = Planner()
    for number in range(settings.workers):
        planner.worker_pool.add(Worker(WorkerId(f'w{number}'), WORKER_CAPACITY))
    for team in _team_names(settings):
        planner.limits_by_team[team] = TeamLimits(1.0, UNLIMITED, 10**6)
    _submit_jobs(planner, settings, settings.running, generator, 'rate')
    placement_count = 0
    started_at = time.perf_counter()
    while True:
        starts = planner.plan(0.0).start_groups
        if not starts:
            break
        placement_count += len(starts)
    return placement_count / (time.perf_counter() - started_at)


def _measure_first_fit_s(settings: PlacementSettings) -> float:
    """Return the seconds of a placement by a scan, 90% of workers full."""
    workers = [
        Worker(WorkerId(f'w{number}'), WORKER_CAPACITY)
        for number in range(settings.workers)
    ]
    baseline = FirstFit(workers)
    for worker in workers[: settings.workers * 9 // 10]:
        worker.allocate('load', WORKER_CAPACITY)
    generator = random.Random(settings.seed)
    started_at = time.perf_counter()
    for number in range(settings.scans):
        baseline.place(generator.choice(TASK_SHAPES), str(number))
    return (time.perf_counter() - started_at) / settings.scans


def _measure_find_worker_s(planner: Planner) -> float:
    generator = random.Random(0)
    shapes = [generator.choice(TASK_SHAPES) for _ in range(2000)]
    started_at = time.perf_counter()
    for number, shape in enumerate(shapes):
        worker = planner.worker_pool.find_worker(shape)
        if worker is not None:
            planner.worker_pool.allocate(
                worker, f'find{number}', shape.resources
            )
    elapsed_s = time.perf_counter() - started_at
    for number, _ in enumerate(shapes):
        for worker in planner.worker_pool.worker_by_id.values():
            if f'find{number}' in worker.allocation_by_key:
                planner.worker_pool.release(worker, f'find{number}')
                break
    return elapsed_s / len(shapes)


def _measure_gang_s(planner: Planner, settings: PlacementSettings) -> float:
    job = WaitingJob(
        JobId('gang'),
        TeamName('t1'),
        TaskShape(4000, 8000),
        0.0,
        kind=JobKind.GANG,
    )
    for index in range(settings.gang):
        planner.waiting_jobs.add_task(job, index)
    started_at = time.perf_counter()
    starts = planner.plan(0.0).start_groups
    elapsed_s = time.perf_counter() - started_at
    if len(starts) != 1 or len(starts[0]) != settings.gang:
        raise RuntimeError('the gang was not placed whole')
    return elapsed_s
