"""Limits the retries of one entry host, so that they do not amplify an outage."""

import threading

# Fraction of a retry that each request adds to the balance.
RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """A balance of retries: each request adds a fraction, each retry takes one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the fraction of a retry that one request earns."""
        with self._lock:
            self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def take(self) -> bool:
        """Take one retry; return False if none is left."""
        with self._lock:
            if self._saved < 1:
                return False
            self._saved -= 1
            return True
