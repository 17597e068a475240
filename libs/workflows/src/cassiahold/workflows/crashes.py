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
    is_suspect,
    weigh_attempts,
)
from cassiahold.workflows.model import AttemptKey

__all__ = (
    'MAX_CRASH_SCORE',
    'PROVEN_RUN_S',
    'RECENT_START_S',
    'SUSPECT_CRASH_SCORE',
    'CrashEvidence',
    'is_suspect',
    'weigh_crash',
)


def weigh_crash(
    attempts: typing.Iterable[AttemptKey],
    sent_at_by_attempt: typing.Mapping[AttemptKey, float],
    alive_at: float,
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
    return weigh_attempts(job_by_attempt, recent_attempts)
