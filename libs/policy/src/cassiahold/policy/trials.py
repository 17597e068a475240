"""Trials of tasks that may crash their workers.

A suspect task is on trial from its start until its worker reports that it has
run for a while.  Nothing else starts on that worker shortly before or
meanwhile, so that a crash tells whether the task is the cause.  Under load few
workers have a trial at the same time, or suspect tasks would crash workers as
fast as they return.
"""

import typing

import msgspec

from cassiahold.core.ids import TaskKey, WorkerId
from cassiahold.core.states import JobKind
from cassiahold.policy.preemption import RunningTask
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.worker_pool import WorkerPool
from cassiahold.policy.workers import Worker, WorkerState

# Of the workers of a data centre; at least one may have a trial.
MAX_TRIAL_SHARE: typing.Final = 0.1
# While less of the capacity is allocated, crashes cost little and no task that
# could run should wait.
LIGHT_LOAD_SHARE: typing.Final = 0.5
# A worker is kept free of other starts for this long, until it can take the
# suspect task; then another worker is chosen.
MAX_HOLD_S: typing.Final = 5.0


class Hold(msgspec.Struct, frozen=True):
    """A worker that is kept free of other starts for a suspect task."""

    key: TaskKey
    expires_at: float


class TrialRegistry:
    """The workers that have a trial or are held for one."""

    def __init__(
        self, worker_pool: WorkerPool, task_by_key: dict[TaskKey, RunningTask]
    ) -> None:
        self.hold_by_worker: dict[WorkerId, Hold] = {}
        self._worker_pool = worker_pool
        self._task_by_key = task_by_key

    def find_worker(
        self, key: TaskKey, shape: TaskShape, now: float
    ) -> Worker | None:
        """Return a worker on which a suspect task can start apart, if any.

        A worker on which other tasks have just started is held for the task
        until they have settled.
        """
        worker = self._held_worker(key) or self._choose_worker(shape)
        if worker is None:
            return None
        if self._is_settled(worker) and worker.fits(shape):
            self._release(worker.id)
            return worker
        self.hold_by_worker.setdefault(worker.id, Hold(key, now + MAX_HOLD_S))
        self.refresh(worker.id)
        return None

    def is_held_for(self, key: TaskKey) -> bool:
        """Tell whether a worker is held for a suspect task."""
        return any(hold.key == key for hold in self.hold_by_worker.values())

    def settle(self, task: RunningTask) -> None:
        """Record that a task has run for a while, which ends its trial."""
        task.is_settled = True
        if task.is_suspect:
            self.refresh(task.worker)

    def refresh(self, worker_id: WorkerId) -> None:
        """Update whether a worker may get other starts."""
        worker = self._worker_pool.worker_by_id.get(worker_id)
        if worker is None:
            self.hold_by_worker.pop(worker_id, None)
            return
        worker.is_on_trial = worker_id in self.hold_by_worker or any(
            task.is_suspect and not task.is_settled
            for task in self._tasks_on(worker)
        )
        self._worker_pool.reindex(worker)

    def release_expired(
        self, is_pending: typing.Callable[[TaskKey], bool], now: float
    ) -> None:
        """Release holds that have expired or whose task no longer waits."""
        expired = [
            worker
            for worker, hold in self.hold_by_worker.items()
            if now >= hold.expires_at or not is_pending(hold.key)
        ]
        for worker in expired:
            self._release(worker)

    def _release(self, worker: WorkerId) -> None:
        self.hold_by_worker.pop(worker, None)
        self.refresh(worker)

    def _held_worker(self, key: TaskKey) -> Worker | None:
        held = (
            worker
            for worker, hold in self.hold_by_worker.items()
            if hold.key == key
        )
        worker_id = next(held, None)
        if worker_id is None:
            return None
        worker = self._worker_pool.worker_by_id.get(worker_id)
        if worker is not None and worker.accepts_attempts:
            return worker
        self._release(worker_id)
        return None

    def _choose_worker(self, shape: TaskShape) -> Worker | None:
        workers = self._worker_pool.worker_by_id.values()
        trial_count = sum(worker.is_on_trial for worker in workers)
        if trial_count >= trial_limit(self._worker_pool):
            return None
        candidates = [
            worker
            for worker in workers
            if worker.is_eligible
            and not worker.reserved_for
            and shape.allows_class(worker.worker_class)
            and worker.fits(shape)
        ]
        if self._can_spare_members(shape):
            candidates = [
                worker for worker in candidates if not self._has_member(worker)
            ]
        return min(candidates, key=self._isolation_rank, default=None)

    def _can_spare_members(self, shape: TaskShape) -> bool:
        """Tell whether some worker is large enough and has no members.

        A crash costs most where members of gangs or services run.
        """
        return any(
            worker.state is not WorkerState.LOST
            and shape.allows_class(worker.worker_class)
            and shape.resources.fits_in(worker.capacity)
            and not self._has_member(worker)
            for worker in self._worker_pool.worker_by_id.values()
        )

    def _has_member(self, worker: Worker) -> bool:
        return any(
            task.kind is not JobKind.BATCH for task in self._tasks_on(worker)
        )

    def _isolation_rank(self, worker: Worker) -> tuple[bool, int]:
        return not self._is_settled(worker), len(worker.allocation_by_key)

    def _is_settled(self, worker: Worker) -> bool:
        return all(task.is_settled for task in self._tasks_on(worker))

    def _tasks_on(self, worker: Worker) -> typing.Iterator[RunningTask]:
        for key in worker.allocation_by_key:
            task = self._task_by_key.get(TaskKey(key))
            if task is not None:
                yield task


def trial_limit(worker_pool: WorkerPool) -> int:
    """Return how many workers may have a trial at the same time."""
    worker_count = len(worker_pool.worker_by_id)
    allocated = worker_pool.allocated_resources()
    if allocated.dominant_share(worker_pool.capacity) < LIGHT_LOAD_SHARE:
        return worker_count
    return max(int(worker_count * MAX_TRIAL_SHARE), 1)
