"""How full workers get on mixed work."""

import random
import typing

import msgspec

from cassiahold.bench.experiments.baselines import FirstFit, sizes
from cassiahold.bench.experiments.rows import Row, at_least
from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.worker_pool import WorkerPool
from cassiahold.policy.workers import Worker


class PackingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets."""

    workers: int
    seeds: int
    cores_m: int
    memory_mb: int
    target_of_bound: float


def run(settings: PackingSettings) -> list[Row]:
    """Fill a cell from one stream of tasks until nothing fits any more.

    The bound is by area: no policy can hold more of the scarcer dimension
    than the cell has.
    """
    ours, first_fit, wins = [], [], 0
    for seed in range(settings.seeds):
        tasks = list(sizes(random.Random(seed), settings.workers * 60))
        mine = _fill(tasks, settings, _indexed(settings))
        theirs = _fill(tasks, settings, _scanned(settings))
        ours.append(mine)
        first_fit.append(theirs)
        wins += mine >= theirs
    return [
        at_least(
            'packing, worst seed, of the area bound',
            min(ours) * 100,
            settings.target_of_bound * 100,
            '%',
            'first fit',
            min(first_fit) * 100,
        ),
        at_least(
            'seeds on which packing is not below first fit',
            wins / settings.seeds * 100,
            100.0,
            '%',
        ),
    ]


Place = typing.Callable[[TaskShape, str], bool]


def _workers(settings: PackingSettings) -> list[Worker]:
    size = Resources(settings.cores_m, settings.memory_mb, 0)
    return [
        Worker(WorkerId(f'w{number}'), size)
        for number in range(settings.workers)
    ]


def _indexed(settings: PackingSettings) -> Place:
    cell = WorkerPool()
    for worker in _workers(settings):
        cell.add(worker)

    def place(shape: TaskShape, key: str) -> bool:
        worker = cell.find_worker(shape)
        if worker is None:
            return False
        cell.allocate(worker, key, shape.resources)
        return True

    return place


def _scanned(settings: PackingSettings) -> Place:
    baseline = FirstFit(_workers(settings))
    return lambda shape, key: baseline.place(shape, key) is not None


def _fill(
    tasks: list[Resources], settings: PackingSettings, place: Place
) -> float:
    """Return the share of the scarcer dimension that is held at the end."""
    cores = memory = 0
    for number, task in enumerate(tasks):
        if place(TaskShape(task.cores_m, task.memory_mb), str(number)):
            cores += task.cores_m
            memory += task.memory_mb
    return max(
        cores / (settings.cores_m * settings.workers),
        memory / (settings.memory_mb * settings.workers),
    )
