"""The replicated service of the cell, as it runs in the replica's actor.

Every replica applies the commands of the log.  The leader also handles
requests of callers, operators and workers, plans placement, and proposes
commands.
"""

import re
import time
import typing

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import requests
from cassiahold.cell.dispatch import dispatch
from cassiahold.cell.request_interface import RequestSender
from cassiahold.cell.settings import CellSettings
from cassiahold.cell.worker_sessions import WorkerSessions
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import JobId, TeamName
from cassiahold.core.metrics import Metrics
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.command_dispatch import AcceptOutcome
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.load import measure_load
from cassiahold.workflows.model import JobRecord
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import PlanningContext
from cassiahold.workflows.state import WorkflowState

PLAN_INTERVAL_S: typing.Final = 0.05  # between passes without changes
PLAN_PAUSE_S: typing.Final = 0.008  # minimum between passes with changes
PRUNE_INTERVAL_S: typing.Final = 5.0
REPORT_INTERVAL_S: typing.Final = 1.0
_MS: typing.Final = 1000
ANONYMOUS_TEAM: typing.Final = TeamName('')
_MAX_JOB_ID_LENGTH: typing.Final = 64  # characters
# Names of tasks contain the id of their job, with dots between the parts.
_JOB_ID: typing.Final = re.compile(rf'[0-9A-Za-z_-]{{1,{_MAX_JOB_ID_LENGTH}}}')


class _LeaderState(msgspec.Struct):
    """State that only the leader keeps; each new leader rebuilds it."""

    term: int
    worker_sessions: WorkerSessions
    advisor_replies: AdvisorReplyCache
    planner: Planner
    planned_at: float = 0.0
    pruned_at: float = 0.0
    reported_at: float = 0.0
    has_changes: bool = True
    # Proposed starts that are not applied yet and so not in the state.
    pending_starts_payload: bytes = b''


