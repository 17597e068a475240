"""Requests of callers: submission and the reasons why a job waits."""

import time
import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobRecord, JobSpec
from cassiahold.cellstate.outcomes import SubmitOutcome
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, JobId, TeamName
from cassiahold.core.metrics import Metrics
from cassiahold.policy.shapes import TaskShape
from cassiahold.scheduler.explain import format_resources, waiting_reasons
from cassiahold.scheduler.handlers import propose
from cassiahold.scheduler.leader_state import LeaderGetter
from cassiahold.wire import messages


class CallerRequests:
    """Handles the requests of callers.

    ``add_deadline`` is called for each accepted job; a replica that does not
    lead any more ignores it.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        state: SchedulerState,
        leader: LeaderGetter,
        add_deadline: typing.Callable[[JobRecord], None],
        metrics: Metrics,
    ) -> None:
        self._data_centre = data_centre
        self._state = state
        self._leader = leader
        self._add_deadline = add_deadline
        self._metrics = metrics

    def submit(self, request: messages.Submit) -> Proposal:
        """Propose to accept a job; raises ``NEVER_FITS``."""
        self._reject_never_fitting(request.team, request.spec)
        command = commands.SubmitJob(
            request.team,
            request.request,
            request.fingerprint,
            request.spec,
            time.time(),
            request.traceparent,
        )
        return propose(command, self._submit_reply)

    def find_job(self, job: JobId, team: TeamName | None) -> JobRecord:
        """Return a job of a team, or of any team when it is None.

        Raises ``NOT_FOUND``.
        """
        record = self._state.job_by_id.get(job)
        if record is None or team not in {None, record.team}:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'job {job!r} does not exist'
            )
        return record

    def waiting_reasons(self, request: messages.Why) -> messages.WaitReasons:
        """Return the reasons why a job is waiting."""
        record = self.find_job(request.job, request.team)
        return messages.WaitReasons(
            record.id,
            waiting_reasons(record, self._state, self._leader().projection),
        )

    def _submit_reply(self, outcome: SubmitOutcome) -> messages.Submitted:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, outcome.detail)
        if outcome.is_first:
            record = self._state.job_by_id[outcome.job]
            self._add_deadline(record)
            self._metrics.incr(f'accepted.{record.team}')
        return messages.Submitted(outcome.job, outcome.is_first)

    def _reject_never_fitting(self, team: TeamName, spec: JobSpec) -> None:
        worker_pool = self._leader().projection.planner.worker_pool
        resources = spec.resources
        shape = TaskShape(
            resources.cores_m,
            resources.memory_mb,
            resources.accelerators,
            spec.worker_class,
            spec.avoid_class,
        )
        if worker_pool.worker_by_id and not worker_pool.has_worker_large_enough(
            shape
        ):
            raise CassiaholdError(
                ErrorKind.NEVER_FITS,
                f'no worker of data centre {self._data_centre!r} is large '
                f'enough for a task of {format_resources(resources)}',
            )
        self._reject_above_limit(team, spec)

    def _reject_above_limit(self, team: TeamName, spec: JobSpec) -> None:
        configured_team = self._state.configuration.team_by_name.get(team)
        if configured_team is None:
            return
        tasks_at_once = spec.tasks if spec.kind.value == 'gang' else 1
        needed = spec.resources * tasks_at_once
        limit = configured_team.limit
        if not needed.fits_in(limit.resources) or tasks_at_once > limit.tasks:
            raise CassiaholdError(
                ErrorKind.NEVER_FITS,
                f'the job starts {tasks_at_once} tasks together, which need '
                f'{format_resources(needed)}; the limit of team {team!r} is '
                f'{format_resources(limit.resources)} in {limit.tasks} tasks',
            )
