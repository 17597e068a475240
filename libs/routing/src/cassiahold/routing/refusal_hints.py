"""Hints about later tries for requests that the leader did not serve.

Each process spreads the returns of its own callers, so it uses the rate at
which the leader replied to this process, not the leader's total.
"""

import threading

import msgspec

from cassiahold.core.drain_rate import DrainRate
from cassiahold.core.exceptions import CassiaholdError, ErrorKind, RetryHint
from cassiahold.routing.retry_after import time_until_leader_s


class RefusalHints:
    """Measures the replies to this process and completes refusals.

    ``min_rate_per_s`` holds for a process that has had few requests.
    Thread-safe.
    """

    def __init__(self, election_s: float, min_rate_per_s: float) -> None:
        self._election_s = election_s
        self._min_rate_per_s = min_rate_per_s
        self._lock = threading.Lock()
        self._drain_rate = DrainRate()

    def record_reply(self, now: float) -> None:
        """Count a request that the leader has served."""
        with self._lock:
            self._drain_rate.record_completion(now)

    def complete(
        self, exc: CassiaholdError, outage_s: float, now: float
    ) -> None:
        """Set the hint of an error; ``outage_s`` is without a leader."""
        with self._lock:
            measured_per_s = self._drain_rate.rate_per_s(now)
        rate_per_s = max(measured_per_s, self._min_rate_per_s)
        if exc.kind is ErrorKind.NO_QUORUM:
            exc.hint = RetryHint(
                time_until_leader_s(outage_s, self._election_s), rate_per_s
            )
        elif exc.hint is not None:
            # Other processes refuse callers of the same leader.
            exc.hint = msgspec.structs.replace(
                exc.hint, drain_rate_per_s=rate_per_s
            )
