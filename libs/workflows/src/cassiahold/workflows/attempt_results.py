"""Updates of job and worker records after an attempt has ended."""

import typing

from cassiahold.workflows.commands import AttemptResult, FailureReason
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.crashes import (
    PROVEN_RUN_S,
    CrashEvidence,
    add_evidence,
    clear_suspicion,
    is_crashing,
)
from cassiahold.workflows.model import (
    AttemptOutcome,
    JobRecord,
    StepKey,
    StepRecord,
    StepSpec,
    WorkerRecord,
)
from cassiahold.workflows.steps import startable_tasks, step_keys

# Of a step; members of a gang that fail in the same run do so close together.
MAX_REMEMBERED_GANG_FAILURES: typing.Final = 32


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
        task.done_attempt_number = result.attempt.attempt_number
    return step.remaining_tasks


def count_against_task(
    record: JobRecord, result: AttemptResult, queue: QueuePolicy | None
) -> FailureReason | None:
    """Count a failure or a crash; return why the job is hopeless, if it is.

    A job fails when a task or gang has failed as often as its queue allows,
    or when a task has crashed its workers too often.  A task that is already
    done counts no more.  Failures that were counted while the queue did not
    exist take effect with any later end.
    """
    key = result.attempt.task.step
    step = record.step(key)
    task = step.tasks[result.attempt.task.task_index]
    spec = record.spec.steps[key.step_index]
    if task.is_done:
        return None
    if _has_proven_run(spec, result):
        clear_suspicion(step, task)
    elif result.crash is not CrashEvidence.NONE:
        return count_crash(
            step,
            result.attempt.task.task_index,
            result.crash,
            result.duration_s,
        )
    if result.outcome is AttemptOutcome.FAILED and not spec.is_long_running:
        task.failures += 1
        if spec.is_gang:
            _count_gang_failure(step, result.attempt.attempt_number)
    if _is_task_exhausted(record, key, result.attempt.task.task_index, queue):
        return FailureReason.ATTEMPTS
    return None


def count_crash(
    step: StepRecord, task_index: int, evidence: CrashEvidence, run_s: float
) -> FailureReason | None:
    """Count a crash of a worker; return why the job is hopeless, if it is.

    ``run_s`` is how long the attempt had run, 0 if unknown.
    """
    task = step.tasks[task_index]
    if task.is_done:
        return None
    step.only_recent_crashes += int(evidence >= CrashEvidence.ONLY_RECENT)
    add_evidence(task, evidence, run_s)
    return FailureReason.CRASHES if is_crashing(task, evidence) else None


def may_have_crashed(record: JobRecord, result: AttemptResult) -> bool:
    """Tell whether an attempt may turn out to have ended with a crash."""
    spec = record.spec.steps[result.attempt.task.step.step_index]
    return (
        record.is_open
        and result.possible_crash is not CrashEvidence.NONE
        and not _has_proven_run(spec, result)
    )


def has_exhausted_task(record: JobRecord, queue: QueuePolicy | None) -> bool:
    """Tell whether a task that waits has failed as often as its queue allows.

    That is possible only after the configuration has changed.
    """
    return record.is_open and any(
        _is_task_exhausted(record, key, task_index, queue)
        for key in step_keys(record)
        for task_index in startable_tasks(record, key)
    )


def _count_gang_failure(step: StepRecord, attempt_number: int) -> None:
    """Count a failed run of a gang once, however many members failed in it.

    The members may tell of it in any order, also after later runs.
    """
    if attempt_number in step.failed_gang_attempt_numbers:
        return
    step.gang_failures += 1
    numbers = [*step.failed_gang_attempt_numbers, attempt_number]
    step.failed_gang_attempt_numbers = numbers[-MAX_REMEMBERED_GANG_FAILURES:]


def _has_proven_run(spec: StepSpec, result: AttemptResult) -> bool:
    """Tell whether an attempt ran too long to have crashed its worker."""
    return spec.is_long_running and result.longest_known_run_s >= PROVEN_RUN_S


def _is_task_exhausted(
    record: JobRecord, key: StepKey, task_index: int, queue: QueuePolicy | None
) -> bool:
    step = record.step(key)
    failures = (
        step.gang_failures
        if record.spec.steps[key.step_index].is_gang
        else step.tasks[task_index].failures
    )
    return queue is not None and failures >= max(queue.max_attempts, 1)
