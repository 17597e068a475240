"""Estimates how many requests a place can serve per second.

The completions of a quiet time say little about the capacity, so the estimate
follows increases at once and decreases slowly.
"""

import math
import typing

WINDOW_S: typing.Final = 0.5
# Time after which an estimate without support has fallen to 37%.
DECAY_S: typing.Final = 60.0


class DrainRate:
    """Highest recent rate of completed requests, which decays slowly.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._window_started_at = -math.inf
        self._completed = 0
        self._rate_per_s = 0.0
        self._measured_at = 0.0

    def record_completion(self, now: float) -> None:
        """Count a request that has been served."""
        elapsed_s = now - self._window_started_at
        if elapsed_s >= WINDOW_S:
            self._close_window(elapsed_s, now)
        self._completed += 1

    def rate_per_s(self, now: float) -> float:
        """Return the estimate, 0 before the first measurement."""
        return self._rate_per_s * math.exp((self._measured_at - now) / DECAY_S)

    def _close_window(self, elapsed_s: float, now: float) -> None:
        if math.isfinite(elapsed_s):
            rate_per_s = self._completed / elapsed_s
            if rate_per_s >= self.rate_per_s(now):
                self._rate_per_s = rate_per_s
                self._measured_at = now
        self._window_started_at = now
        self._completed = 0
