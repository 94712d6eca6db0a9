"""What a leader sends to members that lag, without a network."""

import random
import unittest
from unittest import mock

from damaskvalve_core.messages import (
    AppendRequest,
    EntryKind,
    HardState,
    LogEntry,
    Member,
    SnapshotPartRequest,
    SnapshotRequest,
)
from damaskvalve_state import Consensus, Log, Timing, empty_snapshot
from damaskvalve_state._state_access import AppliedState, StateAccess
from damaskvalve_state._transfer import (
    MAX_IN_FLIGHT_BYTES,
    MAX_PAYLOAD_BYTES,
    payload_bytes,
    transfer_time_s,
)

TIMING = Timing(election_timeout_s=0.7, heartbeat_s=0.15)
STATE_BYTES = 19_000
CHANGES = 216
# The users' sheet: 65 hosts without a disk, links of 5 Mbit/s, back within 15 s.
RETURNING = 65
LINK_BYTES_PER_S = 5_000_000 / 8
RECOVERY_S = 15.0
STEP_S = 0.01


def member(name, *, memory_only=False):
    return Member(name, f"{name}:1", "dc", memory_only)


def command(index, size_bytes):
    return LogEntry(index, 1, EntryKind.COMMAND, bytes(size_bytes), [])


class Leader:
    """A leader of one voter, whose applied state has a size of its own."""

    def __init__(self, entry_sizes, state_bytes):
        own = member("leader")
        first = LogEntry(1, 0, EntryKind.MEMBERS, b"", [own])
        entries = [command(n + 2, size) for n, size in enumerate(entry_sizes)]
        self.state_bytes = state_bytes
        self.captures = 0
        self.consensus = Consensus(
            own,
            Log(empty_snapshot(), [first, *entries]),
            HardState(1, "leader"),
            TIMING,
            random.Random(1),
            0.0,
            StateAccess(self.capture, lambda data: True),
        )
        now_s = 0.0
        while self.consensus.role != "leader" or not self.consensus.commit_index:
            now_s += 0.05
            self.consensus.tick(now_s)
            self.take_messages(now_s)
        self.now_s = now_s

    def capture(self):
        self.captures += 1
        return AppliedState(self.consensus.commit_index, bytes(self.state_bytes))

    def take_messages(self, now_s):
        output = self.consensus.take_output()
        self.consensus.record_synced(self.consensus.log.last_index, now_s)
        later = self.consensus.take_output()
        return [
            *output.early_messages,
            *output.messages,
            *later.early_messages,
            *later.messages,
        ]


class Follower:
    """A member without any state."""

    def __init__(self, name, now_s):
        self.member = member(name, memory_only=True)
        self.consensus = Consensus(
            self.member,
            Log(empty_snapshot()),
            HardState(0, ""),
            TIMING,
            random.Random(2),
            now_s,
        )

    def answer(self, message, now_s):
        reply = self.consensus.receive(message, now_s)
        self.consensus.take_output()
        return reply


class LinkSimulation:
    """A leader whose own link all messages share; late calls fail like a sender's."""

    def __init__(self, leader, followers, bytes_per_s):
        self.leader = leader
        self.followers = {item.member.member_id: item for item in followers}
        self.bytes_per_s = bytes_per_s
        self.now_s = leader.now_s
        self.link_free_s = self.now_s
        self.sent_bytes = 0
        self.most_in_flight_bytes = 0
        # For each member the calls that wait or are under way, in order.
        self.calls = {name: [] for name in self.followers}

    def step(self):
        self.now_s += STEP_S
        self.leader.consensus.tick(self.now_s)
        self.send(self.leader.take_messages(self.now_s))
        for name in self.calls:
            self.finish_calls(name)
        in_flight = sum(
            payload_bytes(message)
            for calls in self.calls.values()
            for message, _, _ in calls
        )
        self.most_in_flight_bytes = max(self.most_in_flight_bytes, in_flight)

    def send(self, messages):
        for target, message in messages:
            if target.member_id in self.calls:
                size = 200 + payload_bytes(message)
                self.sent_bytes += size
                self.link_free_s = max(self.link_free_s, self.now_s)
                self.link_free_s += size / self.bytes_per_s
                limit_s = TIMING.election_timeout_s + transfer_time_s(size)
                call = message, self.link_free_s, self.now_s + limit_s
                self.calls[target.member_id].append(call)

    def finish_calls(self, name):
        consensus, follower = self.leader.consensus, self.followers[name]
        while self.calls[name]:
            message, arrives_s, gives_up_s = self.calls[name][0]
            if self.now_s < min(arrives_s, gives_up_s):
                return
            self.calls[name].pop(0)
            if arrives_s > gives_up_s:
                consensus.record_request_failure(follower.member, message)
            else:
                reply = follower.answer(message, self.now_s)
                consensus.receive(reply, self.now_s)
            self.send(self.leader.take_messages(self.now_s))

    def run_until_all_hold(self, index, within_s):
        """Return the time until all followers have committed an entry."""
        began_s = self.now_s
        for follower in self.followers.values():
            self.leader.consensus.add_learner(follower.member, self.now_s)
        while any(f.consensus.commit_index < index for f in self.followers.values()):
            self.step()
            if self.now_s - began_s > within_s:
                late = [f.consensus.commit_index for f in self.followers.values()]
                raise AssertionError(f"after {within_s} s: {sorted(late)}")
        return self.now_s - began_s


