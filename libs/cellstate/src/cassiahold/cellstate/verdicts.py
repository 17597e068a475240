"""What becomes of a task whose attempt has ended."""

from cassiahold.cellstate.jobs import JobRecord, TaskRecord
from cassiahold.cellstate.scheduler_commands import AttemptResult
from cassiahold.config.document import PlacementPolicy
from cassiahold.core.states import AttemptOutcome, JobKind, TaskState


def verdict_on_end(
    record: JobRecord,
    task: TaskRecord,
    ended: AttemptResult,
    policy: PlacementPolicy,
) -> TaskState:
    """Return the task's next state after its worker reported an end."""
    if ended.outcome is AttemptOutcome.NEVER_STARTED:
        return _requeued(record)
    task.has_run = True
    if ended.outcome is AttemptOutcome.FAILED and ended.counts_against_job:
        task.failure_count += 1
    if record.spec.kind is JobKind.SERVICE:
        return _after_service(record)
    if ended.outcome is AttemptOutcome.DONE:
        return TaskState.DONE
    if ended.outcome is AttemptOutcome.FAILED:
        exhausted = task.failure_count >= policy.max_attempts
        if exhausted or not record.may_rerun:
            return TaskState.FAILED
        return TaskState.WAITING
    return _after_stop(record)


def verdict_on_loss(record: JobRecord) -> TaskState:
    """Return the next state of a task whose worker was lost."""
    if record.is_cancelled or not record.spec.idempotent:
        return TaskState.MAY_HAVE_RUN
    return TaskState.WAITING


def _requeued(record: JobRecord) -> TaskState:
    return TaskState.CANCELLED if record.is_cancelled else TaskState.WAITING


def _after_service(record: JobRecord) -> TaskState:
    if record.is_cancelled:
        return TaskState.CANCELLED
    return TaskState.WAITING if record.may_rerun else TaskState.MAY_HAVE_RUN


def _after_stop(record: JobRecord) -> TaskState:
    if record.is_cancelled:
        return TaskState.CANCELLED
    return TaskState.WAITING if record.may_rerun else TaskState.MAY_HAVE_RUN
