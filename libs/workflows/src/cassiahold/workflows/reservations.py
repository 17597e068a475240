"""Room and limits in use: derived from the runs that may be in progress."""

import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.workflows.model import RunKey, WorkerRecord


class Reservations:
    """Counts what runs hold of their worker and of their team's limit."""

    def __init__(
        self, worker_by_id: typing.Mapping[WorkerId, WorkerRecord]
    ) -> None:
        self._worker_by_id = worker_by_id
        self._usage_by_team: dict[TeamName, Resources] = {}

    def usage_of(self, team: TeamName) -> Resources:
        """Return what a team may have running."""
        return self._usage_by_team.get(team, NOTHING)

    def reserve(
        self,
        team: TeamName,
        run: RunKey,
        worker_id: WorkerId,
        resources: Resources,
    ) -> None:
        """Hold room for a run."""
        worker = self._worker_by_id[worker_id]
        worker.reserved += resources
        worker.resources_by_run[run] = resources
        self._usage_by_team[team] = self.usage_of(team) + resources

    def release(self, team: TeamName, run: RunKey, worker_id: WorkerId) -> None:
        """Give a run's room back."""
        worker = self._worker_by_id[worker_id]
        resources = worker.resources_by_run.pop(run)
        worker.reserved -= resources
        self._usage_by_team[team] = self.usage_of(team) - resources
