"""The steady clock of leases and elections."""

import time


def boottime_s() -> float:
    """Return seconds of a clock that never steps and counts suspension.

    ``time.monotonic`` stands still while a machine is suspended, so a lease
    measured with it would outlive the promise that others gave.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
