"""Health of workers, inferred from the outcomes and progress of attempts.

A worker is quarantined only when attempts of several jobs fail on it in a row:
a job that fails on every worker does not indicate an unhealthy worker.  Several
such jobs fail in a row on every worker, so quarantines hold back only a bounded
share of the workers of a service.
"""

import collections
import math
import typing

import msgspec

from cassiahold.core.ids import JobId, WorkerId
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    StepKey,
    WorkerInfo,
)
from cassiahold.workflows.progress import (
    MIN_STALL_TIMEOUT_S,
    AttemptProgress,
    StallTimeouts,
)

RETRY_AVOIDANCE_S: typing.Final = 2.0  # other workers are preferred this long
RETRY_PAUSE_S: typing.Final = 1.0  # no retry on the same worker this long
QUARANTINE_FAILED_JOBS: typing.Final = 3  # distinct jobs that fail in a row
# Failures are in a row if each follows so soon, time in quarantine aside.
FAILURE_WINDOW_S: typing.Final = 10.0
# A long-running task that fails after this time does not blame its worker.
LONG_RUN_S: typing.Final = 5.0
INITIAL_QUARANTINE_S: typing.Final = 2.0
MAX_QUARANTINE_S: typing.Final = 16.0
INITIAL_START_PAUSE_S: typing.Final = 1.0  # after a start without a reply
MAX_START_PAUSE_S: typing.Final = 8.0
# Of the workers of a service that could get work otherwise.
MAX_QUARANTINED_SHARE: typing.Final = 0.5
# Attempts of so many jobs that stall on a worker within this time, with no
# progress of another one, show that the worker hangs.
HANGING_JOBS: typing.Final = 2
HANGING_WINDOW_S: typing.Final = 5.0


class _Health(msgspec.Struct):
    failed_jobs: set[JobId] = msgspec.field(default_factory=set)
    failed_at: float = -math.inf
    quarantined_until: float = 0.0
    next_quarantine_s: float = INITIAL_QUARANTINE_S
    next_start_pause_s: float = INITIAL_START_PAUSE_S
    stalled_at_by_job: dict[JobId, float] = msgspec.field(default_factory=dict)


class _Placement(typing.NamedTuple):
    job: JobId
    worker: WorkerId


