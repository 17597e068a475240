"""The leader's sessions with workers and the handling of their replies."""

import enum
import time
import typing

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.attempt_ends import AttemptEnds
from cassiahold.cell.attempt_stopper import AttemptStopper
from cassiahold.cell.clients import (
    PollRequest,
    ReplyStatus,
    StartRequest,
    WorkerReply,
)
from cassiahold.cell.heartbeats import HeartbeatTracker
from cassiahold.cell.request_interface import RequestSender
from cassiahold.cell.settings import POLL_MAX_WAIT_S, CellSettings
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.metrics import Metrics
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.lost_attempts import LostAttempt
from cassiahold.workflows.model import AttemptKey, AttemptOutcome, WorkerInfo
from cassiahold.workflows.sessions import WorkerSession
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.timelines import JobTimelines

MAX_FENCES_PER_TERM: typing.Final = 1_000_000
# The worker starts neither the attempt nor an earlier one after such a reply.
STOPPED_STATUSES: typing.Final = frozenset(
    (ReplyStatus.DONE, ReplyStatus.OBSOLETE)
)
_MS: typing.Final = 1000
# A deregistered worker process has certainly ended after this time.
DEREGISTRATION_DELAY_S: typing.Final = 0.5


class WorkerSessions:
    """The leader's sessions with the workers of one term.

    Handles heartbeats, polls and the replies to starts and stops; returns the
    commands that follow from them as proposals.
    """

    def __init__(
        self,
        state: WorkflowState,
        settings: CellSettings,
        request_sender: RequestSender,
        advisor_replies: AdvisorReplyCache,
        term: int,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._settings = settings
        self._request_sender = request_sender
        self._advisor_replies = advisor_replies
        self._term = term
        self._metrics = metrics
        self._fence_count = 0
        self._session_by_worker: dict[WorkerId, WorkerSession] = {}
        self._heartbeats = HeartbeatTracker()
        self._deregistered_at_by_worker: dict[WorkerId, float] = {}
        # Departures that may be those of an earlier incarnation.
        self._unconfirmed_departure_at_by_worker: dict[WorkerId, float] = {}
        # Workers whose address another process has taken without notice.
        self._crashed_workers: set[WorkerId] = set()
        self._unsent_results: list[commands.AttemptResult] = []
        self.health = HealthTracker()
        self.timelines = JobTimelines()
        self._stopper = AttemptStopper(
            state, self.health, request_sender, self._session_by_worker
        )
        self._attempt_ends = AttemptEnds(
            state, self.health, self.timelines, self._stopper, metrics
        )

    def open_sessions(self, now: float) -> None:
        """Open a session with every registered worker."""
        for worker in self._state.worker_by_id.values():
            self._open_session(worker.info, now)

    def close(self) -> None:
        """End every session; polling threads end at their next report."""
        self._session_by_worker.clear()

    def usable_workers(self, now: float) -> frozenset[WorkerId]:
        """Return the workers that may get new work."""
        usable = {
            worker_id: session.info
            for worker_id, session in self._session_by_worker.items()
            if session.is_usable(now)
            and worker_id not in self._deregistered_at_by_worker
        }
        held_back = self.health.held_back_workers(usable.values(), now)
        return frozenset(usable) - held_back

    def silent_workers(self, now: float) -> frozenset[WorkerId]:
        """Return the workers that have not replied for a moment."""
        return frozenset(
            worker_id
            for worker_id, session in self._session_by_worker.items()
            if not session.has_just_replied(now)
        )

    def due_commands(self, now: float) -> list[commands.Command]:
        """Return the commands that end unsent starts and remove workers."""
        due = self._removal_commands(now)
        if self._unsent_results:
            due.append(commands.EndAttempts(self._unsent_results, time.time()))
            self._unsent_results = []
        return due

    def _removal_commands(self, now: float) -> list[commands.Command]:
        """Return the commands that remove deregistered and expired workers.

        Such a worker runs nothing any more: its process has ended or all of
        its leases have expired.  Its attempts end as lost with their last
        checkpoint.
        """
        removals: list[commands.Command] = []
        for worker_id, session in list(self._session_by_worker.items()):
            deregistered_at = self._deregistered_at_by_worker.get(worker_id)
            is_deregistered = (
                deregistered_at is not None
                and now >= deregistered_at + DEREGISTRATION_DELAY_S
            )
            if not is_deregistered and not session.has_expired(now):
                continue
            self._session_by_worker.pop(worker_id)
            self._deregistered_at_by_worker.pop(worker_id, None)
            logs.info(
                'worker_lost',
                worker=worker_id,
                born=session.info.incarnation,
                has_left=is_deregistered,
                silent_s=now - (session.last_reply_at or now),
            )
            if worker_id in self._crashed_workers:
                self._crashed_workers.remove(worker_id)
                self._attempt_ends.record_crash(session)
            is_explained = (
                is_deregistered
                or self._has_departed(session)
                or worker_id in self._unconfirmed_departure_at_by_worker
            )
            self._unconfirmed_departure_at_by_worker.pop(worker_id, None)
            removals.append(
                self._attempt_ends.end_command(
                    self._attempt_ends.lost_with_worker(
                        session, is_explained=is_explained
                    )
                )
            )
            removals.append(
                commands.RemoveWorker(
                    worker_id, session.info.incarnation, time.time()
                )
            )
        return removals

    def handle_effect(self, effect: commands.Effect, now: float) -> None:
        """Act on the effect of an applied command."""
        if isinstance(effect, commands.AttemptScheduled):
            if effect.term == self._term:
                self._send_start(effect.start, now)
        elif isinstance(effect, commands.AttemptStopRequired):
            self._stopper.stop(effect.attempt, effect.worker, effect.reason)
        elif isinstance(effect, commands.StepClosed):
            self._advisor_replies.forget_step(effect.step)
        elif isinstance(effect, commands.JobFinished):
            self._record_finished_job(effect)
        else:
            self._refresh_session(effect.worker, now)

    def _record_finished_job(self, effect: commands.JobFinished) -> None:
        state = effect.state.value
        timeline = self.timelines.remove(effect.job)
        durations_s = timeline.stage_durations()
        logs.info(
            'job_finished',
            job=effect.job,
            queue=self._state.job_by_id[effect.job].queue,
            state=state,
            age_s=effect.age_s,
            reason='' if effect.reason is None else effect.reason.value,
            failed_runs=timeline.failed_attempts,
            **durations_s,
        )
        for stage, duration_s in durations_s.items():
            self._metrics.timing(f'stage.{stage}', duration_s * _MS)
        self._metrics.incr(f'job_finished.{state}')
        self._metrics.timing('job', effect.age_s * _MS)

    # Heartbeats.

    def record_heartbeat(
        self, request: requests.WorkerBeat, now: float
    ) -> requests.HeartbeatAccepted | Proposal:
        """Handle a heartbeat; an outdated one changes nothing.

        Proposes to update the worker when its description has changed or a
        new leader could take an older heartbeat for a newer one.
        """
        info = request.info
        record = self._state.worker_by_id.get(info.id)
        if self._heartbeats.is_outdated(info, request.sequence, record):
            return self._heartbeat_accepted()
        is_stored = self._heartbeats.is_stored(info, request.sequence, record)
        self._heartbeats.record(info, request.sequence)
        if is_stored:
            if info.id not in self._session_by_worker:
                self._open_session(info, now)
            return self._heartbeat_accepted()
        logs.info(
            'worker_changed',
            worker=info.id,
            born=info.incarnation,
            is_draining=info.is_draining,
            sequence=request.sequence,
        )
        return Proposal(
            commands.encode_command(
                commands.RegisterWorker(info, request.sequence)
            ),
            lambda _: self._heartbeat_accepted(),
        )

    def deregister(
        self, request: requests.WorkerLeft, now: float
    ) -> requests.Acknowledged | Proposal:
        """Handle a worker's deregistration.

        One without an incarnation may be late and mean an earlier one.  It
        removes a worker only if that is known to be draining.
        """
        session = self._session_by_worker.get(request.id)
        if request.incarnation:
            return self._handle_departure(
                request.id, request.incarnation, session, now
            )
        if session is None:
            return requests.Acknowledged()
        if self._has_departed(session):
            return self._handle_departure(
                request.id, session.info.incarnation, session, now
            )
        self._unconfirmed_departure_at_by_worker[request.id] = now
        logs.info('worker_may_have_left', worker=request.id)
        return requests.Acknowledged()

    def _handle_departure(
        self,
        worker: WorkerId,
        incarnation: int,
        session: WorkerSession | None,
        now: float,
    ) -> requests.Acknowledged | Proposal:
        """Remove an incarnation soon and store that it has not crashed."""
        if session is not None and session.info.incarnation == incarnation:
            self._deregistered_at_by_worker.setdefault(worker, now)
            logs.info('worker_left', worker=worker, born=incarnation)
        if not self._is_departure_new(worker, incarnation):
            return requests.Acknowledged()
        return Proposal(
            commands.encode_command(
                commands.RecordDeparture(worker, incarnation)
            ),
            lambda _: requests.Acknowledged(),
        )

    def _is_departure_new(self, worker: WorkerId, incarnation: int) -> bool:
        """Tell whether the state may have to change for a departure."""
        if self._state.has_lost_attempts(worker):
            return True
        record = self._state.worker_by_id.get(worker)
        return record is not None and not record.has_departed(incarnation)

    def _heartbeat_accepted(self) -> requests.HeartbeatAccepted:
        return requests.HeartbeatAccepted(self._settings.address)

    # Polls.

    def first_poll(
        self, request: local.GetFirstPoll, now: float
    ) -> PollRequest | local.SessionClosed:
        """Return the first poll of a session."""
        session = self._find_session(request.worker, request.fence)
        if session is None:
            return local.SessionClosed()
        return self._next_poll(session, now, max_wait_s=0.0)

    def poll_done(
        self, request: local.PollDone, now: float
    ) -> PollRequest | local.SessionClosed | Proposal:
        """Handle the outcome of a poll and return the next poll."""
        session = self._find_session(request.worker, request.fence)
        if session is None:
            return local.SessionClosed()
        if request.is_other_incarnation:
            self._mark_replaced(request.worker, now)
            return local.SessionClosed()
        if request.reply is None:
            session.record_poll_failed()
            return self._next_poll(session, now, max_wait_s=0.0)
        if request.reply.incarnation not in {0, session.info.incarnation}:
            return self._update_incarnation(session, request.reply.incarnation)
        self._forget_late_departure(request)
        if request.reply.incarnation and self._state.has_lost_attempts(
            request.worker
        ):
            return self._resolve_lost_worker(session)
        return self._handle_poll_reply(session, request, now)

    def _mark_replaced(self, worker: WorkerId, now: float) -> None:
        """Remove a worker soon: another process has its address."""
        session = self._session_by_worker.get(worker)
        if (
            session is not None
            and not self._has_departed(session)
            and worker not in self._deregistered_at_by_worker
            and worker not in self._unconfirmed_departure_at_by_worker
        ):
            self._crashed_workers.add(worker)
        self._deregistered_at_by_worker.setdefault(
            worker, now - DEREGISTRATION_DELAY_S
        )

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

    def _forget_late_departure(self, request: local.PollDone) -> None:
        """Forget a departure after which the worker still replies."""
        left_at = self._unconfirmed_departure_at_by_worker.get(request.worker)
        if (
            left_at is not None
            and request.sent_at >= left_at + DEREGISTRATION_DELAY_S
        ):
            self._unconfirmed_departure_at_by_worker.pop(request.worker)

    def _resolve_lost_worker(self, session: WorkerSession) -> Proposal:
        """Propose to count a crash that was not known when the lease ended."""
        info = session.info
        return Proposal(
            commands.encode_command(
                commands.ResolveLostWorker(
                    info.id, info.incarnation, time.time()
                )
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
        for running_attempt in reply.running:
            self._attempt_ends.record_checkpoint(
                running_attempt.attempt, running_attempt.checkpoint
            )
            self.health.record_progress(
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
        for attempt in findings.unexpected_attempts:
            self._stopper.stop(attempt, session.info.id, 'not_expected')
        for attempt in findings.missing_attempts:
            self._stopper.stop(attempt, session.info.id, 'unanswered')
        expected_attempts = list(worker.resources_by_attempt)
        self._stopper.stop_unwanted(session.info.id, expected_attempts)
        self._stopper.stop_stalled(session.info.id, expected_attempts, now)
        if not findings.results:
            session.last_stored_end = findings.newest_end_number
            return self._next_poll(session, now)
        results = [
            self._attempt_ends.complete(result) for result in findings.results
        ]
        return Proposal(
            commands.encode_command(self._attempt_ends.end_command(results)),
            lambda _: self._handle_stored_results(
                session, results, findings.newest_end_number
            ),
        )

    def _handle_stored_results(
        self,
        session: WorkerSession,
        results: list[commands.AttemptResult],
        newest_end_number: int,
    ) -> PollRequest:
        for result in results:
            self._attempt_ends.record_stored(result)
        session.last_stored_end = newest_end_number
        return self._next_poll(session, boottime_s())

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

    # Starts, stops and advisor queries.

    def start_done(
        self, request: local.StartDone, now: float
    ) -> requests.Acknowledged | Proposal:
        """Handle a worker's reply to a start.

        A start without a reply may have been carried out, so it is stopped,
        with the members of its gang, which cannot complete any more.  A start
        that was refused or cannot have arrived ends as lost.
        """
        session = self._find_session(request.worker, request.fence)
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
            return self._handle_start_without_reply(session, request)
        self._metrics.incr(f'start.{reply.status.value}')
        session.record_clock(reply.clock_ms, now)
        if reply.status is ReplyStatus.DONE:
            session.record_start_confirmed(request.attempt, now)
            self.health.record_start(request.worker, request.attempt, now)
            self.timelines.record_start(request.attempt.task.step.job, now)
            return requests.Acknowledged()
        return self._handle_refused_start(session, request, reply, now)

    def _handle_start_without_reply(
        self, session: WorkerSession, request: local.StartDone
    ) -> requests.Acknowledged | Proposal:
        attempt = request.attempt
        if request.delivery is local.Delivery.POSSIBLE:
            session.record_start_without_reply(attempt)
            self._stopper.stop(attempt, session.info.id, 'unanswered')
            self._stopper.stop_gang(attempt)
            return requests.Acknowledged()
        if request.delivery is local.Delivery.UNREACHABLE:
            session.record_unreachable()
        return self._end_as_lost(session, attempt)

    def stop_done(
        self, request: local.StopDone, now: float
    ) -> requests.Acknowledged:
        """Handle a worker's reply to a stop; a poll then reports the end.

        After a refusal the next poll has the stop sent again.
        """
        self._stopper.record_stopped(request.attempt)
        session = self._find_session(request.worker, request.fence)
        if session is None or request.reply is None:
            return requests.Acknowledged()
        if request.reply.status in STOPPED_STATUSES:
            session.record_stop_confirmed(request.attempt, now)
        return requests.Acknowledged()

    def advisor_query_done(
        self, request: local.AdvisorQueryDone, now: float
    ) -> None:
        """Handle an advisor's reply to a query."""
        query = request.query
        if request.reply is None:
            self._advisor_replies.record_failure(query.step)
            return
        self.timelines.record_reply(query.step.job, now)
        self._advisor_replies.record_reply(
            query.step,
            query.queue.name,
            query.workers,
            request.reply,
            request.received_at,
        )

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
            self._mark_replaced(session.info.id, now)
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

    def _send_start(self, start: commands.AttemptStart, now: float) -> None:
        session = self._session_by_worker.get(start.worker)
        if session is None or session.info.incarnation != start.incarnation:
            self._end_unsent_start(start, 'no_session')
            return
        if session.is_failing:
            self._end_unsent_start(start, 'failing')
            return
        until_ms = session.lease_until_ms(now)
        if until_ms is None:
            self._end_unsent_start(start, 'no_lease')
            return
        step = start.attempt.task.step
        record = self._state.job_by_id[step.job]
        tasks = record.step(step).tasks
        ticket = self._advisor_replies.valid_ticket(step, session.info, now)
        session.record_start_sent(start.attempt, now)
        self.timelines.record_placement(step.job, now)
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

    # Sessions.

    def _find_session(
        self, worker: WorkerId, fence: int
    ) -> WorkerSession | None:
        session = self._session_by_worker.get(worker)
        if session is None or session.fence != fence:
            return None
        return session

    def _record_end(self, session: WorkerSession) -> None:
        """Record why an incarnation ended that another one follows."""
        if self._has_departed(session):
            return
        if session.info.id in self._unconfirmed_departure_at_by_worker:
            self._attempt_ends.record_departure(session)
        else:
            self._attempt_ends.record_crash(session)

    def _has_departed(self, session: WorkerSession) -> bool:
        record = self._state.worker_by_id.get(session.info.id)
        return record is not None and record.has_departed(
            session.info.incarnation
        )

    def _refresh_session(self, worker_id: WorkerId, now: float) -> None:
        record = self._state.worker_by_id.get(worker_id)
        if record is None:
            self._session_by_worker.pop(worker_id, None)
            self._heartbeats.record_removed(worker_id)
            return
        session = self._session_by_worker.get(worker_id)
        if (
            session is None
            or session.info.incarnation != record.info.incarnation
        ):
            self._open_session(record.info, now)
        else:
            session.info = record.info

    def _open_session(self, info: WorkerInfo, now: float) -> None:
        previous_session = self._session_by_worker.get(info.id)
        if previous_session is not None:
            self._record_end(previous_session)
        self._fence_count += 1
        fence = self._term * MAX_FENCES_PER_TERM + self._fence_count
        session = WorkerSession(
            info, fence, self._settings.worker_bounds.max_lease_s, now
        )
        self._session_by_worker[info.id] = session
        self._deregistered_at_by_worker.pop(info.id, None)
        self._unconfirmed_departure_at_by_worker.pop(info.id, None)
        self._crashed_workers.discard(info.id)
        self._request_sender.start_polling(info, fence)


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
