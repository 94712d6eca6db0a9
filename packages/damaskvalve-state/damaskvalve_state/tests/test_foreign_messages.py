"""Messages that no member of the group sends: refused, and the member runs on."""

import contextlib
import os
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings, strategies as st

from damaskvalve_core import (
    ChannelError,
    ProtocolError,
    RetryLaterError,
    decode_message,
    dialing,
    encode_message,
    listening,
)
from damaskvalve_core.messages import (
    Ack,
    AppendReply,
    AppendRequest,
    BaseVersion,
    Command,
    DocumentRecord,
    EntryKind,
    FoundRequest,
    HelloRequest,
    LogEntry,
    Member,
    Problem,
    RecordStreams,
    Row,
    SnapshotRequest,
    StreamRecord,
    TakeOverRequest,
    VersionRecord,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state import NodeSettings, Timing, check_command, running_group
from damaskvalve_state._foreign_messages import check_peer_request

ADDRESS = "127.0.61.60:21694"
MEMBER = Member("m", "127.0.61.61:21694", "dc")
ENTRY = LogEntry(1, 1, EntryKind.NOOP, b"", [])


def append(**changes):
    fields = {
        "term": 1,
        "leader_id": "m",
        "leader_address": MEMBER.address,
        "previous_index": 0,
        "previous_term": 0,
        "entries": [],
        "commit_index": 0,
        "sent_at_s": 1.0,
    }
    return AppendRequest(**{**fields, **changes})


FOREIGN = {
    "no append": AppendRequest(),
    "no vote": VoteRequest(),
    "no snapshot": SnapshotRequest(),
    "no hello": HelloRequest(),
    "no take over": TakeOverRequest(),
    "no found": FoundRequest(),
    "no members": FoundRequest([]),
    "no member": HelloRequest(Member(), False),
    "no entry": append(entries=[LogEntry()]),
    "gap": append(entries=[LogEntry(7, 1, EntryKind.NOOP, b"", [])]),
    "kind": append(entries=[LogEntry(1, 1, 9, b"", [])]),
    "term": append(term=2**63 - 1),
    "vote term": VoteRequest(2**63 - 1, "m", 0, 0, False),
    "negative": append(previous_index=-7),
    "snapshot": SnapshotRequest(1, "m", "a:1", 9, 1, [MEMBER], b"\x1c" * 9, 1.0),
    "reply": AppendReply(),
    "vote reply": VoteReply(),
    "another message": Ack(1),
}


class ForeignMessageTests(unittest.TestCase):
    def setUp(self):
        self.kill = self.enterContext(mock.patch.object(os, "kill"))
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        node = NodeSettings(
            folder,
            ADDRESS,
            "dc",
            [ADDRESS],
            Timing(election_timeout_s=0.2, heartbeat_s=0.05),
            may_bootstrap=True,
            open_group=True,
        )
        dialer = self.enterContext(dialing(None))
        self.group = self.enterContext(running_group(node, dialer))
        self.enterContext(
            listening(
                ADDRESS,
                None,
                lambda request, _: [self.group.handle_peer_message(request, 1.0)],
            )
        )
        self.dialer = dialer

    def commit(self, version):
        """Commit a document; raise AssertionError if the member does not lead."""
        command = Command(document=DocumentRecord("d", version, b"x"))
        deadline_s = time.monotonic() + 5.0
        while time.monotonic() < deadline_s:
            with contextlib.suppress(RetryLaterError):
                if self.group.propose(command, 1.0) is not None:
                    return
            time.sleep(0.05)
        raise AssertionError("the member does not lead")

    def test_a_greeting_of_an_older_release_is_accepted(self):
        """It lacks the fields that were added later."""
        check_peer_request(HelloRequest(MEMBER, False), 0)

    def test_a_message_that_no_member_sends_ends_no_member(self):
        """The member commits after each of them, and is not terminated."""
        self.commit(1)
        for name, message in FOREIGN.items():
            with self.subTest(name):
                with contextlib.suppress(ChannelError):
                    self.dialer.call(ADDRESS, message, 2.0)
                self.kill.assert_not_called()
                self.commit(2)

    def test_the_sender_of_such_a_message_is_told(self):
        """Its reply is a problem that names the reason."""
        self.commit(1)
        for name, message in FOREIGN.items():
            with self.subTest(name):
                reply = self.group.handle_peer_message(message, 2.0)
                self.assertIsInstance(reply, Problem)

    @settings(max_examples=60)
    @given(frames=st.lists(st.binary(max_size=30), min_size=20, max_size=20))
    def check_frames(self, frames):
        numbers = [encode_message(message)[0] for message in FOREIGN.values()]
        for number, frame in zip(numbers * 2, frames):
            with contextlib.suppress(ProtocolError, ChannelError):
                message = decode_message(bytes((number,)) + frame)
                self.group.handle_peer_message(message, 2.0)
            self.kill.assert_not_called()

    def test_fuzzed_messages_end_no_member(self):
        """The member commits after them."""
        self.commit(1)
        self.check_frames()
        self.commit(2)


class ForeignCommandTests(unittest.TestCase):
    def test_a_command_that_no_host_proposes_is_refused(self):
        """Applied, it would end every member, and again at each start."""
        for command in (
            Command(),
            Command(name_version=VersionRecord()),
            Command(name_version=VersionRecord(None, 1)),
            Command(document=DocumentRecord("d", None, b"")),
            Command(record_streams=RecordStreams([StreamRecord()])),
            Command(base_version=BaseVersion("s", None)),
            Command(
                document=DocumentRecord("d", 1, b""), name_version=VersionRecord("a", 1)
            ),
            None,
        ):
            with self.subTest(command), self.assertRaises(ProtocolError):
                check_command(command)
        check_command(Command(document=DocumentRecord("d", 1, b"")))
        self.assertIsNone(Row("t", "k", None, 0).value)


if __name__ == "__main__":
    unittest.main()
