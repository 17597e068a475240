"""Workers that suspect tasks of each team may take at a time.

A team takes a worker from the start of a suspect task there until the task has
run for ``RECENT_START_S`` or, if the worker crashes, until it has returned.
"""

import collections
import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.workflows.crashes import RECENT_START_S
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey
from cassiahold.workflows.state import WorkflowState

# Of the workers of a service, those that are down included; at least one.
MAX_TEAM_SHARE: typing.Final = 0.1


class TeamTrials:
    """Counts the workers that suspect tasks of each team take."""

    def __init__(
        self,
        state: WorkflowState,
        usable_workers: typing.Container[WorkerId],
        health: HealthTracker,
        now: float,
    ) -> None:
        self._state = state
        self._count_by_service: collections.Counter[str] = collections.Counter()
        self._taken_by_team: collections.Counter[tuple[str, TeamName]] = (
            collections.Counter()
        )
        for worker in state.worker_by_id.values():
            service = worker.info.service
            self._count_by_service[service] += 1
            is_down = worker.info.id not in usable_workers
            teams = {
                self._team_of(attempt)
                for attempt in worker.suspect_attempts
                if is_down
                or not health.has_run_for(attempt, RECENT_START_S, now)
            }
            self._taken_by_team.update((service, team) for team in teams)

    def count_taken(self, service: str, team: TeamName) -> int:
        """Return how many workers suspect tasks of a team take."""
        return self._taken_by_team[service, team]

    def remaining(self, service: str, team: TeamName) -> int:
        """Return how many more workers suspect tasks of a team may take."""
        limit = max(int(self._count_by_service[service] * MAX_TEAM_SHARE), 1)
        return limit - self._taken_by_team[service, team]

    def record_start(self, service: str, team: TeamName) -> None:
        """Count a planned start."""
        self._taken_by_team[service, team] += 1

    def _team_of(self, attempt: AttemptKey) -> TeamName:
        return self._state.job_by_id[attempt.task.step.job].team
