"""A worker's speed, learned from how long its runs took.

The estimate is part of the replicated state, so that a new leader places
urgent work as well as the one before it.
"""

import typing

import msgspec

LEAST_GAIN: typing.Final = 0.2
LEAST_SPEED: typing.Final = 0.1
MOST_SPEED: typing.Final = 4.0
LEAST_SAMPLE_S: typing.Final = 0.2  # shorter runs say little about speed
PROVEN_SAMPLES: typing.Final = 2


class SpeedEstimate(msgspec.Struct, array_like=True):
    """A speed, 1 being what callers' estimates are made for."""

    speed: float = 1.0
    samples: int = 0

    @property
    def is_proven(self) -> bool:
        """Tell whether enough runs stand behind the estimate."""
        return self.samples >= PROVEN_SAMPLES

    def learn(self, expected_s: float, took_s: float) -> None:
        """Take a run that was done; the first ones weigh most."""
        if expected_s <= 0 or took_s < LEAST_SAMPLE_S:
            return
        sample = min(max(expected_s / took_s, LEAST_SPEED), MOST_SPEED)
        self.samples += 1
        gain = max(LEAST_GAIN, 1 / (self.samples + 1))
        self.speed += gain * (sample - self.speed)