class HealthTracker:
    """Health of each worker as observed by the current leader.

    Times are seconds of the leader's steady clock.
    """

    def __init__(self) -> None:
        self._health_by_worker: dict[WorkerId, _Health] = {}
        self._progress_by_attempt: dict[AttemptKey, AttemptProgress] = {}
        self._failed_at_by_placement: dict[_Placement, float] = {}
        self._stall_timeouts = StallTimeouts()

    def is_unreliable(self, worker: WorkerId) -> bool:
        """Tell whether attempts failed or stalled since a success."""
        health = self._health_by_worker.get(worker)
        return health is not None and (
            bool(health.failed_jobs)
            or health.next_quarantine_s > INITIAL_QUARANTINE_S
        )

    def has_recent_failure(
        self, job: JobId, worker: WorkerId, now: float
    ) -> bool:
        """Tell whether a job failed on a worker within the avoidance time."""
        return self._failed_within(RETRY_AVOIDANCE_S, job, worker, now)

    def is_retry_paused(self, job: JobId, worker: WorkerId, now: float) -> bool:
        """Tell whether a job that failed on a worker may not start there."""
        return self._failed_within(RETRY_PAUSE_S, job, worker, now)

    def is_quarantined(self, worker: WorkerId, now: float) -> bool:
        """Tell whether the quarantine of a worker has not ended yet."""
        health = self._health_by_worker.get(worker)
        return health is not None and now < health.quarantined_until

    def held_back_workers(
        self, workers: typing.Iterable[WorkerInfo], now: float
    ) -> frozenset[WorkerId]:
        """Return which of some workers get no work because of failures.

        Of the workers of each service at most ``MAX_QUARANTINED_SHARE`` are
        held back: the quarantined ones with the most recent failures.
        """
        workers_by_service: dict[str, list[WorkerId]] = collections.defaultdict(
            list
        )
        for worker in workers:
            workers_by_service[worker.service].append(worker.id)
        return frozenset(
            worker_id
            for service_workers in workers_by_service.values()
            for worker_id in self._most_recently_failed(service_workers, now)
        )

    def record_start(
        self, worker: WorkerId, attempt: AttemptKey, now: float
    ) -> None:
        """Record that a worker confirmed the start of an attempt."""
        self._health_of(worker).next_start_pause_s = INITIAL_START_PAUSE_S
        self._progress_by_attempt.setdefault(
            attempt, AttemptProgress(worker, now, 0, now)
        )

    def record_unanswered_start(self, worker: WorkerId, now: float) -> float:
        """Hold back a worker that does not answer a start.

        It may answer polls, whose connection is older.  The pause doubles each
        time until a start is confirmed.  Returns its length in seconds, 0 if
        the worker is held back already.
        """
        health = self._health_of(worker)
        if now < health.quarantined_until:
            return 0.0
        pause_s = health.next_start_pause_s
        health.failed_at = now
        health.quarantined_until = now + pause_s
        health.next_start_pause_s = min(pause_s * 2, MAX_START_PAUSE_S)
        return pause_s

    def record_progress(
        self, worker: WorkerId, attempt: AttemptKey, percent: int, now: float
    ) -> None:
        """Record the progress that a worker reports for an attempt."""
        progress = self._progress_by_attempt.get(attempt)
        if progress is None:
            # The attempt may have started long ago under an earlier leader.
            self._progress_by_attempt[attempt] = AttemptProgress(
                worker, now, percent, now, is_start_known=False
            )
        elif progress.record(percent, now):
            self._health_of(worker).stalled_at_by_job.clear()

    def is_stalled(
        self, attempt: AttemptKey, expected_s: float, now: float
    ) -> bool:
        """Tell whether an attempt has made no progress for too long.

        That is sooner on a worker on which several jobs have just stalled.
        """
        progress = self._progress_by_attempt.get(attempt)
        if progress is None:
            return False
        if self._is_hanging(progress.worker, now):
            return progress.is_still(MIN_STALL_TIMEOUT_S, now)
        return self._is_still(attempt, expected_s, now)

    def is_gang_stalled(
        self,
        members: typing.Iterable[AttemptKey],
        expected_s: float,
        now: float,
    ) -> bool:
        """Tell whether a running gang has made no progress for too long.

        A gang works only once all its members are present, so one with a
        member that has not started is waiting, not stalled.
        """
        return all(
            self._is_still(member, expected_s, now) for member in members
        )

    def _is_still(
        self, attempt: AttemptKey, expected_s: float, now: float
    ) -> bool:
        progress = self._progress_by_attempt.get(attempt)
        if progress is None:
            return False
        timeout_s = self._stall_timeouts.timeout_s(
            attempt.task, progress, expected_s
        )
        return progress.is_still(timeout_s, now)

    def _is_hanging(self, worker: WorkerId, now: float) -> bool:
        health = self._health_by_worker.get(worker)
        if health is None:
            return False
        recent_count = sum(
            now < stalled_at + HANGING_WINDOW_S
            for stalled_at in health.stalled_at_by_job.values()
        )
        return recent_count >= HANGING_JOBS

    def forget_step(self, step: StepKey) -> None:
        """Forget a step of which no task will start any more."""
        self._stall_timeouts.forget_step(step)

    def record_stalled_gang(
        self, worker: WorkerId, attempt: AttemptKey, now: float
    ) -> None:
        """Keep a job off a worker for a while after its gang has stalled.

        It is not known which member's worker stands still, so none of them
        is quarantined.
        """
        self._mark_stalled(attempt)
        self._record_failure(_Placement(attempt.task.step.job, worker), now)

    def record_stall(
        self, worker: WorkerId, attempt: AttemptKey, now: float
    ) -> None:
        """Record that an attempt has stalled and quarantine its worker.

        A task that has stalled before tells nothing of the worker: it may be
        slower than its caller has estimated.
        """
        has_stalled_before = self._stall_timeouts.count_stalls(attempt.task)
        self._mark_stalled(attempt)
        if not has_stalled_before:
            health = self._health_of(worker)
            health.stalled_at_by_job[attempt.task.step.job] = now
            health.failed_at = now
            self._quarantine(health, now)

    def _mark_stalled(self, attempt: AttemptKey) -> None:
        """Count the stall of an attempt once."""
        progress = self._progress_by_attempt.get(attempt)
        if progress is None or not progress.has_stalled:
            self._stall_timeouts.record_stall(attempt)
        if progress is not None:
            progress.has_stalled = True

    def attempt_duration_s(self, attempt: AttemptKey, now: float) -> float:
        """Return how long an attempt has run, 0 if its start was not seen."""
        progress = self._progress_by_attempt.get(attempt)
        if progress is None or not progress.is_start_known:
            return 0.0
        return now - progress.started_at

    def observed_run_s(self, attempt: AttemptKey, now: float) -> float:
        """Return how long an attempt has been seen running."""
        progress = self._progress_by_attempt.get(attempt)
        return 0.0 if progress is None else now - progress.started_at

    def has_run_for(
        self, attempt: AttemptKey, duration_s: float, now: float
    ) -> bool:
        """Tell whether an attempt is known to have started some time ago."""
        return self.remaining_run_s(attempt, duration_s, now) <= 0

    def remaining_run_s(
        self, attempt: AttemptKey, duration_s: float, now: float
    ) -> float:
        """Return after which time an attempt will have run for a duration.

        The whole duration if its start is not confirmed.
        """
        progress = self._progress_by_attempt.get(attempt)
        if progress is None:
            return duration_s
        return progress.started_at + duration_s - now

    def record_outcome(
        self,
        worker: WorkerId,
        attempt: AttemptKey,
        outcome: AttemptOutcome,
        now: float,
        *,
        is_long_running: bool = False,
    ) -> None:
        """Record the outcome of an attempt that ended on a worker.

        The third distinct job that fails in a row starts a quarantine, which
        doubles each time; a success resets the count and the length.  So does
        a long-running task that fails after a while, as it may at any time.
        """
        has_run_long = self.observed_run_s(attempt, now) >= LONG_RUN_S
        self._progress_by_attempt.pop(attempt, None)
        health = self._health_of(worker)
        if outcome is AttemptOutcome.DONE or (
            outcome is AttemptOutcome.FAILED
            and is_long_running
            and has_run_long
        ):
            health.failed_jobs.clear()
            health.next_quarantine_s = INITIAL_QUARANTINE_S
        elif outcome is AttemptOutcome.FAILED:
            job = attempt.task.step.job
            self._record_failure(_Placement(job, worker), now)
            _forget_earlier_failures(health, now)
            health.failed_jobs.add(job)
            health.failed_at = now
            if len(health.failed_jobs) >= QUARANTINE_FAILED_JOBS:
                self._quarantine(health, now)

    def forget_worker(
        self, worker: WorkerId, attempts: typing.Iterable[AttemptKey]
    ) -> None:
        """Remove a worker that is gone and the attempts that it had."""
        self._health_by_worker.pop(worker, None)
        for attempt in attempts:
            self._progress_by_attempt.pop(attempt, None)

    def _most_recently_failed(
        self, workers: list[WorkerId], now: float
    ) -> list[WorkerId]:
        quarantined = [
            worker for worker in workers if self.is_quarantined(worker, now)
        ]
        quarantined.sort(
            key=lambda worker: (-self._health_of(worker).failed_at, worker)
        )
        return quarantined[: int(len(workers) * MAX_QUARANTINED_SHARE)]

    def _failed_within(
        self, duration_s: float, job: JobId, worker: WorkerId, now: float
    ) -> bool:
        failed_at = self._failed_at_by_placement.get(_Placement(job, worker))
        return failed_at is not None and now < failed_at + duration_s

    def _record_failure(self, placement: _Placement, now: float) -> None:
        self._failed_at_by_placement[placement] = now
        expired = [
            earlier
            for earlier, failed_at in self._failed_at_by_placement.items()
            if now >= failed_at + RETRY_AVOIDANCE_S
        ]
        for earlier in expired:
            self._failed_at_by_placement.pop(earlier)

    def _health_of(self, worker: WorkerId) -> _Health:
        return self._health_by_worker.setdefault(worker, _Health())

    def _quarantine(self, health: _Health, now: float) -> None:
        if now < health.quarantined_until:
            return
        health.quarantined_until = now + health.next_quarantine_s
        health.next_quarantine_s = min(
            health.next_quarantine_s * 2, MAX_QUARANTINE_S
        )
        # After the quarantine one more failed job starts the next one.
        while len(health.failed_jobs) >= QUARANTINE_FAILED_JOBS:
            health.failed_jobs.pop()


def _forget_earlier_failures(health: _Health, now: float) -> None:
    """Forget the failures that another one at this time does not follow."""
    newest_at = max(health.failed_at, health.quarantined_until)
    if now >= newest_at + FAILURE_WINDOW_S:
        health.failed_jobs.clear()
        health.next_quarantine_s = INITIAL_QUARANTINE_S
