"""Results of attempts that were lost before their workers reported them.

A worker that is declared lost may only be cut off.  When it returns in the
same incarnation, it reports the attempts that ended before its lease expired.
Such a result still counts for the task, once.
"""

import typing

from cassiahold.cellstate.jobs import JobRecord, TaskRecord
from cassiahold.cellstate.scheduler_commands import AttemptResult
from cassiahold.core.states import AttemptOutcome, JobKind, TaskState

# Of a task; the oldest are forgotten when there are more.
MAX_LOST_ATTEMPTS_PER_TASK: typing.Final = 16


def remember_lost(task: TaskRecord) -> None:
    """Remember the current attempt, whose worker may still report its end."""
    numbers = (*task.lost_attempts, task.attempt)
    task.lost_attempts = numbers[-MAX_LOST_ATTEMPTS_PER_TASK:]


def is_uncounted(
    record: JobRecord, index: int, attempt: int, outcome: AttemptOutcome
) -> bool:
    """Tell whether the result of an earlier attempt would still count.

    A task that is not done has no attempt whose success was counted, so a
    success needs no memory.  Tasks of services start again after any end.
    """
    if record.spec.kind is JobKind.SERVICE:
        return False
    if not 0 <= index < len(record.tasks):
        return False
    task = record.tasks[index]
    if task.state.is_final or task.is_done_late:
        return False
    if outcome is AttemptOutcome.DONE:
        is_running = task.state is TaskState.RUNNING
        return 0 < attempt <= task.attempt - int(is_running)
    return outcome is AttemptOutcome.FAILED and attempt in task.lost_attempts


def count_late_result(
    record: JobRecord, result: AttemptResult, max_attempts: int
) -> TaskState | None:
    """Count the result of an earlier attempt of a task.

    Returns the state that follows for a task that waits, None if none does.
    A task that runs again keeps its state until that attempt ends.
    """
    task = record.tasks[result.index]
    if result.outcome is AttemptOutcome.DONE:
        task.is_done_late = True
        next_state = TaskState.DONE
    else:
        task.lost_attempts = tuple(
            number for number in task.lost_attempts if number != result.attempt
        )
        task.failure_count += int(result.counts_against_job)
        if task.failure_count < max_attempts:
            return None
        next_state = TaskState.FAILED
    return next_state if task.state is TaskState.WAITING else None
