"""Leases that the leader grants to a worker, and when they have expired.

A lease ends at a time on the worker's clock, which may be slow.  All times here
are seconds of the leader's steady clock unless they are named in milliseconds.
"""

import typing

MAX_CLOCK_DRIFT: typing.Final = 0.02  # a worker's clock runs at most 2% slow
LEASE_MARGIN_S: typing.Final = 0.3  # added to the computed end of a lease
LEASE_SHARE: typing.Final = 0.85  # of the longest lease that workers accept
# For a worker that leaves: outlasts a change of leader, and its attempts start
# elsewhere sooner.
LEAVING_LEASE_SHARE: typing.Final = 0.5
_MS: typing.Final = 1000


class WorkerLeases:
    """Bounds of the leases that a worker may hold.

    A process that has restarted unnoticed under the same id may take the end
    of a lease, which is on the clock of the earlier one, for the longest lease.
    So there are two bounds: one for the known incarnation alone, and a later
    one for whatever runs under the id.
    """

    def __init__(self, max_lease_s: float, now: float) -> None:
        self._max_lease_s = max_lease_s
        # An earlier leader may have granted a full lease just before.
        self._known_expire_at = now + _longest_s(max_lease_s)
        self._all_expire_at = self._known_expire_at
        self._clock_ms = 0
        self._clock_read_at = now
        self._is_clock_known = False

    @property
    def is_clock_known(self) -> bool:
        """Tell whether a lease can be granted."""
        return self._is_clock_known

    def record_clock(self, clock_ms: int, received_at: float) -> None:
        """Record the worker's clock from a reply; ignore older readings."""
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_at = received_at
            self._is_clock_known = True

    def grant(self, now: float, *, is_leaving: bool) -> int:
        """Return the end of a lease granted now, on the worker's clock in ms.

        The clock must be known.
        """
        share = LEAVING_LEASE_SHARE if is_leaving else LEASE_SHARE
        lease_s = self._max_lease_s * share
        self._known_expire_at = max(
            self._known_expire_at, now + _longest_s(lease_s)
        )
        self._all_expire_at = max(
            self._all_expire_at, now + _longest_s(self._max_lease_s)
        )
        elapsed_ms = max(now - self._clock_read_at, 0) * _MS
        return int(self._clock_ms + elapsed_ms + lease_s * _MS)

    def have_expired(self, now: float) -> bool:
        """Tell whether every lease held under the worker's id has expired."""
        return now >= self._all_expire_at

    def have_expired_at_known_incarnation(self, now: float) -> bool:
        """Tell whether every lease of the known incarnation has expired."""
        return now >= self._known_expire_at


def _longest_s(lease_s: float) -> float:
    """Return how long a worker may hold a lease that it was just granted."""
    return lease_s / (1 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
