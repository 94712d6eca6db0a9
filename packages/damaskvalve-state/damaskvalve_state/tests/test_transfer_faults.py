"""Snapshots and their parts while messages are lost and hosts crash.

Messages hold so little here that members that lag are sent the state, in parts.
"""

import contextlib
import unittest
from unittest import mock

from hypothesis import given, settings

from damaskvalve_core.messages import SnapshotPartRequest, SnapshotRequest
from damaskvalve_state import _replication, _transfer
from damaskvalve_state.tests.fake_group import FakeGroup
from damaskvalve_state.tests.test_consensus import SEEDS, SIZES, inject_fault

PAYLOAD_BYTES = 48
SMALL_BYTES = 12


class RecordingGroup(FakeGroup):
    """Counts the messages that carry a state."""

    def __init__(self, *arguments, **options):
        self.snapshots = self.parts = 0
        super().__init__(*arguments, **options)

    def send(self, host, address, message):
        self.snapshots += isinstance(message, SnapshotRequest)
        self.parts += isinstance(message, SnapshotPartRequest)
        super().send(host, address, message)


def small_messages():
    stack = contextlib.ExitStack()
    for module in (_replication, _transfer):
        for name, value in (
            ("MAX_PAYLOAD_BYTES", PAYLOAD_BYTES),
            ("SMALL_PAYLOAD_BYTES", SMALL_BYTES),
        ):
            stack.enter_context(mock.patch.object(module, name, value))
    limit = mock.patch.object(_transfer, "MAX_IN_FLIGHT_BYTES", 2 * PAYLOAD_BYTES)
    stack.enter_context(limit)
    return stack


class TransferFaultTests(unittest.TestCase):
    def setUp(self):
        self.enterContext(small_messages())

    @settings(max_examples=60)
    @given(seed=SEEDS, size=SIZES)
    def test_accepted_changes_survive_while_states_are_sent(self, seed, size):
        """No accepted change is lost, and no two hosts commit different entries."""
        group = RecordingGroup(seed, size)
        for number in range(50):
            group.run(0.3)
            group.propose(f"change-{number}")
            if group.rng.random() < 0.4:
                inject_fault(group)
        group.heal()
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))

    @settings(max_examples=30)
    @given(seed=SEEDS, size=SIZES)
    def test_a_lost_disk_is_replaced_by_a_state_in_parts(self, seed, size):
        """The new member votes once it holds all that is committed."""
        group = RecordingGroup(seed, size, loss=0.05)
        for number in range(30):
            group.run(0.15)
            group.propose(f"change-{number}")
        group.lose_disk(group.rng.choice(list(group.hosts.values())))
        group.run(1.0)
        group.heal()
        self.assertGreater(group.parts, 0)
        self.assertGreater(len(group.accepted), 10)
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))
