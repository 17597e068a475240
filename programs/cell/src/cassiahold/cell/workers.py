"""The leader's sessions with workers, and what their answers mean."""

import time
import typing

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.beats import BeatBook
from cassiahold.cell.clients import (
    PollRequest,
    ReplyStatus,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.cell.settings import LOOK_WAIT_S, CellSettings
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.metrics import Metrics
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, AttemptOutcome, WorkerInfo
from cassiahold.workflows.planning import AdvisorQuery
from cassiahold.workflows.sessions import WorkerSession
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.timelines import Timelines

FENCES_PER_TERM: typing.Final = 1_000_000
_MS: typing.Final = 1000
LEFT_S: typing.Final = 0.5  # a worker that left has surely ended after this


class Outlet(typing.Protocol):
    """Carries orders out in threads of their own; never waits."""

    def open_session(self, worker: WorkerInfo, fence: int) -> None:
        """Begin to look at a worker."""

    def start_run(self, order: StartRequest) -> None:
        """Send a start."""

    def stop_run(self, order: StopRequest) -> None:
        """Send a stop until it is answered."""

    def ask_advisor(self, question: AdvisorQuery) -> None:
        """Queue a call to the advisor."""


class WorkerBoard:
    """Every worker as the leader sees it."""

    def __init__(
        self,
        state: WorkflowState,
        settings: CellSettings,
        outlet: Outlet,
        advice: AdvisorReplyCache,
        term: int,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._settings = settings
        self._outlet = outlet
        self._advice = advice
        self._term = term
        self._metrics = metrics
        self._fences = 0
        self._session_by_worker: dict[WorkerId, WorkerSession] = {}
        self._beats = BeatBook()
        self._left_by_worker: dict[WorkerId, float] = {}
        self._stopping: set[AttemptKey] = set()
        self._saved_by_run: dict[AttemptKey, str] = {}
        self.health = HealthTracker()
        self.timelines = Timelines()

    def open_all(self, now: float) -> None:
        """Open a session with every known worker."""
        for worker in self._state.worker_by_id.values():
            self._open(worker.info, now)

    def close(self) -> None:
        """End every session; their threads end at their next report."""
        self._session_by_worker.clear()

    def usable(self, now: float) -> frozenset[WorkerId]:
        """Return the workers that may get new work."""
        return frozenset(
            worker_id
            for worker_id, session in self._session_by_worker.items()
            if session.is_usable(now)
            and worker_id not in self._left_by_worker
            and not self.health.is_resting(worker_id, now)
        )

    def due(self, now: float) -> list[commands.Command]:
        """Return the removal of workers that surely run nothing any more."""
        found: list[commands.Command] = []
        for worker_id, session in list(self._session_by_worker.items()):
            left_at = self._left_by_worker.get(worker_id)
            has_left = left_at is not None and now >= left_at + LEFT_S
            if not has_left and not session.is_dead(now):
                continue
            self._session_by_worker.pop(worker_id)
            self._left_by_worker.pop(worker_id, None)
            logs.info(
                'worker_lost',
                worker=worker_id,
                born=session.info.incarnation,
                has_left=has_left,
                silent_s=now - (session.heard_at or now),
            )
            found.append(self._last_checkpoints(worker_id))
            found.append(
                commands.ForgetWorker(
                    worker_id, session.info.incarnation, time.time()
                )
            )
        return found

    def _last_checkpoints(self, worker_id: WorkerId) -> commands.EndAttempts:
        record = self._state.worker_by_id.get(worker_id)
        runs = () if record is None else tuple(record.runs)
        self.health.forget(worker_id, runs)
        ends = [
            commands.AttemptResult(
                run,
                worker_id,
                AttemptOutcome.LOST,
                self._saved_by_run.pop(run, ''),
            )
            for run in runs
        ]
        return commands.EndAttempts(ends, time.time())

    def follow(self, effect: commands.Effect, now: float) -> None:
        """Act on what a command changed."""
        if isinstance(effect, commands.AttemptScheduled):
            if effect.term == self._term:
                self._send_start(effect.start, now)
        elif isinstance(effect, commands.AttemptStopRequired):
            self._send_stop(effect.run, effect.worker, effect.why)
        elif isinstance(effect, commands.StepClosed):
            self._advice.forget_step(effect.step)
        elif isinstance(effect, commands.JobFinished):
            self._note_finished(effect)
        else:
            self._refresh(effect.worker, now)

    def _note_finished(self, effect: commands.JobFinished) -> None:
        state = effect.state.value
        timeline = self.timelines.finish(effect.job)
        waits = timeline.durations()
        logs.info(
            'job_finished',
            job=effect.job,
            queue=self._state.job_by_id[effect.job].queue,
            state=state,
            age_s=effect.age_s,
            failed_runs=timeline.failed_runs,
            **waits,
        )
        for stage, wait_s in waits.items():
            self._metrics.timing(f'stage.{stage}', wait_s * _MS)
        self._metrics.incr(f'job_finished.{state}')
        self._metrics.timing('job', effect.age_s * _MS)

    # Heartbeats.

    def beat(
        self, request: requests.WorkerBeat, now: float
    ) -> requests.BeatAccepted | Proposal:
        """Take a heartbeat; an overtaken one changes nothing."""
        info = request.info
        known = self._state.worker_by_id.get(info.id)
        if self._beats.is_overtaken(info, request.sequence, known):
            return self._beaten()
        self._beats.take(info, request.sequence)
        if known is not None and known.info == info:
            if info.id not in self._session_by_worker:
                self._open(info, now)
            return self._beaten()
        logs.info(
            'worker_changed',
            worker=info.id,
            born=info.incarnation,
            is_draining=info.is_draining,
            sequence=request.sequence,
        )
        return Proposal(
            commands.encode_command(commands.RegisterWorker(info)),
            lambda _: self._beaten(),
        )

    def left(
        self, request: requests.WorkerLeft, now: float
    ) -> requests.Acknowledged:
        """Take a worker's last word."""
        session = self._session_by_worker.get(request.id)
        if session is not None and request.born in {
            0,
            session.info.incarnation,
        }:
            self._left_by_worker.setdefault(request.id, now)
            logs.info('worker_left', worker=request.id, born=request.born)
        return requests.Acknowledged()

    def _beaten(self) -> requests.BeatAccepted:
        return requests.BeatAccepted(self._settings.address)

    # Looks.

    def next_look(
        self, request: local.NextLook, now: float
    ) -> PollRequest | local.SessionClosed:
        """Return the first look of a session."""
        session = self._session(request.worker, request.fence)
        if session is None:
            return local.SessionClosed()
        return self._look(session, now, wait_s=0.0)

    def look_done(
        self, request: local.LookDone, now: float
    ) -> PollRequest | local.SessionClosed | Proposal:
        """Take a look and return the next one."""
        session = self._session(request.worker, request.fence)
        if session is None:
            return local.SessionClosed()
        if request.is_other_incarnation:
            self._note_replaced(request.worker, now)
            return local.SessionClosed()
        if request.view is None:
            return self._look(session, now, wait_s=0.0)
        if request.view.born not in {0, session.info.incarnation}:
            return self._reborn(session, request.view.born)
        return self._take_view(session, request, now)

    def _note_replaced(self, worker: WorkerId, now: float) -> None:
        """Give a worker up: another process holds its address."""
        self._left_by_worker.setdefault(worker, now - LEFT_S)

    def _reborn(self, session: WorkerSession, born: int) -> Proposal:
        info = msgspec.structs.replace(session.info, born=born)
        return Proposal(
            commands.encode_command(commands.RegisterWorker(info)),
            lambda _: local.SessionClosed(),
        )

    def _take_view(
        self, session: WorkerSession, request: local.LookDone, now: float
    ) -> PollRequest | Proposal:
        worker = self._state.worker_by_id[session.info.id]
        view = request.view
        if view is None:
            return self._look(session, now, wait_s=0.0)
        was_fenced = session.is_fenced
        for row in view.running:
            if row.saved:
                self._saved_by_run[row.attempt] = row.saved
            self.health.progressed(
                session.info.id, row.attempt, row.percent, now
            )
        findings = session.on_view(view, worker.runs, request.sent_at, now)
        if not was_fenced:
            logs.info(
                'worker_fenced',
                worker=session.info.id,
                fence=session.fence,
                running=len(view.running),
                expected=len(worker.runs),
            )
        for run in findings.strays:
            self._send_stop(run, session.info.id, 'not_expected')
        for run in findings.missing:
            self._send_stop(run, session.info.id, 'unanswered')
        self._stop_unwanted(session, worker.runs)
        self._stop_stalled(session, worker.runs, now)
        if not findings.ends:
            session.last_seen = findings.newest_end
            return self._look(session, now)
        ends = [self._completed(end) for end in findings.ends]
        return Proposal(
            commands.encode_command(commands.EndAttempts(ends, time.time())),
            lambda _: self._ends_stored(session, ends, findings.newest_end),
        )

    def _completed(self, end: commands.AttemptResult) -> commands.AttemptResult:
        saved = end.saved or self._saved_by_run.get(end.attempt, '')
        took_s = self.health.took_s(end.attempt, boottime_s())
        return commands.AttemptResult(
            end.attempt, end.worker, end.outcome, saved, took_s
        )

    def _ends_stored(
        self,
        session: WorkerSession,
        ends: list[commands.AttemptResult],
        newest: int,
    ) -> PollRequest:
        for end in ends:
            self._stopping.discard(end.attempt)
            self._saved_by_run.pop(end.attempt, None)
            self.health.record_outcome(
                end.worker, end.attempt, end.outcome, boottime_s()
            )
            self._note_end(end)
        session.last_seen = newest
        return self._look(session, boottime_s())

    def _note_end(self, end: commands.AttemptResult) -> None:
        key = end.attempt.task.step
        if end.outcome is AttemptOutcome.FAILED:
            self.timelines.failed(key.job)
        self._metrics.incr(f'run_ended.{end.outcome.value}')
        self._metrics.timing('run', end.took_s * _MS)
        worker = self._state.worker_by_id.get(end.worker)
        logs.info(
            'run_ended',
            job=key.job,
            step=key.step_index,
            task=end.attempt.task.task_index,
            attempt=end.attempt.attempt_number,
            worker=end.worker,
            how=end.outcome.value,
            took_s=end.took_s,
            speed=0.0 if worker is None else worker.speed.speed,
        )

    def _stop_unwanted(
        self, session: WorkerSession, runs: typing.Iterable[AttemptKey]
    ) -> None:
        for run in list(runs):
            if not self._state.is_wanted(run):
                self._send_stop(run, session.info.id, 'job_over')

    def _stop_stalled(
        self,
        session: WorkerSession,
        runs: typing.Iterable[AttemptKey],
        now: float,
    ) -> None:
        for run in list(runs):
            spec = self._state.spec_of(run.task.step)
            if spec.is_long_running or not self.health.is_stalled(run, now):
                continue
            self.health.blame_stall(session.info.id, now)
            self._send_stop(run, session.info.id, 'stalled')

    def _look(
        self, session: WorkerSession, now: float, wait_s: float = LOOK_WAIT_S
    ) -> PollRequest:
        return PollRequest(
            session.info,
            session.fence,
            session.last_seen,
            session.lease_until_ms(now),
            wait_s if session.is_fenced else 0.0,
        )

    # Orders.

    def start_done(
        self, request: local.StartDone, now: float
    ) -> requests.Acknowledged | Proposal:
        """Take a worker's answer to a start."""
        session = self._session(request.worker, request.fence)
        reply = request.reply
        if session is None:
            return requests.Acknowledged()
        logs.info(
            'start_answered',
            job=request.run.task.step.job,
            step=request.run.task.step.step_index,
            task=request.run.task.task_index,
            attempt=request.run.attempt_number,
            worker=request.worker,
            answer='none' if reply is None else reply.answer.value,
            expected_s=self._state.spec_of(request.run.task.step).expected_s,
        )
        if reply is None:
            session.unanswered(request.run)
            self._send_stop(request.run, request.worker, 'unanswered')
            return requests.Acknowledged()
        self._metrics.incr(f'start.{reply.answer.value}')
        session.note_clock(reply.clock_ms, now)
        if reply.answer is ReplyStatus.DONE:
            session.answered(request.run, now)
            self.health.record_start(request.worker, request.run, now)
            self.timelines.begun(request.run.task.step.job, now)
            return requests.Acknowledged()
        return self._refused(session, request.run, reply, now)

    def stop_done(
        self, request: local.StopDone, now: float
    ) -> requests.Acknowledged:
        """Take a worker's answer to a stop; the end comes with a look."""
        self._stopping.discard(request.run)
        session = self._session(request.worker, request.fence)
        if session is not None and request.reply is not None:
            session.withdrawn(request.run, now)
        return requests.Acknowledged()

    def advice_done(self, request: local.AdviceDone, now: float) -> None:
        """Take an advisor's answer."""
        question = request.question
        if request.advice is None:
            self._advice.failed(question.step)
            return
        self.timelines.advised(question.step.job, now)
        self._advice.record_reply(
            question.step,
            question.queue.name,
            question.workers,
            request.advice,
            now,
        )

    def _refused(
        self,
        session: WorkerSession,
        run: AttemptKey,
        reply: WorkerReply,
        now: float,
    ) -> Proposal:
        if reply.answer is ReplyStatus.UNHEALTHY:
            session.rest(now)
        if reply.answer is ReplyStatus.REPLACED:
            self._note_replaced(session.info.id, now)
        if reply.answer is ReplyStatus.NO_TICKET:
            self._advice.drop_ticket(run.task.step, session.info.id)
        end = commands.AttemptResult(run, session.info.id, AttemptOutcome.LOST)
        return Proposal(
            commands.encode_command(commands.EndAttempts([end], time.time())),
            lambda _: requests.Acknowledged(),
        )

    def _send_start(self, start: commands.AttemptStart, now: float) -> None:
        session = self._session_by_worker.get(start.worker)
        if session is None or session.info.incarnation != start.born:
            return
        until_ms = session.lease_until_ms(now)
        if until_ms is None:
            return
        step = start.attempt.task.step
        record = self._state.job_by_id[step.job]
        tasks = record.step(step).tasks
        ticket = self._advice.ticket(step, session.info, now)
        session.order(start.attempt)
        self.timelines.placed(step.job, now)
        self._outlet.start_run(
            StartRequest(
                session.info,
                start.attempt,
                record.spec.payload,
                session.fence,
                until_ms,
                tasks[start.attempt.task.task_index].saved,
                '' if ticket is None else ticket.token,
            )
        )

    def _send_stop(
        self, run: AttemptKey, worker_id: WorkerId, why: str
    ) -> None:
        session = self._session_by_worker.get(worker_id)
        if session is None or run in self._stopping:
            return
        self._stopping.add(run)
        logs.info(
            'run_unwanted',
            job=run.task.step.job,
            step=run.task.step.step_index,
            task=run.task.task_index,
            attempt=run.attempt_number,
            worker=worker_id,
            why=why,
        )
        self._outlet.stop_run(StopRequest(session.info, run, session.fence))

    # Sessions.

    def _session(self, worker: WorkerId, fence: int) -> WorkerSession | None:
        session = self._session_by_worker.get(worker)
        if session is None or session.fence != fence:
            return None
        return session

    def _refresh(self, worker_id: WorkerId, now: float) -> None:
        record = self._state.worker_by_id.get(worker_id)
        if record is None:
            self._session_by_worker.pop(worker_id, None)
            return
        session = self._session_by_worker.get(worker_id)
        if (
            session is None
            or session.info.incarnation != record.info.incarnation
        ):
            self._open(record.info, now)
        else:
            session.info = record.info

    def _open(self, info: WorkerInfo, now: float) -> None:
        self._fences += 1
        fence = self._term * FENCES_PER_TERM + self._fences
        session = WorkerSession(
            info, fence, self._settings.worker_bounds.max_lease_s, now
        )
        self._session_by_worker[info.id] = session
        self._left_by_worker.pop(info.id, None)
        self._outlet.open_session(info, fence)
