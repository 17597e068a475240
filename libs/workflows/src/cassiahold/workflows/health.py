"""Learned soundness of workers, from runs and their progress.

A failure is charged to a worker only when runs of several jobs fail there
one after the other: a job that fails everywhere says nothing of a worker.
"""

import typing

import msgspec

from cassiahold.core.ids import JobId, WorkerId
from cassiahold.workflows.model import RunEnd, RunKey

RETRY_AVOIDANCE_S: typing.Final = (
    3.0  # how long a job keeps off a worker it failed on
)
QUARANTINE_FAILED_JOBS: typing.Final = (
    3  # jobs in a row that failed on a worker
)
INITIAL_QUARANTINE_S: typing.Final = 2.0
MAX_QUARANTINE_S: typing.Final = 16.0
STALL_TIMEOUT_S: typing.Final = 2.0  # without progress for this long
COMPLETE_PERCENT: typing.Final = 100  # percent


class _Health(msgspec.Struct):
    failed_jobs: set[JobId] = msgspec.field(default_factory=set)
    quarantined_until: float = 0.0
    next_quarantine_s: float = INITIAL_QUARANTINE_S


class _Placement(typing.NamedTuple):
    job: JobId
    worker: WorkerId


class _Progress(msgspec.Struct):
    worker: WorkerId
    started_at: float
    percent: int
    progressed_at: float
    is_start_known: bool = True


class HealthBook:
    """What a leader has learned of each worker."""

    def __init__(self) -> None:
        self._health_by_worker: dict[WorkerId, _Health] = {}
        self._progress_by_run: dict[RunKey, _Progress] = {}
        self._failed_at_by_placement: dict[_Placement, float] = {}

    def is_suspect(self, worker: WorkerId) -> bool:
        """Tell whether the last run that ended on a worker failed."""
        health = self._health_by_worker.get(worker)
        return health is not None and bool(health.failed_jobs)

    def has_recent_failure(
        self, job: JobId, worker: WorkerId, now: float
    ) -> bool:
        """Tell whether a job failed on a worker just now."""
        at = self._failed_at_by_placement.get(_Placement(job, worker))
        return at is not None and now < at + RETRY_AVOIDANCE_S

    def is_quarantined(self, worker: WorkerId, now: float) -> bool:
        """Tell whether a worker is left alone after many failures."""
        health = self._health_by_worker.get(worker)
        return health is not None and now < health.quarantined_until

    def began(self, worker: WorkerId, run: RunKey, now: float) -> None:
        """Take a worker's word that a run has started."""
        self._progress_by_run.setdefault(run, _Progress(worker, now, 0, now))

    def record_progress(
        self, worker: WorkerId, run: RunKey, percent: int, now: float
    ) -> None:
        """Take how far a run has come."""
        known = self._progress_by_run.get(run)
        if known is None:
            # Under an earlier leader it may have begun long before.
            self._progress_by_run[run] = _Progress(
                worker, now, percent, now, is_start_known=False
            )
        elif percent != known.percent:
            known.percent = percent
            known.progressed_at = now

    def is_stalled(self, run: RunKey, now: float) -> bool:
        """Tell whether a run that should move has stood still too long."""
        known = self._progress_by_run.get(run)
        if known is None or known.percent >= COMPLETE_PERCENT:
            return False
        return now >= known.progressed_at + STALL_TIMEOUT_S

    def quarantine_for_stall(self, worker: WorkerId, now: float) -> None:
        """Rest a worker on which a run stands still."""
        self._quarantine(self._health_of(worker), now)

    def run_duration_s(self, run: RunKey, now: float) -> float:
        """Return how long a run has taken, 0 when its begin was not seen."""
        known = self._progress_by_run.get(run)
        if known is None or not known.is_start_known:
            return 0.0
        return now - known.started_at

    def ended(
        self, worker: WorkerId, run: RunKey, outcome: RunEnd, now: float
    ) -> None:
        """Take the end of a run."""
        self._progress_by_run.pop(run, None)
        health = self._health_of(worker)
        if outcome is RunEnd.DONE:
            health.failed_jobs.clear()
            health.next_quarantine_s = INITIAL_QUARANTINE_S
        elif outcome is RunEnd.FAILED:
            self._record_failure(_Placement(run.task.step.job, worker), now)
            health.failed_jobs.add(run.task.step.job)
            if len(health.failed_jobs) >= QUARANTINE_FAILED_JOBS:
                self._quarantine(health, now)

    def forget_worker(
        self, worker: WorkerId, runs: typing.Iterable[RunKey]
    ) -> None:
        """Forget a worker that is gone and the runs that it had."""
        self._health_by_worker.pop(worker, None)
        for run in runs:
            self._progress_by_run.pop(run, None)

    def _record_failure(self, placement: _Placement, now: float) -> None:
        self._failed_at_by_placement[placement] = now
        old = [
            known
            for known, at in self._failed_at_by_placement.items()
            if now >= at + RETRY_AVOIDANCE_S
        ]
        for known in old:
            self._failed_at_by_placement.pop(known)

    def _health_of(self, worker: WorkerId) -> _Health:
        return self._health_by_worker.setdefault(worker, _Health())

    def _quarantine(self, health: _Health, now: float) -> None:
        if now < health.quarantined_until:
            return
        health.quarantined_until = now + health.next_quarantine_s
        health.next_quarantine_s = min(
            health.next_quarantine_s * 2, MAX_QUARANTINE_S
        )
        # One more failure after the rest is enough.
        while len(health.failed_jobs) >= QUARANTINE_FAILED_JOBS:
            health.failed_jobs.pop()
