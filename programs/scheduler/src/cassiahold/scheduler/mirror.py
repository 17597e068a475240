"""Keeps the planner in step with the replicated state at the leader."""

import functools
import heapq
import typing

from cassiahold.cellstate import effects
from cassiahold.cellstate.jobs import JobRecord, WorkerRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.ids import JobId, TaskKey, TeamName, WorkerId
from cassiahold.core.states import JobKind, TaskState
from cassiahold.policy.decisions import task_key
from cassiahold.policy.planner import Planner
from cassiahold.policy.preemption import RunningTask
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.workers import Worker, WorkerState


class Mirror:
    """Feeds the planner from effects, or from scratch."""

    def __init__(self, state: SchedulerState, now: float) -> None:
        self.planner = Planner()
        self.is_dirty = True
        self.deadlines: list[tuple[float, JobId]] = []
        self._state = state
        self._delayed: list[tuple[float, JobId, int]] = []
        self._pause_by_task: dict[TaskKey, float] = {}
        self._rebuild(now)

    def follow(self, now: float) -> None:
        """Take over what the last commands changed."""
        for effect in self._state.pop_effects():
            self.is_dirty = True
            _take(effect, self, now)

    def back_off(self, job: JobId, index: int, pause_s: float) -> None:
        """Let a task pause that is about to be recorded as failed."""
        self._pause_by_task[task_key(job, index)] = pause_s

    def release_delayed(self, now: float) -> None:
        """Let tasks whose pause is over wait again."""
        while self._delayed and self._delayed[0][0] <= now:
            _, job, index = heapq.heappop(self._delayed)
            self.queue(job, index, now)

    def queue(self, job_id: JobId, index: int, now: float) -> None:
        """Let a task wait if the state says that it does."""
        record = self._state.job_by_id.get(job_id)
        if record is None:
            return
        if record.spec.kind is not JobKind.GANG:
            self._queue_one(record, index, now)
            return
        # A gang waits as a whole, once none of its tasks runs any more.
        if any(task.state is TaskState.RUNNING for task in record.tasks):
            return
        for position, _ in enumerate(record.tasks):
            self._queue_one(record, position, now)

    def queue_after_pause(self, job: JobId, index: int, now: float) -> None:
        """Let a task wait, at once or once its pause is over."""
        pause_s = self._pause_by_task.pop(task_key(job, index), 0.0)
        if pause_s > 0:
            heapq.heappush(self._delayed, (now + pause_s, job, index))
        else:
            self.queue(job, index, now)

    def _queue_one(self, record: JobRecord, index: int, now: float) -> None:
        if record.tasks[index].state is not TaskState.WAITING:
            return
        known = self.planner.waiting_jobs.job_by_id.get(record.id)
        if known is not None and known.is_task_pending(index):
            return
        self.is_dirty = True
        self.planner.waiting_jobs.add_task(
            known or self._waiting_job(record, now), index
        )

    def set_bounds(self) -> None:
        """Take shares, limits and policies from the state."""
        planner = self.planner
        configuration = self._state.configuration
        planner.limits_by_team = {}
        for name, team in configuration.team_by_name.items():
            allowance = self._state.team_quota(name)
            planner.limits_by_team[name] = TeamLimits(
                team.share, allowance.resources, allowance.tasks
            )
        planner.must_check_limits = True
        policy = configuration.placement
        planner.urgent_budget = policy.urgent_budget
        planner.spreads_racks = policy.spread.value == 'rack'
        planner.failure_tracker.quarantine_after = policy.quarantine_after

    def set_worker(self, worker_id: WorkerId) -> None:
        """Take a worker's capacity and standing from the state."""
        record = self._state.worker_by_id.get(worker_id)
        cell = self.planner.worker_pool
        if record is None:
            cell.remove(worker_id)
            self.planner.failure_tracker.remove_worker(worker_id)
            return
        self.planner.failure_tracker.add_worker(worker_id, record.rack)
        known = cell.worker_by_id.get(worker_id)
        worker = _worker(record)
        if known is not None:
            for key, resources in known.allocation_by_key.items():
                worker.allocate(key, resources)
            worker.reserved_for = known.reserved_for
        cell.add(worker)
        self.set_standing(worker_id)

    def set_standing(self, worker_id: WorkerId) -> None:
        """Combine what the state and the blame say of a worker."""
        record = self._state.worker_by_id.get(worker_id)
        worker = self.planner.worker_pool.worker_by_id.get(worker_id)
        if record is None or worker is None:
            return
        cap = self.planner.failure_tracker.concurrency_limit(worker_id)
        worker.concurrency_limit = cap
        if record.is_lost:
            worker.state = WorkerState.LOST
        elif record.is_draining:
            worker.state = WorkerState.DRAINING
        elif cap == 0:
            worker.state = WorkerState.QUARANTINED
        else:
            worker.state = (
                WorkerState.AVAILABLE if cap is None else WorkerState.UNPROVEN
            )
        self.planner.worker_pool.reindex(worker)
        self.is_dirty = True

    def confirm(self, effect: effects.AttemptStarted, now: float) -> None:
        """Record that a planned start is committed."""
        key = task_key(effect.job, effect.index)
        task = self.planner.task_by_key.get(key)
        if task is not None:
            task.started_at = now
            return
        # A start that another leader decided.
        worker = self.planner.worker_pool.worker_by_id[effect.worker]
        worker.allocate(key, effect.resources)
        self.planner.worker_pool.reindex(worker)
        self._add_running(
            self._state.job_by_id[effect.job],
            effect.index,
            effect.worker,
            effect.resources,
            now,
        )

    def release(self, job: JobId, index: int) -> None:
        """Free what a task held."""
        task = self.planner.record_end(task_key(job, index))
        if task is not None:
            self.set_standing(task.worker)

    def _rebuild(self, now: float) -> None:
        state = self._state
        state.pop_effects()
        self.set_bounds()
        for worker_id in state.worker_by_id:
            self.set_worker(worker_id)
        for record in state.job_by_id.values():
            if record.is_finished:
                continue
            self.note_deadline(record)
            for index, task in enumerate(record.tasks):
                if task.state is TaskState.WAITING:
                    self.queue(record.id, index, now)
        for worker in state.worker_by_id.values():
            for reservation in worker.allocation_by_attempt.values():
                key = task_key(reservation.job, reservation.index)
                mirrored = self.planner.worker_pool.worker_by_id[worker.id]
                mirrored.allocate(key, reservation.resources)
                self._add_running(
                    state.job_by_id[reservation.job],
                    reservation.index,
                    worker.id,
                    reservation.resources,
                    now,
                )
            if worker.allocation_by_attempt:
                self.planner.failure_tracker.record_long_run(worker.id)
            self.set_standing(worker.id)

    def note_deadline(self, record: JobRecord) -> None:
        """Remember when a job's waiting tasks expire."""
        if record.deadline_at is not None:
            heapq.heappush(self.deadlines, (record.deadline_at, record.id))

    def pop_deadline(self) -> JobId:
        """Remove and return the job whose deadline comes first."""
        return heapq.heappop(self.deadlines)[1]

    def _add_running(
        self,
        record: JobRecord,
        index: int,
        worker: WorkerId,
        resources: typing.Any,
        now: float,
    ) -> None:
        spec = record.spec
        self.planner.record_start(
            RunningTask(
                task_key(record.id, index),
                record.id,
                index,
                record.team,
                worker,
                resources,
                now,
                spec.kind,
                spec.name,
                spec.urgent,
                spec.idempotent,
            )
        )

    def _waiting_job(self, record: JobRecord, now: float) -> WaitingJob:
        spec = record.spec
        estimator = self.planner.estimator
        resources = estimator.estimate_resources(
            record.team, spec.name, spec.resources
        )
        return WaitingJob(
            record.id,
            TeamName(record.team),
            TaskShape(
                resources.cores_m,
                resources.memory_mb,
                resources.accelerators,
                spec.worker_class,
                spec.avoid_class,
            ),
            now,
            kind=spec.kind,
            name=spec.name,
            is_urgent=spec.urgent,
            is_idempotent=spec.idempotent,
            expected_run_s=estimator.estimate_run_s(
                record.team, spec.name, spec.run_s
            ),
            declared_resources=spec.resources,
        )


