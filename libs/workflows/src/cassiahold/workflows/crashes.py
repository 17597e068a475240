"""Evidence that a task of a step crashes the workers on which it starts.

The evidence and its limits are those of ``cassiahold.core.crashes``.
"""

import math
import typing

from cassiahold.core.crashes import (
    MAX_CRASH_SCORE,
    PROVEN_RUN_S,
    RECENT_START_S,
    SUSPECT_CRASH_SCORE,
    CrashEvidence,
    weigh_attempts,
)
from cassiahold.workflows.model import AttemptKey, StepRecord, TaskRecord

__all__ = (
    'MAX_CRASH_SCORE',
    'PROVEN_RUN_S',
    'RECENT_START_S',
    'SUSPECT_CRASH_SCORE',
    'CrashEvidence',
    'add_evidence',
    'clear_suspicion',
    'is_crashing',
    'is_last_start',
    'is_suspect',
    'is_weak_suspect',
    'isolation_s',
    'weigh_crash',
)

# Workers that crash by themselves may take a sound task with them twice.
MIN_CRASHES: typing.Final = 3
# From this score on any further crash reaches the limit.
LAST_START_CRASH_SCORE: typing.Final = MAX_CRASH_SCORE - CrashEvidence.PRESENT


def weigh_crash(
    attempts: typing.Iterable[AttemptKey],
    sent_at_by_attempt: typing.Mapping[AttemptKey, float],
    alive_at: float,
    suspect_attempts: typing.Container[AttemptKey] = (),
) -> dict[AttemptKey, CrashEvidence]:
    """Return the evidence of one crash against each attempt of the worker.

    ``sent_at_by_attempt`` tells when starts were sent, as far as the leader
    knows, and ``alive_at`` when the worker last replied, both on the steady
    clock.  The worker crashed after that, unnoticed for a while if its
    connections were silent.
    """
    recent_since = alive_at - RECENT_START_S
    job_by_attempt = {attempt: attempt.task.step.job for attempt in attempts}
    recent_attempts = [
        attempt
        for attempt in job_by_attempt
        if sent_at_by_attempt.get(attempt, -math.inf) > recent_since
    ]
    return weigh_attempts(job_by_attempt, recent_attempts, suspect_attempts)


def add_evidence(
    task: TaskRecord, evidence: CrashEvidence, run_s: float
) -> None:
    """Add the evidence of a crash to the scores of a task.

    ``run_s`` is how long the attempt had run, 0 if unknown.  One that was not
    recent has survived its trial, so the task is no suspect any more.
    """
    task.crash_count += 1
    # Any of several recent starts may be the cause: that makes each task a
    # suspect, but brings none nearer to being given up.
    task.crash_score += (
        CrashEvidence.PRESENT if evidence is CrashEvidence.RECENT else evidence
    )
    if evidence is CrashEvidence.PRESENT and run_s >= RECENT_START_S:
        task.suspect_score = 0
    else:
        task.suspect_score += evidence


def is_suspect(task: TaskRecord) -> bool:
    """Tell whether a task starts apart from other recent starts."""
    return task.suspect_score >= SUSPECT_CRASH_SCORE or is_last_start(task)


def is_weak_suspect(task: TaskRecord) -> bool:
    """Tell whether a task is suspected for one crash only."""
    return (
        task.suspect_score <= CrashEvidence.ONLY_RECENT
        and not is_last_start(task)
    )


def is_crashing(task: TaskRecord, evidence: CrashEvidence) -> bool:
    """Tell whether a task is given up after a crash with some evidence.

    A trial decides; without one the score does.
    """
    if evidence is CrashEvidence.TRIAL and task.crash_count >= MIN_CRASHES:
        return True
    return task.crash_score >= MAX_CRASH_SCORE


def is_last_start(task: TaskRecord) -> bool:
    """Tell whether the next crash may be the last one of a task."""
    return task.crash_score >= LAST_START_CRASH_SCORE


def isolation_s(*, is_long_running: bool) -> float:
    """Return how long nothing else starts beside the last start of a task.

    The task is not to meet the crash of another one.  A long-running task is
    cleared by a long run, others by their end.
    """
    return PROVEN_RUN_S if is_long_running else math.inf


def clear_suspicion(step: StepRecord, task: TaskRecord) -> None:
    """Forget the crashes of a task that has run for long."""
    task.crash_count = 0
    task.crash_score = 0
    task.suspect_score = 0
    step.only_recent_crashes = 0
