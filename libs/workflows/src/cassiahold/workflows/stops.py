"""Which attempts must stop once a gang has broken or a job is over."""

import typing

from cassiahold.workflows.commands import AttemptStopRequired
from cassiahold.workflows.late_ends import replaced_attempts
from cassiahold.workflows.model import AttemptKey, JobRecord, TaskKey
from cassiahold.workflows.steps import step_keys

if typing.TYPE_CHECKING:
    from cassiahold.workflows.state import WorkflowState


def gang_stops(
    attempt: AttemptKey, state: 'WorkflowState'
) -> list[AttemptStopRequired]:
    """Return the stops of the other members of a gang that has broken."""
    attempts = [
        (member, state.find_attempt(member.task))
        for member in state.gang_members(attempt)
    ]
    return [
        AttemptStopRequired(member, record.worker, 'gang_broken')
        for member, record in attempts
        if record is not None
    ]


def replacement_stops(
    attempt: AttemptKey, state: 'WorkflowState'
) -> list[AttemptStopRequired]:
    """Return the stops of what runs in place of an attempt that is done."""
    job = state.job_by_id[attempt.task.step.job]
    return [
        AttemptStopRequired(replacement, record.worker, 'already_done')
        for replacement in replaced_attempts(job, attempt)
        if (record := state.find_attempt(replacement.task)) is not None
    ]


def job_stops(record: JobRecord) -> list[AttemptStopRequired]:
    """Return the stops of all attempts of a job that is over."""
    return [
        AttemptStopRequired(
            AttemptKey(TaskKey(key, index), task.active_attempt.attempt_number),
            task.active_attempt.worker,
            record.state.value,
        )
        for key in step_keys(record)
        for index, task in enumerate(record.step(key).tasks)
        if task.active_attempt is not None
    ]
