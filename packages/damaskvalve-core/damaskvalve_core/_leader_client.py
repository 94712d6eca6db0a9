"""Requests that only the leader of the control hosts can answer."""

import threading
from collections.abc import Sequence
from typing import Any

from damaskvalve_core._channel import Dialer
from damaskvalve_core._exceptions import ChannelError, RetryLaterError
from damaskvalve_core._messages import Command, CommandResult, ProposeRequest

MAX_REDIRECTS = 3
# Number of learned addresses that are kept beside the configured ones.
MAX_LEARNED_ADDRESSES = 8


class LeaderClient:
    """Finds the leader, caches its address and follows redirects.

    The leader replies with its own address; any other control host replies with the
    address of the leader that it knows of, or with none. A request may be delivered
    twice, so it has to be idempotent.
    """

    def __init__(self, addresses: Sequence[str], dialer: Dialer) -> None:
        self._addresses = tuple(addresses)
        self._dialer = dialer
        self._lock = threading.Lock()
        self._leader = ""
        self._learned: list[str] = []

    def learn(self, address: str) -> None:
        """Add the address of a host that may know the leader.

        The configured hosts may all have been replaced. The newest addresses are kept.
        """
        with self._lock:
            if address in self._addresses:
                return
            others = [item for item in self._learned if item != address]
            self._learned = [*others, address][-MAX_LEARNED_ADDRESSES:]

    def call(self, request: Any, timeout_s: float) -> Any:
        """Return the leader's reply.

        Raises :class:`RetryLaterError` if no control host is the leader.
        """
        for address in self._candidate_addresses():
            reply = self._call_with_redirects(address, request, timeout_s)
            if reply is not None:
                return reply
        raise RetryLaterError("no control host is the leader now")

    def commit(self, command: Command, timeout_s: float) -> CommandResult:
        """Commit a command and return its result.

        Raises :class:`RetryLaterError` if no leader is found or the outcome is unknown.
        """
        reply = self.call(ProposeRequest(command), timeout_s)
        if not reply.done:
            raise RetryLaterError(reply.reason or "the outcome is not known")
        return reply.result

    def _candidate_addresses(self) -> Sequence[str]:
        with self._lock:
            leader = self._leader
            known = [*self._addresses, *reversed(self._learned)]
        others = [address for address in known if address != leader]
        return [leader, *others] if leader else others

    def _call_with_redirects(self, address: str, request: Any, timeout_s: float) -> Any:
        for _ in range(MAX_REDIRECTS):
            try:
                reply = self._dialer.call(address, request, timeout_s)
            except ChannelError:
                self._remember_leader("")
                return None
            self._remember_leader(reply.leader_address or "")
            if reply.leader_address == address:
                return reply
            if not reply.leader_address:
                return None
            address = reply.leader_address
        return None

    def _remember_leader(self, leader_address: str) -> None:
        with self._lock:
            self._leader = leader_address
