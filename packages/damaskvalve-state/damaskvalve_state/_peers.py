"""Sends messages to a peer in order, in a thread per peer."""

import queue
import threading
from collections.abc import Callable
from typing import Any

import logbook

from damaskvalve_core import Dialer, ProtocolError, RetryLaterError
from damaskvalve_core.messages import Member

MAX_QUEUED_MESSAGES = 64

_log = logbook.Logger("peers")

#: Receives the member that a message was sent to, and the reply or None on failure.
ReplyCallback = Callable[[Member, Any], None]


class PeerSender:
    """A bounded queue to one address; messages are dropped while it is full."""

    def __init__(
        self, address: str, dialer: Dialer, timeout_s: float, on_reply: ReplyCallback
    ) -> None:
        self._address = address
        self._dialer = dialer
        self._timeout_s = timeout_s
        self._on_reply = on_reply
        self._queue: queue.Queue[tuple[Member, Any] | None] = queue.Queue(
            MAX_QUEUED_MESSAGES
        )
        threading.Thread(target=self._run, daemon=True).start()

    def send(self, member: Member, message: Any) -> None:
        """Queue a message; the consensus repeats messages that are dropped or lost."""
        try:
            self._queue.put_nowait((member, message))
        except queue.Full:
            _log.debug("queue to {} is full, message dropped", self._address)

    def stop(self) -> None:
        """End the thread after the queued messages; it runs on if the queue is full."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            _log.debug("queue to {} is full, sender not stopped", self._address)

    def _run(self) -> None:
        while True:
            item = self._queue.get()
            if item is None:
                return
            member, message = item
            try:
                reply = self._dialer.call(self._address, message, self._timeout_s)
            except (RetryLaterError, ProtocolError) as error:
                _log.debug("call to {} failed: {}", self._address, error)
                reply = None
            self._on_reply(member, reply)
