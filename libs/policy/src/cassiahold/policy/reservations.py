"""Workers kept free for gangs and for jobs that smaller ones starve."""

import typing

import msgspec

from cassiahold.core.ids import JobId, TaskKey, WorkerId
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.cell import Cell
from cassiahold.policy.estimates import Estimator
from cassiahold.policy.preemption import RunningTask
from cassiahold.policy.shapes import Shape
from cassiahold.policy.waiting import WaitingBook, WaitingJob
from cassiahold.policy.workers import Worker

GANG_RESERVATION_DELAY_S: typing.Final = (
    10.0  # a gang waits this long before a hold
)
# A job that could not start from its hold makes room for the next one.
MAX_GANG_RESERVATION_S: typing.Final = 600.0
MAX_JOB_RESERVATION_S: typing.Final = 30.0
MAX_RESERVATIONS: typing.Final = 8
MAX_RESERVED_TASKS: typing.Final = 16  # of a job that is not a gang
BACKFILL_SAFETY_FACTOR: typing.Final = 1.2


class Reservation(msgspec.Struct):
    """Workers that are kept free for one job."""

    job: JobId
    workers: list[WorkerId]
    reserved_at: float
    expires_at: float
    is_gang: bool


class ReservationRegistry:
    """Every hold, by the job that it is for."""

    def __init__(
        self,
        worker_pool: Cell,
        task_by_key: dict[TaskKey, RunningTask],
        estimator: Estimator,
    ) -> None:
        self.by_job: dict[JobId, Reservation] = {}
        self._worker_pool = worker_pool
        self._task_by_key = task_by_key
        self._estimator = estimator

    def reserve_for(self, job: WaitingJob, now: float) -> None:
        """Hold workers that together will have room for a job."""
        if job.id in self.by_job or len(self.by_job) >= MAX_RESERVATIONS:
            return
        if job.is_gang and self._has_gang_reservation():
            # Two gangs must never hold half of what each needs.
            return
        needed = len(job.pending)
        length_s = MAX_GANG_RESERVATION_S
        if not job.is_gang:
            needed = min(needed, MAX_RESERVED_TASKS)
            length_s = MAX_JOB_RESERVATION_S
        chosen = self._choose_workers(job.shape, needed)
        if not chosen:
            return
        self.by_job[job.id] = Reservation(
            job.id, chosen, now, now + length_s, job.is_gang
        )
        for worker_id in chosen:
            worker = self._worker_pool.worker_by_id[worker_id]
            worker.held_for = job.id
            self._worker_pool.reindex(worker)

    def release(self, job: JobId) -> None:
        """Give the workers held for a job back to everybody."""
        hold = self.by_job.pop(job, None)
        for worker_id in hold.workers if hold else ():
            worker = self._worker_pool.worker_by_id.get(worker_id)
            if worker is not None and worker.held_for == job:
                worker.held_for = ''
                self._worker_pool.reindex(worker)

    def release_expired(self, waiting_jobs: WaitingBook, now: float) -> None:
        """Drop holds that took too long or whose job waits no more."""
        for hold in list(self.by_job.values()):
            if now >= hold.expires_at or hold.job not in waiting_jobs.job_by_id:
                self.release(hold.job)

    def may_backfill(self, job: WaitingJob, now: float) -> bool:
        """Tell whether a job surely ends before a held one can start."""
        if not self.by_job or job.run_s is None or job.is_gang:
            return False
        if job.id in self.by_job:
            return False
        ends_at = now + job.run_s * BACKFILL_SAFETY_FACTOR
        return ends_at < min(map(self._expected_ready_at, self.by_job.values()))

    def _has_gang_reservation(self) -> bool:
        return any(hold.is_gang for hold in self.by_job.values())

    def _choose_workers(self, shape: Shape, needed: int) -> list[WorkerId]:
        chosen: list[WorkerId] = []
        by_room = sorted(
            self._worker_pool.worker_by_id.values(),
            key=lambda worker: -_free_task_slots(worker, shape),
        )
        for worker in by_room:
            if needed <= 0:
                return chosen
            if not worker.is_eligible or worker.held_for:
                continue
            if not shape.allows_class(worker.worker_class):
                continue
            room = self._reclaimable_task_count(worker, shape)
            if room > 0:
                chosen.append(worker.id)
                needed -= room
        return chosen if needed <= 0 else []

    def _reclaimable_task_count(self, worker: Worker, shape: Shape) -> int:
        """Return the tasks that fit once what ends by itself has ended."""
        staying = NOTHING
        for key in worker.holder_by_key:
            task = self._task_by_key.get(TaskKey(key))
            if task is not None and task.kind is JobKind.SERVICE:
                staying += task.resources
        return _fitting_task_count(shape, worker.capacity - staying)

    def _expected_ready_at(self, hold: Reservation) -> float:
        # A hold is ready once the longest known task on it has ended.
        ends = (
            self._expected_end(TaskKey(key))
            for worker_id in hold.workers
            if worker_id in self._worker_pool.worker_by_id
            for key in self._worker_pool.worker_by_id[worker_id].holder_by_key
        )
        return max(ends, default=0.0)

    def _expected_end(self, key: TaskKey) -> float:
        task = self._task_by_key.get(key)
        if task is None or task.kind is JobKind.SERVICE:
            return 0.0
        run_s = self._estimator.run_time(task.team, task.name, None)
        return task.started_at + (run_s or 0.0)


def _fitting_task_count(shape: Shape, room: Resources) -> int:
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


def _free_task_slots(worker: Worker, shape: Shape) -> float:
    if not shape.cores_m:
        return float(worker.free_memory_mb)
    return worker.free_cores_m / shape.cores_m
