"""A group that founds itself from seeds, with members without a disk."""

import contextlib
import tempfile
import time
import unittest
from pathlib import Path

from damaskvalve_core import RetryLaterError, dialing, listening
from damaskvalve_core.messages import Command, DocumentRecord, Member
from damaskvalve_state import NodeSettings, Timing, next_members, running_group

# Outside the range that the system takes ports of its own from.
FIRST_PORT = 21_700
TIMING = Timing(election_timeout_s=0.5, heartbeat_s=0.1)


class Fleet:
    """Members over real connections on loopback."""

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

    def put(self, version, within_s=10.0):
        """Commit a document through whoever leads."""
        command = Command(document=DocumentRecord("d", version, b"x"))
        give_up_s = time.monotonic() + within_s
        while time.monotonic() < give_up_s:
            for group in self.groups.values():
                with contextlib.suppress(RetryLaterError):
                    if group.propose(command, 1.0) is not None:
                        return
            time.sleep(0.05)
        raise AssertionError("nobody committed the document")

    def version(self, number):
        def read(node, now_s):
            document = node.state_machine.documents.get("d")
            return document.version if document else 0

        return self.groups[number].run(read)

    def await_version(self, number, version, within_s=10.0):
        give_up_s = time.monotonic() + within_s
        while self.version(number) < version:
            if time.monotonic() > give_up_s:
                raise AssertionError(f"member {number} does not hold {version}")
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
        """One more with a disk is taken in; one without never votes."""
        fleet = self.fleet
        for number in range(3):
            fleet.start(number, [0, 1, 2])
        fleet.start(3, [0, 1, 2])
        fleet.start(4, [0, 1, 2], durable=False)
        fleet.put(5)
        for number in range(5):
            fleet.await_version(number, 5)
        give_up_s = time.monotonic() + 10
        while len(fleet.voters(0)) < 4 and time.monotonic() < give_up_s:
            time.sleep(0.05)
        self.assertEqual(len(fleet.voters(0)), 4)
        self.assertNotIn(f"127.0.0.1:{FIRST_PORT + 4}", fleet.voters(0))

    def test_restarted_group_rejoins_through_seeds_without_state(self):
        """Its seeds are members without a disk that were restarted too."""
        fleet = self.fleet
        for number in range(3):
            fleet.start(number, [0, 1, 2])
        fleet.start(3, [0, 1, 2], durable=False)
        fleet.start(4, [0, 1, 2], durable=False)
        fleet.put(7)
        fleet.await_version(4, 7)
        fleet.stop_all()
        for number in range(3):
            fleet.start(number, [3, 4], may_bootstrap=False)
        fleet.start(3, [3, 4], durable=False, may_bootstrap=False)
        fleet.start(4, [3, 4], durable=False, may_bootstrap=False)
        fleet.await_version(3, 7)
        fleet.await_version(4, 7)

    def test_empty_members_do_not_bootstrap_without_permission(self):
        """Lost disks of all would otherwise begin a second history."""
        for number in range(3):
            self.fleet.start(number, [0, 1, 2], may_bootstrap=False)
        time.sleep(2.0)
        for number in range(3):
            self.assertEqual(self.fleet.voters(number), [])


class MembershipTests(unittest.TestCase):
    @staticmethod
    def members(*names):
        return [Member(name, f"{name}:1", "dc") for name in names]

    def next(self, voters, learners, silent=()):
        found = next_members(self.members(*voters), learners, None, silent)
        return None if found is None else [member.member_id for member in found]

    def test_each_step_changes_one_voter(self):
        """Old and new majorities overlap."""
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
        for voters, learners, silent, wanted in cases:
            with self.subTest(voters=voters, silent=silent):
                found = self.next(voters, learners, set(silent))
                self.assertEqual(found, list(wanted) if wanted else None)
