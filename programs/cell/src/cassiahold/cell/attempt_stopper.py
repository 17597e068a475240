"""Which attempts in progress are stopped, and why."""

import typing

from cassiahold.cell.clients import StopRequest
from cassiahold.cell.request_interface import RequestSender
from cassiahold.core import logs
from cassiahold.core.ids import WorkerId
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey
from cassiahold.workflows.sessions import WorkerSession
from cassiahold.workflows.state import WorkflowState


class AttemptStopper:
    """Sends stops, one at a time for each attempt.

    ``session_by_worker`` is the leader's live mapping: attempts on workers
    without a session are not stopped.
    """

    def __init__(
        self,
        state: WorkflowState,
        health: HealthTracker,
        request_sender: RequestSender,
        session_by_worker: typing.Mapping[WorkerId, WorkerSession],
    ) -> None:
        self._state = state
        self._health = health
        self._request_sender = request_sender
        self._session_by_worker = session_by_worker
        self._stopping_attempts: set[AttemptKey] = set()

    def stop(self, attempt: AttemptKey, worker: WorkerId, reason: str) -> None:
        """Send a stop unless one is on its way; ``reason`` is logged."""
        session = self._session_by_worker.get(worker)
        if session is None or attempt in self._stopping_attempts:
            return
        self._stopping_attempts.add(attempt)
        logs.info(
            'run_unwanted',
            job=attempt.task.step.job,
            step=attempt.task.step.step_index,
            task=attempt.task.task_index,
            attempt=attempt.attempt_number,
            worker=worker,
            why=reason,
        )
        self._request_sender.send_stop(
            StopRequest(session.info, attempt, session.fence)
        )

    def record_stopped(self, attempt: AttemptKey) -> None:
        """Record that a stop was replied to or given up, or the end noted."""
        self._stopping_attempts.discard(attempt)

    def stop_gang(self, attempt: AttemptKey) -> None:
        """Stop the members of a gang that cannot complete any more."""
        for member in self._state.gang_members(attempt):
            record = self._state.find_attempt(member.task)
            if record is not None:
                self.stop(member, record.worker, 'gang_broken')

    def stop_unwanted(
        self, worker: WorkerId, attempts: typing.Iterable[AttemptKey]
    ) -> None:
        """Stop the attempts whose job or gang has ended."""
        for attempt in attempts:
            if not self._state.should_continue(attempt):
                self.stop(attempt, worker, 'job_over')

    def stop_stalled(
        self,
        worker: WorkerId,
        attempts: typing.Iterable[AttemptKey],
        now: float,
    ) -> None:
        """Stop the attempts that make no progress."""
        for attempt in attempts:
            if self._is_stalled(attempt, now):
                self._record_stall(attempt, worker, now)
                self.stop(attempt, worker, 'stalled')

    def _is_stalled(self, attempt: AttemptKey, now: float) -> bool:
        spec = self._state.step_spec(attempt.task.step)
        if spec.is_long_running or not self._health.is_stalled(
            attempt, spec.expected_s, now
        ):
            return False
        # None for a task that is not a member of a gang.
        members = self._state.gang_members(attempt)
        return self._health.is_gang_stalled(members, spec.expected_s, now)

    def _record_stall(
        self, attempt: AttemptKey, worker: WorkerId, now: float
    ) -> None:
        if self._state.step_spec(attempt.task.step).is_gang:
            self._health.record_stalled_gang(worker, attempt, now)
        else:
            self._health.record_stall(worker, attempt, now)
