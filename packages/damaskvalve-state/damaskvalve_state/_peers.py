"""Sends messages to a peer in order, in a thread per peer."""

import queue
import threading
from collections.abc import Callable
from typing import Any

import logbook

from damaskvalve_core import Dialer, ProtocolError, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import (
    AppendRequest,
    Member,
    SnapshotPartRequest,
    SnapshotRequest,
)
from damaskvalve_state._transfer import payload_bytes, transfer_time_s

MAX_QUEUED_MESSAGES = 64
# Calls to a peer that go on failing are reported at this interval.
FAILURE_REPORT_INTERVAL_S = 5.0

_log = logbook.Logger("peers")

#: Receives the member that a message was sent to, the message, and the reply or None
#: on failure.
ReplyCallback = Callable[[Member, Any, Any], None]
#: Receives the fields of a report on calls that failed.
FailureObserver = Callable[[dict[str, Any]], None]


def _payload_fields(message: Any) -> dict[str, Any]:
    """Return what a message carries of the log, for the report of its failure."""
    if isinstance(message, AppendRequest):
        return {
            "entries": len(message.entries),
            "after_index": message.previous_index,
        }
    if isinstance(message, (SnapshotRequest, SnapshotPartRequest)):
        return {"last_index": message.last_index}
    return {}


class FailureReports:
    """Reports the first failed call to a peer, and then at most one an interval."""

    __slots__ = ("_address", "_observer", "_failures", "_next_report_s")

    def __init__(self, address: str, observer: FailureObserver) -> None:
        self._address = address
        self._observer = observer
        # Failures since the last report.
        self._failures = 0
        self._next_report_s = 0.0

    def note(
        self, message: Any, began_s: float, error: Exception, now_s: float
    ) -> None:
        """Record a failed call; report it if a report is due."""
        self._failures += 1
        if now_s < self._next_report_s:
            return
        self._next_report_s = now_s + FAILURE_REPORT_INTERVAL_S
        self._observer(
            {
                "peer": self._address,
                "message": type(message).__name__,
                "failures": self._failures,
                "took_s": round(now_s - began_s, 3),
                "reason": str(error),
                "payload_bytes": payload_bytes(message),
                **_payload_fields(message),
            }
        )
        self._failures = 0


class PeerSender:
    """A bounded queue to one address; messages are dropped while it is full.

    ``timeout_s`` is the timeout of a call whose payload is empty.
    """

    def __init__(
        self,
        address: str,
        dialer: Dialer,
        timeout_s: float,
        on_reply: ReplyCallback,
        observer: FailureObserver,
    ) -> None:
        self._address = address
        self._dialer = dialer
        self._timeout_s = timeout_s
        self._on_reply = on_reply
        self._failure_reports = FailureReports(address, observer)
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
            began_s = boot_clock_s()
            timeout_s = self._timeout_s + transfer_time_s(payload_bytes(message))
            try:
                reply = self._dialer.call(self._address, message, timeout_s)
            except (RetryLaterError, ProtocolError) as error:
                self._failure_reports.note(message, began_s, error, boot_clock_s())
                reply = None
            self._on_reply(member, message, reply)
