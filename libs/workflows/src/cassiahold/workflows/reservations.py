"""Resources reserved on workers and used by teams.

Both are derived from the attempts that may be in progress.
"""

import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.workflows.model import RunKey, WorkerRecord


class Reservations:
    """Ledger of the resources that attempts hold.

    Each reservation counts against its worker and against its team's limit.
    """

    def __init__(
        self, worker_by_id: typing.Mapping[WorkerId, WorkerRecord]
    ) -> None:
        self._worker_by_id = worker_by_id
        self._usage_by_team: dict[TeamName, Resources] = {}

    def usage_of(self, team: TeamName) -> Resources:
        """Return the resources that a team's attempts hold."""
        return self._usage_by_team.get(team, NOTHING)

    def reserve(
        self,
        team: TeamName,
        attempt: RunKey,
        worker_id: WorkerId,
        resources: Resources,
    ) -> None:
        """Reserve resources of a worker for an attempt."""
        worker = self._worker_by_id[worker_id]
        worker.reserved += resources
        worker.resources_by_attempt[attempt] = resources
        self._usage_by_team[team] = self.usage_of(team) + resources

    def release(
        self, team: TeamName, attempt: RunKey, worker_id: WorkerId
    ) -> None:
        """Release the resources of an attempt."""
        worker = self._worker_by_id[worker_id]
        resources = worker.resources_by_attempt.pop(attempt)
        worker.reserved -= resources
        self._usage_by_team[team] = self.usage_of(team) - resources
