"""Decides whether a request that failed is retried."""

from damaskvalve._agent_client import AttemptError
from damaskvalve_core import NOT_RUN

# Attempts that did not run, after which a request that may not wait is refused.
MAX_REFUSALS = 4
# Attempts that may have run, after which one more such failure is final.
MAX_INTERRUPTIONS = 2
# Failures that another backend server cannot avoid.
NON_RETRYABLE_CODES = ("deadline", "adapter_held_back")
# How long an interrupted request waits for a backend server to become available.
RETURN_WAIT_S = 6.0
# After an attempt that took longer than this, the wait starts anew.
WAIT_RESET_ATTEMPT_S = 1.0


class Attempts:
    """The failed attempts of one request; decides whether it may be retried.

    A request that no backend server has started tries each one at most once, up to
    ``MAX_REFUSALS`` of them. A request that was interrupted also waits
    for a backend server to become available.
    """

    def __init__(self, deadline_s: float) -> None:
        self.excluded: set[str] = set()
        # The time from which ``RETURN_WAIT_S`` is counted.
        self._waiting_since_s = 0.0
        self._deadline_s = deadline_s
        self._refusals = 0
        self._interruptions = 0

    def record_failure(
        self,
        error: AttemptError,
        backend_server: str,
        started_at_s: float,
        now_s: float,
    ) -> None:
        """Record an attempt that started at ``started_at_s`` and has failed now."""
        self.excluded.add(backend_server)
        if error.ran == NOT_RUN:
            self._refusals += 1
        else:
            self._interruptions += 1
        if error.ran != NOT_RUN or now_s - started_at_s > WAIT_RESET_ATTEMPT_S:
            self._waiting_since_s = now_s

    def failure_count(self) -> int:
        """Return the number of failed attempts."""
        return self._refusals + self._interruptions

    def was_interrupted(self) -> bool:
        """Return whether some attempt may have run."""
        return self._interruptions > 0

    def may_wait(self, now_s: float) -> bool:
        """Return whether to wait for a backend server to become available."""
        if not self.was_interrupted() or now_s >= self._deadline_s:
            return False
        return now_s - self._waiting_since_s < RETURN_WAIT_S

    def may_retry(self, error: AttemptError, now_s: float) -> bool:
        """Return whether another attempt is allowed after ``error``."""
        if error.code in NON_RETRYABLE_CODES or now_s >= self._deadline_s:
            return False
        if self._interruptions > MAX_INTERRUPTIONS:
            return False
        return self._refusals < MAX_REFUSALS or self.may_wait(now_s)
