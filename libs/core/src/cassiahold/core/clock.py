"""The clock with which leases and elections are timed."""

import time


def boottime_s() -> float:
    """Return seconds since boot, including time spent suspended.

    The clock never jumps when the system time is set.  ``time.monotonic``
    does not advance while a machine is suspended.  The holder of a lease
    timed with it would use the lease after the process that granted it
    regards it as expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