def _worker(record: WorkerRecord) -> Worker:
    return Worker(
        record.id,
        record.capacity,
        record.worker_class,
        record.rack,
        record.speed,
    )


@functools.singledispatch
def _take(effect: object, mirror: Mirror, now: float) -> None:
    raise TypeError(f'unknown effect {effect!r}')


@_take.register
def _(effect: effects.TaskQueued, mirror: Mirror, now: float) -> None:
    mirror.queue_after_pause(effect.job, effect.index, now)


@_take.register
def _(effect: effects.TaskDequeued, mirror: Mirror, now: float) -> None:
    mirror.planner.waiting_jobs.remove_task(effect.job, effect.index)


@_take.register
def _(effect: effects.AttemptStarted, mirror: Mirror, now: float) -> None:
    mirror.confirm(effect, now)


@_take.register
def _(effect: effects.AttemptRejected, mirror: Mirror, now: float) -> None:
    mirror.release(effect.job, effect.index)
    mirror.queue(effect.job, effect.index, now)


@_take.register
def _(effect: effects.AttemptEnded, mirror: Mirror, now: float) -> None:
    mirror.release(effect.job, effect.index)


@_take.register
def _(effect: effects.WorkerChanged, mirror: Mirror, now: float) -> None:
    mirror.set_worker(effect.worker)


@_take.register
def _(effect: effects.ConfigurationChanged, mirror: Mirror, now: float) -> None:
    mirror.set_bounds()
