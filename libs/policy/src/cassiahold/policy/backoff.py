"""Pauses before failed tasks run again, doubled with each failure in a row.

Failures are counted for work that is expected to behave alike: all jobs of a
team with the same name, but each job without a name by itself.  Times are in
seconds.
"""

import collections
import typing

from cassiahold.core.ids import JobId, TeamName

MAX_REMEMBERED_STREAKS: typing.Final = 20_000
FIRST_BACKOFF_S: typing.Final = 1.0
MAX_BACKOFF_S: typing.Final = 300.0
_MAX_DOUBLINGS: typing.Final = 16

_Work = tuple[TeamName, str, JobId]


class BackoffTracker:
    """Failures in a row of each work; the oldest are forgotten."""

    def __init__(self) -> None:
        self._streak_by_work: collections.OrderedDict[_Work, int] = (
            collections.OrderedDict()
        )

    def record_success(self, team: TeamName, name: str, job: JobId) -> None:
        """Record a success, which ends the failures in a row."""
        self._streak_by_work.pop(_work(team, name, job), None)

    def record_failure(self, team: TeamName, name: str, job: JobId) -> float:
        """Record a failure; return the pause before the next attempt."""
        work = _work(team, name, job)
        streak = self._streak_by_work.pop(work, 0) + 1
        self._streak_by_work[work] = streak
        if len(self._streak_by_work) > MAX_REMEMBERED_STREAKS:
            self._streak_by_work.popitem(last=False)
        doublings = min(streak - 1, _MAX_DOUBLINGS)
        return float(min(FIRST_BACKOFF_S * 2**doublings, MAX_BACKOFF_S))


def _work(team: TeamName, name: str, job: JobId) -> _Work:
    return team, name, JobId('') if name else job
