"""Workers kept free for gangs and for jobs that smaller ones starve."""

import typing

import msgspec

from cassiahold.core.ids import JobId, TaskKey, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.estimates import Estimator
from cassiahold.policy.preemption import RunningTask
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.waiting_jobs import WaitingJob, WaitingJobs
from cassiahold.policy.worker_pool import WorkerPool
from cassiahold.policy.workers import Worker

HOLD_AFTER_S: typing.Final = 10.0  # a gang waits this long before a hold
# A job that could not start from its hold makes room for the next one.
MAX_GANG_HOLD_S: typing.Final = 600.0
MAX_JOB_HOLD_S: typing.Final = 30.0
MAX_HOLDS: typing.Final = 8
MAX_HELD_TASKS: typing.Final = 16  # of a job that is not a gang
BACKFILL_SAFETY: typing.Final = 1.2


class Hold(msgspec.Struct):
    """Workers that are kept free for one job."""

    job: JobId
    workers: list[WorkerId]
    since: float
    until: float
    is_gang: bool


class HoldBook:
    """Every hold, by the job that it is for."""

    def __init__(
        self,
        cell: WorkerPool,
        task_by_key: dict[TaskKey, RunningTask],
        estimator: Estimator,
    ) -> None:
        self.reservation_by_job: dict[JobId, Hold] = {}
        self._cell = cell
        self._task_by_key = task_by_key
        self._estimator = estimator

    def keep_room_for(self, job: WaitingJob, now: float) -> None:
        """Hold workers that together will have room for a job."""
        if (
            job.id in self.reservation_by_job
            or len(self.reservation_by_job) >= MAX_HOLDS
        ):
            return
        if job.is_gang and self._has_gang():
            # Two gangs must never hold half of what each needs.
            return
        needed = len(job.pending_indexes)
        length_s = MAX_GANG_HOLD_S
        if not job.is_gang:
            needed = min(needed, MAX_HELD_TASKS)
            length_s = MAX_JOB_HOLD_S
        chosen = self._choose(job.shape, needed)
        if not chosen:
            return
        self.reservation_by_job[job.id] = Hold(
            job.id, chosen, now, now + length_s, job.is_gang
        )
        for worker_id in chosen:
            worker = self._cell.worker_by_id[worker_id]
            worker.reserved_for = job.id
            self._cell.reindex(worker)

    def drop(self, job: JobId) -> None:
        """Give the workers held for a job back to everybody."""
        hold = self.reservation_by_job.pop(job, None)
        for worker_id in hold.workers if hold else ():
            worker = self._cell.worker_by_id.get(worker_id)
            if worker is not None and worker.reserved_for == job:
                worker.reserved_for = ''
                self._cell.reindex(worker)

    def drop_old(self, book: WaitingJobs, now: float) -> None:
        """Drop holds that took too long or whose job waits no more."""
        for hold in list(self.reservation_by_job.values()):
            if now >= hold.until or hold.job not in book.job_by_id:
                self.drop(hold.job)

    def may_backfill(self, job: WaitingJob, now: float) -> bool:
        """Tell whether a job surely ends before a held one can start."""
        if (
            not self.reservation_by_job
            or job.expected_run_s is None
            or job.is_gang
        ):
            return False
        if job.id in self.reservation_by_job:
            return False
        ends_at = now + job.expected_run_s * BACKFILL_SAFETY
        return ends_at < min(
            map(self._ready_at, self.reservation_by_job.values())
        )

    def _has_gang(self) -> bool:
        return any(hold.is_gang for hold in self.reservation_by_job.values())

    def _choose(self, shape: TaskShape, needed: int) -> list[WorkerId]:
        chosen: list[WorkerId] = []
        by_room = sorted(
            self._cell.worker_by_id.values(),
            key=lambda worker: -_room(worker, shape),
        )
        for worker in by_room:
            if needed <= 0:
                return chosen
            if not worker.is_eligible or worker.reserved_for:
                continue
            if not shape.suits(worker.worker_class):
                continue
            room = self._reclaimable(worker, shape)
            if room > 0:
                chosen.append(worker.id)
                needed -= room
        return chosen if needed <= 0 else []

    def _reclaimable(self, worker: Worker, shape: TaskShape) -> int:
        """Return the tasks that fit once what ends by itself has ended."""
        staying = NO_RESOURCES
        for key in worker.allocation_by_key:
            task = self._task_by_key.get(TaskKey(key))
            if task is not None and task.kind is JobKind.SERVICE:
                staying += task.resources
        return _tasks_that_fit(shape, worker.capacity - staying)

    def _ready_at(self, hold: Hold) -> float:
        # A hold is ready once the longest known task on it has ended.
        ends = (
            self._expected_end(TaskKey(key))
            for worker_id in hold.workers
            if worker_id in self._cell.worker_by_id
            for key in self._cell.worker_by_id[worker_id].allocation_by_key
        )
        return max(ends, default=0.0)

    def _expected_end(self, key: TaskKey) -> float:
        task = self._task_by_key.get(key)
        if task is None or task.kind is JobKind.SERVICE:
            return 0.0
        run_s = self._estimator.estimate_run_s(task.team, task.name, None)
        return task.started_at + (run_s or 0.0)


def _tasks_that_fit(shape: TaskShape, room: Resources) -> int:
    counts = [
        have // want
        for want, have in (
            (shape.cores_m, room.cores_m),
            (shape.memory_mb, room.memory_mb),
            (shape.accelerators, room.accelerators),
        )
        if want > 0
    ]
    return min(counts, default=0)


def _room(worker: Worker, shape: TaskShape) -> float:
    if not shape.cores_m:
        return float(worker.free_memory_mb)
    return worker.free_cores_m / shape.cores_m
