"""Evidence that a task crashes the workers on which it starts.

A worker runs many tasks, and a crash does not tell which of them caused it.
Each crash therefore adds to the crash score of every task that ran on the
worker, most for those that had just started.  A task whose score reaches
``MAX_CRASH_SCORE`` is given up with its job.
"""

import enum
import math
import typing

from cassiahold.workflows.model import AttemptKey, TaskRecord

# A task that crashes its worker mostly does so soon after its start.
RECENT_START_S: typing.Final = 0.5
# No task starts a sixth time after five crashes, whatever the evidence.
MAX_CRASH_SCORE: typing.Final = 10
# From this suspect score on a task starts apart from other recent starts.
SUSPECT_CRASH_SCORE: typing.Final = 3
# A long-running task that has run this long did not crash its worker.
PROVEN_RUN_S: typing.Final = 30.0


class CrashEvidence(enum.IntEnum):
    """What the crash of a worker tells about one of its attempts.

    The values are added up in the crash score of the task.  ``PRESENT`` means
    that the attempt was running or may have been, ``RECENT`` that it may have
    started shortly before the crash, ``ONLY_RECENT`` that moreover no attempt
    of another job on that worker may have.  ``TRIAL`` means that it was the
    only such attempt and a trial of a suspect task.
    """

    NONE = 0
    PRESENT = 2
    RECENT = 3
    ONLY_RECENT = 4
    TRIAL = 8


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
    evidence_by_attempt = dict.fromkeys(attempts, CrashEvidence.PRESENT)
    recent_attempts = [
        attempt
        for attempt in evidence_by_attempt
        if sent_at_by_attempt.get(attempt, -math.inf) > recent_since
    ]
    evidence = _weigh_recent(recent_attempts, suspect_attempts)
    evidence_by_attempt.update(dict.fromkeys(recent_attempts, evidence))
    return evidence_by_attempt


def _weigh_recent(
    recent_attempts: typing.Sequence[AttemptKey],
    suspect_attempts: typing.Container[AttemptKey],
) -> CrashEvidence:
    if len(recent_attempts) == 1 and recent_attempts[0] in suspect_attempts:
        return CrashEvidence.TRIAL
    jobs = {attempt.task.step.job for attempt in recent_attempts}
    return CrashEvidence.ONLY_RECENT if len(jobs) == 1 else CrashEvidence.RECENT


def count_crash(
    task: TaskRecord, evidence: CrashEvidence, run_s: float
) -> None:
    """Add the evidence of a crash to the scores of a task.

    ``run_s`` is how long the attempt had run, 0 if unknown.  One that was not
    recent has survived its trial, so the task is no suspect any more.
    """
    task.crash_score += (
        # Any of several tasks may be the cause, which makes each a suspect.
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


def is_last_start(task: TaskRecord) -> bool:
    """Tell whether the next crash may be the last one of a task."""
    return task.crash_score >= LAST_START_CRASH_SCORE


def isolation_s(*, is_long_running: bool) -> float:
    """Return how long nothing else starts beside the last start of a task.

    The task is not to meet the crash of another one.  A long-running task is
    cleared by a long run, others by their end.
    """
    return PROVEN_RUN_S if is_long_running else math.inf
