"""The entry host's limit: spends credit, and asks the leader when short."""

import threading
from collections.abc import Mapping

import logbook

from damaskvalve._credit_pool import CreditPool
from damaskvalve_core import LeaderClient, RefusedError, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import CreditRequest

ASK_TIMEOUT_S = 1.5
REPORT_S = 0.25
MAX_EXCHANGES = 20
NO_LEADER_RETRY_S = 1.0

_log = logbook.Logger("ledger")


class CreditClient:
    """Shares one exchange with the leader among all requests that are short."""

    def __init__(self, entry_id: str, leader: LeaderClient) -> None:
        self._entry_id = entry_id
        self._leader = leader
        self._pool = CreditPool()
        self._lock = threading.Condition()
        self._sequence = 0
        self._asking = False
        # Exchanges with the leader run one after another and are counted.
        self._begun = 0
        self._ended = 0
        self._unreachable = False
        self.exchanges = 0

    def charge(self, workspace: str, tokens: float, burst_tokens: float) -> float:
        """Spend tokens and return when that was; refuse at once if over the rate."""
        with self._lock:
            now_s = boot_clock_s()
            if self._pool.spend(workspace, tokens, burst_tokens, now_s):
                return now_s
        for _ in range(MAX_EXCHANGES):
            self._exchange()
            with self._lock:
                now_s = boot_clock_s()
                if self._pool.retry_spend(workspace, tokens, now_s):
                    return now_s
                # Others may have spent what came; only the leader's word counts.
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
                "the rate cannot be checked now",
                retry_after_s=NO_LEADER_RETRY_S,
            )
        return RefusedError(
            429,
            "rate_limited",
            "the workspace is over its rate",
            retry_after_s=max(0.05, retry_after_s),
        )

    def refund(self, workspace: str, tokens: float, charged_at_s: float) -> None:
        """Give back what a finished request did not use."""
        with self._lock:
            self._pool.refund(workspace, tokens, charged_at_s)

    def credit(self) -> Mapping[str, float]:
        """Return the credit that each workspace has here now."""
        with self._lock:
            return self._pool.usable_tokens(boot_clock_s())

    def _exchange(self) -> None:
        """Return once an exchange has ended that began after this call."""
        with self._lock:
            begun = self._begun
            while self._ended <= begun:
                if not self._asking:
                    self._begin()
                    break
                if not self._lock.wait(ASK_TIMEOUT_S):
                    return
            else:
                return
        self._talk()

    def _begin(self) -> None:
        self._asking = True
        self._begun += 1

    def _talk(self) -> None:
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
                self._asking = False
                self._ended = self._begun
                self._unreachable = not reachable
                self._lock.notify_all()

    def _send(self, request: CreditRequest, sent_at_s: float) -> bool:
        self.exchanges += 1
        try:
            reply = self._leader.ask(request, ASK_TIMEOUT_S)
        except RetryLaterError as error:
            _log.info("no credit from the leader: {}", error)
            return False
        if not reply.done:
            return False
        with self._lock:
            self._pool.add_grants(reply.grants, reply.lifetime_s, sent_at_s)
        return True

    def report(self) -> None:
        """Report, return and renew credit; run regularly in the background."""
        with self._lock:
            if self._asking:
                return
            self._begin()
        self._talk()
