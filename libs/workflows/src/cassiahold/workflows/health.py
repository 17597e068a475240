"""Learned soundness of workers, from runs and their progress.

A failure is charged to a worker only when runs of several jobs fail there
one after the other: a job that fails everywhere says nothing of a worker.
"""

import typing

import msgspec

from cassiahold.core.ids import JobId, WorkerId
from cassiahold.workflows.model import AttemptKey, AttemptOutcome

AVOID_S: typing.Final = 3.0  # how long a job keeps off a worker it failed on
SUSPECT_JOBS: typing.Final = 3  # jobs in a row that failed on a worker
FIRST_REST_S: typing.Final = 2.0
LONGEST_REST_S: typing.Final = 16.0
STALLED_S: typing.Final = 2.0  # without progress for this long
WHOLE: typing.Final = 100  # percent


class _Health(msgspec.Struct):
    failed_jobs: set[JobId] = msgspec.field(default_factory=set)
    rest_until: float = 0.0
    rest_s: float = FIRST_REST_S


class _Place(typing.NamedTuple):
    job: JobId
    worker: WorkerId


class _Progress(msgspec.Struct):
    worker: WorkerId
    began_at: float
    percent: int
    moved_at: float
    is_whole: bool = True


class HealthTracker:
    """What a leader has learned of each worker."""

    def __init__(self) -> None:
        self._health_by_worker: dict[WorkerId, _Health] = {}
        self._progress_by_run: dict[AttemptKey, _Progress] = {}
        self._failed_at_by_place: dict[_Place, float] = {}

    def is_suspect(self, worker: WorkerId) -> bool:
        """Tell whether the last run that ended on a worker failed."""
        health = self._health_by_worker.get(worker)
        return health is not None and bool(health.failed_jobs)

    def avoids(self, job: JobId, worker: WorkerId, now: float) -> bool:
        """Tell whether a job failed on a worker just now."""
        at = self._failed_at_by_place.get(_Place(job, worker))
        return at is not None and now < at + AVOID_S

    def is_resting(self, worker: WorkerId, now: float) -> bool:
        """Tell whether a worker is left alone after many failures."""
        health = self._health_by_worker.get(worker)
        return health is not None and now < health.rest_until

    def record_start(
        self, worker: WorkerId, run: AttemptKey, now: float
    ) -> None:
        """Take a worker's word that a run has started."""
        self._progress_by_run.setdefault(run, _Progress(worker, now, 0, now))

    def progressed(
        self, worker: WorkerId, run: AttemptKey, percent: int, now: float
    ) -> None:
        """Take how far a run has come."""
        known = self._progress_by_run.get(run)
        if known is None:
            # Under an earlier leader it may have begun long before.
            self._progress_by_run[run] = _Progress(
                worker, now, percent, now, is_whole=False
            )
        elif percent != known.percent:
            known.percent = percent
            known.moved_at = now

    def is_stalled(self, run: AttemptKey, now: float) -> bool:
        """Tell whether a run that should move has stood still too long."""
        known = self._progress_by_run.get(run)
        if known is None or known.percent >= WHOLE:
            return False
        return now >= known.moved_at + STALLED_S

    def blame_stall(self, worker: WorkerId, now: float) -> None:
        """Rest a worker on which a run stands still."""
        self._rest(self._of(worker), now)

    def took_s(self, run: AttemptKey, now: float) -> float:
        """Return how long a run has taken, 0 when its begin was not seen."""
        known = self._progress_by_run.get(run)
        if known is None or not known.is_whole:
            return 0.0
        return now - known.began_at

    def record_outcome(
        self, worker: WorkerId, run: AttemptKey, how: AttemptOutcome, now: float
    ) -> None:
        """Take the end of a run."""
        self._progress_by_run.pop(run, None)
        health = self._of(worker)
        if how is AttemptOutcome.DONE:
            health.failed_jobs.clear()
            health.rest_s = FIRST_REST_S
        elif how is AttemptOutcome.FAILED:
            self._note_place(_Place(run.task.step.job, worker), now)
            health.failed_jobs.add(run.task.step.job)
            if len(health.failed_jobs) >= SUSPECT_JOBS:
                self._rest(health, now)

    def forget(
        self, worker: WorkerId, runs: typing.Iterable[AttemptKey]
    ) -> None:
        """Forget a worker that is gone and the runs that it had."""
        self._health_by_worker.pop(worker, None)
        for run in runs:
            self._progress_by_run.pop(run, None)

    def _note_place(self, place: _Place, now: float) -> None:
        self._failed_at_by_place[place] = now
        old = [
            known
            for known, at in self._failed_at_by_place.items()
            if now >= at + AVOID_S
        ]
        for known in old:
            self._failed_at_by_place.pop(known)

    def _of(self, worker: WorkerId) -> _Health:
        return self._health_by_worker.setdefault(worker, _Health())

    def _rest(self, health: _Health, now: float) -> None:
        if now < health.rest_until:
            return
        health.rest_until = now + health.rest_s
        health.rest_s = min(health.rest_s * 2, LONGEST_REST_S)
        # One more failure after the rest is enough.
        while len(health.failed_jobs) >= SUSPECT_JOBS:
            health.failed_jobs.pop()
