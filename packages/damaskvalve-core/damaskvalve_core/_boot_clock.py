"""The clock for leases: a monotonic clock that includes suspended time."""

import time

#: ``CLOCK_MONOTONIC`` stops while a host is suspended, so a lease measured by it would
#: still count as valid after it has expired.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_clock_s() -> float:
    """Return the seconds since the host booted, including suspended time."""
    return time.clock_gettime(_CLOCK)
