"""Evidence that a task crashes the workers on which it starts.

A worker runs many tasks, and a crash does not tell which of them caused it.
Each crash therefore adds to the crash score of every task that ran on the
worker, most for those that had just started.  A task whose score reaches
``MAX_CRASH_SCORE`` is given up with its job.
"""

import enum
import math
import typing

from cassiahold.workflows.model import AttemptKey

# A task that crashes its worker mostly does so soon after its start.
RECENT_START_S: typing.Final = 0.5
MAX_CRASH_SCORE: typing.Final = 5
# From this score on a task starts apart from others of its kind.
SUSPECT_CRASH_SCORE: typing.Final = 2
# A long-running task that has run this long did not crash its worker.
PROVEN_RUN_S: typing.Final = 30.0


class CrashEvidence(enum.IntEnum):
    """What the crash of a worker tells about one of its attempts.

    The values are added up in the crash score of the task.  ``PRESENT`` means
    that the attempt was running or may have been, ``RECENT`` that its start
    was sent shortly before the crash.
    """

    NONE = 0
    PRESENT = 1
    RECENT = 2


def weigh_crash(
    attempts: typing.Iterable[AttemptKey],
    sent_at_by_attempt: typing.Mapping[AttemptKey, float],
    crashed_at: float,
) -> dict[AttemptKey, CrashEvidence]:
    """Return the evidence of one crash against each attempt of the worker.

    ``sent_at_by_attempt`` tells when starts were sent, as far as the leader
    knows; it and ``crashed_at`` are on the steady clock.
    """
    recent_since = crashed_at - RECENT_START_S
    return {
        attempt: (
            CrashEvidence.RECENT
            if sent_at_by_attempt.get(attempt, -math.inf) > recent_since
            else CrashEvidence.PRESENT
        )
        for attempt in attempts
    }


def is_suspect(crash_score: int) -> bool:
    """Tell whether a task may well be the cause of a worker's crash."""
    return crash_score >= SUSPECT_CRASH_SCORE
