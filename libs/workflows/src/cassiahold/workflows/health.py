"""Learned speed and soundness of workers, from runs and their progress.

A failure is charged to a worker only when runs of several jobs fail there
one after the other: a job that fails everywhere says nothing of a worker.
"""

import typing

import msgspec

from cassiahold.core.ids import JobId, WorkerId
from cassiahold.workflows.model import RunEnd, RunKey

SPEED_GAIN: typing.Final = 0.2
AVOID_S: typing.Final = 3.0  # how long a job keeps off a worker it failed on
LEAST_SPEED: typing.Final = 0.1
MOST_SPEED: typing.Final = 4.0
LEAST_SAMPLE_S: typing.Final = 0.2  # shorter runs say little about speed
SUSPECT_JOBS: typing.Final = 3  # jobs in a row that failed on a worker
FIRST_REST_S: typing.Final = 2.0
LONGEST_REST_S: typing.Final = 16.0
STALLED_S: typing.Final = 2.0  # without progress for this long
WHOLE: typing.Final = 100  # percent


class _Health(msgspec.Struct):
    speed: float = 1.0
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


class HealthBook:
    """What a leader has learned of each worker."""

    def __init__(self) -> None:
        self._health_by_worker: dict[WorkerId, _Health] = {}
        self._progress_by_run: dict[RunKey, _Progress] = {}
        self._failed_at_by_place: dict[_Place, float] = {}

    def speed_of(self, worker: WorkerId) -> float:
        """Return a worker's speed; 1 is what estimates are made for."""
        health = self._health_by_worker.get(worker)
        return 1.0 if health is None else health.speed

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

    def began(self, worker: WorkerId, run: RunKey, now: float) -> None:
        """Take a worker's word that a run has started."""
        self._progress_by_run.setdefault(run, _Progress(worker, now, 0, now))

    def progressed(
        self, worker: WorkerId, run: RunKey, percent: int, now: float
    ) -> None:
        """Take how far a run has come."""
        known = self._progress_by_run.get(run)
        if known is None:
            self._progress_by_run[run] = _Progress(worker, now, percent, now)
        elif percent != known.percent:
            known.percent = percent
            known.moved_at = now

    def is_stalled(self, run: RunKey, now: float) -> bool:
        """Tell whether a run that should move has stood still too long."""
        known = self._progress_by_run.get(run)
        if known is None or known.percent >= WHOLE:
            return False
        return now >= known.moved_at + STALLED_S

    def blame_stall(self, worker: WorkerId, now: float) -> None:
        """Rest a worker on which a run stands still."""
        self._rest(self._of(worker), now)

    def ended(
        self,
        worker: WorkerId,
        run: RunKey,
        how: RunEnd,
        expected_s: float,
        now: float,
    ) -> float:
        """Take the end of a run; return for how long it was seen."""
        known = self._progress_by_run.pop(run, None)
        took_s = 0.0 if known is None else now - known.began_at
        health = self._of(worker)
        if how is RunEnd.DONE:
            health.failed_jobs.clear()
            health.rest_s = FIRST_REST_S
            _learn(health, expected_s, took_s)
        elif how is RunEnd.FAILED:
            self._note_place(_Place(run.task.step.job, worker), now)
            health.failed_jobs.add(run.task.step.job)
            if len(health.failed_jobs) >= SUSPECT_JOBS:
                self._rest(health, now)
        return took_s

    def forget(self, worker: WorkerId) -> None:
        """Forget a worker that is gone."""
        self._health_by_worker.pop(worker, None)

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


def _learn(health: _Health, expected_s: float, took_s: float) -> None:
    if expected_s <= 0 or took_s < LEAST_SAMPLE_S:
        return
    speed = min(max(expected_s / took_s, LEAST_SPEED), MOST_SPEED)
    health.speed += SPEED_GAIN * (speed - health.speed)
