"""Chooses which running tasks to stop so that others can start."""

import random
import typing

import msgspec

from cassiahold.core.ids import JobId, TaskKey, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.worker_pool import WorkerPool
from cassiahold.policy.workers import Worker

SAMPLED_WORKERS: typing.Final = 24
_MIN_PRICE_S: typing.Final = 1.0


class RunningTask(msgspec.Struct):
    """A task that holds a worker, as far as decisions need it."""

    key: TaskKey
    job: JobId
    index: int
    team: TeamName
    worker: WorkerId
    resources: Resources
    started_at: float
    kind: JobKind = JobKind.BATCH
    name: str = ''
    is_urgent: bool = False
    is_idempotent: bool = True
    is_stopping: bool = False
    peak_usage: Resources = Resources()

    @property
    def may_be_stopped(self) -> bool:
        """Tell whether the task may lose its place to another."""
        return (
            self.kind is JobKind.BATCH
            and self.is_idempotent
            and not self.is_urgent
            and not self.is_stopping
        )

    def price(self, now: float) -> float:
        """Return the work lost by stopping it now, in core-seconds."""
        ran_s = max(now - self.started_at, _MIN_PRICE_S)
        return ran_s * max(self.resources.cores_m, 1) / 1000


MayStop = typing.Callable[[RunningTask], bool]


class Eviction(msgspec.Struct, frozen=True):
    """Tasks of one worker whose end makes room for a shape."""

    worker: WorkerId
    victims: list[RunningTask]
    price: float


def cheapest_eviction(
    cell: WorkerPool,
    task_by_key: dict[TaskKey, RunningTask],
    sample: typing.Sequence[WorkerId],
    shape: TaskShape,
    may_stop: MayStop,
    now: float,
) -> Eviction | None:
    """Return the cheapest eviction among the sampled workers."""
    best: Eviction | None = None
    for worker_id in sample:
        worker = cell.worker_by_id.get(worker_id)
        if worker is None or not shape.resources.fits_in(worker.capacity):
            continue
        found = _evict_on(worker, task_by_key, shape, may_stop, now)
        if found and (best is None or found.price < best.price):
            best = found
    return best


def sample_workers(
    cell: WorkerPool, generator: random.Random, count: int = SAMPLED_WORKERS
) -> list[WorkerId]:
    """Return up to ``count`` workers, each at most once."""
    ids = cell.ids
    if len(ids) <= count:
        return list(ids)
    return generator.sample(ids, count)


def _evict_on(
    worker: Worker,
    task_by_key: dict[TaskKey, RunningTask],
    shape: TaskShape,
    may_stop: MayStop,
    now: float,
) -> Eviction | None:
    if not shape.suits(worker.worker_class) or not worker.is_eligible:
        return None
    tasks = [
        task
        for key in worker.allocation_by_key
        if (task := task_by_key.get(TaskKey(key))) is not None
    ]
    # What is already stopping will be free without another victim.
    coming = sum(
        (task.resources for task in tasks if task.is_stopping),
        worker.free,
    )
    victims: list[RunningTask] = []
    price = 0.0
    stoppable = [
        task for task in tasks if task.may_be_stopped and may_stop(task)
    ]
    for task in sorted(stoppable, key=lambda task: task.price(now)):
        if shape.resources.fits_in(coming):
            break
        victims.append(task)
        coming += task.resources
        price += task.price(now)
    if not victims or not shape.resources.fits_in(coming):
        return None
    return Eviction(worker.id, victims, price)
