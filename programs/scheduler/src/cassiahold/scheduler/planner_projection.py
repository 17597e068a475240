"""Projection of the replicated state onto the leader's planner.

Only the leader has one.  It is built from the whole state when leadership
starts, and updated from the effects of each applied command afterwards.
"""

import functools
import heapq
import typing

from cassiahold.cellstate import effects
from cassiahold.cellstate.jobs import JobRecord, WorkerRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.crashes import is_suspect
from cassiahold.core.ids import JobId, TaskKey, TeamName, WorkerId
from cassiahold.core.metrics import Metrics
from cassiahold.core.states import JobKind, TaskState
from cassiahold.policy.decisions import task_key
from cassiahold.policy.planner import Planner
from cassiahold.policy.preemption import RunningTask
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.workers import Worker, WorkerState
from cassiahold.scheduler.crash_events import record_crash, record_given_up


class PlannerProjection:
    """Owns the planner and keeps it up to date with the replicated state.

    ``needs_plan`` is set by every change that may let a task start.
    ``deadline_heap`` holds the deadlines of jobs in wall time.
    """

    def __init__(
        self, state: SchedulerState, now: float, metrics: Metrics
    ) -> None:
        self.planner = Planner()
        self.metrics = metrics
        self.needs_plan = True
        self.deadline_heap: list[tuple[float, JobId]] = []
        self._state = state
        self._delayed_heap: list[tuple[float, JobId, int]] = []
        self._backoff_s_by_task: dict[TaskKey, float] = {}
        self._rebuild(now)

    def apply_effects(self, now: float) -> None:
        """Apply the changes made by the commands since the last call."""
        for effect in self._state.pop_effects():
            self.needs_plan = True
            _apply_effect(effect, self, now)

    def set_backoff(self, job: JobId, index: int, backoff_s: float) -> None:
        """Delay a task once its failure, now proposed, is committed."""
        self._backoff_s_by_task[task_key(job, index)] = backoff_s

    def queue_delayed(self, now: float) -> None:
        """Queue the tasks whose backoff has ended."""
        while self._delayed_heap and self._delayed_heap[0][0] <= now:
            _, job, index = heapq.heappop(self._delayed_heap)
            self.queue_task(job, index, now)

    def queue_task(self, job_id: JobId, index: int, now: float) -> None:
        """Queue a task that is waiting according to the state.

        Tasks of a gang are queued together, once none of them is running.
        """
        record = self._state.job_by_id.get(job_id)
        if record is None:
            return
        if record.spec.kind is not JobKind.GANG:
            self._queue_waiting_task(record, index, now)
            return
        if any(task.state is TaskState.RUNNING for task in record.tasks):
            return
        for gang_index, _ in enumerate(record.tasks):
            self._queue_waiting_task(record, gang_index, now)

    def queue_after_backoff(self, job: JobId, index: int, now: float) -> None:
        """Queue a task at once, or after its backoff if one is set.

        The deadline may have passed while the task ran, and then counts anew;
        services are restarted whenever they end.
        """
        record = self._state.job_by_id.get(job)
        if (
            record is not None
            and record.tasks[index].attempt
            and record.spec.kind is not JobKind.SERVICE
        ):
            self.add_deadline(record)
        backoff_s = self._backoff_s_by_task.pop(task_key(job, index), 0.0)
        if backoff_s > 0:
            heapq.heappush(self._delayed_heap, (now + backoff_s, job, index))
        else:
            self.queue_task(job, index, now)

    def queue_gang_after_end(self, job: JobId, index: int, now: float) -> None:
        """Queue the members that waited for a member which has now ended.

        A member that itself waits again is queued after its backoff.
        """
        record = self._state.job_by_id.get(job)
        if record is None or record.spec.kind is not JobKind.GANG:
            return
        if record.tasks[index].state is not TaskState.WAITING:
            self.queue_task(job, index, now)

    def _queue_waiting_task(
        self, record: JobRecord, index: int, now: float
    ) -> None:
        if record.tasks[index].state is not TaskState.WAITING:
            return
        queued_job = self.planner.waiting_jobs.job_by_id.get(record.id)
        if queued_job is not None and queued_job.is_task_pending(index):
            return
        self.needs_plan = True
        self.planner.waiting_jobs.add_task(
            queued_job or self._waiting_job(record, now),
            index,
            is_suspect=is_suspect(record.tasks[index].crash_score),
        )

    def requeue_suspect(self, job_id: JobId, index: int, now: float) -> None:
        """Let a waiting task that has become suspect wait for a trial."""
        waiting_job = self.planner.waiting_jobs.job_by_id.get(job_id)
        if waiting_job is not None and waiting_job.is_task_pending(index):
            self.planner.waiting_jobs.remove_task(job_id, index)
            self.queue_task(job_id, index, now)

    def record_given_up(self, job: JobId) -> None:
        """Log and count a job that was given up for its crashes."""
        record_given_up(self._state.job_by_id[job], self.metrics)

    def update_configuration(self) -> None:
        """Copy shares, limits and placement policies from the state."""
        planner = self.planner
        configuration = self._state.configuration
        planner.limits_by_team = {}
        for name, team in configuration.team_by_name.items():
            quota = self._state.team_quota(name)
            planner.limits_by_team[name] = TeamLimits(
                team.share, quota.resources, quota.tasks
            )
        planner.must_check_limits = True
        policy = configuration.placement
        planner.urgent_budget = policy.urgent_budget
        planner.spreads_racks = policy.spread.value == 'rack'
        planner.failure_tracker.quarantine_after = policy.quarantine_after

    def update_worker(self, worker_id: WorkerId) -> None:
        """Copy a worker's record from the state, or remove the worker."""
        record = self._state.worker_by_id.get(worker_id)
        worker_pool = self.planner.worker_pool
        if record is None:
            worker_pool.remove(worker_id)
            self.planner.trials.refresh(worker_id)
            self.planner.failure_tracker.remove_worker(worker_id)
            return
        self.planner.failure_tracker.add_worker(worker_id, record.rack)
        previous = worker_pool.worker_by_id.get(worker_id)
        worker = _to_worker(record)
        if previous is not None:
            for key, resources in previous.allocation_by_key.items():
                worker.allocate(key, resources)
            worker.reserved_for = previous.reserved_for
        worker_pool.add(worker)
        self.planner.trials.refresh(worker_id)
        self.update_worker_state(worker_id)

    def update_worker_state(self, worker_id: WorkerId) -> None:
        """Set whether a worker accepts tasks, and how many.

        A lost or draining worker accepts none.  Otherwise the record of its
        failures decides: a concurrency limit of 0 means quarantine.
        """
        record = self._state.worker_by_id.get(worker_id)
        worker = self.planner.worker_pool.worker_by_id.get(worker_id)
        if record is None or worker is None:
            return
        concurrency_limit = self.planner.failure_tracker.concurrency_limit(
            worker_id
        )
        worker.concurrency_limit = concurrency_limit
        if record.is_lost:
            worker.state = WorkerState.LOST
        elif record.is_departing:
            worker.state = WorkerState.DRAINING
        elif concurrency_limit == 0:
            worker.state = WorkerState.QUARANTINED
        else:
            worker.state = (
                WorkerState.AVAILABLE
                if concurrency_limit is None
                else WorkerState.UNPROVEN
            )
        self.planner.worker_pool.reindex(worker)
        self.needs_plan = True

    def confirm_start(self, effect: effects.AttemptStarted, now: float) -> None:
        """Record a committed task start, planned by this leader or not."""
        key = task_key(effect.job, effect.index)
        task = self.planner.task_by_key.get(key)
        if task is not None:
            task.started_at = now
            return
        # The start was proposed by an earlier leader.
        worker = self.planner.worker_pool.worker_by_id[effect.worker]
        worker.allocate(key, effect.resources)
        self.planner.worker_pool.reindex(worker)
        self._add_running_task(
            self._state.job_by_id[effect.job],
            effect.index,
            effect.worker,
            effect.resources,
            now,
        )

    def release_task(self, job: JobId, index: int) -> None:
        """Release the resources allocated to a task."""
        task = self.planner.record_end(task_key(job, index))
        if task is not None:
            self.update_worker_state(task.worker)

    def _rebuild(self, now: float) -> None:
        state = self._state
        state.pop_effects()
        self.update_configuration()
        for worker_id in state.worker_by_id:
            self.update_worker(worker_id)
        for record in state.job_by_id.values():
            if record.is_finished:
                continue
            self.add_deadline(record)
            for index, task in enumerate(record.tasks):
                if task.state is TaskState.WAITING:
                    self.queue_task(record.id, index, now)
        for worker in state.worker_by_id.values():
            for allocation in worker.allocation_by_attempt.values():
                key = task_key(allocation.job, allocation.index)
                pool_worker = self.planner.worker_pool.worker_by_id[worker.id]
                pool_worker.allocate(key, allocation.resources)
                self._add_running_task(
                    state.job_by_id[allocation.job],
                    allocation.index,
                    worker.id,
                    allocation.resources,
                    now,
                )
            if worker.allocation_by_attempt:
                self.planner.failure_tracker.record_long_run(worker.id)
            self.update_worker_state(worker.id)

    def add_deadline(self, record: JobRecord) -> None:
        """Add the deadline of a job, if it has one."""
        if record.deadline_at is not None:
            heapq.heappush(self.deadline_heap, (record.deadline_at, record.id))

    def pop_deadline(self) -> JobId:
        """Remove and return the job with the earliest deadline."""
        return heapq.heappop(self.deadline_heap)[1]

    def _add_running_task(
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
                is_suspect=is_suspect(record.tasks[index].crash_score),
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


def _to_worker(record: WorkerRecord) -> Worker:
    return Worker(
        record.id,
        record.capacity,
        record.worker_class,
        record.rack,
        record.speed,
    )


@functools.singledispatch
def _apply_effect(
    effect: object, projection: PlannerProjection, now: float
) -> None:
    raise TypeError(f'unknown effect {effect!r}')


@_apply_effect.register
def _(
    effect: effects.TaskQueued, projection: PlannerProjection, now: float
) -> None:
    projection.queue_after_backoff(effect.job, effect.index, now)


@_apply_effect.register
def _(
    effect: effects.TaskDequeued, projection: PlannerProjection, now: float
) -> None:
    projection.planner.waiting_jobs.remove_task(effect.job, effect.index)


@_apply_effect.register
def _(
    effect: effects.AttemptStarted, projection: PlannerProjection, now: float
) -> None:
    projection.confirm_start(effect, now)


@_apply_effect.register
def _(
    effect: effects.AttemptRejected, projection: PlannerProjection, now: float
) -> None:
    projection.release_task(effect.job, effect.index)
    projection.queue_task(effect.job, effect.index, now)


@_apply_effect.register
def _(
    effect: effects.AttemptEnded, projection: PlannerProjection, now: float
) -> None:
    projection.release_task(effect.job, effect.index)
    projection.queue_gang_after_end(effect.job, effect.index, now)


@_apply_effect.register
def _(
    effect: effects.WorkerChanged, projection: PlannerProjection, now: float
) -> None:
    projection.update_worker(effect.worker)


@_apply_effect.register
def _(
    effect: effects.WorkerCrashed, projection: PlannerProjection, now: float
) -> None:
    record_crash(effect, projection.metrics)


@_apply_effect.register
def _(
    effect: effects.TaskCharged, projection: PlannerProjection, now: float
) -> None:
    projection.requeue_suspect(effect.job, effect.index, now)


@_apply_effect.register
def _(
    effect: effects.JobGivenUp, projection: PlannerProjection, now: float
) -> None:
    projection.record_given_up(effect.job)


@_apply_effect.register
def _(
    effect: effects.ConfigurationChanged,
    projection: PlannerProjection,
    now: float,
) -> None:
    projection.update_configuration()
