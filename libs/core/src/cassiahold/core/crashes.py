"""Evidence that a task crashes the workers on which it starts.

A worker runs many tasks, and a crash does not tell which of them caused it.
Each crash therefore adds to the crash score of every task that ran on the
worker, most for those that had just started.  A task whose score reaches
``MAX_CRASH_SCORE`` is given up with its job.
"""

import enum
import typing

# A task that crashes its worker mostly does so soon after its start.
RECENT_START_S: typing.Final = 0.5
# No task starts a sixth time after five crashes, whatever the evidence.
MAX_CRASH_SCORE: typing.Final = 10
# From this score on a task starts apart from other recent starts.
SUSPECT_CRASH_SCORE: typing.Final = 3
# A long-running task that has run this long did not crash its worker.
PROVEN_RUN_S: typing.Final = 30.0

Attempt = typing.TypeVar('Attempt', bound=typing.Hashable)


class CrashEvidence(enum.IntEnum):
    """What the crash of a worker tells about one of its attempts.

    The values are added up in a score of the task.  ``PRESENT`` means
    that the attempt was running or may have been, ``RECENT`` that it may have
    started shortly before the crash, ``ONLY_RECENT`` that moreover no attempt
    of another job on that worker may have.  ``TRIAL`` means that it was the
    only such attempt and a trial of a suspect task.
    """

    NONE = 0
    PRESENT = 2
    RECENT = 3
    ONLY_RECENT = 4
    TRIAL = 5


def weigh_attempts(
    job_by_attempt: typing.Mapping[Attempt, typing.Hashable],
    recent_attempts: typing.Collection[Attempt],
    suspect_attempts: typing.Container[Attempt] = (),
) -> dict[Attempt, CrashEvidence]:
    """Return the evidence of one crash against each attempt of a worker.

    ``recent_attempts`` are those of them that may have started shortly before
    the crash, ``suspect_attempts`` the trials of suspect tasks.
    """
    evidence_by_attempt = dict.fromkeys(job_by_attempt, CrashEvidence.PRESENT)
    recent_jobs = {job_by_attempt[attempt] for attempt in recent_attempts}
    recent_evidence = (
        CrashEvidence.ONLY_RECENT
        if len(recent_jobs) == 1
        else CrashEvidence.RECENT
    )
    evidence_by_attempt.update(dict.fromkeys(recent_attempts, recent_evidence))
    if len(recent_attempts) == 1:
        evidence_by_attempt.update(
            (attempt, CrashEvidence.TRIAL)
            for attempt in recent_attempts
            if attempt in suspect_attempts
        )
    return evidence_by_attempt


def is_suspect(crash_score: int) -> bool:
    """Tell whether a task may well be the cause of a worker's crash."""
    return crash_score >= SUSPECT_CRASH_SCORE
