"""Estimates of the resources and run times of tasks, learned from usage.

An estimate is kept for each team and job name.  It rises at once to the usage
that is observed and falls slowly, a little with each finished task.  Less than
the declared size is allocated only after enough tasks have finished.  The
estimate is reset when several tasks in a row use far less than before.
"""

import collections
import typing

import msgspec

from cassiahold.core.ids import TeamName
from cassiahold.core.resources import NO_RESOURCES, Resources

MAX_REMEMBERED_JOB_NAMES: typing.Final = 20_000
MIN_SAMPLES: typing.Final = 10
HEADROOM_FACTOR: typing.Final = 1.15  # allocated above the learned peak
# Fraction of its distance to a lower sample that the peak keeps.
_PEAK_RETENTION: typing.Final = 0.9
# The work has changed when this many samples in a row are below the peak, in
# cores or in memory, by more than this factor.
_CHANGE_FACTOR: typing.Final = 2.0
_CHANGE_MIN_SAMPLES: typing.Final = 5
_RUN_TIME_MIN_WEIGHT: typing.Final = 0.2
# Relative change of the peak from which on waiting jobs are resized.
_MIN_PUBLISHED_CHANGE: typing.Final = 0.1


class _JobEstimate(msgspec.Struct):
    # The peak for which waiting jobs were last resized.
    published_cores_m: float = 0
    published_memory_mb: float = 0
    peak_cores_m: float = 0
    peak_memory_mb: float = 0
    run_s: float = 0
    sample_count: int = 0
    far_below_streak: int = 0


class Estimator:
    """Estimates by team and job name; the least recently updated is dropped.

    Jobs without a name are not estimated.
    """

    def __init__(self) -> None:
        self._estimate_by_job_name: collections.OrderedDict[
            tuple[TeamName, str], _JobEstimate
        ] = collections.OrderedDict()

    def estimate_resources(
        self, team: TeamName, name: str, declared: Resources
    ) -> Resources:
        """Return the resources to allocate to one task.

        With fewer than ``MIN_SAMPLES`` finished tasks that is the larger of
        the declared size and the observed peak.  After that it is the observed
        peak with headroom, but the headroom does not exceed the declared size.
        """
        estimate = (
            self._estimate_by_job_name.get((team, name)) if name else None
        )
        if estimate is None:
            return declared
        peak = Resources(
            int(estimate.peak_cores_m),
            int(estimate.peak_memory_mb),
            declared.accelerators,
        )
        if estimate.sample_count < MIN_SAMPLES:
            return peak.elementwise_max(declared)
        # Work that stays within its declared size needs no headroom above it.
        return (
            _with_headroom(peak).elementwise_min(declared).elementwise_max(peak)
        )

    def estimate_run_s(
        self, team: TeamName, name: str, declared_s: float | None
    ) -> float | None:
        """Return the expected run time in seconds, None when unknown.

        With fewer than ``MIN_SAMPLES`` finished tasks that is the declared
        run time.
        """
        estimate = (
            self._estimate_by_job_name.get((team, name)) if name else None
        )
        if estimate is None or estimate.sample_count < MIN_SAMPLES:
            return declared_s
        return estimate.run_s

    def record_usage(self, team: TeamName, name: str, used: Resources) -> bool:
        """Record the usage of a running task; return whether the peak rose."""
        if not name or used == NO_RESOURCES:
            return False
        estimate = self._get_or_create(team, name)
        rose = (
            used.cores_m > estimate.peak_cores_m
            or used.memory_mb > estimate.peak_memory_mb
        )
        estimate.peak_cores_m = max(estimate.peak_cores_m, used.cores_m)
        estimate.peak_memory_mb = max(estimate.peak_memory_mb, used.memory_mb)
        return rose

    def record_finished_task(
        self, team: TeamName, name: str, peak: Resources, ran_s: float
    ) -> bool:
        """Record a finished task with its peak usage and run time.

        Returns whether waiting jobs of its name should be resized.
        """
        if not name or peak == NO_RESOURCES:
            return False
        estimate = self._get_or_create(team, name)
        self.record_usage(team, name, peak)
        estimate.sample_count += 1
        if _is_far_below(estimate, peak):
            estimate.far_below_streak += 1
        else:
            estimate.far_below_streak = 0
        if estimate.far_below_streak >= _CHANGE_MIN_SAMPLES:
            # The work has changed, so the old peak no longer applies.
            estimate.peak_cores_m = peak.cores_m
            estimate.peak_memory_mb = peak.memory_mb
            estimate.far_below_streak = 0
        estimate.peak_cores_m = _decay_towards(
            estimate.peak_cores_m, peak.cores_m
        )
        estimate.peak_memory_mb = _decay_towards(
            estimate.peak_memory_mb, peak.memory_mb
        )
        weight = max(_RUN_TIME_MIN_WEIGHT, 1 / estimate.sample_count)
        estimate.run_s += weight * (ran_s - estimate.run_s)
        return estimate.sample_count >= MIN_SAMPLES and _publish_if_changed(
            estimate
        )

    def _get_or_create(self, team: TeamName, name: str) -> _JobEstimate:
        key = (team, name)
        estimate = self._estimate_by_job_name.get(key)
        if estimate is None:
            estimate = _JobEstimate()
            self._estimate_by_job_name[key] = estimate
            if len(self._estimate_by_job_name) > MAX_REMEMBERED_JOB_NAMES:
                self._estimate_by_job_name.popitem(last=False)
        else:
            self._estimate_by_job_name.move_to_end(key)
        return estimate


def _publish_if_changed(estimate: _JobEstimate) -> bool:
    relative_change = max(
        abs(estimate.peak_cores_m - estimate.published_cores_m)
        / max(estimate.peak_cores_m, 1),
        abs(estimate.peak_memory_mb - estimate.published_memory_mb)
        / max(estimate.peak_memory_mb, 1),
    )
    if relative_change < _MIN_PUBLISHED_CHANGE:
        return False
    estimate.published_cores_m = estimate.peak_cores_m
    estimate.published_memory_mb = estimate.peak_memory_mb
    return True


def _with_headroom(peak: Resources) -> Resources:
    return Resources(
        int(peak.cores_m * HEADROOM_FACTOR),
        int(peak.memory_mb * HEADROOM_FACTOR),
        peak.accelerators,
    )


def _is_far_below(estimate: _JobEstimate, peak: Resources) -> bool:
    return (
        peak.memory_mb * _CHANGE_FACTOR < estimate.peak_memory_mb
        or peak.cores_m * _CHANGE_FACTOR < estimate.peak_cores_m
    )


def _decay_towards(peak: float, sample: float) -> float:
    return max(sample, sample + (peak - sample) * _PEAK_RETENTION)
