"""Retry-After times of a host that has just started.

After a power loss of all hosts and engines, callers return as soon as the hosts do. A
caller that is told to return too early is refused a second time, and most callers retry
only once.
"""

# State that is missing this long after the start of the host has another cause.
STARTUP_S = 4.0
# Times from the start of the host until a caller can be served. The configuration
# arrives after 0.5 s, backend servers have announced themselves after 1.2 s, and an
# engine has loaded its model from its disk after 2.5 s.
PLAIN_READY_S = 1.2
ENGINE_READY_S = 2.5
# Later than STARTUP_S, missing state arrives with one of the next two exchanges with
# the leader.
DEFAULT_RETRY_AFTER_S = 0.5


def startup_retry_after_s(began_s: float, now_s: float, *, needs_engine: bool) -> float:
    """Return the Retry-After, in seconds, of a host that lacks state of other hosts."""
    if now_s - began_s > STARTUP_S:
        return DEFAULT_RETRY_AFTER_S
    ready_s = began_s + (ENGINE_READY_S if needs_engine else PLAIN_READY_S)
    return max(DEFAULT_RETRY_AFTER_S, ready_s - now_s)
