"""Reservations that keep workers free for jobs that would starve.

A gang needs capacity for all its tasks at once, and a large task needs more
than small tasks leave free.  A reservation keeps whole workers from other jobs
until the job fits.  Jobs that are expected to end before that may use the
reserved workers meanwhile (backfill).  Times are in seconds.
"""

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

# A gang waits this long before workers are reserved for it.
GANG_RESERVATION_DELAY_S: typing.Final = 10.0
# A reservation whose job has not started by then is released for the next.
MAX_GANG_RESERVATION_S: typing.Final = 600.0
MAX_JOB_RESERVATION_S: typing.Final = 30.0
MAX_RESERVATIONS: typing.Final = 8
MAX_RESERVED_TASKS: typing.Final = 16  # of a job that is not a gang
BACKFILL_SAFETY_FACTOR: typing.Final = 1.2  # on the expected run time


class Reservation(msgspec.Struct):
    """The workers reserved for one job, and until when."""

    job: JobId
    workers: list[WorkerId]
    reserved_at: float
    expires_at: float
    is_gang: bool


class ReservationRegistry:
    """Creates and releases reservations; a job has at most one.

    The pool, the running tasks and the estimator are shared with the planner.
    """

    def __init__(
        self,
        worker_pool: WorkerPool,
        task_by_key: dict[TaskKey, RunningTask],
        estimator: Estimator,
    ) -> None:
        self.reservation_by_job: dict[JobId, Reservation] = {}
        self._worker_pool = worker_pool
        self._task_by_key = task_by_key
        self._estimator = estimator

    def reserve_for(self, job: WaitingJob, now: float) -> None:
        """Reserve workers that together will have capacity for a job.

        Nothing is reserved when the job already has a reservation, when a
        limit is reached, or when the workers cannot provide enough capacity.
        """
        if (
            job.id in self.reservation_by_job
            or len(self.reservation_by_job) >= MAX_RESERVATIONS
        ):
            return
        if job.is_gang and self._has_gang_reservation():
            # Two gangs that each reserve half of what they need deadlock.
            return
        needed = len(job.pending_indexes)
        duration_s = MAX_GANG_RESERVATION_S
        if not job.is_gang:
            needed = min(needed, MAX_RESERVED_TASKS)
            duration_s = MAX_JOB_RESERVATION_S
        chosen = self._choose_workers(job.shape, needed)
        if not chosen:
            return
        self.reservation_by_job[job.id] = Reservation(
            job.id, chosen, now, now + duration_s, job.is_gang
        )
        for worker_id in chosen:
            worker = self._worker_pool.worker_by_id[worker_id]
            worker.reserved_for = job.id
            self._worker_pool.reindex(worker)

    def release(self, job: JobId) -> None:
        """Release the workers reserved for a job; other jobs may use them."""
        reservation = self.reservation_by_job.pop(job, None)
        for worker_id in reservation.workers if reservation else ():
            worker = self._worker_pool.worker_by_id.get(worker_id)
            if worker is not None and worker.reserved_for == job:
                worker.reserved_for = ''
                self._worker_pool.reindex(worker)

    def release_obsolete(self, waiting_jobs: WaitingJobs, now: float) -> None:
        """Release reservations that cannot help their job any more.

        They have expired, their job no longer waits, one of their workers is
        gone or gets no tasks, or the workers will not have enough capacity.
        The job may reserve other workers in the same round.
        """
        for reservation in list(self.reservation_by_job.values()):
            job = waiting_jobs.job_by_id.get(reservation.job)
            if (
                job is None
                or now >= reservation.expires_at
                or not all(map(self._is_usable, reservation.workers))
                or not self._has_capacity(reservation, job)
            ):
                self.release(reservation.job)

    def _has_capacity(self, reservation: Reservation, job: WaitingJob) -> bool:
        """Tell whether the reserved workers will have capacity for a job.

        A gang needs it for all tasks, another job for one.
        """
        needed = len(job.pending_indexes) if job.is_gang else 1
        for worker_id in reservation.workers:
            worker = self._worker_pool.worker_by_id[worker_id]
            # A worker that was removed and has returned is not reserved.
            if worker.reserved_for == job.id:
                needed -= self._reclaimable_task_count(worker, job.shape)
        return needed <= 0

    def may_backfill(self, job: WaitingJob, now: float) -> bool:
        """Tell whether a job ends before any reservation can be used.

        The expected run time counts with a safety factor.
        """
        if (
            not self.reservation_by_job
            or job.expected_run_s is None
            or job.is_gang
        ):
            return False
        if job.id in self.reservation_by_job:
            return False
        ends_at = now + job.expected_run_s * BACKFILL_SAFETY_FACTOR
        return ends_at < min(
            map(self._expected_ready_at, self.reservation_by_job.values())
        )

    def _is_usable(self, worker_id: WorkerId) -> bool:
        worker = self._worker_pool.worker_by_id.get(worker_id)
        return worker is not None and worker.is_usable

    def _has_gang_reservation(self) -> bool:
        return any(
            reservation.is_gang
            for reservation in self.reservation_by_job.values()
        )

    def _choose_workers(self, shape: TaskShape, needed: int) -> list[WorkerId]:
        chosen: list[WorkerId] = []
        most_free_first = sorted(
            self._worker_pool.worker_by_id.values(),
            key=lambda worker: -_free_capacity_sort_key(worker, shape),
        )
        for worker in most_free_first:
            if needed <= 0:
                return chosen
            if not worker.is_eligible or worker.reserved_for:
                continue
            if not shape.allows_class(worker.worker_class):
                continue
            task_count = self._reclaimable_task_count(worker, shape)
            if task_count > 0:
                chosen.append(worker.id)
                needed -= task_count
        return chosen if needed <= 0 else []

    def _reclaimable_task_count(self, worker: Worker, shape: TaskShape) -> int:
        """Return how many tasks fit once all but services have ended.

        An unproven worker takes only a few at a time.
        """
        allocated_to_services = NO_RESOURCES
        service_count = 0
        for key in worker.allocation_by_key:
            task = self._task_by_key.get(TaskKey(key))
            if task is not None and task.kind is JobKind.SERVICE:
                allocated_to_services += task.resources
                service_count += 1
        fitting = _fitting_task_count(
            shape, worker.capacity - allocated_to_services
        )
        if worker.concurrency_limit is None:
            return fitting
        return min(fitting, worker.concurrency_limit - service_count)

    def _expected_ready_at(self, reservation: Reservation) -> float:
        # Ready once the last task with a known end has ended.
        ends = (
            self._expected_end(TaskKey(key))
            for worker_id in reservation.workers
            if worker_id in self._worker_pool.worker_by_id
            for key in self._worker_pool.worker_by_id[
                worker_id
            ].allocation_by_key
        )
        return max(ends, default=0.0)

    def _expected_end(self, key: TaskKey) -> float:
        task = self._task_by_key.get(key)
        if task is None or task.kind is JobKind.SERVICE:
            return 0.0
        run_s = self._estimator.estimate_run_s(task.team, task.name, None)
        return task.started_at + (run_s or 0.0)


def _fitting_task_count(shape: TaskShape, resources: Resources) -> int:
    counts = [
        available // needed
        for needed, available in (
            (shape.cores_m, resources.cores_m),
            (shape.memory_mb, resources.memory_mb),
            (shape.accelerators, resources.accelerators),
        )
        if needed > 0
    ]
    return min(counts, default=0)


def _free_capacity_sort_key(worker: Worker, shape: TaskShape) -> float:
    if not shape.cores_m:
        return float(worker.free_memory_mb)
    return worker.free_cores_m / shape.cores_m
