"""Starts and stops of attempts and the workers' replies to them."""

import enum
import time
import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.attempt_stopper import AttemptStopper
from cassiahold.cell.clients import ReplyStatus, StartRequest, WorkerReply
from cassiahold.cell.job_beginnings import JobBeginnings
from cassiahold.cell.request_interface import RequestSender
from cassiahold.cell.session_table import SessionTable
from cassiahold.cell.worker_ends import WorkerEnds
from cassiahold.core import logs
from cassiahold.core.ids import WorkerId
from cassiahold.core.metrics import Metrics
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, AttemptOutcome
from cassiahold.workflows.sessions import WorkerSession
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.timelines import JobTimelines

# The worker starts neither the attempt nor an earlier one after such a reply.
STOPPED_STATUSES: typing.Final = frozenset(
    (ReplyStatus.DONE, ReplyStatus.OBSOLETE)
)


class AttemptStarts:
    """Sends starts and handles the replies to starts and stops."""

    def __init__(
        self,
        state: WorkflowState,
        sessions: SessionTable,
        request_sender: RequestSender,
        advisor_replies: AdvisorReplyCache,
        health: HealthTracker,
        timelines: JobTimelines,
        stopper: AttemptStopper,
        worker_ends: WorkerEnds,
        beginnings: JobBeginnings,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._request_sender = request_sender
        self._advisor_replies = advisor_replies
        self._health = health
        self._timelines = timelines
        self._stopper = stopper
        self._worker_ends = worker_ends
        self._beginnings = beginnings
        self._metrics = metrics
        self._unsent_results: list[commands.AttemptResult] = []

    def due_commands(self) -> list[commands.Command]:
        """Return the commands that end the starts that were not sent."""
        if not self._unsent_results:
            return []
        results = self._unsent_results
        self._unsent_results = []
        return [commands.EndAttempts(results, time.time())]

    def send_start(self, start: commands.AttemptStart, now: float) -> None:
        """Send a start that is stored, or end its attempt as lost."""
        session = self._sessions.get(start.worker)
        if session is None or session.info.incarnation != start.incarnation:
            self._end_unsent_start(start, 'no_session')
            return
        if session.is_failing:
            session.record_start_not_sent(start.attempt)
            self._end_unsent_start(start, 'failing')
            return
        until_ms = session.lease_until_ms(now)
        if until_ms is None:
            session.record_start_not_sent(start.attempt)
            self._end_unsent_start(start, 'no_lease')
            return
        step = start.attempt.task.step
        record = self._state.job_by_id[step.job]
        tasks = record.step(step).tasks
        ticket = self._advisor_replies.valid_ticket(step, session.info, now)
        session.record_start_sent(start.attempt, now)
        self._timelines.record_placement(step.job, now)
        self._request_sender.send_start(
            StartRequest(
                session.info,
                start.attempt,
                record.spec.payload,
                session.fence,
                until_ms,
                tasks[start.attempt.task.task_index].checkpoint,
                '' if ticket is None else ticket.token,
            )
        )

    def start_done(
        self, request: local.StartDone, now: float
    ) -> requests.Acknowledged | Proposal:
        """Handle a worker's reply to a start.

        A start without a reply may have been carried out, so it is stopped,
        with the members of its gang, which cannot complete any more.  A start
        that was refused or cannot have arrived ends as lost.
        """
        session = self._sessions.find(request.worker, request.fence)
        reply = request.reply
        if session is None:
            return requests.Acknowledged()
        logs.info(
            'start_answered',
            job=request.attempt.task.step.job,
            step=request.attempt.task.step.step_index,
            task=request.attempt.task.task_index,
            attempt=request.attempt.attempt_number,
            worker=request.worker,
            answer=_describe_answer(request),
            expected_s=self._state.step_spec(
                request.attempt.task.step
            ).expected_s,
        )
        if reply is None:
            return self._handle_start_without_reply(session, request, now)
        self._metrics.incr(f'start.{reply.status.value}')
        session.record_clock(reply.clock_ms, now)
        if reply.status is ReplyStatus.DONE:
            session.record_start_confirmed(request.attempt, now)
            self._beginnings.record(request.attempt)
            self._health.record_start(request.worker, request.attempt, now)
            self._timelines.record_start(request.attempt.task.step.job, now)
            return requests.Acknowledged()
        return self._handle_refused_start(session, request, reply, now)

    def _handle_start_without_reply(
        self, session: WorkerSession, request: local.StartDone, now: float
    ) -> requests.Acknowledged | Proposal:
        attempt = request.attempt
        if request.delivery is not local.Delivery.NOT_SENT:
            self._hold_back(session.info.id, now)
        if request.delivery is local.Delivery.POSSIBLE:
            if session.has_listed(attempt):
                return requests.Acknowledged()
            session.record_start_without_reply(attempt)
            self._stopper.stop(attempt, session.info.id, 'unanswered')
            self._stopper.stop_gang(attempt)
            return requests.Acknowledged()
        if request.delivery is local.Delivery.UNREACHABLE:
            session.record_unreachable()
        return self._end_as_lost(session, attempt)

    def _hold_back(self, worker: WorkerId, now: float) -> None:
        pause_s = self._health.record_unanswered_start(worker, now)
        if pause_s:
            logs.info('worker_held_back', worker=worker, pause_s=pause_s)

    def stop_done(
        self, request: local.StopDone, now: float
    ) -> requests.Acknowledged:
        """Handle a worker's reply to a stop; a poll then reports the end.

        After a refusal the next poll has the stop sent again.
        """
        self._stopper.record_stopped(request.attempt)
        session = self._sessions.find(request.worker, request.fence)
        if session is None or request.reply is None:
            return requests.Acknowledged()
        if request.reply.status in STOPPED_STATUSES:
            session.record_stop_confirmed(request.attempt, now)
        return requests.Acknowledged()

    def _handle_refused_start(
        self,
        session: WorkerSession,
        request: local.StartDone,
        reply: WorkerReply,
        now: float,
    ) -> requests.Acknowledged | Proposal:
        attempt = request.attempt
        if reply.status is ReplyStatus.UNHEALTHY:
            session.pause(now)
        if reply.status is ReplyStatus.REPLACED:
            self._worker_ends.mark_replaced(session.info.id)
            if request.delivery is local.Delivery.POSSIBLE:
                # An earlier try may have started it before the crash; it
                # ends with the worker, whose removal counts the crash.
                return requests.Acknowledged()
        if reply.status is ReplyStatus.NO_TICKET:
            self._advisor_replies.drop_ticket(
                attempt.task.step, session.info.id
            )
        return self._end_as_lost(session, attempt)

    def _end_as_lost(
        self, session: WorkerSession, attempt: AttemptKey
    ) -> Proposal:
        session.record_start_refused(attempt)
        result = commands.AttemptResult(
            attempt, session.info.id, AttemptOutcome.LOST
        )
        return Proposal(
            commands.encode_command(
                commands.EndAttempts([result], time.time())
            ),
            lambda _: requests.Acknowledged(),
        )

    def _end_unsent_start(
        self, start: commands.AttemptStart, reason: str
    ) -> None:
        """End an attempt as lost; only the leader of its term could send it."""
        _log_unsent_start(start, reason)
        self._unsent_results.append(
            commands.AttemptResult(
                start.attempt, start.worker, AttemptOutcome.LOST
            )
        )


def _describe_answer(request: local.StartDone) -> str:
    answer: enum.Enum = request.delivery
    if request.reply is not None:
        answer = request.reply.status
    elif request.delivery is local.Delivery.POSSIBLE:
        return 'none'
    return str(answer.value)


def _log_unsent_start(start: commands.AttemptStart, reason: str) -> None:
    step = start.attempt.task.step
    logs.info(
        'start_not_sent',
        job=step.job,
        step=step.step_index,
        task=start.attempt.task.task_index,
        attempt=start.attempt.attempt_number,
        worker=start.worker,
        why=reason,
    )
