"""Learns how large tasks are and how long they run.

Estimates rise at once to what is observed and fall slowly, a little with
each finished task.  They fall only after enough tasks were seen, and are
dropped when work changes its shape.
"""

import collections
import typing

import msgspec

from cassiahold.core.ids import TeamName
from cassiahold.core.resources import NO_RESOURCES, Resources

MAX_REMEMBERED: typing.Final = 20_000
ENOUGH_SAMPLES: typing.Final = 10
HEADROOM: typing.Final = 1.15  # reserved above the learned peak
_KEPT_OF_PEAK: typing.Final = 0.9  # of the difference, at each sample
_CHANGE_FACTOR: typing.Final = 2.0
_CHANGE_SAMPLES: typing.Final = 5
_RUN_WEIGHT: typing.Final = 0.2
_PUBLISHED_CHANGE: typing.Final = 0.1  # that sizes waiting jobs anew


class _Estimate(msgspec.Struct):
    # The peak at which waiting jobs were last sized.
    published_cores_m: float = 0
    published_memory_mb: float = 0
    peak_cores_m: float = 0
    peak_memory_mb: float = 0
    run_s: float = 0
    samples: int = 0
    far_below: int = 0


class Estimator:
    """Estimates by team and job name, the least recently used dropped."""

    def __init__(self) -> None:
        self._by_name: collections.OrderedDict[
            tuple[TeamName, str], _Estimate
        ] = collections.OrderedDict()

    def estimate_resources(
        self, team: TeamName, name: str, declared: Resources
    ) -> Resources:
        """Return what to reserve for one task.

        Before enough samples that is the larger of declared and observed.
        """
        known = self._by_name.get((team, name)) if name else None
        if known is None:
            return declared
        peak = Resources(
            int(known.peak_cores_m),
            int(known.peak_memory_mb),
            declared.accelerators,
        )
        if known.samples < ENOUGH_SAMPLES:
            return peak.elementwise_max(declared)
        # Work that stays within what it declares needs no headroom above.
        return _padded(peak).elementwise_min(declared).elementwise_max(peak)

    def estimate_run_s(
        self, team: TeamName, name: str, declared_s: float | None
    ) -> float | None:
        """Return the expected run time in seconds, None when unknown."""
        known = self._by_name.get((team, name)) if name else None
        if known is None or known.samples < ENOUGH_SAMPLES:
            return declared_s
        return known.run_s

    def record_usage(self, team: TeamName, name: str, used: Resources) -> bool:
        """Take a running task's usage; True when the estimate rose."""
        if not name or used == NO_RESOURCES:
            return False
        known = self._known(team, name)
        rose = (
            used.cores_m > known.peak_cores_m
            or used.memory_mb > known.peak_memory_mb
        )
        known.peak_cores_m = max(known.peak_cores_m, used.cores_m)
        known.peak_memory_mb = max(known.peak_memory_mb, used.memory_mb)
        return rose

    def finished(
        self, team: TeamName, name: str, peak: Resources, ran_s: float
    ) -> bool:
        """Take a finished task; True when its kind should be sized anew."""
        if not name or peak == NO_RESOURCES:
            return False
        known = self._known(team, name)
        self.record_usage(team, name, peak)
        known.samples += 1
        if _is_far_below(known, peak):
            known.far_below += 1
        else:
            known.far_below = 0
        if known.far_below >= _CHANGE_SAMPLES:
            # The work has changed, so its old size says nothing any more.
            known.peak_cores_m = peak.cores_m
            known.peak_memory_mb = peak.memory_mb
            known.far_below = 0
        known.peak_cores_m = _sink(known.peak_cores_m, peak.cores_m)
        known.peak_memory_mb = _sink(known.peak_memory_mb, peak.memory_mb)
        weight = max(_RUN_WEIGHT, 1 / known.samples)
        known.run_s += weight * (ran_s - known.run_s)
        return known.samples >= ENOUGH_SAMPLES and _publish(known)

    def _known(self, team: TeamName, name: str) -> _Estimate:
        key = (team, name)
        known = self._by_name.get(key)
        if known is None:
            known = _Estimate()
            self._by_name[key] = known
            if len(self._by_name) > MAX_REMEMBERED:
                self._by_name.popitem(last=False)
        else:
            self._by_name.move_to_end(key)
        return known


def _publish(known: _Estimate) -> bool:
    moved = max(
        abs(known.peak_cores_m - known.published_cores_m)
        / max(known.peak_cores_m, 1),
        abs(known.peak_memory_mb - known.published_memory_mb)
        / max(known.peak_memory_mb, 1),
    )
    if moved < _PUBLISHED_CHANGE:
        return False
    known.published_cores_m = known.peak_cores_m
    known.published_memory_mb = known.peak_memory_mb
    return True


def _padded(peak: Resources) -> Resources:
    return Resources(
        int(peak.cores_m * HEADROOM),
        int(peak.memory_mb * HEADROOM),
        peak.accelerators,
    )


def _is_far_below(known: _Estimate, peak: Resources) -> bool:
    return (
        peak.memory_mb * _CHANGE_FACTOR < known.peak_memory_mb
        or peak.cores_m * _CHANGE_FACTOR < known.peak_cores_m
    )


def _sink(peak: float, sample: float) -> float:
    return max(sample, sample + (peak - sample) * _KEPT_OF_PEAK)
