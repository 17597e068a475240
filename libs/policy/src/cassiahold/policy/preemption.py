"""Preemption: which running tasks to stop so that others can start.

The cost of stopping a task is the work that it loses.  Only a sample of the
workers is compared, so a cheaper eviction may exist.
"""

import random
import typing

import msgspec

from cassiahold.core.ids import JobId, TaskKey, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.worker_pool import WorkerPool
from cassiahold.policy.workers import Worker

SAMPLED_WORKER_COUNT: typing.Final = 24
_MIN_LOST_WORK_S: typing.Final = 1.0


class RunningTask(msgspec.Struct):
    """A task with an allocation on a worker, as the planner sees it.

    ``peak_usage`` is the highest usage reported so far.  ``is_suspect`` marks
    a task that may crash its worker, ``is_settled`` one that its worker has
    reported as running for a while.
    """

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
    is_suspect: bool = False
    is_settled: bool = False

    @property
    def is_preemptible(self) -> bool:
        """Tell whether the task may be stopped in favour of another."""
        return (
            self.kind is JobKind.BATCH
            and self.is_idempotent
            and not self.is_urgent
            and not self.is_stopping
        )

    def preemption_cost(self, now: float) -> float:
        """Return the work lost by stopping the task now, in core-seconds."""
        ran_s = max(now - self.started_at, _MIN_LOST_WORK_S)
        return ran_s * max(self.resources.cores_m, 1) / 1000


PreemptionFilter = typing.Callable[[RunningTask], bool]


class Eviction(msgspec.Struct, frozen=True):
    """Tasks of one worker to stop so that a task of a given shape fits.

    ``preemption_cost`` is the work that the victims lose, in core-seconds.
    """

    worker: WorkerId
    victims: list[RunningTask]
    preemption_cost: float


def find_cheapest_eviction(
    worker_pool: WorkerPool,
    task_by_key: dict[TaskKey, RunningTask],
    sampled_workers: typing.Sequence[WorkerId],
    shape: TaskShape,
    may_stop: PreemptionFilter,
    now: float,
) -> Eviction | None:
    """Return the cheapest eviction among the sampled workers, if any.

    ``may_stop`` further restricts the preemptible tasks.
    """
    best: Eviction | None = None
    for worker_id in sampled_workers:
        worker = worker_pool.worker_by_id.get(worker_id)
        if worker is None or not shape.resources.fits_in(worker.capacity):
            continue
        eviction = _find_eviction_on(worker, task_by_key, shape, may_stop, now)
        if eviction and (
            best is None or eviction.preemption_cost < best.preemption_cost
        ):
            best = eviction
    return best


def sample_workers(
    worker_pool: WorkerPool,
    generator: random.Random,
    count: int = SAMPLED_WORKER_COUNT,
) -> list[WorkerId]:
    """Return up to ``count`` distinct workers, chosen at random."""
    ids = worker_pool.worker_ids
    if len(ids) <= count:
        return list(ids)
    return generator.sample(ids, count)


def _find_eviction_on(
    worker: Worker,
    task_by_key: dict[TaskKey, RunningTask],
    shape: TaskShape,
    may_stop: PreemptionFilter,
    now: float,
) -> Eviction | None:
    if not shape.allows_class(worker.worker_class) or not worker.is_eligible:
        return None
    tasks = [
        task
        for key in worker.allocation_by_key
        if (task := task_by_key.get(TaskKey(key))) is not None
    ]
    # Tasks that are already stopping free their resources without a victim.
    free_after_stops = sum(
        (task.resources for task in tasks if task.is_stopping),
        worker.free,
    )
    victims: list[RunningTask] = []
    total_cost = 0.0
    stoppable = [
        task for task in tasks if task.is_preemptible and may_stop(task)
    ]
    for task in sorted(stoppable, key=lambda task: task.preemption_cost(now)):
        if shape.resources.fits_in(free_after_stops):
            break
        victims.append(task)
        free_after_stops += task.resources
        total_cost += task.preemption_cost(now)
    if not victims or not shape.resources.fits_in(free_after_stops):
        return None
    return Eviction(worker.id, victims, total_cost)
