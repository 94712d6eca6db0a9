"""The clock that leases run by: it counts the time that a host was suspended."""

import time

#: The steady clock stands still while a host is suspended, so that a lease measured
#: by it would outlive its holder's right to it.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_clock_s() -> float:
    """Return the seconds since the host was started, suspended time included."""
    return time.clock_gettime(_CLOCK)
