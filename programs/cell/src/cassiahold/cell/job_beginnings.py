"""Reports to the log of the jobs that workers have begun."""

import time
import typing

from cassiahold.core.ids import JobId
from cassiahold.workflows import commands
from cassiahold.workflows.model import AttemptKey, JobState
from cassiahold.workflows.state import WorkflowState

# Between reports; each is one entry of the log.
REPORT_INTERVAL_S: typing.Final = 0.5


class JobBeginnings:
    """Collects the jobs of which a worker has begun a first task.

    Ends of attempts tell the state by themselves that their job has begun.
    """

    def __init__(self, state: WorkflowState) -> None:
        self._state = state
        self._jobs: dict[JobId, None] = {}
        self._reported_at = 0.0

    def record(self, attempt: AttemptKey) -> None:
        """Record that a worker has begun an attempt.

        Workers may list attempts that were never started; those tell nothing.
        """
        job = attempt.task.step.job
        if not self._is_news(job):
            return
        task = self._state.job_by_id[job].find_task(attempt.task)
        if task is not None and (
            1 <= attempt.attempt_number <= task.last_attempt_number
        ):
            self._jobs[job] = None

    def due_commands(self, now: float) -> list[commands.Command]:
        """Return the command that stores what was recorded, if it is due.

        Polls list tasks in progress again, so nothing is lost if the command
        is not committed.
        """
        if not self._jobs or now < self._reported_at + REPORT_INTERVAL_S:
            return []
        self._reported_at = now
        begun_jobs = tuple(filter(self._is_news, self._jobs))
        self._jobs.clear()
        if not begun_jobs:
            return []
        return [commands.EndAttempts([], time.time(), begun_jobs=begun_jobs)]

    def _is_news(self, job: JobId) -> bool:
        record = self._state.job_by_id.get(job)
        return record is not None and record.state is JobState.QUEUED
