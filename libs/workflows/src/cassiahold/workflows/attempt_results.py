"""Updates of job and worker records after an attempt has ended."""

from cassiahold.workflows.commands import AttemptResult
from cassiahold.workflows.model import AttemptOutcome, JobRecord, WorkerRecord


def update_speed(
    record: JobRecord, result: AttemptResult, worker: WorkerRecord
) -> None:
    """Add a successful attempt as a sample of its worker's speed.

    Gangs and attempts that resumed from a checkpoint give no sample.
    """
    key = result.attempt.task.step
    spec = record.spec.steps[key.step_index]
    # The slowest member of a gang determines how long all of them take.
    is_single_task = not spec.is_gang or spec.tasks == 1
    started_from_scratch = (
        not record.step(key).tasks[result.attempt.task.task_index].checkpoint
    )
    if (
        result.outcome is AttemptOutcome.DONE
        and is_single_task
        and started_from_scratch
    ):
        worker.speed_estimate.add_sample(spec.expected_s, result.duration_s)


def store_checkpoint(record: JobRecord, result: AttemptResult) -> None:
    """Store the checkpoint that an attempt left behind."""
    key = result.attempt.task.step
    tasks = record.step(key).tasks
    if record.spec.steps[key.step_index].is_gang:
        # All members resume from the same checkpoint.
        for member in tasks:
            member.checkpoint = result.checkpoint
    else:
        tasks[result.attempt.task.task_index].checkpoint = result.checkpoint


def mark_done(record: JobRecord, result: AttemptResult) -> int:
    """Mark a task, or its whole gang, as done.

    Returns how many tasks of the step are not done yet.
    """
    key = result.attempt.task.step
    step = record.step(key)
    # A gang is done as soon as one of its members is.
    tasks = (
        step.tasks
        if record.spec.steps[key.step_index].is_gang
        else [step.tasks[result.attempt.task.task_index]]
    )
    for task in tasks:
        step.remaining_tasks -= int(not task.is_done)
        task.is_done = True
    return step.remaining_tasks


def mark_failed(record: JobRecord, result: AttemptResult) -> int:
    """Count a failed attempt; return the failures of its task or gang.

    Returns 0, without counting, for a task that is already done.
    """
    key = result.attempt.task.step
    step = record.step(key)
    task = step.tasks[result.attempt.task.task_index]
    if task.is_done:
        return 0
    task.failures += 1
    if not record.spec.steps[key.step_index].is_gang:
        return task.failures
    step.gang_failures += 1
    return step.gang_failures
