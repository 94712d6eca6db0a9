"""The agent's right to send orders to its backend server.

The control group grants a fencing number, which the agent holds under a lease. The
agent sends no orders outside the lease, and a new holder waits until the lease of the
previous holder must have ended. So even an engine that ignores the number never
gets orders from two agents.
"""

import threading

from damaskvalve_core.messages import ReportReply

FENCE_LEASE_S = 3.0
# Largest ratio of the rates at which the clocks of two machines run.
CLOCK_DRIFT = 1.1


class Fence:
    """The fencing number and its lease; thread-safe."""

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._lock = threading.Lock()
        self._number = 0
        self._first_order_at_s = 0.0
        self._lease_until_s = float("-inf")
        self._lost = False

    def granted(
        self, number: int, previous_holder: str, requested_at_s: float, now_s: float
    ) -> None:
        """Accept a number that was requested at ``requested_at_s`` and granted now."""
        with self._lock:
            self._number = number
            self._lost = False
            self._first_order_at_s = now_s
            if previous_holder not in ("", self._holder):
                self._first_order_at_s = now_s + FENCE_LEASE_S * CLOCK_DRIFT
            self._lease_until_s = requested_at_s + FENCE_LEASE_S

    def renew(self, reply: ReportReply, sent_at_s: float) -> None:
        """Renew the lease from the reply to a report that was sent at ``sent_at_s``."""
        with self._lock:
            if not reply.fence_confirmed or not self._number:
                return
            if reply.fence_number < self._number:
                # The control host has not applied this agent's grant yet.
                return
            if reply.fence_holder not in ("", self._holder):
                self._lost = True
                return
            if reply.fence_number == self._number:
                until_s = sent_at_s - reply.fence_age_s + FENCE_LEASE_S
                self._lease_until_s = max(self._lease_until_s, until_s)

    def relinquish(self) -> None:
        """Stop sending orders, so that a successor need not wait for the lease."""
        with self._lock:
            self._lost = True

    def is_lost(self) -> bool:
        """Return whether the fence is relinquished, or held by another agent."""
        with self._lock:
            return self._lost

    def needs_grant(self) -> bool:
        """Return whether no number has been granted yet."""
        with self._lock:
            return self._number == 0 and not self._lost

    def number(self, now_s: float) -> int | None:
        """Return the number to send with orders, or None if orders are not allowed."""
        with self._lock:
            if self._lost or now_s < self._first_order_at_s:
                return None
            if now_s >= self._lease_until_s:
                return None
            return self._number or None
