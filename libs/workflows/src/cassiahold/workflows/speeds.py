"""A worker's speed, learned from how long its runs took.

The estimate is part of the replicated state, so that a new leader places
urgent work as well as the one before it.
"""

import typing

import msgspec

MIN_GAIN: typing.Final = 0.2
MIN_SPEED: typing.Final = 0.1
MAX_SPEED: typing.Final = 4.0
MIN_SAMPLE_S: typing.Final = 0.2  # shorter runs say little about speed
PROVEN_SAMPLES: typing.Final = 2


class SpeedEstimate(msgspec.Struct, array_like=True):
    """A speed, 1 being what callers' estimates are made for."""

    speed: float = 1.0
    sample_count: int = 0

    @property
    def is_proven(self) -> bool:
        """Tell whether enough runs stand behind the estimate."""
        return self.sample_count >= PROVEN_SAMPLES

    def add_sample(self, expected_s: float, duration_s: float) -> None:
        """Take a run that was done; the first ones weigh most."""
        if expected_s <= 0 or duration_s < MIN_SAMPLE_S:
            return
        sample = min(max(expected_s / duration_s, MIN_SPEED), MAX_SPEED)
        self.sample_count += 1
        gain = max(MIN_GAIN, 1 / (self.sample_count + 1))
        self.speed += gain * (sample - self.speed)
