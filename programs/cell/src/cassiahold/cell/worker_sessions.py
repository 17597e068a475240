"""The leader's sessions with workers: their parts and life cycle."""

import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.attempt_ends import AttemptEnds
from cassiahold.cell.attempt_starts import AttemptStarts
from cassiahold.cell.attempt_stopper import AttemptStopper
from cassiahold.cell.heartbeats import HeartbeatTracker
from cassiahold.cell.job_beginnings import JobBeginnings
from cassiahold.cell.request_interface import RequestSender
from cassiahold.cell.session_table import SessionTable
from cassiahold.cell.settings import CellSettings
from cassiahold.cell.worker_ends import WorkerEnds
from cassiahold.cell.worker_polls import WorkerPolls
from cassiahold.core import logs
from cassiahold.core.ids import WorkerId
from cassiahold.core.metrics import Metrics
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.identities import IdentityChanges
from cassiahold.workflows.model import WorkerInfo
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.timelines import JobTimelines

_MS: typing.Final = 1000


class WorkerSessions:
    """The leader's sessions with the workers of one term.

    Handles heartbeats and opens sessions.  ``polls``, ``starts`` and ``ends``
    handle polls, starts and stops, and the ends of workers.  All return the
    commands that follow as proposals.
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
        self._advisor_replies = advisor_replies
        self._term = term
        self._metrics = metrics
        self._heartbeats = HeartbeatTracker()
        self.health = HealthTracker()
        self.timelines = JobTimelines()
        self._sessions = SessionTable(
            request_sender, settings.worker_bounds.max_lease_s, term
        )
        self._stopper = AttemptStopper(
            state, self.health, request_sender, self._sessions.session_by_worker
        )
        attempt_ends = AttemptEnds(
            state, self.health, self.timelines, self._stopper, metrics
        )
        self.ends = WorkerEnds(state, self._sessions, attempt_ends)
        self._beginnings = JobBeginnings(state)
        self.polls = WorkerPolls(
            state,
            self._sessions,
            request_sender,
            self.health,
            self._stopper,
            attempt_ends,
            self.ends,
            self._beginnings,
        )
        self.starts = AttemptStarts(
            state,
            self._sessions,
            request_sender,
            advisor_replies,
            self.health,
            self.timelines,
            self._stopper,
            self.ends,
            self._beginnings,
            metrics,
        )

    def open_sessions(self, now: float) -> None:
        """Open a session with every registered worker."""
        for worker in self._state.worker_by_id.values():
            self._open_session(worker.info, now)

    def close(self) -> None:
        """End every session; polling threads end at their next report."""
        self._sessions.close_all()

    def usable_workers(self, now: float) -> frozenset[WorkerId]:
        """Return the workers that may get new work."""
        usable = {
            worker_id: session.info
            for worker_id, session in self._sessions.session_by_worker.items()
            if session.is_usable(now)
            and not self.ends.is_deregistered(worker_id)
            and self._is_described(worker_id)
        }
        held_back = self.health.held_back_workers(usable.values(), now)
        return frozenset(usable) - held_back

    def silent_workers(self, now: float) -> frozenset[WorkerId]:
        """Return the workers that have not replied for a moment."""
        return frozenset(
            worker_id
            for worker_id, session in self._sessions.session_by_worker.items()
            if not session.has_just_replied(now)
        )

    def due_commands(self, now: float) -> list[commands.Command]:
        """Return the commands that follow from ends and beginnings."""
        return (
            self.ends.removal_commands(now)
            + self.starts.due_commands()
            + self._beginnings.due_commands(now)
        )

    def handle_effect(self, effect: commands.Effect, now: float) -> None:
        """Act on the effect of an applied command."""
        if isinstance(effect, commands.ConfigurationAdopted):
            _log_identity_changes(effect.changes)
            return
        if isinstance(effect, commands.AttemptScheduled):
            if effect.term == self._term:
                self.starts.send_start(effect.start, now)
        elif isinstance(effect, commands.AttemptStopRequired):
            self._stopper.stop(effect.attempt, effect.worker, effect.reason)
        elif isinstance(effect, commands.StepClosed):
            self._advisor_replies.forget_step(effect.step)
            self.health.forget_step(effect.step)
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

    def _is_described(self, worker_id: WorkerId) -> bool:
        """Tell whether the present incarnation of a worker described itself.

        A poll that finds a worker restarted tells nothing of its capacity and
        labels, which may have changed.
        """
        record = self._state.worker_by_id.get(worker_id)
        return record is not None and (
            record.sequence > 0 or self._heartbeats.has_sent(record.info)
        )

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
            if info.id not in self._sessions.session_by_worker:
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

    def _heartbeat_accepted(self) -> requests.HeartbeatAccepted:
        return requests.HeartbeatAccepted(self._settings.address)

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

    # Sessions.

    def _refresh_session(self, worker_id: WorkerId, now: float) -> None:
        record = self._state.worker_by_id.get(worker_id)
        if record is None:
            self._sessions.close(worker_id)
            self._heartbeats.record_removed(worker_id)
            return
        session = self._sessions.get(worker_id)
        if (
            session is None
            or session.info.incarnation != record.info.incarnation
        ):
            self._open_session(record.info, now)
        else:
            session.info = record.info

    def _open_session(self, info: WorkerInfo, now: float) -> None:
        previous_session = self._sessions.get(info.id)
        if previous_session is not None:
            self.ends.record_next_incarnation(previous_session)
        self._sessions.open(info, now)
        self.ends.forget(info.id)


def _log_identity_changes(changes: IdentityChanges) -> None:
    if not changes:
        return
    removed = changes.removed
    logs.info(
        'queues_followed',
        moved=' '.join(
            f'{former.host}{former.prefix}:{place.host}{place.prefix}'
            for former, place in changes.place_by_former.items()
        ),
        renamed_teams=' '.join(
            f'{former}:{team}'
            for former, team in changes.team_by_former.items()
        ),
        removed_queues=' '.join(queue.name for queue in removed.queues),
        removed_teams=' '.join(team.name for team in removed.teams),
    )
