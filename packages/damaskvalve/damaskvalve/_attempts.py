"""Decides whether a request that failed is tried again."""

from damaskvalve._agent_client import AttemptError
from damaskvalve_core import NOT_RUN

MAX_REFUSALS = 4
MAX_INTERRUPTIONS = 2
# Trying another backend server does not help against these.
FINAL_CODES = ("deadline", "adapter_held_back")
# How long a request that lost its backend server waits for one to return.
RETURN_WAIT_S = 6.0
# A request that was kept this long begins to wait anew.
LONG_ATTEMPT_S = 1.0


class Attempts:
    """What one request has tried; decides whether it may try again.

    A request that no backend server has begun tries each one once. A request
    that was interrupted also waits a little for a backend server to return.
    """

    def __init__(self, deadline_s: float) -> None:
        self.excluded: set[str] = set()
        # Since when no backend server has kept this request for a while.
        self._homeless_since_s = 0.0
        self._deadline_s = deadline_s
        self._refusals = 0
        self._interruptions = 0

    def note(
        self, error: AttemptError, backend_server: str, began_at_s: float, now_s: float
    ) -> None:
        """Count an attempt that began at ``began_at_s`` and has failed now."""
        self.excluded.add(backend_server)
        if error.ran == NOT_RUN:
            self._refusals += 1
        else:
            self._interruptions += 1
        if error.ran != NOT_RUN or now_s - began_at_s > LONG_ATTEMPT_S:
            self._homeless_since_s = now_s

    def count(self) -> int:
        """Return how many attempts have failed."""
        return self._refusals + self._interruptions

    def was_interrupted(self) -> bool:
        """Return whether some attempt may have run."""
        return self._interruptions > 0

    def may_wait(self, now_s: float) -> bool:
        """Return whether to wait for a backend server to return."""
        if not self.was_interrupted() or now_s >= self._deadline_s:
            return False
        return now_s - self._homeless_since_s < RETURN_WAIT_S

    def may_go_on(self, error: AttemptError, now_s: float) -> bool:
        """Return whether another attempt makes sense after ``error``."""
        if error.code in FINAL_CODES or now_s >= self._deadline_s:
            return False
        if self._interruptions > MAX_INTERRUPTIONS:
            return False
        return self._refusals < MAX_REFUSALS or self.may_wait(now_s)
