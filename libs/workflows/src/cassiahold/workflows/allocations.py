"""Resources allocated on workers and to teams.

Both are derived from the attempts that may be in progress.
"""

import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.crashes import (
    is_last_start,
    is_suspect,
    isolation_s,
)
from cassiahold.workflows.model import (
    AttemptKey,
    JobRecord,
    StepKey,
    StepRecord,
    StepSpec,
    TaskKey,
    WorkerRecord,
)


class AllocationLedger:
    """Ledger of the resources that are allocated to attempts.

    Each allocation counts against its worker and against its team's limit.
    """

    def __init__(
        self, worker_by_id: typing.Mapping[WorkerId, WorkerRecord]
    ) -> None:
        self._worker_by_id = worker_by_id
        self._allocated_by_team: dict[TeamName, Resources] = {}

    def usage_of(self, team: TeamName) -> Resources:
        """Return the resources allocated to a team's attempts."""
        return self._allocated_by_team.get(team, NO_RESOURCES)

    def allocate(
        self,
        team: TeamName,
        attempt: AttemptKey,
        worker_id: WorkerId,
        spec: StepSpec,
        step: StepRecord,
    ) -> None:
        """Allocate resources of a worker to an attempt of a step's task."""
        worker = self._worker_by_id[worker_id]
        resources = spec.resources
        task = step.tasks[attempt.task.task_index]
        worker.allocated += resources
        worker.resources_by_attempt[attempt] = resources
        if is_suspect(task) or step.is_doubted:
            worker.suspect_attempts.add(attempt)
        if is_last_start(task):
            worker.isolation_s_by_attempt[attempt] = isolation_s(
                is_long_running=spec.is_long_running
            )
        self._allocated_by_team[team] = self.usage_of(team) + resources

    def rename_teams(
        self, team_by_former: typing.Mapping[TeamName, TeamName]
    ) -> None:
        """Count what is allocated to some teams for their successors."""
        allocated_by_former = {
            former: self._allocated_by_team.pop(former, NO_RESOURCES)
            for former in team_by_former
        }
        for former, allocated in allocated_by_former.items():
            team = team_by_former[former]
            self._allocated_by_team[team] = self.usage_of(team) + allocated

    def mark_suspect(self, attempt: AttemptKey, worker_id: WorkerId) -> None:
        """Mark the attempt of a task that has become a suspect."""
        self._worker_by_id[worker_id].suspect_attempts.add(attempt)

    def restore(self, record: JobRecord, key: StepKey) -> None:
        """Allocate the resources of a step's attempts in progress."""
        spec = record.spec.steps[key.step_index]
        for index, task in enumerate(record.step(key).tasks):
            if task.active_attempt is not None:
                attempt = AttemptKey(
                    TaskKey(key, index), task.active_attempt.attempt_number
                )
                self.allocate(
                    record.team,
                    attempt,
                    task.active_attempt.worker,
                    spec,
                    record.step(key),
                )

    def release(
        self, team: TeamName, attempt: AttemptKey, worker_id: WorkerId
    ) -> None:
        """Release the resources of an attempt."""
        worker = self._worker_by_id[worker_id]
        resources = worker.resources_by_attempt.pop(attempt)
        worker.allocated -= resources
        worker.suspect_attempts.discard(attempt)
        worker.isolation_s_by_attempt.pop(attempt, None)
        self._allocated_by_team[team] = self.usage_of(team) - resources
