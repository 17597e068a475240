"""The cell as its leader runs it: callers, workers, placement, advice."""

import time
import typing

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import requests
from cassiahold.cell.dispatch import dispatch
from cassiahold.cell.settings import CellSettings
from cassiahold.cell.workers import Outlet, WorkerBoard
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import JobId, TeamName
from cassiahold.core.metrics import Metrics
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.applying import AcceptOutcome
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.load import load_of
from cassiahold.workflows.model import JobRecord
from cassiahold.workflows.planning import Planner, PlanningContext
from cassiahold.workflows.state import WorkflowState

PLAN_INTERVAL_S: typing.Final = 0.05  # at least this often while work waits
PLAN_PAUSE_S: typing.Final = 0.008  # between passes, however much changes
PRUNE_INTERVAL_S: typing.Final = 5.0
REPORT_INTERVAL_S: typing.Final = 1.0
_MS: typing.Final = 1000
NO_TEAM: typing.Final = TeamName('')


class _Leading(msgspec.Struct):
    """What only the leader keeps, rebuilt by each new one."""

    term: int
    board: WorkerBoard
    advice: AdvisorReplyCache
    planner: Planner
    planned_at: float = 0.0
    pruned_at: float = 0.0
    reported_at: float = 0.0
    is_changed: bool = True
    # Starts that are proposed but not applied are not in the state yet.
    starting: bytes = b''


