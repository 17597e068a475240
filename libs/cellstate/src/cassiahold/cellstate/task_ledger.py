"""Changes of task records and of what their attempts occupy.

Every change keeps the allocations of workers, the usage of teams and the
counts of queues in step, and leaves an effect for the leader.
"""

import typing

from cassiahold.cellstate import effects
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import (
    Allocation,
    JobRecord,
    TaskRecord,
    WorkerRecord,
    attempt_id,
)
from cassiahold.cellstate.late_results import remember_lost
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.cellstate.stored_state import StoredState
from cassiahold.cellstate.task_transitions import state_after_loss
from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.states import FailureReason, TaskState

_STATES_WITHOUT_SUCCESS: typing.Final = frozenset(
    (TaskState.WAITING, TaskState.FAILED)
)


class TaskLedger:
    """The tasks of a stored state, with their allocations and counts."""

    def __init__(
        self, stored: StoredState, pending_effects: list[effects.Effect]
    ) -> None:
        self._stored = stored
        self._effects = pending_effects

    def adjust_waiting_count(self, record: JobRecord, change: int) -> None:
        """Count tasks of a job that begin or cease to wait in its queue."""
        count_by_queue = self._stored.waiting_count_by_queue
        queue = record.spec.queue
        count_by_queue[queue] = count_by_queue.get(queue, 0) + change

    def start_group(self, group: list[commands.AttemptStart]) -> bool:
        """Start a group of tasks if each start is valid; return whether."""
        if not self._may_start_group(group):
            return False
        for start in group:
            self._start_attempt(start)
        return True

    def release_allocation(self, record: JobRecord, index: int) -> None:
        """Release what the current attempt of a task occupies."""
        task = record.tasks[index]
        if task.worker is None:
            raise InvariantError(
                2, f'task {record.id}/{index} has no allocation to release'
            )
        worker = self._stored.worker_by_id[task.worker]
        attempt = attempt_id(record.id, index, task.attempt)
        allocation = worker.allocation_by_attempt.pop(attempt)
        worker.allocated_resources -= allocation.resources
        usage = self._stored.team_usage(record.team)
        self._stored.usage_by_team[record.team] = usage - ResourceTotals(
            allocation.resources, 1
        )
        task.worker = None
        self._effects.append(
            effects.AttemptEnded(record.id, index, attempt, worker.id)
        )

    def set_task_state(
        self,
        record: JobRecord,
        index: int,
        state: TaskState,
        note: str,
        changed_at: float,
    ) -> None:
        """Change the state of a task, and what follows for its job.

        A task of which an earlier attempt is done neither waits nor fails.
        """
        task = record.tasks[index]
        if task.is_done_late and state in _STATES_WITHOUT_SUCCESS:
            state = TaskState.DONE
        if state is TaskState.FAILED and record.failure_reason is None:
            record.failure_reason = FailureReason.ATTEMPTS
        if state is TaskState.NOT_RUN and task.may_have_run:
            raise InvariantError(
                6,
                f'task {record.id}/{index} may have run and cannot be '
                f'recorded as not run',
            )
        was_waiting = task.state is TaskState.WAITING
        task.state = state
        task.note = note
        if state is TaskState.WAITING:
            self.adjust_waiting_count(record, 1)
            self._effects.append(effects.TaskQueued(record.id, index))
        elif was_waiting:
            self.adjust_waiting_count(record, -1)
            self._effects.append(effects.TaskDequeued(record.id, index))
        if state.is_final:
            record.open_task_count -= 1
            if record.is_finished:
                record.finished_at = changed_at
        record.is_restarting = _must_restart(record, state)

    def end_waiting_tasks(
        self, record: JobRecord, state: TaskState, note: str, ended_at: float
    ) -> None:
        """End the waiting tasks of a job with a note.

        None that may have run is recorded as not run.
        """
        for index, task in enumerate(record.tasks):
            if task.state is not TaskState.WAITING:
                continue
            final_state = state
            if state is TaskState.NOT_RUN and task.may_have_run:
                final_state = TaskState.MAY_HAVE_RUN
            self.set_task_state(record, index, final_state, note, ended_at)

    def lose_attempts(self, worker: WorkerRecord, lost_at: float) -> None:
        """End the attempts of a worker that is gone."""
        for allocation in list(worker.allocation_by_attempt.values()):
            record = self._stored.job_by_id[allocation.job]
            task = record.tasks[allocation.index]
            self.release_allocation(record, allocation.index)
            task.may_have_run = True
            remember_lost(task)
            self.set_task_state(
                record,
                allocation.index,
                state_after_loss(record, task),
                f'worker {worker.id} was lost',
                lost_at,
            )

    def _may_start_group(self, group: list[commands.AttemptStart]) -> bool:
        needed_by_worker: dict[WorkerId, typing.Any] = {}
        needed_by_team: dict[TeamName, ResourceTotals] = {}
        for start in group:
            record = self._stored.job_by_id.get(start.job)
            worker = self._stored.worker_by_id.get(start.worker)
            if record is None or worker is None:
                return False
            task = record.tasks[start.index]
            if not _may_start(record, task, worker, start):
                return False
            needed = needed_by_worker.get(
                start.worker, worker.allocated_resources
            )
            needed_by_worker[start.worker] = needed + start.resources
            if not needed_by_worker[start.worker].fits_in(worker.capacity):
                return False
            usage = needed_by_team.get(
                record.team, self._stored.team_usage(record.team)
            )
            usage += ResourceTotals(start.resources, 1)
            needed_by_team[record.team] = usage
            if not usage.fits_in(self._stored.team_quota(record.team)):
                return False
        return True

    def _start_attempt(self, start: commands.AttemptStart) -> None:
        record = self._stored.job_by_id[start.job]
        worker = self._stored.worker_by_id[start.worker]
        task = record.tasks[start.index]
        attempt = attempt_id(start.job, start.index, start.attempt)
        if task.worker is not None:
            raise InvariantError(
                2,
                f'attempt {attempt} would start while the task has an '
                f'allocation on worker {task.worker}',
            )
        if task.may_have_run and not record.spec.idempotent:
            raise InvariantError(
                7,
                f'attempt {attempt} would run a task a second time that is '
                f'not idempotent',
            )
        task.state = TaskState.RUNNING
        task.attempt = start.attempt
        task.worker = start.worker
        worker.allocated_resources += start.resources
        worker.allocation_by_attempt[attempt] = Allocation(
            start.job, start.index, start.resources
        )
        usage = self._stored.team_usage(record.team) + ResourceTotals(
            start.resources, 1
        )
        self._stored.usage_by_team[record.team] = usage
        self.adjust_waiting_count(record, -1)
        if not worker.allocated_resources.fits_in(worker.capacity):
            raise InvariantError(
                1,
                f'worker {worker.id} has {worker.allocated_resources} '
                f'allocated, more than its capacity',
            )
        if not usage.fits_in(self._stored.team_quota(record.team)):
            raise InvariantError(
                4,
                f'team {record.team!r} runs {usage}, more than its quota',
            )
        self._effects.append(
            effects.AttemptStarted(
                start.job, start.index, attempt, worker.id, start.resources
            )
        )


def _may_start(
    record: JobRecord,
    task: TaskRecord,
    worker: WorkerRecord,
    start: commands.AttemptStart,
) -> bool:
    return (
        task.state is TaskState.WAITING
        and start.attempt == task.attempt + 1
        and not record.is_restarting
        and not record.is_stopping
        and not worker.is_departing
        and not worker.is_lost
    )


def _must_restart(record: JobRecord, state: TaskState) -> bool:
    # A gang runs whole or not at all, so one waiting task stops the others.
    if record.spec.kind.value != 'gang' or record.is_stopping:
        return False
    if not record.is_restarting and state is not TaskState.WAITING:
        return False
    return any(task.state is TaskState.RUNNING for task in record.tasks)
