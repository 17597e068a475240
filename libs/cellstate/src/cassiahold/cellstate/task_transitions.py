"""Transitions of a task whose attempt has ended or whose worker was lost.

A task that is not idempotent is never placed again after an attempt that may
have run.
"""

from cassiahold.cellstate.crash_counting import reaches_crash_limit
from cassiahold.cellstate.jobs import JobRecord, TaskRecord
from cassiahold.cellstate.scheduler_commands import AttemptResult
from cassiahold.config.document import PlacementPolicy
from cassiahold.core.states import AttemptOutcome, JobKind, TaskState


def state_after_end(
    record: JobRecord,
    task: TaskRecord,
    result: AttemptResult,
    policy: PlacementPolicy,
) -> TaskState:
    """Return the task's next state after its worker reported an end.

    Also records in ``task`` that it may have run and counts its failure.
    """
    if result.outcome is AttemptOutcome.NEVER_STARTED:
        return _after_never_started(record, task)
    task.may_have_run = True
    if result.outcome is AttemptOutcome.FAILED and result.counts_against_job:
        task.failure_count += 1
    if record.spec.kind is JobKind.SERVICE:
        return _after_stop(record, task)
    if result.outcome is AttemptOutcome.DONE:
        return TaskState.DONE
    if result.outcome is AttemptOutcome.FAILED:
        is_exhausted = task.failure_count >= policy.max_attempts
        if is_exhausted or not record.may_rerun:
            return TaskState.FAILED
        return TaskState.WAITING
    return _after_stop(record, task)


def state_after_loss(record: JobRecord, task: TaskRecord) -> TaskState:
    """Return the next state of a task whose worker was lost."""
    if record.is_cancelled or not record.spec.idempotent:
        return TaskState.MAY_HAVE_RUN
    if record.is_given_up:
        return state_of_abandoned(task)
    return TaskState.WAITING


def state_of_abandoned(task: TaskRecord) -> TaskState:
    """Return the final state of an unfinished task of a job given up."""
    if reaches_crash_limit(task.crash_score):
        return TaskState.FAILED
    return TaskState.CANCELLED


def _after_never_started(record: JobRecord, task: TaskRecord) -> TaskState:
    if record.is_given_up:
        return state_of_abandoned(task)
    return TaskState.CANCELLED if record.is_cancelled else TaskState.WAITING


def _after_stop(record: JobRecord, task: TaskRecord) -> TaskState:
    if record.is_given_up:
        return state_of_abandoned(task)
    if record.is_cancelled:
        return TaskState.CANCELLED
    return TaskState.WAITING if record.may_rerun else TaskState.MAY_HAVE_RUN
