"""Results of attempts that end: checkpoints, durations, crashes of workers."""

import time
import typing

import msgspec

from cassiahold.cell.attempt_stopper import AttemptStopper
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.metrics import Metrics
from cassiahold.workflows import commands
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.lost_attempts import LostAttempt
from cassiahold.workflows.model import AttemptKey, AttemptOutcome
from cassiahold.workflows.sessions import WorkerSession
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.timelines import JobTimelines

_MS: typing.Final = 1000


class AttemptEnds:
    """Completes the results of attempts and records them once stored.

    Keeps the newest checkpoints and the evidence of crashes of workers.
    """

    def __init__(
        self,
        state: WorkflowState,
        health: HealthTracker,
        timelines: JobTimelines,
        stopper: AttemptStopper,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._health = health
        self._timelines = timelines
        self._stopper = stopper
        self._metrics = metrics
        self._checkpoint_by_attempt: dict[AttemptKey, str] = {}
        self._evidence_by_attempt: dict[AttemptKey, CrashEvidence] = {}

    def record_checkpoint(self, attempt: AttemptKey, checkpoint: str) -> None:
        """Keep the newest checkpoint of an attempt in progress."""
        if checkpoint:
            self._checkpoint_by_attempt[attempt] = checkpoint

    def record_crash(self, session: WorkerSession) -> None:
        """Weigh the crash of a worker's incarnation against its attempts."""
        worker = self._state.worker_by_id.get(session.info.id)
        if worker is None:
            return
        evidence_by_attempt = session.weigh_crash(
            worker.resources_by_attempt, worker.suspect_attempts
        )
        for attempt, evidence in evidence_by_attempt.items():
            # A second restart tells less than the first.
            self._evidence_by_attempt[attempt] = max(
                evidence, self._evidence_by_attempt.get(attempt, evidence)
            )
        self._metrics.incr('worker_crashed')
        logs.info(
            'worker_crashed',
            worker=session.info.id,
            born=session.info.incarnation,
            attempts=len(evidence_by_attempt),
            recent=sum(
                evidence >= CrashEvidence.RECENT
                for evidence in evidence_by_attempt.values()
            ),
        )

    def record_late_crash(
        self,
        session: WorkerSession,
        crashed_attempts: typing.Sequence[LostAttempt],
    ) -> None:
        """Record that a worker returned whose attempts ended as lost."""
        logs.info(
            'lost_worker_returned',
            worker=session.info.id,
            born=session.info.incarnation,
            crashed_attempts=len(crashed_attempts),
        )
        for lost in crashed_attempts:
            self._metrics.incr('late_crash')
            step = lost.attempt.task.step
            logs.info(
                'crash_counted_late',
                job=step.job,
                step=step.step_index,
                task=lost.attempt.task.task_index,
                attempt=lost.attempt.attempt_number,
                worker=lost.worker,
                born=lost.incarnation,
                crash=lost.evidence.name.lower(),
            )

    def record_departure(self, session: WorkerSession) -> None:
        """Record that no attempt of a worker ends with a crash."""
        worker = self._state.worker_by_id.get(session.info.id)
        if worker is not None:
            for attempt in worker.resources_by_attempt:
                self._evidence_by_attempt.setdefault(
                    attempt, CrashEvidence.NONE
                )

    def lost_with_worker(
        self, session: WorkerSession, *, is_explained: bool
    ) -> list[commands.AttemptResult]:
        """Return the results of all attempts of a worker that is gone.

        Unless the loss is explained, the worker may have crashed.
        """
        worker = self._state.worker_by_id.get(session.info.id)
        if worker is None:
            return []
        attempts = list(worker.resources_by_attempt)
        possible_evidence = (
            {}
            if is_explained
            else session.weigh_crash(attempts, worker.suspect_attempts)
        )
        results = [
            self._complete_lost(
                commands.AttemptResult(
                    attempt,
                    session.info.id,
                    AttemptOutcome.LOST,
                    possible_crash=possible_evidence.get(
                        attempt, CrashEvidence.NONE
                    ),
                )
            )
            for attempt in attempts
        ]
        self._health.forget_worker(session.info.id, worker.resources_by_attempt)
        for result in results:
            self._forget(result.attempt)
            self._log_end(result)
        return results

    def complete(
        self, result: commands.AttemptResult
    ) -> commands.AttemptResult:
        """Add the checkpoint, the duration and the evidence of a crash."""
        attempt = result.attempt
        now = boottime_s()
        return msgspec.structs.replace(
            result,
            checkpoint=result.checkpoint
            or self._checkpoint_by_attempt.get(attempt, ''),
            duration_s=self._health.attempt_duration_s(attempt, now),
            observed_s=self._health.observed_run_s(attempt, now),
            crash=self._crash_evidence(result),
        )

    def record_stored(self, result: commands.AttemptResult) -> None:
        """Record the end of an attempt after it has been stored."""
        self._stopper.record_stopped(result.attempt)
        self._forget(result.attempt)
        spec = self._state.step_spec(result.attempt.task.step)
        self._health.record_outcome(
            result.worker,
            result.attempt,
            result.outcome,
            boottime_s(),
            is_long_running=spec.is_long_running,
        )
        if result.outcome is AttemptOutcome.FAILED:
            self._timelines.record_failure(result.attempt.task.step.job)
        self._log_end(result)

    def end_command(
        self, results: list[commands.AttemptResult]
    ) -> commands.EndAttempts:
        """Return the command that stores some results."""
        return commands.EndAttempts(results, time.time())

    def _complete_lost(
        self, result: commands.AttemptResult
    ) -> commands.AttemptResult:
        completed = self.complete(result)
        if completed.crash is CrashEvidence.NONE:
            return completed
        # A crash that is counted already must not count again.
        return msgspec.structs.replace(
            completed, possible_crash=CrashEvidence.NONE
        )

    def _crash_evidence(self, result: commands.AttemptResult) -> CrashEvidence:
        if result.outcome is not AttemptOutcome.LOST:
            return CrashEvidence.NONE
        if self._has_departed(result):
            return CrashEvidence.NONE
        evidence = self._evidence_by_attempt.get(result.attempt)
        if evidence is not None:
            return evidence
        # The worker may have restarted under an earlier leader.
        return (
            CrashEvidence.PRESENT
            if self._started_on_other_incarnation(result)
            else CrashEvidence.NONE
        )

    def _has_departed(self, result: commands.AttemptResult) -> bool:
        worker = self._state.worker_by_id.get(result.worker)
        record = self._state.find_attempt(result.attempt.task)
        if worker is None or record is None:
            return False
        return worker.has_departed(record.incarnation)

    def _started_on_other_incarnation(
        self, result: commands.AttemptResult
    ) -> bool:
        worker = self._state.worker_by_id.get(result.worker)
        record = self._state.find_attempt(result.attempt.task)
        if worker is None or record is None:
            return False
        return record.incarnation != worker.info.incarnation

    def _forget(self, attempt: AttemptKey) -> None:
        self._checkpoint_by_attempt.pop(attempt, None)
        self._evidence_by_attempt.pop(attempt, None)

    def _log_end(self, result: commands.AttemptResult) -> None:
        self._metrics.incr(f'run_ended.{result.outcome.value}')
        self._metrics.timing('run', result.duration_s * _MS)
        worker = self._state.worker_by_id.get(result.worker)
        logs.info(
            'run_ended',
            job=result.attempt.task.step.job,
            step=result.attempt.task.step.step_index,
            task=result.attempt.task.task_index,
            attempt=result.attempt.attempt_number,
            worker=result.worker,
            how=result.outcome.value,
            crash=result.crash.name.lower(),
            took_s=result.duration_s,
            speed=0.0 if worker is None else worker.speed_estimate.speed,
        )
