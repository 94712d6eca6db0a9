"""Calls to a peer, and the reports on those that fail."""

import queue
import threading
import unittest

from damaskvalve_core import ReceiveTimeoutError
from damaskvalve_core.messages import AppendRequest, EntryKind, LogEntry, Member
from damaskvalve_state._peers import (
    FAILURE_REPORT_INTERVAL_S,
    FailureReports,
    PeerSender,
)
from damaskvalve_state._transfer import MIN_LINK_BYTES_PER_S

PEER = Member("m", "127.0.0.1:1", "dc")


def append_request(entries):
    return AppendRequest(1, "l", "127.0.0.1:2", 7, 1, entries, 7, 0.0)


class FailingDialer:
    """Fails each call like a peer that does not answer."""

    def call(self, address, message, timeout_s):
        raise ReceiveTimeoutError(f"no data from {address} within the timeout")


class RecordingDialer:
    """Records the timeouts of the calls."""

    def __init__(self):
        self.timeouts_s = []

    def call(self, address, message, timeout_s):
        self.timeouts_s.append(timeout_s)


class PeerSenderTests(unittest.TestCase):
    def test_a_call_may_take_longer_the_more_it_carries(self):
        """Guards against RECOVER, issue 58: one timeout for messages of any size."""
        dialer = RecordingDialer()
        replies = queue.Queue()
        sender = PeerSender(
            PEER.address,
            dialer,
            0.7,
            lambda member, request, reply: replies.put(reply),
            self.fail,
        )
        self.addCleanup(sender.stop)
        for size_bytes in (0, MIN_LINK_BYTES_PER_S, 4 * MIN_LINK_BYTES_PER_S):
            entry = LogEntry(8, 1, EntryKind.COMMAND, bytes(size_bytes), [])
            sender.send(PEER, append_request([entry]))
            replies.get(timeout=5.0)
        self.assertEqual(dialer.timeouts_s, [0.7, 1.7, 4.7])

    def test_a_failed_append_is_reported_with_what_it_carried(self):
        """A lagging member can be told from one that is down by the logs alone."""
        reports = []
        failed = threading.Event()
        sender = PeerSender(
            PEER.address,
            FailingDialer(),
            0.1,
            lambda member, request, reply: failed.set(),
            reports.append,
        )
        self.addCleanup(sender.stop)
        entry = LogEntry(8, 1, EntryKind.COMMAND, b"x" * 100, [])
        sender.send(PEER, append_request([entry]))
        self.assertTrue(failed.wait(5.0))
        self.assertEqual(len(reports), 1)
        self.assertEqual(reports[0]["peer"], PEER.address)
        self.assertEqual(reports[0]["message"], "AppendRequest")
        self.assertEqual(reports[0]["payload_bytes"], 100)
        self.assertEqual(reports[0]["after_index"], 7)
        self.assertIn("no data", reports[0]["reason"])

    def test_failures_that_go_on_are_reported_once_an_interval_with_their_number(self):
        """A peer that is down for long does not fill the log."""
        reports = []
        failures = FailureReports(PEER.address, reports.append)
        error = ReceiveTimeoutError("no data")
        for step in range(10):
            now_s = step * FAILURE_REPORT_INTERVAL_S / 5
            failures.note(append_request([]), now_s, error, now_s)
        self.assertEqual([item["failures"] for item in reports], [1, 5])