class CellService:
    """Answers requests and adds commands; every call is the actor's."""

    def __init__(
        self, settings: CellSettings, outlet: Outlet, metrics: Metrics
    ) -> None:
        self.state = WorkflowState()
        self._settings = settings
        self._outlet = outlet
        self._metrics = metrics
        self._leading: _Leading | None = None

    # What the replica calls.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command."""
        outcome = self.state.apply(payload)
        effects = self.state.drain_effects()
        leading = self._leading
        if leading is not None:
            leading.is_changed = True
            if payload == leading.starting:
                leading.starting = b''
            for effect in effects:
                leading.board.follow(effect, boottime_s())
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the whole replicated state."""
        self.state.restore(state)

    def start_leading(self, term: int, now: float) -> None:
        """Call every known worker under a higher fence."""
        self.state.drain_effects()
        advice = AdvisorReplyCache()
        board = WorkerBoard(
            self.state,
            self._settings,
            self._outlet,
            advice,
            term,
            self._metrics,
        )
        self._leading = _Leading(
            term, board, advice, Planner(self.state, advice, board.health)
        )
        board.open_all(now)

    def stop_leading(self) -> None:
        """Drop what only a leader keeps."""
        if self._leading is not None:
            self._leading.board.close()
        self._leading = None

    def due_commands(self, now: float) -> list[bytes]:
        """Return the commands that are due."""
        leading = self._led()
        found: list[commands.Command] = list(leading.board.due(now))
        if now >= leading.pruned_at + PRUNE_INTERVAL_S:
            leading.pruned_at = now
            found.extend(self._prune())
        if now >= leading.reported_at + REPORT_INTERVAL_S:
            leading.reported_at = now
            self._report_load(leading, now)
        since_s = now - leading.planned_at
        pause_s = PLAN_PAUSE_S if leading.is_changed else PLAN_INTERVAL_S
        if since_s >= pause_s and not leading.starting:
            leading.planned_at = now
            leading.is_changed = False
            found.extend(self._plan(leading, now))
        return [commands.encode_command(command) for command in found]

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Answer a request or propose its command."""
        return dispatch(request, self, now)

    # Periodic work.

    @property
    def board(self) -> WorkerBoard:
        """Return the leader's sessions with workers."""
        return self._led().board

    @property
    def advice(self) -> AdvisorReplyCache:
        """Return the leader's advice."""
        return self._led().advice

    def wake(self) -> None:
        """Plan again soon: something has changed."""
        self._led().is_changed = True

    def _led(self) -> _Leading:
        if self._leading is None:
            raise CassiaholdError(ErrorKind.NO_QUORUM, 'this replica follows')
        return self._leading

    def _plan(self, leading: _Leading, now: float) -> list[commands.Command]:
        plan = leading.planner.plan(
            PlanningContext(leading.board.usable(now), now, time.time())
        )
        self._metrics.timing('plan', (boottime_s() - now) * _MS)
        self._metrics.incr('starts_planned', sum(map(len, plan.start_groups)))
        for question in plan.advisor_queries:
            leading.advice.record_query(question.step, question.workers)
            leading.board.timelines.asked(question.step.job, now)
            self._outlet.ask_advisor(question)
        if not plan.start_groups:
            return []
        command = commands.StartAttempts(leading.term, plan.start_groups)
        leading.starting = commands.encode_command(command)
        return [command]

    def _report_load(self, leading: _Leading, now: float) -> None:
        usable = leading.board.usable(now)
        load = load_of(self.state, usable)
        logs.info(
            'load',
            workers=len(self.state.worker_by_id),
            usable=len(usable),
            cores=load.cores_m // _MS,
            reserved_cores=load.reserved_cores_m // _MS,
            waiting=' '.join(
                f'{queue}:{count}'
                for queue, count in sorted(load.waiting_by_queue.items())
            ),
        )
        for queue, count in load.waiting_by_queue.items():
            self._metrics.gauge(f'waiting_steps.{queue}', count)

    def _prune(self) -> list[commands.Command]:
        before = time.time() - self._settings.finished_job_retention_s
        for record in self.state.job_by_id.values():
            if not record.is_open and record.finished_at < before:
                return [commands.PruneJobs(before)]
        return []

    # Requests of callers.

    def submit(self, request: requests.SubmitWork) -> Proposal:
        """Accept a job once for its id."""
        queue = self._queue_at(request.host, request.path)
        team = self._team_of(queue, request.key)
        job = _job_in(queue, request.path)
        command = commands.AcceptJob(
            job, queue.name, team, request.spec, time.time()
        )
        return propose(command, lambda outcome: self._accepted(job, outcome))

    def get(
        self, request: requests.GetWork
    ) -> requests.JobStatus | requests.QueueLength:
        """Return a job's state or a queue's length."""
        queue = self._queue_at(request.host, request.path)
        team = self._team_of(queue, request.key)
        if request.path == queue.prefix:
            return requests.QueueLength(self.state.untouched_jobs(queue.name))
        return requests.JobStatus(self._job(queue, team, request.path).state)

    def cancel(self, request: requests.CancelWork) -> Proposal:
        """Cancel a job."""
        queue = self._queue_at(request.host, request.path)
        team = self._team_of(queue, request.key)
        job = self._job(queue, team, request.path).id
        command = commands.CancelJob(job, time.time())
        return propose(command, lambda _: self._cancelled(job))

    def put_configuration(
        self, request: requests.PutCellConfiguration
    ) -> Proposal | requests.Acknowledged:
        """Adopt a higher version; a lower one changes nothing."""
        version = request.configuration.version
        if version <= self.state.configuration.version:
            return requests.Acknowledged()
        command = commands.PutConfiguration(
            request.configuration, request.source
        )
        return propose(command, lambda _: self._configured(version))

    def read_configuration(self) -> requests.ConfigurationSource:
        """Return the document in force."""
        if not self.state.source:
            raise _not_configured()
        return requests.ConfigurationSource(self.state.source)

    def _accepted(
        self, job: JobId, outcome: AcceptOutcome
    ) -> requests.WorkAccepted:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, 'the queue was removed')
        record = self.state.job_by_id[job]
        if outcome.is_first and self._leading is not None:
            self._leading.board.timelines.accepted(job, boottime_s())
        logs.info(
            'job_accepted',
            job=job,
            queue=record.queue,
            team=record.team,
            is_first=outcome.is_first,
            version=self.state.configuration.version,
        )
        self._metrics.incr(f'accepted.{record.queue}')
        self._metrics.gauge(
            f'untouched.{record.queue}',
            self.state.untouched_jobs(record.queue),
        )
        return requests.WorkAccepted(outcome.is_first)

    def _cancelled(self, job: JobId) -> requests.Acknowledged:
        logs.info('job_cancelled', job=job)
        return requests.Acknowledged()

    def _configured(self, version: int) -> requests.Acknowledged:
        logs.info(
            'configuration_stored',
            version=version,
            in_force=self.state.configuration.version,
        )
        return requests.Acknowledged()

    def _queue_at(self, host: str, path: str) -> QueuePolicy:
        if not self.state.configuration.version:
            raise _not_configured()
        queue = self.state.index.queue_at(host, path)
        if queue is None:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'no queue at {host}{path}'
            )
        return queue

    def _team_of(self, queue: QueuePolicy, key: str) -> TeamName:
        team = self.state.index.team_by_key.get(key)
        if team is not None:
            return team.name
        if queue.is_open:
            return NO_TEAM
        raise CassiaholdError(
            ErrorKind.UNKNOWN_KEY,
            f'the key is not of version {self.state.configuration.version}',
        )

    def _job(self, queue: QueuePolicy, team: TeamName, path: str) -> JobRecord:
        job = _job_in(queue, path)
        record = self.state.job_by_id.get(job)
        if record is None or record.queue != queue.name:
            raise CassiaholdError(
                ErrorKind.JOB_UNKNOWN, f'job {job!r} does not exist'
            )
        if not queue.is_open and team != record.team:
            raise CassiaholdError(
                ErrorKind.JOB_UNKNOWN, f'team {team!r} has no job {job!r}'
            )
        return record


def propose(
    command: commands.Command, reply: typing.Callable[[typing.Any], typing.Any]
) -> Proposal:
    """Return the proposal of a command."""
    return Proposal(commands.encode_command(command), reply)


def _job_in(queue: QueuePolicy, path: str) -> JobId:
    return JobId(path[len(queue.prefix) :])


def _not_configured() -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.NOT_CONFIGURED, 'no configuration has been stored'
    )
