"""Estimate of a worker's speed from the durations of its attempts.

The estimate is part of the replicated state, so that a new leader places
urgent work as well as the previous one.
"""

import typing

import msgspec

MIN_GAIN: typing.Final = 0.2
MIN_SPEED: typing.Final = 0.1
MAX_SPEED: typing.Final = 4.0
MIN_SAMPLE_S: typing.Final = 0.2  # shorter attempts say little about speed
PROVEN_SAMPLES: typing.Final = 2


class SpeedEstimate(msgspec.Struct, array_like=True):
    """Speed relative to the workers that callers make their estimates for.

    A worker of speed 2 takes half of the estimated time.
    """

    speed: float = 1.0
    sample_count: int = 0

    @property
    def is_proven(self) -> bool:
        """Tell whether the estimate is based on enough samples."""
        return self.sample_count >= PROVEN_SAMPLES

    def add_sample(self, expected_s: float, duration_s: float) -> None:
        """Add a successful attempt; the first samples have the most weight.

        Attempts without an estimate and very short ones are ignored.
        """
        if expected_s <= 0 or duration_s < MIN_SAMPLE_S:
            return
        sample = min(max(expected_s / duration_s, MIN_SPEED), MAX_SPEED)
        self.sample_count += 1
        gain = max(MIN_GAIN, 1 / (self.sample_count + 1))
        self.speed += gain * (sample - self.speed)
