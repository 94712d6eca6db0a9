"""Charges requests to an entry host's credit and requests more from the leader."""

import threading
from collections.abc import Mapping

import logbook

from damaskvalve._credit_pool import CreditPool
from damaskvalve_core import LeaderClient, RefusedError, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import CreditRequest

REFRESH_TIMEOUT_S = 1.5
REPORT_INTERVAL_S = 0.25
MAX_REFRESHES = 20
NO_LEADER_RETRY_S = 1.0

_log = logbook.Logger("ledger")


class CreditClient:
    """Shares one credit refresh at the leader among all requests that lack credit."""

    def __init__(self, entry_id: str, leader: LeaderClient) -> None:
        self._entry_id = entry_id
        self._leader = leader
        self._pool = CreditPool()
        self._lock = threading.Condition()
        self._sequence = 0
        self._refreshing = False
        # Refreshes run one at a time and are numbered by these counts.
        self._started_refreshes = 0
        self._completed_refreshes = 0
        # Whether the last refresh got no reply from a leader.
        self._unreachable = False
        self.refreshes = 0

    def charge(self, workspace: str, tokens: float, burst_tokens: float) -> float:
        """Spend tokens and return the time of the charge.

        If the credit is too small, refresh it up to ``MAX_REFRESHES`` times. Refuse the
        request if that does not suffice or the leader cannot be reached.
        """
        with self._lock:
            now_s = boot_clock_s()
            if self._pool.spend(workspace, tokens, burst_tokens, now_s):
                return now_s
        for _ in range(MAX_REFRESHES):
            self._await_refresh()
            with self._lock:
                now_s = boot_clock_s()
                if self._pool.retry_spend(workspace, tokens, now_s):
                    return now_s
                # Other requests may have spent the new grant, so another refresh is
                # due unless the leader refused or is unreachable.
                if self._unreachable or self._pool.retry_after_s(workspace) > 0:
                    break
        raise self._refusal(workspace)

    def _refusal(self, workspace: str) -> RefusedError:
        with self._lock:
            unreachable = self._unreachable
            retry_after_s = self._pool.retry_after_s(workspace)
        if unreachable:
            return RefusedError(
                503,
                "no_credit_source",
                "the workspace's rate cannot be checked: no answer from the leader",
                retry_after_s=NO_LEADER_RETRY_S,
            )
        return RefusedError(
            429,
            "rate_limited",
            "the workspace is over its rate",
            retry_after_s=max(0.05, retry_after_s),
        )

    def refund(self, workspace: str, tokens: float, charged_at_s: float) -> None:
        """Refund the tokens that a finished request did not use."""
        with self._lock:
            self._pool.refund(workspace, tokens, charged_at_s)

    def credit(self) -> Mapping[str, float]:
        """Return the spendable credit of each workspace at this entry host."""
        with self._lock:
            return self._pool.usable_tokens(boot_clock_s())

    def _await_refresh(self) -> None:
        """Run a refresh, or wait for one that another request starts after this call.

        Return without a result if no refresh ends within ``REFRESH_TIMEOUT_S``.
        """
        with self._lock:
            started_refreshes = self._started_refreshes
            while self._completed_refreshes <= started_refreshes:
                if not self._refreshing:
                    self._start_refresh()
                    break
                if not self._lock.wait(REFRESH_TIMEOUT_S):
                    return
            else:
                return
        self._refresh()

    def _start_refresh(self) -> None:
        self._refreshing = True
        self._started_refreshes += 1

    def _refresh(self) -> None:
        reachable = False
        try:
            with self._lock:
                now_s = boot_clock_s()
                asks = list(self._pool.build_asks(now_s))
                self._sequence += 1
                request = CreditRequest(self._entry_id, self._sequence, asks)
            if asks:
                reachable = self._send(request, now_s)
            else:
                reachable = True
        finally:
            with self._lock:
                self._refreshing = False
                self._completed_refreshes = self._started_refreshes
                self._unreachable = not reachable
                self._lock.notify_all()

    def _send(self, request: CreditRequest, sent_at_s: float) -> bool:
        self.refreshes += 1
        try:
            reply = self._leader.call(request, REFRESH_TIMEOUT_S)
        except RetryLaterError as error:
            _log.info("credit request to the leader failed: {}", error)
            return False
        if not reply.done:
            return False
        with self._lock:
            self._pool.add_grants(reply.grants, reply.lifetime_s, sent_at_s)
        return True

    def report(self) -> None:
        """Report, return and renew credit periodically, unless a refresh is running."""
        with self._lock:
            if self._refreshing:
                return
            self._start_refresh()
        self._refresh()
