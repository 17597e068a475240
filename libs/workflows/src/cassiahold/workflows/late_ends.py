"""Ends of attempts that were given up as lost before their worker told them.

Such an attempt may have ended as done or failed.  Its end still counts for the
task, once, and an attempt that has replaced it is not needed any more.
"""

import typing

from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobRecord,
    TaskRecord,
)

# Of a task; the oldest are forgotten when there are more.
MAX_LOST_ATTEMPTS_PER_TASK: typing.Final = 16


def remember_lost(task: TaskRecord, attempt_number: int) -> None:
    """Remember an attempt that was given up and may still report an end."""
    numbers = [*task.lost_attempt_numbers, attempt_number]
    task.lost_attempt_numbers = numbers[-MAX_LOST_ATTEMPTS_PER_TASK:]


def is_uncounted(
    record: JobRecord | None, attempt: AttemptKey, outcome: AttemptOutcome
) -> bool:
    """Tell whether an end that is told late would still count."""
    if record is None or not record.is_open:
        return False
    task = record.find_task(attempt.task)
    if task is None or task.is_done:
        return False
    if record.spec.steps[attempt.task.step.step_index].is_long_running:
        # It always runs again.
        return False
    if outcome is AttemptOutcome.DONE:
        # No end as done of the task has been counted yet.
        active = task.active_attempt
        is_active = (
            active is not None
            and active.attempt_number == attempt.attempt_number
        )
        was_started = 1 <= attempt.attempt_number <= task.last_attempt_number
        return was_started and not is_active
    return (
        outcome is AttemptOutcome.FAILED
        and attempt.attempt_number in task.lost_attempt_numbers
    )


def replaced_attempts(
    record: JobRecord, attempt: AttemptKey
) -> list[AttemptKey]:
    """Return the attempts that run for what another attempt has done.

    For a member of a gang these are the members of its later attempts.
    """
    key = attempt.task.step
    tasks = record.step(key).tasks
    is_gang = record.spec.steps[key.step_index].is_gang
    return [
        AttemptKey(
            attempt.task._replace(task_index=index),
            task.active_attempt.attempt_number,
        )
        for index, task in enumerate(tasks)
        if (is_gang or index == attempt.task.task_index)
        and task.active_attempt is not None
        and task.active_attempt.attempt_number != attempt.attempt_number
    ]
