"""Rules for which steps and tasks of a job may start."""

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.commands import AttemptStart
from cassiahold.workflows.model import (
    AttemptKey,
    JobRecord,
    StepKey,
    TaskKey,
)


def step_keys(record: JobRecord) -> list[StepKey]:
    """Return the keys of the steps of all occurrences of a job."""
    return [
        StepKey(record.id, occurrence, step_index)
        for occurrence, steps in enumerate(record.steps_by_occurrence)
        for step_index in range(len(steps))
    ]


def startable_tasks(record: JobRecord, key: StepKey) -> list[int]:
    """Return the indices of the tasks of a ready step that may start.

    A gang may start only when no earlier attempt of any member remains.
    """
    tasks = record.step(key).tasks
    if record.spec.steps[key.step_index].is_gang:
        if any(
            task.active_attempt is not None or task.is_done for task in tasks
        ):
            return []
        return list(range(len(tasks)))
    return [
        index
        for index, task in enumerate(tasks)
        if task.active_attempt is None and not task.is_done
    ]


def active_attempts(
    record: JobRecord, key: StepKey
) -> dict[AttemptKey, WorkerId]:
    """Return the workers of the attempts of a step that may be in progress."""
    return {
        AttemptKey(
            TaskKey(key, index), task.active_attempt.attempt_number
        ): task.active_attempt.worker
        for index, task in enumerate(record.step(key).tasks)
        if task.active_attempt is not None
    }


def has_startable_tasks(record: JobRecord, key: StepKey) -> bool:
    """Tell whether a step is ready and has a task that may start."""
    return record.is_step_ready(key) and bool(startable_tasks(record, key))


def can_start(record: JobRecord, start: AttemptStart) -> bool:
    """Tell whether a start is still valid for the current state of its task.

    Attempt numbers only increase, so a number is never used twice.
    """
    key = start.attempt.task.step
    if not record.is_open or not record.is_step_ready(key):
        return False
    task = record.step(key).tasks[start.attempt.task.task_index]
    return (
        task.active_attempt is None
        and not task.is_done
        and start.attempt.attempt_number > task.last_attempt_number
    )