def returning(leader, count):
    return [Follower(f"f{number}", leader.now_s) for number in range(count)]


class ReturningMemberTests(unittest.TestCase):
    def test_all_members_that_return_at_once_pass_the_leaders_own_link(self):
        """Guards against RECOVER, issue 58, on the largest deployment.

        65 hosts lack 216 changes of 19 KB each: 267 MB of history, 1.2 MB of state.
        """
        leader = Leader([STATE_BYTES] * CHANGES, STATE_BYTES)
        simulation = LinkSimulation(
            leader, returning(leader, RETURNING), LINK_BYTES_PER_S
        )
        index = leader.consensus.commit_index
        simulation.run_until_all_hold(index, RECOVERY_S)
        self.assertEqual(leader.captures, 1)
        self.assertLess(simulation.sent_bytes, 3 * RETURNING * STATE_BYTES)

    def test_a_large_state_reaches_all_members_in_parts(self):
        """No part is late because of those to other members."""
        leader = Leader([300_000] * 20, 1_000_000)
        simulation = LinkSimulation(leader, returning(leader, 5), LINK_BYTES_PER_S)
        index = leader.consensus.commit_index
        simulation.run_until_all_hold(index, RECOVERY_S)
        limit_bytes = MAX_IN_FLIGHT_BYTES + MAX_PAYLOAD_BYTES
        self.assertLessEqual(simulation.most_in_flight_bytes, limit_bytes)

    def test_what_is_under_way_to_many_members_is_limited(self):
        """On a slower link, all of it would arrive too late."""
        leader = Leader([STATE_BYTES] * CHANGES, 3 * MAX_PAYLOAD_BYTES)
        followers = returning(leader, RETURNING)
        simulation = LinkSimulation(leader, followers, 20 * LINK_BYTES_PER_S)
        simulation.run_until_all_hold(leader.consensus.commit_index, RECOVERY_S)
        limit_bytes = MAX_IN_FLIGHT_BYTES + MAX_PAYLOAD_BYTES
        self.assertLessEqual(simulation.most_in_flight_bytes, limit_bytes)

    def test_a_short_history_is_sent_as_entries(self):
        """No snapshot is taken for what fits into one message."""
        leader = Leader([2_000] * 20, STATE_BYTES)
        simulation = LinkSimulation(leader, returning(leader, 3), LINK_BYTES_PER_S)
        simulation.run_until_all_hold(leader.consensus.commit_index, RECOVERY_S)
        self.assertEqual(leader.captures, 0)

    def test_a_history_smaller_than_the_state_is_sent_as_entries(self):
        """A member that lacks little is not sent all of a large state."""
        leader = Leader([1_000_000, *[30_000] * 10], 2_000_000)
        leader.consensus.compact(2, bytes(2_000_000))
        follower = Follower("f", leader.now_s)
        simulation = LinkSimulation(leader, [follower], 100 * LINK_BYTES_PER_S)
        simulation.run_until_all_hold(leader.consensus.commit_index, RECOVERY_S)
        self.assertEqual(leader.captures, 0)


class SendTests(unittest.TestCase):
    def setUp(self):
        # The state just fits into one message.
        self.leader = Leader([STATE_BYTES] * CHANGES, MAX_PAYLOAD_BYTES)
        self.now_s = self.leader.now_s

    def add(self, name):
        follower = Follower(name, self.now_s)
        self.leader.consensus.add_learner(follower.member, self.now_s)
        return follower

    def large_messages(self):
        messages = self.leader.take_messages(self.now_s)
        return [item for _, item in messages if payload_bytes(item)]

    def greet(self, follower):
        """Let a follower answer all that it is sent without a payload."""
        messages = self.leader.take_messages(self.now_s)
        self.now_s += STEP_S
        for target, message in messages:
            if target.member_id == follower.member.member_id:
                self.assertEqual(payload_bytes(message), 0)
                reply = follower.answer(message, self.now_s)
                self.leader.consensus.receive(reply, self.now_s)

    def test_a_member_that_does_not_answer_is_sent_nothing_large(self):
        """It would hold the room of members that do."""
        follower = self.add("silent")
        self.greet(follower)
        (message,) = self.large_messages()
        self.leader.consensus.record_request_failure(follower.member, message)
        for _ in range(100):
            self.now_s += 0.05
            self.leader.consensus.tick(self.now_s)
            self.assertEqual(self.large_messages(), [])

    def test_a_member_that_answers_is_sent_the_state(self):
        """The first message finds out what it holds."""
        follower = self.add("f")
        self.greet(follower)
        (message,) = self.large_messages()
        self.assertIsInstance(message, SnapshotRequest)

    def test_a_large_message_is_not_sent_again_while_it_is_under_way(self):
        """A link that is slow enough would carry nothing but copies."""
        for is_voter in (False, True):
            self.setUp()
            follower = self.add("f")
            with mock.patch.object(
                Consensus, "_is_other_voter", lambda *arguments: is_voter
            ):
                self.greet(follower)
                (message,) = self.large_messages()
                until_s = self.now_s + transfer_time_s(payload_bytes(message))
                while self.now_s < until_s:
                    self.now_s += 0.05
                    self.leader.consensus.tick(self.now_s)
                    self.assertEqual(self.large_messages(), [])

    def test_after_a_failure_a_member_has_to_answer_first(self):
        """Then it is sent the same again."""
        follower = self.add("f")
        self.greet(follower)
        (message,) = self.large_messages()
        self.leader.consensus.record_request_failure(follower.member, message)
        self.now_s += 0.2
        self.leader.consensus.tick(self.now_s)
        self.greet(follower)
        (again,) = self.large_messages()
        self.assertEqual(again.last_index, message.last_index)

    def test_a_failed_heartbeat_does_not_end_the_wait_for_a_large_message(self):
        """Only the failure of that message shows that it did not arrive."""
        follower = self.add("f")
        self.greet(follower)
        self.large_messages()
        heartbeat = AppendRequest(1, "leader", "leader:1", 0, 0, [], 0, self.now_s - 1)
        self.leader.consensus.record_request_failure(follower.member, heartbeat)
        peer = self.leader.consensus.progress[follower.member.member_id]
        self.assertTrue(peer.awaits_reply(self.now_s + 0.1))


