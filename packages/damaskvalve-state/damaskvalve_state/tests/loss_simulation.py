"""A simulated open group whose hosts restart, are cut off, replaced or lose disks."""

import contextlib
import heapq
import itertools
import random

from damaskvalve_core.messages import (
    AppendReply,
    EntryKind,
    HelloReply,
    HelloRequest,
    LogEntry,
    Member,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state import LossTolerance, Timing
from damaskvalve_state._node import (
    HELLO_INTERVAL_S,
    HELLO_INTERVAL_WITH_LEADER_S,
    LEARNER_TIMEOUT_S,
    STOPPING_INTERVAL_S,
)
from damaskvalve_state.tests.fake_group import STEP_S, Disk, FakeGroup, Host

MIN_DELAY_S = 0.0002
MAX_DELAY_S = 0.003
CLOCK_RATES = (0.995, 1.0, 1.005)
PROCESS_START_S = 0.3
# A host may learn seeds that were current this long before its start.
SEED_LAG_S = 3.0
SEED_COUNT = 3
MAX_STOP_S = 8.0
# How long a group is watched after all faults.
CALM_S = 60.0
PROPOSAL_INTERVAL_S = 0.2
SIZES_BY_TOLERANCE = {1: (3,), 2: (5, 6, 8), 3: (9,), 4: (9,)}


def catch_up_s(tolerance):
    return 4.0 if tolerance == 1 else 6.0


def recovery_s(tolerance):
    return 12.0 if tolerance == 1 else 15.0


class LossRule:
    """Decides which losses a group has to tolerate.

    A slot is a host together with its successors. It is lost while it is down and for
    ``catch_up_s`` afterwards. The disk of a host that is wiped or gone is lost until
    its slot is not. No more disks than ``tolerance`` may be lost at once. More slots
    than that may be lost only in an overlap, which suspends the service: it lasts until
    ``recovery_s`` after all slots are back, and no lost disk is replaced before.
    """

    def __init__(self, tolerance, catch_up_s, recovery_s):
        self.tolerance = tolerance
        self.catch_up_s = catch_up_s
        self.recovery_s = recovery_s
        self._down_counts = {}
        self._lost_until_s = {}
        # The slot of each lost disk.
        self._lost_disks = {}
        self._in_overlap = False
        self._all_back_s = float("-inf")

    def lose(self, slot, now_s, *, disk=None):
        """Record that a loss of a slot begins; losses of one slot may overlap.

        ``disk`` names the disk that is lost with it.
        """
        self._end_overlap_if_due(now_s)
        self._down_counts[slot] = self._down_counts.get(slot, 0) + 1
        if disk is not None:
            self._lost_disks[disk] = slot
        if len(self.lost(now_s)) > self.tolerance:
            self._in_overlap = True

    def give_back(self, slot, now_s, *, catches_up=True):
        """Record that a loss of a slot ends: it starts to catch up.

        It does not if its successor started before the old host ended.
        """
        self._down_counts[slot] -= 1
        if not self._down_counts[slot]:
            del self._down_counts[slot]
        if catches_up:
            self._lost_until_s[slot] = now_s + self.catch_up_s
        if not self._down_counts:
            self._all_back_s = now_s

    def lost(self, now_s):
        """Return the slots that are down or catch up."""
        catching_up = {
            slot for slot, until_s in self._lost_until_s.items() if now_s < until_s
        }
        return {*self._down_counts, *catching_up}

    def lost_disks(self, now_s):
        """Return the disks that are lost and not replaced yet."""
        self._end_overlap_if_due(now_s)
        if not self._in_overlap:
            lost_slots = self.lost(now_s)
            self._lost_disks = {
                disk: slot
                for disk, slot in self._lost_disks.items()
                if slot in lost_slots
            }
        return set(self._lost_disks)

    def allows(self, slot, now_s, *, disk=None, overlap=False):
        """Return whether the loss of a slot, or of its disk too, may begin now."""
        if disk is not None and len(self.lost_disks(now_s) | {disk}) > self.tolerance:
            return False
        return overlap or len(self.lost(now_s) | {slot}) <= self.tolerance

    def suspends_service(self, now_s):
        """Return whether more slots are, or were just before, lost than allowed."""
        self._end_overlap_if_due(now_s)
        return self._in_overlap

    def _end_overlap_if_due(self, now_s):
        if not self._in_overlap or self._down_counts:
            return
        if now_s >= self._all_back_s + self.recovery_s:
            self._in_overlap = False


class LossHost:
    """A host that finds the group through its seeds."""

    capture = Host.capture

    def __init__(self, address, slot, rng, seeds):
        self.address = address
        self.slot = slot
        self.rng = rng
        self.clock_rate = rng.choice(CLOCK_RATES)
        self.frozen_until_s = 0.0
        # Until when its disk refuses writes.
        self.disk_full_until_s = 0.0
        self.consensus = None
        self.applied = []
        self.applied_index = 0
        self.seeds = tuple(seeds)
        self.is_stopping = False
        self.reset_process()
        self.reset_disk()

    def reset_process(self):
        self.is_stopping = False
        self.next_stopping_s = 0.0
        self.next_hello_s = 0.0
        self.advertised_leader = ""

    def reset_disk(self):
        self.disk = Disk()
        self.has_joined = False
        self.member_id = f"{self.rng.getrandbits(64):016x}"

    def member(self):
        return Member(self.member_id, self.address, f"dc{self.slot % 3}")


class LossGroup(FakeGroup):
    """An open group with one queue of messages and faults in virtual time."""

    def __init__(self, seed, size, tolerance):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.crash_rate = 0.0
        self.timing = Timing(election_timeout_s=0.7, heartbeat_s=0.15)
        self.rule = LossRule(tolerance, catch_up_s(tolerance), recovery_s(tolerance))
        self.tolerance = tolerance
        self.committed = {}
        self.accepted = set()
        self.pending = {}
        self.acked_index = 0
        self.on_ack = None
        # Whether entries are proposed all the while.
        self.proposes = True
        # Proposed again and again once it is set.
        self.last_proposal = ""
        self.history = []
        self.cuts = []
        self.busy_slots = set()
        self._events = []
        self._numbers = itertools.count()
        self._proposal_numbers = itertools.count()
        self._next_proposal_s = 0.0
        self._leader_until_s = 0.0
        self._address_numbers = itertools.count(1)
        self.hosts = {}
        self._former_addresses = []
        addresses = [self.new_address() for _ in range(size)]
        for slot, address in enumerate(addresses):
            self.hosts[address] = LossHost(
                address, slot, self.rng, addresses[:SEED_COUNT]
            )
        self._former_addresses.append((0.0, tuple(self.hosts)))
        members = [host.member() for host in self.hosts.values()]
        for host in self.hosts.values():
            host.disk.entries = [LogEntry(1, 0, EntryKind.MEMBERS, b"", members)]
            host.has_joined = True
            self.start_host(host)

    def new_address(self):
        return f"h{next(self._address_numbers)}"

    # ---- events ----

    def at(self, delay_s, function, *arguments):
        """Schedule a call."""
        event = (self.now_s + delay_s, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def step(self):
        """Handle the events of one tick interval, then tick all hosts."""
        end_s = self.now_s + STEP_S
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
            self.check_single_leader()
        self.now_s = end_s
        for host in self.running_hosts():
            self.tick_host(host)
        if self.proposes and self.now_s >= self._next_proposal_s:
            self._next_proposal_s = self.now_s + PROPOSAL_INTERVAL_S
            self.propose(f"change-{next(self._proposal_numbers)}")
            if self.last_proposal:
                self.propose(self.last_proposal)
        self.check_single_leader()
        self.check_leader_knows_acknowledged_entries()
        self.check_service_is_not_interrupted_for_long()

    def note(self, text):
        """Record a fault for the message of a failed check."""
        self.history.append(f"{self.now_s:.2f} {text}")

    # ---- network ----

    def are_connected(self, address, other):
        self.cuts = [item for item in self.cuts if item[0] > self.now_s]
        return not any((address in side) != (other in side) for _, side in self.cuts)

    def send(self, host, address, message):
        delay_s = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self.at(delay_s, self.deliver_message, host.address, address, message)

    def deliver_message(self, source, address, message):
        host = self.hosts.get(address)
        if host is None or host.consensus is None:
            return
        if not self.are_connected(source, address):
            return
        if host.frozen_until_s > self.now_s:
            thaw_s = host.frozen_until_s - self.now_s
            self.at(thaw_s, self.deliver_message, source, address, message)
            return
        if isinstance(message, VoteReply):
            self.note_answering_member(host, source, message.voter_id)
        self.flush(host, self.answer(host, message), source)

    def note_answering_member(self, host, address, member_id):
        now_s = self.local_time_s(host)
        asked = [
            *host.consensus.voters(),
            *host.consensus._voters_before_unknown_commit(),
        ]
        for voter in asked:
            if voter.address == address:
                host.consensus.note_answering_member(voter, member_id, now_s)

    def answer(self, host, message):
        """Handle a message like the node; return the reply if it is a request."""
        now_s = self.local_time_s(host)
        if isinstance(message, HelloRequest):
            return self.on_hello(host, message, now_s)
        if isinstance(message, HelloReply):
            self.on_hello_reply(host, message, now_s)
            return None
        if isinstance(message, VoteRequest) and not host.has_joined:
            term = host.consensus.term
            return VoteReply(term, host.member_id, False, message.pre_vote)
        if not isinstance(message, (VoteReply, AppendReply)):
            host.has_joined = True
        return host.consensus.receive(message, now_s)

    # ---- disks ----

    def delays_write(self, host, output, reply, to):
        """Return whether the disk is full; the host stands still until it is not."""
        for_s = host.disk_full_until_s - self.now_s
        if not (output.records or output.install) or for_s <= 0:
            return False
        host.frozen_until_s = max(host.frozen_until_s, host.disk_full_until_s)
        arguments = host, host.consensus, output, reply, to
        self.at(for_s, self.finish_write, *arguments)
        return True

    def finish_write(self, host, consensus, output, reply, to):
        """Go on with a step whose write the disk has refused until now."""
        if host.consensus is not consensus:
            return
        if host.disk_full_until_s > self.now_s:
            for_s = host.disk_full_until_s - self.now_s
            self.at(for_s, self.finish_write, host, consensus, output, reply, to)
            return
        self.write(host, output, reply, to)
        self.flush(host)

    # ---- the node's ticks and hellos ----

    def tick_host(self, host):
        now_s = self.local_time_s(host)
        host.consensus.tick(now_s)
        if host.consensus.should_send_hello() and now_s >= host.next_hello_s:
            has_leader_contact = host.consensus.has_leader_contact(now_s)
            host.next_hello_s = now_s + (
                HELLO_INTERVAL_WITH_LEADER_S if has_leader_contact else HELLO_INTERVAL_S
            )
            self.send_hello(host, now_s)
        if host.is_stopping and now_s >= host.next_stopping_s:
            self.give_up_vote(host, now_s)
        if host.consensus.role == "leader":
            old_voter_ids = {voter.member_id for voter in host.consensus.voters()}
            commit_index = host.consensus.commit_index
            self.step_membership(host, now_s)
            self.check_new_voters(
                self.existing(host.consensus.voters()), old_voter_ids, commit_index
            )
            self.send_hello_to_seeds(host, now_s)
        self.flush(host)

    def step_membership(self, leader_host, now_s):
        """Let a leader change the members, like the node on each tick."""
        consensus = leader_host.consensus
        consensus.remove_learners(
            consensus.unresponsive_members(now_s, LEARNER_TIMEOUT_S)
        )
        consensus.change_members(LossTolerance(self.tolerance), now_s)

    def begin_stop(self, host):
        """Tell a running host that it has to stop (SIGTERM)."""
        host.is_stopping = True
        self.give_up_vote(host, self.local_time_s(host))
        self.flush(host)

    def give_up_vote(self, host, now_s):
        host.next_stopping_s = now_s + STOPPING_INTERVAL_S
        leader_address = host.consensus.leader_address
        if host.consensus.transfer_leadership(now_s):
            return
        if leader_address not in ("", host.address):
            request = HelloRequest(host.member(), not host.has_joined, stopping=True)
            self.send(host, leader_address, request)

    def may_end(self, host):
        """Return whether a stopping host ends by itself before its grace is over."""
        consensus = host.consensus
        tolerance = LossTolerance(self.tolerance)
        return consensus is None or not consensus.has_spare_vote(tolerance)

    def send_hello(self, host, now_s):
        request = HelloRequest(
            host.member(), not host.has_joined, stopping=host.is_stopping
        )
        targets = {*host.seeds, host.advertised_leader}
        targets.update(voter.address for voter in host.consensus.voters())
        if host.consensus.has_leader_contact(now_s):
            targets = {host.consensus.leader_address, host.advertised_leader}
        for address in sorted(targets - {host.address, ""}):
            self.send(host, address, request)

    def send_hello_to_seeds(self, host, now_s):
        if now_s < host.next_hello_s:
            return
        host.next_hello_s = now_s + HELLO_INTERVAL_WITH_LEADER_S
        followers = {item.member.address for item in host.consensus.progress.values()}
        request = HelloRequest(host.member(), not host.has_joined, True)
        for address in sorted(set(host.seeds) - followers - {host.address}):
            self.send(host, address, request)

    def on_hello(self, host, request, now_s):
        if request.leads and not host.consensus.has_leader_contact(now_s):
            host.advertised_leader = request.member.address
            host.next_hello_s = now_s
        if host.consensus.role == "leader":
            host.consensus.add_learner(request.member, now_s)
            if request.stopping:
                host.consensus.note_stopping(request.member, now_s)
        return HelloReply(
            host.member(), not host.has_joined, host.consensus.leader_address
        )

    def on_hello_reply(self, host, reply, now_s):
        if reply.leader_address and reply.leader_address != host.advertised_leader:
            host.advertised_leader = reply.leader_address
            host.next_hello_s = now_s

    # ---- starts and ends ----

    def current_seeds(self):
        """Return seeds that were current up to ``SEED_LAG_S`` ago."""
        at_s = self.now_s - self.rng.uniform(0.0, SEED_LAG_S)
        addresses = self._former_addresses[0][1]
        for since_s, later_addresses in self._former_addresses:
            if since_s <= at_s:
                addresses = later_addresses
        return self.rng.sample(addresses, min(SEED_COUNT, len(addresses)))

    def kill(self, host):
        """End the process of a host; its disk is kept."""
        self.crash(host)

    def start_later(self, host, delay_s):
        self.at(delay_s, self.start_process, host)

    def start_process(self, host):
        if self.hosts.get(host.address) is not host or host.consensus is not None:
            return
        host.reset_process()
        if self.rng.random() < 0.5:
            host.seeds = tuple(self.current_seeds())
        self.start_host(host)

    def add_successor(self, slot):
        """Add an empty host at a new address; its process starts later."""
        host = LossHost(self.new_address(), slot, self.rng, self.current_seeds())
        self.hosts[host.address] = host
        self._former_addresses.append((self.now_s, tuple(self.hosts)))
        self.note(f"{host.address} starts in slot {slot}")
        self.start_later(host, PROCESS_START_S)
        return host

    def remove(self, host):
        """End a host for good."""
        self.note(f"{host.address} is gone")
        self.kill(host)
        del self.hosts[host.address]
        self._former_addresses.append((self.now_s, tuple(self.hosts)))

    # ---- checks ----

    def apply(self, host, entries):
        accepted = len(self.accepted)
        super().apply(host, entries)
        if len(self.accepted) > accepted:
            self.acked_index = max(self.acked_index, entries[-1].index)
            if self.on_ack is not None:
                on_ack, self.on_ack = self.on_ack, None
                self.at(0.0, on_ack)

    def existing(self, members):
        """Return the members that are neither gone nor wiped."""
        ids = {host.member_id for host in self.hosts.values()}
        return [member for member in members if member.member_id in ids]

    def check_leader_knows_acknowledged_entries(self):
        for host in self.serving_hosts():
            applied_index = self.applied_index(host)
            assert (
                applied_index >= self.acked_index
            ), f"{host.address} serves {applied_index} of {self.acked_index} entries"

    def check_service_is_not_interrupted_for_long(self):
        """Check that there is a leader, unless the losses suspend the service."""
        if self.leader() is not None or self.rule.suspends_service(self.now_s):
            self._leader_until_s = self.now_s
        without_leader_s = self.now_s - self._leader_until_s
        assert without_leader_s <= self.rule.recovery_s, "there is no leader"

    def has_recovered(self):
        """Return whether the last entry is committed and all hosts hold all entries."""
        if self.leader() is None or self.last_proposal not in self.accepted:
            return False
        return all(
            host.consensus is not None and self.accepted <= set(host.applied)
            for host in self.hosts.values()
        )

    def describe(self):
        """Return the members known to each host."""
        lines = []
        for host in self.hosts.values():
            if host.consensus is None:
                lines.append(f"{host.address}: down")
                continue
            addresses = [voter.address for voter in host.consensus.voters()]
            lines.append(
                f"{host.address}: {host.consensus.role}, term {host.consensus.term}, "
                f"log {host.consensus.log.last_index}, voters {addresses}"
            )
        return "\n".join(lines)


class Losses:
    """Draws losses that the rule allows."""

    KINDS = (
        ("restart", 3),
        ("stop", 2),
        ("freeze", 2),
        ("cut", 2),
        ("gone", 5),
        ("stop_for_good", 2),
        ("replace", 4),
        ("wipe", 4),
        ("kill_all", 1),
        ("power_all", 1),
        ("split", 1),
    )
    DISK_KINDS = ("gone", "stop_for_good", "wipe")

    def __init__(self, group, overlap_share, *, stopping_counts=True):
        self.group = group
        # Whether a replaced host counts as lost from SIGTERM until it ends.
        self.stopping_counts = stopping_counts
        self.rng = group.rng
        self.rule = group.rule
        self.overlap_share = overlap_share
        self.pending = 0

    def draw(self):
        """Begin a random loss, as soon as the rule allows it, within some seconds."""
        kinds, weights = zip(*self.KINDS, strict=True)
        kind = self.rng.choices(kinds, weights)[0]
        overlap = self.rng.random() < self.overlap_share
        if kind in ("kill_all", "power_all", "split"):
            if overlap:
                getattr(self, kind)()
            return
        self.begin_when_allowed(kind, self.rng.choice([0.0, 4.0, 8.0]), overlap=overlap)

    def begin_when_allowed(self, kind, patience_s, *, overlap=False):
        """Begin a loss of a random host; return whether the rule allowed it in time."""
        until_s = self.group.now_s + patience_s
        while not self._begin(kind, overlap=overlap):
            if self.group.now_s >= until_s:
                return False
            self.group.step()
        return True

    def _begin(self, kind, *, overlap):
        group = self.group
        is_disk = kind in self.DISK_KINDS
        hosts = [
            host
            for host in group.running_hosts()
            if host.slot not in group.busy_slots
            and self.rule.allows(
                host.slot,
                group.now_s,
                disk=host.address if is_disk else None,
                overlap=overlap,
            )
        ]
        if not hosts:
            return False
        host = self.rng.choice(hosts)
        leaders = [item for item in hosts if item.consensus.role == "leader"]
        if leaders and self.rng.random() < 0.3:
            host = leaders[0]
        group.note(f"{kind} {host.address} of {sorted(group.hosts)}")
        group.busy_slots.add(host.slot)
        self.pending += 1
        getattr(self, kind)(host)
        return True

    def _lose(self, host, *, disk=False):
        lost_disk = host.address if disk else None
        self.rule.lose(host.slot, self.group.now_s, disk=lost_disk)

    def _end(self, host):
        """End the loss of a host: from now on it catches up."""
        self.rule.give_back(host.slot, self.group.now_s)
        self._release(host)

    def _release(self, host):
        self.group.busy_slots.discard(host.slot)
        self.pending -= 1

    def _start_and_end(self, host, delay_s):
        self.group.at(delay_s, self._end, host)
        self.group.start_later(host, delay_s + PROCESS_START_S)

    # ---- losses of one host ----

    def restart(self, host):
        self._lose(host)
        self.group.kill(host)
        self._start_and_end(host, self.rng.uniform(0.3, 3.0))

    def stop(self, host):
        """Restart after SIGTERM."""
        self._lose(host)
        self.group.begin_stop(host)

        def kill():
            self.group.kill(host)
            self._start_and_end(host, self.rng.uniform(0.3, 3.0))

        self.group.at(self.rng.uniform(0.1, 4.0), kill)

    def freeze(self, host):
        self._lose(host)
        for_s = self.rng.uniform(0.3, 6.0)
        host.frozen_until_s = self.group.now_s + for_s
        self.group.at(for_s, self._end, host)

    def cut(self, host):
        self._lose(host)
        for_s = self.rng.uniform(0.3, 6.0)
        self.group.cuts.append((self.group.now_s + for_s, {host.address}))
        self.group.at(for_s, self._end, host)

    def gone(self, host):
        self._lose(host, disk=True)
        self._remove_and_replace(host)

    def stop_for_good(self, host):
        """Remove a host after SIGTERM; its successor comes afterwards."""
        self._lose(host, disk=True)
        self.group.begin_stop(host)
        delay_s = self.rng.uniform(0.1, MAX_STOP_S)
        self.group.at(delay_s, self._remove_and_replace, host)

    def _remove_and_replace(self, host):
        self.group.remove(host)

        def start_successor():
            self.group.add_successor(host.slot)
            self._end(host)

        self.group.at(self.rng.uniform(0.3, 2.5), start_successor)

    def replace(self, host):
        """Start the successor first, then stop the old host for good."""
        group = self.group
        self._lose(host)
        group.add_successor(host.slot)
        self.rule.give_back(host.slot, group.now_s)

        def stop():
            is_replaced = host.slot not in self.rule.lost(group.now_s)
            is_allowed = self.rule.allows(host.slot, group.now_s, disk=host.address)
            if not (is_allowed if self.stopping_counts else is_replaced):
                group.at(STEP_S, stop)
                return
            if self.stopping_counts:
                self._lose(host, disk=True)
            if host.consensus is not None:
                group.begin_stop(host)
            grace_end_s = group.now_s + MAX_STOP_S
            group.at(self.rng.uniform(1.0, MAX_STOP_S), end, grace_end_s)

        def end(grace_end_s):
            if group.now_s < grace_end_s and not group.may_end(host):
                group.at(STEP_S, end, grace_end_s)
                return
            group.remove(host)
            if self.stopping_counts:
                self.rule.give_back(host.slot, group.now_s, catches_up=False)
            self._release(host)

        group.at(self.rng.uniform(0.0, 6.0), stop)

    def wipe(self, host):
        self._lose(host, disk=True)
        self.group.kill(host)
        host.reset_disk()
        self._start_and_end(host, self.rng.uniform(0.3, 2.0))

    # ---- losses of many hosts ----

    def _end_all(self, kind, min_s, max_s, wiped=()):
        group = self.group
        group.note(f"{kind}, wiped {[host.address for host in wiped]}")
        for host in list(group.hosts.values()):
            if host.consensus is None:
                continue
            self._lose(host, disk=host in wiped)
            group.kill(host)
            if host in wiped:
                host.reset_disk()
            delay_s = self.rng.uniform(min_s, max_s)
            self.pending += 1
            group.at(delay_s, self._give_back, host)
            group.start_later(host, delay_s + PROCESS_START_S)

    def _give_back(self, host):
        self.rule.give_back(host.slot, self.group.now_s)
        self.pending -= 1

    def kill_all(self):
        self._end_all("all are killed", 0.0, 0.6)

    def power_all(self):
        self._end_all("all lose power", 0.5, 2.0)

    def split(self):
        group = self.group
        group.note("the group is split")
        for_s = self.rng.uniform(1.0, 5.0)
        hosts = list(group.hosts.values())
        side = {host.address for host in self.rng.sample(hosts, len(hosts) // 2)}
        group.cuts.append((group.now_s + for_s, side))
        for host in hosts:
            self.rule.lose(host.slot, group.now_s)
            self.pending += 1
            group.at(for_s, self._give_back, host)

    def wipe_and_power_off(self):
        """Lose as many disks as the rule still allows, and the power of all others."""
        lost_disks = self.rule.lost_disks(self.group.now_s)
        hosts = [
            host for host in self.group.hosts.values() if host.address not in lost_disks
        ]
        count = min(self.rule.tolerance - len(lost_disks), len(hosts))
        wiped = self.rng.sample(hosts, max(count, 0))
        self._end_all("all lose power", 0.5, 2.0, wiped)


def run_losses(
    seed,
    tolerance,
    size=None,
    duration_s=40.0,
    overlap_share=0.15,
    *,
    stopping_counts=True,
):
    """Run a group through losses that the rule allows and check that none breaks it.

    Return the group; an AssertionError tells the losses of a failed run.
    """
    rng = random.Random(seed)
    size = size or rng.choice(SIZES_BY_TOLERANCE[tolerance])
    group = LossGroup(rng.random(), size, tolerance)
    losses = Losses(group, overlap_share, stopping_counts=stopping_counts)
    with explained_failures(group, seed):
        _run_losses(group, losses, duration_s)
    return group


def run_series(seed, tolerance, size, kind, count):
    """Lose hosts in one way, each as soon as the rule allows it, and check the group.

    Return the group; an AssertionError tells the losses of a failed run.
    """
    group = LossGroup(seed, size, tolerance)
    losses = Losses(group, overlap_share=0.0)
    with explained_failures(group, seed):
        group.run(3.0)
        for _ in range(count):
            assert losses.begin_when_allowed(kind, 30.0), "no loss is allowed"
        run_until_all_back(group, losses)
        _check_recovery(group)
    return group


def run_wipes_after_removal(seed, tolerance, size, between_s):
    """Remove a host whose successor has caught up, then lose the tolerated disks.

    The removed host does not count as lost. Return the group.
    """
    group = LossGroup(seed, size, tolerance)
    with explained_failures(group, seed):
        group.run(3.0)
        replaced = group.rng.choice(list(group.hosts.values()))
        group.add_successor(replaced.slot)
        group.run(2 * group.rule.catch_up_s)
        group.remove(replaced)
        group.run(between_s)
        wiped = group.rng.sample(list(group.hosts.values()), tolerance)
        for host in wiped:
            group.note(f"{host.address} loses its disk")
            group.kill(host)
            host.reset_disk()
            group.start_later(host, group.rng.uniform(0.1, 1.0))
        _check_recovery(group)
    return group


def run_overlap_of_even_voters(seed, size):
    """Cut hosts off while an even number of them vote, and lose one disk meanwhile.

    Nothing acknowledged may be lost, however the cuts overlap. Return the group.
    """
    group = LossGroup(seed, size, 1)
    rng = group.rng
    with explained_failures(group, seed):
        group.run(3.0)
        if size % 2:
            group.add_successor(0)
        group.run(rng.choice([rng.uniform(0.5, 1.0), 3.0]))
        wipe_s = group.now_s + rng.uniform(0.5, 6.0)
        end_s = group.now_s + 8.0
        is_wiped = False
        while group.now_s < end_s:
            hosts = list(group.hosts.values())
            side = rng.sample(hosts, rng.choice([1, 1, 2]))
            for_s = rng.uniform(0.2, 4.0)
            addresses = {host.address for host in side}
            group.note(f"{sorted(addresses)} are cut off for {for_s:.2f} s")
            group.cuts.append((group.now_s + for_s, addresses))
            for host in hosts:
                group.rule.lose(host.slot, group.now_s)
                group.at(for_s, group.rule.give_back, host.slot, group.now_s)
            group.run(rng.uniform(0.1, 2.0))
            if not is_wiped and group.now_s >= wipe_s:
                is_wiped = True
                host = rng.choice(hosts)
                group.note(f"{host.address} loses its disk")
                group.kill(host)
                host.reset_disk()
                group.start_later(host, rng.uniform(0.1, 0.7))
        group.cuts = []
        group.run(5.0)
        _check_recovery(group)
    return group


def run_full_disks(seed, tolerance, size, rounds=3):
    """Let the disk of one host after the other refuse writes, then wait for calm.

    Each is full for some seconds, never two at once. Hosts may be replaced meanwhile.
    Return the group.
    """
    group = LossGroup(seed, size, tolerance)
    losses = Losses(group, overlap_share=0.0)
    rng = group.rng
    with explained_failures(group, seed):
        group.run(3.0)
        for _ in range(rounds):
            hosts = list(group.hosts.values())
            rng.shuffle(hosts)
            for host in hosts:
                for_s = rng.uniform(1.0, 5.0)
                group.note(f"the disk of {host.address} is full for {for_s:.2f} s")
                group.rule.lose(host.slot, group.now_s)
                host.disk_full_until_s = group.now_s + for_s
                group.run(for_s + rng.choice([0.0, rng.uniform(0.0, 2.0)]))
                group.rule.give_back(host.slot, group.now_s)
        run_until_all_back(group, losses)
        _check_recovery(group)
        before = len(group.accepted)
        group.run(CALM_S)
        assert len(group.accepted) > before, "no change is accepted in the calm"
    return group


@contextlib.contextmanager
def explained_failures(group, seed):
    """Add the losses and the hosts' states to the message of a failed check."""
    size = len(group.hosts)
    try:
        yield
    except AssertionError as error:
        history = "\n".join(group.history)
        raise AssertionError(
            f"{error}\nseed {seed}, tolerance {group.tolerance}, {size} hosts\n"
            f"{history}\n{group.now_s:.2f} at the end:\n{group.describe()}"
        ) from error


def _run_losses(group, losses, duration_s):
    rng = group.rng
    group.run(3.0)
    assert group.leader() is not None, "the group has no leader at first"
    while group.now_s < duration_s:
        losses.draw()
        group.run(rng.choice([0.0, rng.expovariate(1.0), rng.uniform(0.0, 6.0)]))
    run_until_all_back(group, losses)
    if rng.random() < 0.7:
        group.run(rng.choice([0.0, group.rule.catch_up_s]) + rng.random())
        acked = []
        group.on_ack = lambda: (acked.append(True), losses.wipe_and_power_off())
        run_until(group, lambda: acked, "nothing was acknowledged")
        run_until_all_back(group, losses)
    _check_recovery(group)


def _check_recovery(group):
    group.note("all are back")
    group.last_proposal = "after-all-losses"
    run_until(group, group.has_recovered, "the group did not recover")


def run_until_all_back(group, losses):
    while losses.pending:
        group.step()
    group.run(PROCESS_START_S)


def run_until(group, is_done, failure):
    deadline_s = group.now_s + group.rule.recovery_s
    while not is_done():
        assert group.now_s < deadline_s, failure
        group.step()
