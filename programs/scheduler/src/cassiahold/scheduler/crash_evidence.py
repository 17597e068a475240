"""Evidence against the attempts of a worker, in case it has crashed.

The leader knows when it sent starts and when the worker last reported.  An
attempt whose start it has certainly not sent is not to blame.
"""

from cassiahold.cellstate.jobs import JobRecord, WorkerRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.cellstate.worker_crashes import NO_EVIDENCE, AttemptEvidence
from cassiahold.core.crashes import (
    PROVEN_RUN_S,
    RECENT_START_S,
    CrashEvidence,
    weigh_attempts,
)
from cassiahold.core.ids import AttemptId
from cassiahold.core.states import JobKind
from cassiahold.scheduler.sessions import WorkerSession


def weigh_worker(
    worker: WorkerRecord, session: WorkerSession, state: SchedulerState
) -> dict[AttemptId, AttemptEvidence]:
    """Return the evidence that a crash now would be against each attempt."""
    job_by_attempt = {
        attempt: allocation.job
        for attempt, allocation in worker.allocation_by_attempt.items()
        if session.may_have_started(attempt)
    }
    recent_since = session.alive_at - RECENT_START_S
    recent_attempts = [
        attempt
        for attempt in job_by_attempt
        if session.sent_at(attempt) > recent_since
    ]
    evidence_by_attempt = dict.fromkeys(
        worker.allocation_by_attempt, NO_EVIDENCE
    )
    for attempt, evidence in weigh_attempts(
        job_by_attempt, recent_attempts
    ).items():
        record = state.job_by_id[job_by_attempt[attempt]]
        evidence_by_attempt[attempt] = AttemptEvidence(
            CrashEvidence(evidence), _is_proven(record, session, attempt)
        )
    return evidence_by_attempt


def _is_proven(
    record: JobRecord, session: WorkerSession, attempt: AttemptId
) -> bool:
    if record.spec.kind is not JobKind.SERVICE:
        return False
    started_at = max(session.sent_at(attempt), session.opened_at)
    return session.alive_at - started_at >= PROVEN_RUN_S