class SnapshotPartTests(unittest.TestCase):
    def setUp(self):
        self.data = random.Random(3).randbytes(5 * MAX_PAYLOAD_BYTES // 2)
        self.follower = Follower("f", 0.0)

    def part(self, offset, *, term=1, last_index=9, data=None):
        data = self.data if data is None else data
        return SnapshotPartRequest(
            term,
            "leader",
            "leader:1",
            last_index,
            1,
            [member("leader")],
            data[offset : offset + MAX_PAYLOAD_BYTES],
            1.0,
            offset,
            len(data),
        )

    def held(self, part):
        return self.follower.answer(part, 1.0).snapshot_bytes

    def test_parts_in_order_make_the_snapshot(self):
        """The last reply acknowledges the entries that it covers."""
        for offset in (0, MAX_PAYLOAD_BYTES):
            end = offset + MAX_PAYLOAD_BYTES
            self.assertEqual(self.held(self.part(offset)), end)
        reply = self.follower.answer(self.part(2 * MAX_PAYLOAD_BYTES), 1.0)
        self.assertEqual((reply.snapshot_bytes, reply.match_index), (None, 9))
        self.assertEqual(self.follower.consensus.log.snapshot.data, self.data)

    def test_a_repeated_part_changes_nothing(self):
        """A reply that was lost is made up for by the next one."""
        self.held(self.part(0))
        self.assertEqual(self.held(self.part(0)), MAX_PAYLOAD_BYTES)

    def test_a_part_that_leaves_a_gap_is_not_taken(self):
        """The reply says where to go on, also after a restart of the member."""
        self.assertEqual(self.held(self.part(MAX_PAYLOAD_BYTES)), 0)

    def test_a_newer_snapshot_replaces_the_parts_of_an_older_one(self):
        """Parts of different snapshots are never joined."""
        self.held(self.part(0))
        self.assertEqual(self.held(self.part(MAX_PAYLOAD_BYTES, last_index=12)), 0)
        self.assertEqual(self.held(self.part(0, last_index=12)), MAX_PAYLOAD_BYTES)
        self.assertEqual(self.held(self.part(MAX_PAYLOAD_BYTES)), 0)

    def test_another_leader_begins_anew(self):
        """It may encode the same state differently."""
        self.held(self.part(0))
        self.assertEqual(self.held(self.part(MAX_PAYLOAD_BYTES, term=2)), 0)

    def test_a_snapshot_that_cannot_be_read_is_refused(self):
        """The member keeps its state, and its process."""
        self.follower.consensus._access = StateAccess(
            lambda: None, lambda data: data != self.data
        )
        for offset in range(0, len(self.data), MAX_PAYLOAD_BYTES):
            reply = self.follower.answer(self.part(offset), 1.0)
        self.assertEqual((reply.success, reply.snapshot_bytes), (False, 0))
        self.assertEqual(self.follower.consensus.commit_index, 0)


class HeldEntriesTests(unittest.TestCase):
    def test_a_snapshot_of_entries_that_a_member_holds_removes_no_later_ones(self):
        """It has acknowledged them, and they may be committed by that."""
        follower = Follower("f", 0.0)
        entries = [command(index, 10) for index in range(1, 8)]
        append = AppendRequest(1, "leader", "leader:1", 0, 0, entries, 2, 1.0)
        self.assertEqual(follower.answer(append, 1.0).match_index, 7)
        snapshot = SnapshotRequest(
            1, "leader", "leader:1", 5, 1, [member("leader")], b"", 2.0
        )
        self.assertEqual(follower.answer(snapshot, 2.0).match_index, 5)
        self.assertEqual(follower.consensus.log.last_index, 7)
        self.assertEqual(follower.consensus.commit_index, 5)
