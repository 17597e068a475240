"""How fast the scheduler decides, and how that grows."""

import random
import time
import typing

import msgspec

from cassiahold.bench.experiments.baselines import FirstFit
from cassiahold.bench.experiments.rows import (
    Row,
    at_least,
    at_most,
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

PLENTY: typing.Final = Resources(10**9, 10**9, 10**6)
SIZE: typing.Final = Resources(60_000, 130_000, 0)
SHAPES: typing.Final = tuple(
    TaskShape(cores, memory)
    for cores in (500, 1000, 2000, 4000)
    for memory in (500, 1000, 4000, 8000)
)


class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets."""

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


def run(settings: PlacementSettings) -> list[Row]:
    """Measure rate, tail, growth and a gang."""
    large = _loaded(settings.workers, settings)
    small = _loaded(settings.small_workers, settings)
    # The two are measured in turn, so that the machine's drift hits both.
    large_us, small_us = [], []
    for _ in range(settings.decisions):
        small_us.append(_one_decision(small))
        large_us.append(_one_decision(large))
    rate = _rate(settings)
    scan_s = _scan(settings)
    typical_s = percentile(large_us, 0.5)
    return [
        at_least(
            'placements a second',
            rate,
            settings.target_rate,
            '1/s',
            'first fit',
            1 / scan_s,
        ),
        at_most(
            'one decision, p99',
            percentile(large_us, 0.99) * 1000,
            settings.target_p99_ms,
            'ms',
        ),
        at_most(
            'growth of a decision, small to large cell',
            typical_s / percentile(small_us, 0.5),
            settings.target_growth,
            'times',
        ),
        at_least(
            'find a worker, against the plain scan',
            scan_s / _find(large),
            settings.target_against_scan,
            'times',
        ),
        at_most(
            f'gang of {settings.gang}',
            _gang(large, settings) * 1000,
            settings.target_gang_ms,
            'ms',
        ),
    ]


def _teams(settings: PlacementSettings) -> list[TeamName]:
    return [TeamName(f't{number}') for number in range(settings.teams)]


def _loaded(workers: int, settings: PlacementSettings) -> Planner:
    """Return a planner whose cell is as full as the large one would be."""
    generator = random.Random(settings.seed)
    planner = Planner()
    for number in range(workers):
        planner.worker_pool.add(
            Worker(WorkerId(f'w{number}'), SIZE, rack=f'r{number // 6}')
        )
    for team in _teams(settings):
        planner.limits_by_team[team] = TeamLimits(1.0, PLENTY, 10**6)
    running = settings.running * workers // settings.workers
    _submit(planner, settings, running, generator, 'running')
    while planner.plan(0.0).start_groups:
        continue
    return planner


def _submit(
    planner: Planner,
    settings: PlacementSettings,
    tasks: int,
    generator: random.Random,
    prefix: str,
) -> None:
    teams = _teams(settings)
    for number in range(max(tasks // 10, 1)):
        job = WaitingJob(
            JobId(f'{prefix}{number}'),
            generator.choice(teams),
            generator.choice(SHAPES),
            float(number),
        )
        for index in range(10):
            planner.waiting_jobs.add_task(job, index)


def _one_decision(planner: Planner) -> float:
    """Return the seconds of one whole decision; the cell stays as it was."""
    job = WaitingJob(JobId('one'), TeamName('t0'), SHAPES[5], 0.0)
    planner.waiting_jobs.add_task(job, 0)
    began = time.perf_counter()
    plan = planner.plan(0.0, 1)
    took = time.perf_counter() - began
    key = next(reversed(planner.task_by_key))
    if plan.start_groups:
        planner.record_end(key)
    return took


def _rate(settings: PlacementSettings) -> float:
    """Return placements a second while the cell fills to its planned load."""
    generator = random.Random(settings.seed)
    planner = Planner()
    for number in range(settings.workers):
        planner.worker_pool.add(Worker(WorkerId(f'w{number}'), SIZE))
    for team in _teams(settings):
        planner.limits_by_team[team] = TeamLimits(1.0, PLENTY, 10**6)
    _submit(planner, settings, settings.running, generator, 'rate')
    placed = 0
    began = time.perf_counter()
    while True:
        starts = planner.plan(0.0).start_groups
        if not starts:
            break
        placed += len(starts)
    return placed / (time.perf_counter() - began)


def _scan(settings: PlacementSettings) -> float:
    """Return the seconds of one placement by the plain scan, cell loaded."""
    workers = [
        Worker(WorkerId(f'w{number}'), SIZE)
        for number in range(settings.workers)
    ]
    baseline = FirstFit(workers)
    for worker in workers[: settings.workers * 9 // 10]:
        worker.allocate('load', SIZE)
    generator = random.Random(settings.seed)
    began = time.perf_counter()
    for number in range(settings.scans):
        baseline.place(generator.choice(SHAPES), str(number))
    return (time.perf_counter() - began) / settings.scans


def _find(planner: Planner) -> float:
    generator = random.Random(0)
    shapes = [generator.choice(SHAPES) for _ in range(2000)]
    began = time.perf_counter()
    for number, shape in enumerate(shapes):
        worker = planner.worker_pool.find_worker(shape)
        if worker is not None:
            planner.worker_pool.allocate(
                worker, f'find{number}', shape.resources
            )
    took = time.perf_counter() - began
    for number, _ in enumerate(shapes):
        for worker in planner.worker_pool.worker_by_id.values():
            if f'find{number}' in worker.allocation_by_key:
                planner.worker_pool.release(worker, f'find{number}')
                break
    return took / len(shapes)


def _gang(planner: Planner, settings: PlacementSettings) -> float:
    job = WaitingJob(
        JobId('gang'),
        TeamName('t1'),
        TaskShape(4000, 8000),
        0.0,
        kind=JobKind.GANG,
    )
    for index in range(settings.gang):
        planner.waiting_jobs.add_task(job, index)
    began = time.perf_counter()
    starts = planner.plan(0.0).start_groups
    took = time.perf_counter() - began
    if len(starts) != 1 or len(starts[0]) != settings.gang:
        raise RuntimeError('the gang was not placed whole')
    return took
