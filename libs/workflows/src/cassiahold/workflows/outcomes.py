"""What the end of a run changes in its job and in what is known of workers."""

from cassiahold.workflows.commands import AttemptResult
from cassiahold.workflows.model import AttemptOutcome, JobRecord, WorkerRecord


def learn_speed(
    record: JobRecord, ended: AttemptResult, worker: WorkerRecord
) -> None:
    """Take a whole run that is done as a sample of its worker's speed."""
    key = ended.attempt.task.step
    spec = record.spec.steps[key.step_index]
    # The slowest member of a gang sets the pace of all.
    is_alone = not spec.is_gang or spec.tasks == 1
    is_whole = not record.step(key).tasks[ended.attempt.task.task_index].saved
    if ended.outcome is AttemptOutcome.DONE and is_alone and is_whole:
        worker.speed.learn(spec.expected_s, ended.took_s)


def keep_checkpoint(record: JobRecord, ended: AttemptResult) -> None:
    """Keep the checkpoint that a run left behind."""
    key = ended.attempt.task.step
    tasks = record.step(key).tasks
    if record.spec.steps[key.step_index].is_gang:
        # All members resume from the same point.
        for member in tasks:
            member.saved = ended.saved
    else:
        tasks[ended.attempt.task.task_index].saved = ended.saved


def mark_done(record: JobRecord, ended: AttemptResult) -> int:
    """Count a run that is done; return how many tasks its step lacks."""
    key = ended.attempt.task.step
    step = record.step(key)
    # One member of a gang that is done stands for all of them.
    tasks = (
        step.tasks
        if record.spec.steps[key.step_index].is_gang
        else [step.tasks[ended.attempt.task.task_index]]
    )
    for task in tasks:
        step.undone -= int(not task.is_done)
        task.is_done = True
    return step.undone


def mark_failed(record: JobRecord, ended: AttemptResult) -> int:
    """Count a failed run; return the failures of its task or gang.

    A task that is done already has none.
    """
    key = ended.attempt.task.step
    step = record.step(key)
    task = step.tasks[ended.attempt.task.task_index]
    if task.is_done:
        return 0
    task.failures += 1
    if not record.spec.steps[key.step_index].is_gang:
        return task.failures
    step.gang_failures += 1
    return step.gang_failures
