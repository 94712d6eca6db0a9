"""An open group: bootstrap from seeds, and members without a disk."""

import contextlib
import tempfile
import time
import unittest
from pathlib import Path

from damaskvalve_core import RetryLaterError, dialing, listening
from damaskvalve_core.messages import Command, DocumentRecord, Member
from damaskvalve_state import NodeSettings, Timing, next_members, running_group

# Outside the ephemeral port range of the system.
FIRST_PORT = 21_700
TIMING = Timing(election_timeout_s=0.5, heartbeat_s=0.1)


class Fleet:
    """Members connected over loopback."""

    def __init__(self, scratch):
        self.scratch = Path(scratch)
        self.stacks = {}
        self.groups = {}

    def start(self, number, seeds, *, durable=True, may_bootstrap=True):
        address = f"127.0.0.1:{FIRST_PORT + number}"
        folder = self.scratch / str(number) if durable else None
        settings = NodeSettings(
            folder,
            address,
            "dc",
            [f"127.0.0.1:{FIRST_PORT + seed}" for seed in seeds],
            TIMING,
            may_bootstrap=may_bootstrap,
            open_group=True,
        )
        stack = contextlib.ExitStack()
        dialer = stack.enter_context(dialing(None))
        group = stack.enter_context(running_group(settings, dialer))
        answer = lambda request, _: [  # noqa: E731
            group.handle_peer_message(request, 2.0)
        ]
        stack.enter_context(listening(address, None, answer))
        self.stacks[number], self.groups[number] = stack, group

    def stop(self, number):
        self.stacks.pop(number).close()
        del self.groups[number]

    def stop_all(self):
        for number in list(self.stacks):
            self.stop(number)

    def commit_document(self, version, within_s=10.0):
        """Commit a document through the current leader."""
        command = Command(document=DocumentRecord("d", version, b"x"))
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            for group in self.groups.values():
                with contextlib.suppress(RetryLaterError):
                    if group.propose(command, 1.0) is not None:
                        return
            time.sleep(0.05)
        raise AssertionError("no member committed the document")

    def version(self, number):
        def read(node, now_s):
            document = node.state_machine.documents.get("d")
            return document.version if document else 0

        return self.groups[number].run(read)

    def await_version(self, number, version, within_s=10.0):
        deadline_s = time.monotonic() + within_s
        while self.version(number) < version:
            if time.monotonic() > deadline_s:
                raise AssertionError(
                    f"member {number} did not receive version {version}"
                )
            time.sleep(0.05)

    def voters(self, number):
        def read(node, now_s):
            return sorted(voter.address for voter in node.consensus.voters())

        return self.groups[number].run(read)


class OpenGroupTests(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.fleet = Fleet(scratch.name)
        self.addCleanup(self.fleet.stop_all)

    def test_only_members_with_a_disk_become_voters(self):
        """A further member with a disk becomes a voter; one without never does."""
        fleet = self.fleet
        for number in range(3):
            fleet.start(number, [0, 1, 2])
        fleet.start(3, [0, 1, 2])
        fleet.start(4, [0, 1, 2], durable=False)
        fleet.commit_document(5)
        for number in range(5):
            fleet.await_version(number, 5)
        deadline_s = time.monotonic() + 10
        while len(fleet.voters(0)) < 4 and time.monotonic() < deadline_s:
            time.sleep(0.05)
        self.assertEqual(len(fleet.voters(0)), 4)
        self.assertNotIn(f"127.0.0.1:{FIRST_PORT + 4}", fleet.voters(0))

    def test_restarted_group_rejoins_through_seeds_without_state(self):
        """The seeds are members without a disk that restart at the same time."""
        fleet = self.fleet
        for number in range(3):
            fleet.start(number, [0, 1, 2])
        fleet.start(3, [0, 1, 2], durable=False)
        fleet.start(4, [0, 1, 2], durable=False)
        fleet.commit_document(7)
        fleet.await_version(4, 7)
        fleet.stop_all()
        for number in range(3):
            fleet.start(number, [3, 4], may_bootstrap=False)
        fleet.start(3, [3, 4], durable=False, may_bootstrap=False)
        fleet.start(4, [3, 4], durable=False, may_bootstrap=False)
        fleet.await_version(3, 7)
        fleet.await_version(4, 7)

    def test_empty_members_do_not_bootstrap_without_permission(self):
        """Otherwise a loss of all disks would start a second, conflicting log."""
        for number in range(3):
            self.fleet.start(number, [0, 1, 2], may_bootstrap=False)
        time.sleep(2.0)
        for number in range(3):
            self.assertEqual(self.fleet.voters(number), [])


class MembershipTests(unittest.TestCase):
    @staticmethod
    def members(*names):
        return [Member(name, f"{name}:1", "dc") for name in names]

    def next_member_ids(self, voters, learners, unresponsive=()):
        proposed = next_members(self.members(*voters), learners, None, unresponsive)
        return None if proposed is None else [member.member_id for member in proposed]

    def test_each_step_changes_one_voter(self):
        """Old and new majorities must overlap."""
        (new,) = self.members("n")
        diskless = Member("m", "m:1", "dc", True)
        cases = [
            ("abc", [new], "", "abcn"),
            ("abc", [new], "b", "ac"),
            ("ac", [new], "", "acn"),
            ("abc", [], "b", None),
            ("abcd", [], "b", "acd"),
            ("abc", [diskless], "", None),
        ]
        for voters, learners, unresponsive, expected in cases:
            with self.subTest(voters=voters, unresponsive=unresponsive):
                proposed = self.next_member_ids(voters, learners, set(unresponsive))
                self.assertEqual(proposed, list(expected) if expected else None)
