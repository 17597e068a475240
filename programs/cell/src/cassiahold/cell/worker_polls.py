"""The leader's polls of workers and the handling of their replies."""

import time

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell.attempt_ends import AttemptEnds
from cassiahold.cell.attempt_stopper import AttemptStopper
from cassiahold.cell.clients import PollRequest
from cassiahold.cell.job_beginnings import JobBeginnings
from cassiahold.cell.request_interface import RequestSender
from cassiahold.cell.session_table import SessionTable
from cassiahold.cell.settings import POLL_MAX_WAIT_S
from cassiahold.cell.worker_ends import WorkerEnds
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.workflows import commands
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.late_ends import is_uncounted
from cassiahold.workflows.lost_attempts import LostAttempt
from cassiahold.workflows.model import AttemptKey, IncarnationKey
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollFindings,
    PollReply,
    WorkerSession,
)
from cassiahold.workflows.state import WorkflowState


class WorkerPolls:
    """Handles the replies to polls and returns the next polls.

    A reply tells which incarnation lives and which attempts run or have
    ended.
    """

    def __init__(
        self,
        state: WorkflowState,
        sessions: SessionTable,
        request_sender: RequestSender,
        health: HealthTracker,
        stopper: AttemptStopper,
        attempt_ends: AttemptEnds,
        worker_ends: WorkerEnds,
        beginnings: JobBeginnings,
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._request_sender = request_sender
        self._health = health
        self._stopper = stopper
        self._attempt_ends = attempt_ends
        self._worker_ends = worker_ends
        self._beginnings = beginnings

    def first_poll(
        self, request: local.GetFirstPoll, now: float
    ) -> PollRequest | local.SessionClosed:
        """Return the first poll of a session."""
        session = self._sessions.find(request.worker, request.fence)
        if session is None:
            return local.SessionClosed()
        return self._next_poll(session, now, max_wait_s=0.0)

    def poll_done(
        self, request: local.PollDone, now: float
    ) -> PollRequest | local.SessionClosed | Proposal:
        """Handle the outcome of a poll and return the next poll."""
        session = self._sessions.find(request.worker, request.fence)
        if session is None:
            return local.SessionClosed()
        if request.is_other_incarnation:
            self._worker_ends.mark_replaced(request.worker)
            return local.SessionClosed()
        if request.reply is None:
            session.record_poll_failed()
            return self._next_poll(session, now, max_wait_s=0.0)
        if request.reply.incarnation not in {0, session.info.incarnation}:
            return self._update_incarnation(session, request.reply.incarnation)
        self._worker_ends.record_reply(request, now)
        if request.reply.incarnation and self._state.has_lost_attempts(
            request.worker
        ):
            return self._resolve_lost_worker(session)
        return self._handle_poll_reply(session, request, now)

    def _update_incarnation(
        self, session: WorkerSession, incarnation: int
    ) -> Proposal:
        info = msgspec.structs.replace(session.info, incarnation=incarnation)
        return Proposal(
            commands.encode_command(
                commands.RegisterWorker(
                    info,
                    commands.NO_HEARTBEAT_SEQUENCE,
                    session.info.incarnation,
                )
            ),
            lambda _: local.SessionClosed(),
        )

    def _resolve_lost_worker(self, session: WorkerSession) -> Proposal:
        """Propose to count a crash that was not known when the lease ended."""
        key = IncarnationKey(session.info.id, session.info.incarnation)
        return Proposal(
            commands.encode_command(
                commands.EndAttempts([], time.time(), replying=(key,))
            ),
            lambda crashed_attempts: self._handle_resolved_loss(
                session, crashed_attempts
            ),
        )

    def _handle_resolved_loss(
        self, session: WorkerSession, crashed_attempts: list[LostAttempt]
    ) -> PollRequest:
        self._attempt_ends.record_late_crash(session, crashed_attempts)
        return self._next_poll(session, boottime_s())

    def _handle_poll_reply(
        self, session: WorkerSession, request: local.PollDone, now: float
    ) -> PollRequest | Proposal:
        worker = self._state.worker_by_id[session.info.id]
        reply = request.reply
        if reply is None:
            return self._next_poll(session, now, max_wait_s=0.0)
        had_replied = session.has_replied
        self._record_beginnings(reply)
        for running_attempt in reply.running:
            self._attempt_ends.record_checkpoint(
                running_attempt.attempt, running_attempt.checkpoint
            )
            self._health.record_progress(
                session.info.id,
                running_attempt.attempt,
                running_attempt.percent,
                now,
            )
        findings = session.reconcile(
            reply, worker.resources_by_attempt, request.sent_at, now
        )
        if not had_replied:
            logs.info(
                'worker_fenced',
                worker=session.info.id,
                fence=session.fence,
                running=len(reply.running),
                expected=len(worker.resources_by_attempt),
            )
        late_results = self._uncounted_results(session, findings)
        for attempt in findings.listed_attempts:
            self._request_sender.withdraw_start(attempt)
        for attempt in findings.unexpected_attempts:
            self._stopper.stop(attempt, session.info.id, 'not_expected')
        self._settle_starts(session, findings.missing_attempts, now)
        expected_attempts = list(worker.resources_by_attempt)
        self._stopper.stop_unwanted(session.info.id, expected_attempts)
        self._stopper.stop_stalled(session.info.id, expected_attempts, now)
        if not findings.results and not late_results:
            session.last_stored_end = findings.newest_end_number
            return self._next_poll(session, now)
        results = [
            self._attempt_ends.complete(result) for result in findings.results
        ]
        command = commands.EndAttempts(
            results, time.time(), late_results=late_results
        )
        return Proposal(
            commands.encode_command(command),
            lambda _: self._handle_stored_results(
                session, results, findings.newest_end_number
            ),
        )

    def _record_beginnings(self, reply: PollReply) -> None:
        for running_attempt in reply.running:
            self._beginnings.record(running_attempt.attempt)
        for ended_attempt in reply.ended:
            self._beginnings.record(ended_attempt.attempt)

    def _settle_starts(
        self,
        session: WorkerSession,
        missing_attempts: list[AttemptKey],
        now: float,
    ) -> None:
        """Make sure that starts without a reply are not carried out later."""
        if session.has_unsettled_start(missing_attempts, now):
            self._sessions.raise_fence(session)
            return
        for attempt in missing_attempts:
            self._stopper.stop(attempt, session.info.id, 'unanswered')

    def _handle_stored_results(
        self,
        session: WorkerSession,
        results: list[commands.AttemptResult],
        newest_end_number: int,
    ) -> PollRequest | local.SessionClosed:
        if self._sessions.get(session.info.id) is not session:
            # The attempts were given up before their results were stored.
            return local.SessionClosed()
        for result in results:
            self._attempt_ends.record_stored(result)
        session.last_stored_end = newest_end_number
        return self._next_poll(session, boottime_s())

    def _uncounted_results(
        self, session: WorkerSession, findings: PollFindings
    ) -> tuple[commands.AttemptResult, ...]:
        """Return the ends of attempts that were given up and still count."""
        uncounted_ends = [
            ended
            for ended in findings.unmatched_ends
            if is_uncounted(
                self._state.job_by_id.get(ended.attempt.task.step.job),
                ended.attempt,
                ended.outcome,
            )
        ]
        for ended in uncounted_ends:
            self._log_late_end(session, ended)
        return tuple(
            commands.AttemptResult(
                ended.attempt, session.info.id, ended.outcome, ended.checkpoint
            )
            for ended in uncounted_ends
        )

    def _log_late_end(
        self, session: WorkerSession, ended: EndedAttempt
    ) -> None:
        task = ended.attempt.task
        current = self._state.find_attempt(task)
        logs.info(
            'late_end',
            job=task.step.job,
            step=task.step.step_index,
            task=task.task_index,
            attempt=ended.attempt.attempt_number,
            worker=session.info.id,
            how=ended.outcome.value,
            active=0 if current is None else current.attempt_number,
        )

    def _next_poll(
        self,
        session: WorkerSession,
        now: float,
        max_wait_s: float = POLL_MAX_WAIT_S,
    ) -> PollRequest:
        return PollRequest(
            session.info,
            session.fence,
            session.end_to_acknowledge(now),
            session.lease_until_ms(now),
            max_wait_s if session.has_replied else 0.0,
        )
