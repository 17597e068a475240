"""Passive health checking of targets: latency, ejection and slow start.

A target that fails several requests in a row is ejected (outlier ejection).
The ejection time doubles with each ejection and is halved by each success.
"""

import msgspec

_MIN_SAMPLE_WEIGHT = 0.1  # of the newest latency in the moving average
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
FAILURES_TO_EJECT = 3
MIN_UNEJECTED_FRACTION = 0.5  # of a service's targets; never ejected
SLOW_START_S = 5.0
MIN_SLOT_FRACTION = 0.25  # of its slots that a new target may use at first


class TargetHealth(msgspec.Struct):
    """Latency and failures of one target, as seen by one gateway."""

    added_at: float
    latency_s: float = 0
    sample_count: int = 0
    consecutive_failures: int = 0
    ejection_exponent: int = 0
    ejected_until: float = 0

    def record_success(self, latency_s: float) -> None:
        """Record a complete response."""
        self.consecutive_failures = 0
        self.ejection_exponent = max(self.ejection_exponent - 1, 0)
        self.sample_count += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.sample_count)
        self.latency_s += weight * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether it ejected the target."""
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        self.consecutive_failures = 0
        self.ejected_until = now + min(
            FIRST_EJECTION_S * 2**self.ejection_exponent, MAX_EJECTION_S
        )
        self.ejection_exponent += 1
        return True

    def is_ejected(self, now: float) -> bool:
        """Tell whether requests should go to other targets."""
        return now < self.ejected_until

    def slot_fraction(self, now: float) -> float:
        """Return the fraction of the granted slots that may be used now.

        It rises to 1 during the slow start of a new target.
        """
        return min(
            1.0, max(MIN_SLOT_FRACTION, (now - self.added_at) / SLOW_START_S)
        )
