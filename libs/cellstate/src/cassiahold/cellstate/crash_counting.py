"""Counts crashes of workers against the tasks that ran there.

A worker has crashed when it registers in a new incarnation without having
been drained.  Attempts of a worker that only fell silent are lost without
explanation; they are charged, once, when it registers in a new incarnation.
"""

import typing

from cassiahold.cellstate.jobs import (
    JobRecord,
    WorkerRecord,
    attempt_id,
)
from cassiahold.cellstate.worker_crashes import (
    MAX_CRASHES_KEPT,
    NO_EVIDENCE,
    AttemptEvidence,
    CrashRecord,
    LostAttempt,
)
from cassiahold.core.crashes import MAX_CRASH_SCORE, CrashEvidence
from cassiahold.core.ids import AttemptId, JobId
from cassiahold.core.states import JobKind

EvidenceByAttempt = typing.Mapping[AttemptId, AttemptEvidence]


def allocated_attempts(
    worker: WorkerRecord,
    job_by_id: typing.Mapping[JobId, JobRecord],
    evidence_by_attempt: EvidenceByAttempt | None,
) -> list[LostAttempt]:
    """Return the attempts that end with a worker, with their evidence.

    A departing worker ends them orderly: then none is returned, and none
    without evidence of the leader.  An attempt that the leader has no evidence
    for was allocated after it had weighed them, and so never sent.
    """
    if worker.is_departing or evidence_by_attempt is None:
        return []
    lost_attempts = []
    for allocation in worker.allocation_by_attempt.values():
        task = job_by_id[allocation.job].tasks[allocation.index]
        attempt = attempt_id(allocation.job, allocation.index, task.attempt)
        lost_attempts.append(
            LostAttempt(
                allocation.job,
                allocation.index,
                task.attempt,
                evidence_by_attempt.get(attempt, NO_EVIDENCE),
            )
        )
    return lost_attempts


def count_crash(
    record: JobRecord,
    lost: LostAttempt,
    worker: WorkerRecord,
    crashed_at: float,
) -> None:
    """Count the crash of a worker's incarnation against one of its attempts.

    A task of a service that had run for long starts its count anew.
    """
    evidence = lost.evidence.evidence
    if evidence is CrashEvidence.NONE:
        return
    record.crashes.append(
        CrashRecord(
            worker.id,
            worker.incarnation,
            lost.index,
            lost.attempt,
            evidence,
            crashed_at,
        )
    )
    record.crashes = record.crashes[-MAX_CRASHES_KEPT:]
    task = record.tasks[lost.index]
    if record.spec.kind is JobKind.SERVICE and lost.evidence.is_proven:
        task.crash_score = 0
    elif not task.state.is_final:
        task.crash_score += evidence


def must_give_up(record: JobRecord) -> bool:
    """Tell whether a task of an open job has crashed too many workers."""
    if record.is_finished or record.is_stopping:
        return False
    return any(reaches_crash_limit(task.crash_score) for task in record.tasks)


def reaches_crash_limit(crash_score: int) -> bool:
    """Tell whether a task has crashed too many workers to start again."""
    return crash_score >= MAX_CRASH_SCORE