class CellService:
    """Handles requests and proposes commands.

    Every call comes from the thread of the replica's actor.
    """

    def __init__(
        self,
        settings: CellSettings,
        request_sender: RequestSender,
        metrics: Metrics,
    ) -> None:
        self.state = WorkflowState()
        self._settings = settings
        self._request_sender = request_sender
        self._metrics = metrics
        self._leader_state: _LeaderState | None = None

    # Called by the replica.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command and return its outcome."""
        outcome = self.state.apply(payload)
        effects = self.state.drain_effects()
        leader_state = self._leader_state
        if leader_state is not None:
            leader_state.has_changes = True
            if payload == leader_state.pending_starts_payload:
                leader_state.pending_starts_payload = b''
            for effect in effects:
                leader_state.worker_sessions.handle_effect(effect, boottime_s())
        return outcome

    def snapshot(self) -> bytes:
        """Return the encoded replicated state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the replicated state by a snapshot."""
        self.state.restore(state)

    def start_leading(self, term: int, now: float) -> None:
        """Open a session with a higher fence for every registered worker."""
        self.state.drain_effects()
        advisor_replies = AdvisorReplyCache()
        worker_sessions = WorkerSessions(
            self.state,
            self._settings,
            self._request_sender,
            advisor_replies,
            term,
            self._metrics,
        )
        self._leader_state = _LeaderState(
            term,
            worker_sessions,
            advisor_replies,
            Planner(self.state, advisor_replies, worker_sessions.health),
        )
        worker_sessions.open_sessions(now)

    def stop_leading(self) -> None:
        """Discard the state that only a leader keeps."""
        if self._leader_state is not None:
            self._leader_state.worker_sessions.close()
            self._request_sender.stop_leading()
        self._leader_state = None

    def due_commands(self, now: float) -> list[bytes]:
        """Return the encoded commands that the leader proposes by itself.

        They remove lost workers, prune old jobs and start attempts.
        """
        leader_state = self._require_leader_state()
        due: list[commands.Command] = list(
            leader_state.worker_sessions.due_commands(now)
        )
        if now >= leader_state.pruned_at + PRUNE_INTERVAL_S:
            leader_state.pruned_at = now
            due.extend(self._prune_commands())
        if now >= leader_state.reported_at + REPORT_INTERVAL_S:
            leader_state.reported_at = now
            self._report_load(leader_state, now)
        elapsed_s = now - leader_state.planned_at
        pause_s = PLAN_PAUSE_S if leader_state.has_changes else PLAN_INTERVAL_S
        if elapsed_s >= pause_s and not leader_state.pending_starts_payload:
            leader_state.planned_at = now
            leader_state.has_changes = False
            due.extend(self._plan(leader_state, now))
        return [commands.encode_command(command) for command in due]

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Return the reply to a request, or the proposal of its command."""
        return dispatch(request, self, now)

    # State of the leader and periodic work.

    @property
    def worker_sessions(self) -> WorkerSessions:
        """Return the sessions with workers; raises ``NO_QUORUM``."""
        return self._require_leader_state().worker_sessions

    @property
    def advisor_replies(self) -> AdvisorReplyCache:
        """Return the advisors' replies; raises ``NO_QUORUM``."""
        return self._require_leader_state().advisor_replies

    def mark_changed(self) -> None:
        """Make the next pass start after the short pause."""
        self._require_leader_state().has_changes = True

    def _require_leader_state(self) -> _LeaderState:
        if self._leader_state is None:
            raise CassiaholdError(
                ErrorKind.NO_QUORUM, 'this replica is a follower'
            )
        return self._leader_state

    def _plan(
        self, leader_state: _LeaderState, now: float
    ) -> list[commands.Command]:
        plan = leader_state.planner.plan(
            PlanningContext(
                leader_state.worker_sessions.usable_workers(now),
                now,
                time.time(),
                leader_state.worker_sessions.silent_workers(now),
            )
        )
        self._metrics.timing('plan', (boottime_s() - now) * _MS)
        self._metrics.incr('starts_planned', sum(map(len, plan.start_groups)))
        for query in plan.advisor_queries:
            leader_state.advisor_replies.record_query(query.step, query.workers)
            leader_state.worker_sessions.timelines.record_query(
                query.step.job, now
            )
            self._request_sender.query_advisor(query)
        if not plan.start_groups:
            return []
        command = commands.StartAttempts(leader_state.term, plan.start_groups)
        leader_state.pending_starts_payload = commands.encode_command(command)
        return [command]

    def _report_load(self, leader_state: _LeaderState, now: float) -> None:
        usable = leader_state.worker_sessions.usable_workers(now)
        load = measure_load(self.state, usable)
        logs.info(
            'load',
            workers=len(self.state.worker_by_id),
            usable=len(usable),
            cores=load.cores_m // _MS,
            reserved_cores=load.allocated_cores_m // _MS,
            waiting=' '.join(
                f'{queue}:{count}'
                for queue, count in sorted(load.waiting_by_queue.items())
            ),
        )
        for queue, count in load.waiting_by_queue.items():
            self._metrics.gauge(f'waiting_steps.{queue}', count)

    def _prune_commands(self) -> list[commands.Command]:
        finished_before = time.time() - self._settings.finished_job_retention_s
        for record in self.state.job_by_id.values():
            if not record.is_open and record.finished_at < finished_before:
                return [commands.PruneJobs(finished_before)]
        return []

    # Requests of callers.

    def submit_job(self, request: requests.SubmitWork) -> Proposal:
        """Propose to store a job.

        Raises ``NOT_CONFIGURED``, ``NOT_FOUND``, ``UNKNOWN_KEY``, or
        ``BAD_REQUEST`` for a malformed id.
        """
        queue = self._find_queue(request.host, request.path)
        team = self._authenticate(queue, request.key)
        job = _job_id(queue, request.path)
        if _JOB_ID.fullmatch(job) is None:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'job id is {job!r}; expected up to {_MAX_JOB_ID_LENGTH} '
                'letters, digits, hyphens and underscores',
            )
        command = commands.AcceptJob(
            job,
            queue.name,
            team,
            request.spec,
            time.time(),
            queue.place,
            '' if team == ANONYMOUS_TEAM else request.key,
        )
        return propose(
            command, lambda outcome: self._reply_accepted(job, outcome)
        )

    def get_status(
        self, request: requests.GetWork
    ) -> requests.JobStatus | requests.QueueLength:
        """Return a job's state, or the queue's length without a job id."""
        queue = self._find_queue(request.host, request.path)
        team = self._authenticate(queue, request.key)
        if request.path == queue.prefix:
            return requests.QueueLength(
                self.state.count_unstarted_jobs(queue.place)
            )
        return requests.JobStatus(self._find_job(queue, team, request).state)

    def cancel_job(self, request: requests.CancelWork) -> Proposal:
        """Propose to cancel a job."""
        queue = self._find_queue(request.host, request.path)
        team = self._authenticate(queue, request.key)
        job = self._find_job(queue, team, request).id
        command = commands.CancelJob(job, time.time())
        return propose(command, lambda _: self._reply_cancelled(job))

    def put_configuration(
        self, request: requests.PutCellConfiguration
    ) -> Proposal | requests.Acknowledged:
        """Propose a configuration; acknowledge a known or lower version."""
        version = request.configuration.version
        if version <= self.state.configuration.version:
            return requests.Acknowledged()
        command = commands.PutConfiguration(
            request.configuration, request.source, time.time()
        )
        return propose(command, lambda _: self._reply_configured(version))

    def get_configuration(self) -> requests.ConfigurationSource:
        """Return the operator's document; raises ``NOT_CONFIGURED``."""
        if not self.state.configuration_source:
            raise _not_configured_error()
        return requests.ConfigurationSource(self.state.configuration_source)

    def _reply_accepted(
        self, job: JobId, outcome: AcceptOutcome
    ) -> requests.JobAccepted:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, 'the queue has been removed')
        record = self.state.job_by_id[job]
        if outcome.is_first and self._leader_state is not None:
            self._leader_state.worker_sessions.timelines.record_accepted(
                job, boottime_s()
            )
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
            self.state.count_unstarted_jobs(record.place),
        )
        return requests.JobAccepted(outcome.is_first)

    def _reply_cancelled(self, job: JobId) -> requests.Acknowledged:
        logs.info('job_cancelled', job=job)
        return requests.Acknowledged()

    def _reply_configured(self, version: int) -> requests.Acknowledged:
        logs.info(
            'configuration_stored',
            version=version,
            in_force=self.state.configuration.version,
        )
        return requests.Acknowledged()

    def _find_queue(self, host: str, path: str) -> QueuePolicy:
        if not self.state.configuration.version:
            raise _not_configured_error()
        queue = self.state.configuration_index.find_queue(host, path)
        if queue is None:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'no queue at {host}{path}'
            )
        return queue

    def _authenticate(self, queue: QueuePolicy, key: str) -> TeamName:
        team = self.state.configuration_index.team_by_key.get(key)
        if team is not None:
            return team.name
        if queue.is_public:
            return ANONYMOUS_TEAM
        raise CassiaholdError(
            ErrorKind.UNKNOWN_KEY,
            'the key is not in configuration version '
            f'{self.state.configuration.version}',
        )

    def _find_job(
        self,
        queue: QueuePolicy,
        team: TeamName,
        request: requests.GetWork | requests.CancelWork,
    ) -> JobRecord:
        job = _job_id(queue, request.path)
        record = self.state.job_by_id.get(job)
        if record is None or not _may_access(record, queue, team, request.key):
            raise CassiaholdError(
                ErrorKind.JOB_UNKNOWN,
                f'job {job!r} does not exist for team {team!r}',
            )
        return record


def _may_access(
    record: JobRecord, queue: QueuePolicy, team: TeamName, key: str
) -> bool:
    """Tell whether a caller with a configured key or none may see a job.

    Ids are unique in the cell, so a team reaches its jobs at any queue: also
    those that it submitted at a place that another queue has by now, or with a
    key that another team has by now.
    """
    if queue.is_public and record.place == queue.place:
        return True
    if team == ANONYMOUS_TEAM:
        return False
    return team == record.team or key == record.key


def propose(
    command: commands.Command,
    make_reply: typing.Callable[[typing.Any], typing.Any],
) -> Proposal:
    """Return the proposal of a command.

    ``make_reply`` turns the outcome of the command into the reply.
    """
    return Proposal(commands.encode_command(command), make_reply)


def _job_id(queue: QueuePolicy, path: str) -> JobId:
    return JobId(path[len(queue.prefix) :])


def _not_configured_error() -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.NOT_CONFIGURED, 'no configuration has been stored'
    )
