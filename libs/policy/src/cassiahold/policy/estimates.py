"""Learns how large tasks are and how long they run.

Estimates rise at once to what is observed and fall slowly, a little with
each finished task.  They fall only after enough tasks were seen, and are
dropped when work changes its shape.
"""

import collections
import typing

import msgspec

from cassiahold.core.ids import TeamName
from cassiahold.core.resources import NOTHING, Resources

MAX_REMEMBERED_JOB_NAMES: typing.Final = 20_000
MIN_SAMPLES: typing.Final = 10
HEADROOM_FACTOR: typing.Final = 1.15  # reserved above the learned peak
_PEAK_DECAY: typing.Final = 0.9  # of the difference, at each sample
_CHANGE_FACTOR: typing.Final = 2.0
_CHANGE_MIN_SAMPLES: typing.Final = 5
_RUN_TIME_MIN_WEIGHT: typing.Final = 0.2
_MIN_PUBLISHED_CHANGE: typing.Final = 0.1  # that sizes waiting jobs anew


class _JobEstimate(msgspec.Struct):
    # The peak at which waiting jobs were last sized.
    published_cores_m: float = 0
    published_memory_mb: float = 0
    peak_cores_m: float = 0
    peak_memory_mb: float = 0
    run_s: float = 0
    sample_count: int = 0
    far_below_streak: int = 0


class Estimator:
    """Estimates by team and job name, the least recently used dropped."""

    def __init__(self) -> None:
        self._estimate_by_job_name: collections.OrderedDict[
            tuple[TeamName, str], _JobEstimate
        ] = collections.OrderedDict()

    def reservation(
        self, team: TeamName, name: str, declared: Resources
    ) -> Resources:
        """Return what to reserve for one task.

        Before enough samples that is the larger of declared and observed.
        """
        known = self._estimate_by_job_name.get((team, name)) if name else None
        if known is None:
            return declared
        peak = Resources(
            int(known.peak_cores_m),
            int(known.peak_memory_mb),
            declared.accelerators,
        )
        if known.sample_count < MIN_SAMPLES:
            return peak.at_least(declared)
        # Work that stays within what it declares needs no headroom above.
        return _with_headroom(peak).at_most(declared).at_least(peak)

    def run_time(
        self, team: TeamName, name: str, declared_s: float | None
    ) -> float | None:
        """Return the expected run time in seconds, None when unknown."""
        known = self._estimate_by_job_name.get((team, name)) if name else None
        if known is None or known.sample_count < MIN_SAMPLES:
            return declared_s
        return known.run_s

    def observe(self, team: TeamName, name: str, used: Resources) -> bool:
        """Take a running task's usage; True when the estimate rose."""
        if not name or used == NOTHING:
            return False
        known = self._get_or_create(team, name)
        rose = (
            used.cores_m > known.peak_cores_m
            or used.memory_mb > known.peak_memory_mb
        )
        known.peak_cores_m = max(known.peak_cores_m, used.cores_m)
        known.peak_memory_mb = max(known.peak_memory_mb, used.memory_mb)
        return rose

    def record_finished_task(
        self, team: TeamName, name: str, peak: Resources, ran_s: float
    ) -> bool:
        """Take a finished task; True when its kind should be sized anew."""
        if not name or peak == NOTHING:
            return False
        known = self._get_or_create(team, name)
        self.observe(team, name, peak)
        known.sample_count += 1
        if _is_far_below(known, peak):
            known.far_below_streak += 1
        else:
            known.far_below_streak = 0
        if known.far_below_streak >= _CHANGE_MIN_SAMPLES:
            # The work has changed, so its old size says nothing any more.
            known.peak_cores_m = peak.cores_m
            known.peak_memory_mb = peak.memory_mb
            known.far_below_streak = 0
        known.peak_cores_m = _decay_towards(known.peak_cores_m, peak.cores_m)
        known.peak_memory_mb = _decay_towards(
            known.peak_memory_mb, peak.memory_mb
        )
        weight = max(_RUN_TIME_MIN_WEIGHT, 1 / known.sample_count)
        known.run_s += weight * (ran_s - known.run_s)
        return known.sample_count >= MIN_SAMPLES and _publish_if_changed(known)

    def _get_or_create(self, team: TeamName, name: str) -> _JobEstimate:
        key = (team, name)
        known = self._estimate_by_job_name.get(key)
        if known is None:
            known = _JobEstimate()
            self._estimate_by_job_name[key] = known
            if len(self._estimate_by_job_name) > MAX_REMEMBERED_JOB_NAMES:
                self._estimate_by_job_name.popitem(last=False)
        else:
            self._estimate_by_job_name.move_to_end(key)
        return known


def _publish_if_changed(known: _JobEstimate) -> bool:
    moved = max(
        abs(known.peak_cores_m - known.published_cores_m)
        / max(known.peak_cores_m, 1),
        abs(known.peak_memory_mb - known.published_memory_mb)
        / max(known.peak_memory_mb, 1),
    )
    if moved < _MIN_PUBLISHED_CHANGE:
        return False
    known.published_cores_m = known.peak_cores_m
    known.published_memory_mb = known.peak_memory_mb
    return True


def _with_headroom(peak: Resources) -> Resources:
    return Resources(
        int(peak.cores_m * HEADROOM_FACTOR),
        int(peak.memory_mb * HEADROOM_FACTOR),
        peak.accelerators,
    )


def _is_far_below(known: _JobEstimate, peak: Resources) -> bool:
    return (
        peak.memory_mb * _CHANGE_FACTOR < known.peak_memory_mb
        or peak.cores_m * _CHANGE_FACTOR < known.peak_cores_m
    )


def _decay_towards(peak: float, sample: float) -> float:
    return max(sample, sample + (peak - sample) * _PEAK_DECAY)
