"""Cost slopes: repeated measurements and a straight line through them."""

import statistics
import time
import typing

import msgspec

REPETITIONS: typing.Final = 3


class Measurement(msgspec.Struct, frozen=True):
    """Median and range of the repeated measurements at one size."""

    size: float
    median: float
    least: float
    most: float


class Slope(msgspec.Struct, frozen=True):
    """Linear growth of a cost with a size.

    The cost in ``unit`` is ``base`` plus ``slope`` for each ``per``.
    """

    name: str
    per: str
    unit: str
    base: float
    slope: float
    points: list[Measurement]

    def cost_at(self, size: float) -> float:
        """Return the cost at a size, by the straight line."""
        return self.base + self.slope * size

    @property
    def relative_spread(self) -> float:
        """Widest range of a measurement, relative to its median."""
        return max(
            (point.most - point.least) / point.median
            for point in self.points
            if point.median
        )


def measure_slope(
    name: str,
    per: str,
    unit: str,
    sizes: typing.Sequence[int],
    measure_once: typing.Callable[[int], float],
) -> Slope:
    """Measure each size ``REPETITIONS`` times and fit a line to the medians."""
    points = []
    for size in sizes:
        samples = sorted(measure_once(size) for _ in range(REPETITIONS))
        points.append(
            Measurement(
                size, samples[REPETITIONS // 2], samples[0], samples[-1]
            )
        )
    line = statistics.linear_regression(
        [point.size for point in points], [point.median for point in points]
    )
    # A negative intercept only shows that the cost is not quite linear.
    return Slope(name, per, unit, max(line.intercept, 0.0), line.slope, points)


def cpu_us_per_call(
    function: typing.Callable[[], object], call_count: int
) -> float:
    """Return the mean processor time of a call, in microseconds."""
    started_at = time.process_time()
    for _ in range(call_count):
        function()
    return (time.process_time() - started_at) / call_count * 1e6
