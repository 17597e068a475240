"""Measurements of an experiment with their targets and baselines."""

import enum
import typing

import msgspec


class Sense(enum.Enum):
    """Whether a measurement should reach its target or stay below it."""

    AT_LEAST = 'at least'
    AT_MOST = 'at most'


class BenchmarkResult(msgspec.Struct, frozen=True):
    """One measurement; the field names are the column heads of the CSV file.

    ``baseline`` names a simpler policy and ``baseline_measured`` is what it
    reaches; both are optional.
    """

    name: str
    measured: float
    sense: Sense
    target: float
    unit: str
    baseline: str = ''
    baseline_measured: float = float('nan')

    @property
    def is_met(self) -> bool:
        """Whether the measurement is on the right side of the target."""
        if self.sense is Sense.AT_LEAST:
            return self.measured >= self.target
        return self.measured <= self.target


Experiment = typing.Callable[[typing.Any], list[BenchmarkResult]]


def expect_at_least(
    name: str,
    measured: float,
    target: float,
    unit: str,
    *baseline: typing.Any,
) -> BenchmarkResult:
    """Return a result that meets its target if it is not less.

    ``baseline`` is the name of a baseline and its measurement.
    """
    return BenchmarkResult(
        name, measured, Sense.AT_LEAST, target, unit, *baseline
    )


def expect_at_most(
    name: str,
    measured: float,
    target: float,
    unit: str,
    *baseline: typing.Any,
) -> BenchmarkResult:
    """Return a result that meets its target if it is not greater.

    ``baseline`` is the name of a baseline and its measurement.
    """
    return BenchmarkResult(
        name, measured, Sense.AT_MOST, target, unit, *baseline
    )


def percentile(samples: typing.Sequence[float], fraction: float) -> float:
    """Return the sample at a fraction of the sorted samples, or NaN."""
    ordered = sorted(samples)
    if not ordered:
        return float('nan')
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
