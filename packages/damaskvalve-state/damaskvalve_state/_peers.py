"""Sends messages to one peer in order, from a thread of its own."""

import queue
import threading
from collections.abc import Callable
from typing import Any

import logbook

from damaskvalve_core import Dialer, ProtocolError, RetryLaterError
from damaskvalve_core.messages import Member

MAX_WAITING_MESSAGES = 64

_log = logbook.Logger("peers")

#: Gets the member that was asked and its reply, None if there was none.
AnswerCallback = Callable[[Member, Any], None]


class PeerSender:
    """A bounded queue to one address; a full queue drops the message."""

    def __init__(
        self, address: str, dialer: Dialer, timeout_s: float, answer: AnswerCallback
    ) -> None:
        self._address = address
        self._dialer = dialer
        self._timeout_s = timeout_s
        self._answer = answer
        self._queue: queue.Queue[tuple[Member, Any] | None] = queue.Queue(
            MAX_WAITING_MESSAGES
        )
        threading.Thread(target=self._run, daemon=True).start()

    def send(self, member: Member, message: Any) -> None:
        """Queue a message; agreement repeats what is lost."""
        try:
            self._queue.put_nowait((member, message))
        except queue.Full:
            _log.debug("queue to {} is full", self._address)

    def stop(self) -> None:
        """End the thread after the message at hand."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            _log.debug("queue to {} is full at stop", self._address)

    def _run(self) -> None:
        while True:
            item = self._queue.get()
            if item is None:
                return
            member, message = item
            try:
                reply = self._dialer.call(self._address, message, self._timeout_s)
            except (RetryLaterError, ProtocolError) as error:
                _log.debug("{} does not answer: {}", self._address, error)
                reply = None
            self._answer(member, reply)
