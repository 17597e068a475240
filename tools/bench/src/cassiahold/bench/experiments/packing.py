"""Utilisation of workers that are filled with mixed task sizes."""

import random
import typing

import msgspec

from cassiahold.bench.experiments.baselines import FirstFit, generate_task_sizes
from cassiahold.bench.experiments.results import (
    BenchmarkResult,
    expect_at_least,
)
from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.worker_pool import WorkerPool
from cassiahold.policy.workers import Worker


class PackingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    ``target_of_bound`` is the least fraction of the area bound to reach.
    """

    workers: int
    seeds: int
    cores_m: int
    memory_mb: int
    target_of_bound: float


def run(settings: PackingSettings) -> list[BenchmarkResult]:
    """Offer the same stream of tasks to the worker pool and to first fit.

    Each policy places every task that still fits.  The area bound is the
    capacity of the scarcer dimension, which no policy can exceed.
    """
    pool_utilisations, first_fit_utilisations, win_count = [], [], 0
    for seed in range(settings.seeds):
        tasks = list(
            generate_task_sizes(random.Random(seed), settings.workers * 60)
        )
        pool_utilisation = _fill_cell(
            tasks, settings, _create_pool_placement(settings)
        )
        first_fit_utilisation = _fill_cell(
            tasks, settings, _create_first_fit_placement(settings)
        )
        pool_utilisations.append(pool_utilisation)
        first_fit_utilisations.append(first_fit_utilisation)
        win_count += pool_utilisation >= first_fit_utilisation
    return [
        expect_at_least(
            'packing, worst seed, of the area bound',
            min(pool_utilisations) * 100,
            settings.target_of_bound * 100,
            '%',
            'first fit',
            min(first_fit_utilisations) * 100,
        ),
        expect_at_least(
            'seeds on which packing is not below first fit',
            win_count / settings.seeds * 100,
            100.0,
            '%',
        ),
    ]


PlaceTask = typing.Callable[[TaskShape, str], bool]


def _create_workers(settings: PackingSettings) -> list[Worker]:
    size = Resources(settings.cores_m, settings.memory_mb, 0)
    return [
        Worker(WorkerId(f'w{number}'), size)
        for number in range(settings.workers)
    ]


def _create_pool_placement(settings: PackingSettings) -> PlaceTask:
    worker_pool = WorkerPool()
    for worker in _create_workers(settings):
        worker_pool.add(worker)

    def place(shape: TaskShape, key: str) -> bool:
        worker = worker_pool.find_worker(shape)
        if worker is None:
            return False
        worker_pool.allocate(worker, key, shape.resources)
        return True

    return place


def _create_first_fit_placement(settings: PackingSettings) -> PlaceTask:
    baseline = FirstFit(_create_workers(settings))
    return lambda shape, key: baseline.place(shape, key) is not None


def _fill_cell(
    tasks: list[Resources], settings: PackingSettings, place_task: PlaceTask
) -> float:
    """Return the allocated fraction of the scarcer dimension at the end."""
    used_cores_m = used_memory_mb = 0
    for number, task in enumerate(tasks):
        if place_task(TaskShape(task.cores_m, task.memory_mb), str(number)):
            used_cores_m += task.cores_m
            used_memory_mb += task.memory_mb
    return max(
        used_cores_m / (settings.cores_m * settings.workers),
        used_memory_mb / (settings.memory_mb * settings.workers),
    )
