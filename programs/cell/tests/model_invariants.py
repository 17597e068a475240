"""Invariants of the model, checked at the simulated workers."""

import typing

import msgspec
from model_simulation import Simulation

from cassiahold.core.ids import JobId
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobState,
    TaskKey,
)


class JobModel(msgspec.Struct, frozen=True):
    """How the tasks of a job behave, and what limits their attempts."""

    job: JobId
    work_s: float
    failure_probability: float
    max_attempts: int
    tasks: int = 1
    is_gang: bool = False


class EndedRun(msgspec.Struct):
    """An ended attempt; ``is_lapsed`` if the lease has expired since."""

    number: int
    attempt: AttemptKey
    outcome: AttemptOutcome
    ended_at: float
    is_lapsed: bool = False
    is_acknowledged: bool = False


class InvariantChecker:
    """Checks each start, and each end that is acknowledged.

    ``is_counted`` tells whether the committed state contains that a task is
    done or that its job is over.
    """

    def __init__(
        self,
        simulation: Simulation,
        job_by_id: typing.Mapping[JobId, JobModel],
        is_counted: typing.Callable[[TaskKey], bool],
    ) -> None:
        self._simulation = simulation
        self._job_by_id = job_by_id
        self._is_counted = is_counted
        self._running: dict[TaskKey, list[str]] = {}
        self._started_at_by_task: dict[TaskKey, list[float]] = {}
        self._ended_by_task: dict[TaskKey, list[EndedRun]] = {}
        self.start_count = 0
        self.violations: list[str] = []

    def record_start(self, worker: str, attempt: AttemptKey) -> None:
        task = attempt.task
        self.start_count += 1
        self._simulation.record(f'{worker} starts {describe(attempt)}')
        running = self._running.setdefault(task, [])
        if running:
            self._violate('two runs', f'{describe(attempt)} on {worker}')
        running.append(worker)
        self._started_at_by_task.setdefault(task, []).append(
            self._simulation.now
        )
        self._check_task(task)

    def record_end(
        self, worker: str, number: int, attempt: AttemptKey, outcome: typing.Any
    ) -> EndedRun:
        self._simulation.record(
            f'{worker} ends {describe(attempt)} as {outcome.value}, '
            f'no. {number}'
        )
        self._running[attempt.task].remove(worker)
        ended = EndedRun(number, attempt, outcome, self._simulation.now)
        self._ended_by_task.setdefault(attempt.task, []).append(ended)
        return ended

    def record_crashed_run(self, worker: str, attempt: AttemptKey) -> None:
        self._running[attempt.task].remove(worker)

    def record_acknowledged(self, worker: str, ended: EndedRun) -> None:
        self._simulation.record(
            f'{worker} may discard no. {ended.number}: '
            f'{describe(ended.attempt)} {ended.outcome.value}'
            f'{" (lapsed)" if ended.is_lapsed else ""}'
        )
        if ended.is_lapsed:
            return
        ended.is_acknowledged = True
        if ended.outcome is AttemptOutcome.DONE and not self._is_counted(
            ended.attempt.task
        ):
            self._violate('not counted', describe(ended.attempt))
        self._check_task(ended.attempt.task)

    def check_capacity(self, worker: str, used: int, capacity: int) -> None:
        if used > capacity:
            self._violate('capacity', f'{used} of {capacity} on {worker}')

    def check_active(self, state_by_job: dict[JobId, JobState]) -> None:
        """Check that a worker has begun a task of each active job."""
        begun_jobs = {task.step.job for task in self._started_at_by_task}
        for job, state in state_by_job.items():
            if state is JobState.ACTIVE and job not in begun_jobs:
                self._violate('active before it began', job)

    def check_finished(self, state_by_job: dict[JobId, JobState]) -> None:
        for job, state in state_by_job.items():
            if state in {JobState.QUEUED, JobState.ACTIVE}:
                self._violate('not finished', job)

    def _check_task(self, task: TaskKey) -> None:
        ended = [
            each
            for each in self._ended_by_task.get(task, ())
            if each.is_acknowledged
        ]
        last_start = max(self._started_at_by_task[task])
        done = [each for each in ended if each.outcome is AttemptOutcome.DONE]
        if any(each.ended_at < last_start for each in done):
            self._violate('started after done', str(task))
        failed_at = sorted(
            each.ended_at
            for each in ended
            if each.outcome is AttemptOutcome.FAILED
        )
        limit = self._job_by_id[task.step.job].max_attempts
        if len(failed_at) >= limit and failed_at[limit - 1] < last_start:
            self._violate('too many attempts', str(task))

    def _violate(self, kind: str, detail: str) -> None:
        self._simulation.record(f'VIOLATION {kind}: {detail}')
        self.violations.append(f'{kind}: {detail}')


def describe(attempt: AttemptKey) -> str:
    step = attempt.task.step
    return f'{step.job}.{attempt.task.task_index}#{attempt.attempt_number}'
