"""A simulated group with a fake network, fake disks and virtual time."""

import json
import random

from damaskvalve_core.messages import EntryKind, HardState, LogEntry, Member
from damaskvalve_state import Consensus, Log, Timing, empty_snapshot, next_fixed_members
from damaskvalve_state._state_access import AppliedState, StateAccess

STEP_S = 0.03
MAX_DELAY_S = 0.2
CLOCK_RATES = (0.97, 1.0, 1.03)


class Disk:
    """The data that a member has synced."""

    def __init__(self):
        self.snapshot = empty_snapshot()
        self.entries = []
        self.hard_state = HardState(0, "")

    def write(self, output):
        if output.install is not None:
            self.snapshot = output.install
            self.entries = []
        for record in output.records:
            if record.hard_state is not None:
                self.hard_state = record.hard_state
            if record.truncate_from_index is not None:
                start = record.truncate_from_index
                self.entries = [item for item in self.entries if item.index < start]
            if record.entry is not None:
                self.entries.append(record.entry)


class Host:
    """A control host whose disk survives crashes; its consensus state does not."""

    def __init__(self, address, rng):
        self.address = address
        self.clock_rate = rng.choice(CLOCK_RATES)
        self.disk_generation = 0
        self.disk = Disk()
        self.consensus = None
        self.frozen_until_s = 0.0
        self.applied = []
        # The index of the last entry that is in ``applied``.
        self.applied_index = 0

    def capture(self):
        """Return the applied state, as the driver does."""
        data = json.dumps(self.applied).encode()
        return AppliedState(self.applied_index, data)

    def member(self):
        return Member(f"{self.address}#{self.disk_generation}", self.address, "dc")


class FakeGroup:
    """Drives members like the real driver and injects faults."""

    def __init__(self, seed, size, loss=0.1, crash_rate=0.002, max_delay_s=MAX_DELAY_S):
        self.rng = random.Random(seed)
        self.max_delay_s = max_delay_s
        self.now_s = 0.0
        self.loss = loss
        self.crash_rate = crash_rate
        self.timing = Timing(election_timeout_s=1.0, heartbeat_s=0.15)
        self.hosts = {f"h{n}": Host(f"h{n}", self.rng) for n in range(size)}
        self.queue = []
        self.cut_links = set()
        self.committed = {}
        self.accepted = set()
        self.pending = {}
        members = [host.member() for host in self.hosts.values()]
        for host in self.hosts.values():
            host.disk.entries = [LogEntry(1, 0, EntryKind.MEMBERS, b"", members)]
            self.start_host(host)

    # ---- starts and crashes ----

    def local_time_s(self, host):
        return self.now_s * host.clock_rate

    def start_host(self, host):
        disk = host.disk
        log = Log(disk.snapshot, list(disk.entries))
        host.applied = json.loads(disk.snapshot.data or b"[]")
        host.applied_index = disk.snapshot.last_index
        rng = random.Random(self.rng.random())
        host.consensus = Consensus(
            host.member(),
            log,
            disk.hard_state,
            self.timing,
            rng,
            self.local_time_s(host),
            StateAccess(host.capture, lambda data: True),
        )

    def crash(self, host):
        host.consensus = None

    def lose_disk(self, host):
        host.consensus = None
        host.disk = Disk()
        host.disk_generation += 1

    def serving_hosts(self):
        return [
            h
            for h in self.running_hosts()
            if h.consensus.may_serve(self.local_time_s(h))
        ]

    def leader(self):
        serving_hosts = self.serving_hosts()
        return serving_hosts[0] if serving_hosts else None

    def running_hosts(self):
        return [
            h
            for h in self.hosts.values()
            if h.consensus is not None and h.frozen_until_s <= self.now_s
        ]

    # ---- steps ----

    def flush(self, host, reply=None, to=None):
        """Write, send and apply like the driver; may crash in between."""
        while host.consensus is not None:
            output = host.consensus.take_output()
            for member, message in output.early_messages:
                self.send(host, member.address, message)
            if output.records and self.rng.random() < self.crash_rate:
                self.crash(host)
                return
            if self.delays_write(host, output, reply, to):
                return
            self.write(host, output, reply, to)
            reply = None
            work = output.records or output.early_messages or output.messages
            if not (work or output.committed):
                return

    def delays_write(self, host, output, reply, to):
        """Return whether the disk refuses the write now; it is then made later."""
        return False

    def write(self, host, output, reply, to):
        """Write the records of a step, then send its messages and apply its entries."""
        host.disk.write(output)
        if output.install is not None:
            host.applied = json.loads(output.install.data or b"[]")
            host.applied_index = output.install.last_index
        log = host.consensus.log
        host.consensus.record_synced(log.last_index, self.local_time_s(host))
        for member, message in output.messages:
            self.send(host, member.address, message)
        if reply is not None:
            self.send(host, to, reply)
        self.apply(host, output.committed)

    def apply(self, host, entries):
        for entry in entries:
            first_committed = self.committed.setdefault(entry.index, entry)
            is_same = (first_committed.term, first_committed.command) == (
                entry.term,
                entry.command,
            )
            assert is_same, f"different entries committed at index {entry.index}"
            host.applied_index = entry.index
            if entry.kind == EntryKind.COMMAND:
                host.applied.append(entry.command.decode())
                proposal = self.pending.get((entry.index, entry.term))
                if proposal is not None and proposal[0] is host.consensus:
                    self.accepted.add(proposal[1])
        if host.consensus and len(host.consensus.log.entries_after_snapshot()) > 40:
            self.compact(host)

    def compact(self, host):
        consensus = host.consensus
        data = json.dumps(host.applied).encode()
        index = min(consensus.commit_index, self.applied_index(host))
        snapshot = consensus.compact(index, data)
        host.disk.snapshot = snapshot
        host.disk.entries = [
            item for item in host.disk.entries if item.index > snapshot.last_index
        ]

    @staticmethod
    def applied_index(host):
        return host.consensus._applied_index

    def send(self, host, address, message):
        if self.rng.random() < self.loss or (host.address, address) in self.cut_links:
            return
        copies = 2 if self.rng.random() < 0.05 else 1
        for _ in range(copies):
            at_s = self.now_s + self.rng.random() * self.max_delay_s
            self.queue.append((at_s, host.address, address, message))

    def deliver(self):
        due = [item for item in self.queue if item[0] <= self.now_s]
        self.queue = [item for item in self.queue if item[0] > self.now_s]
        self.rng.shuffle(due)
        for _, source, address, message in due:
            host = self.hosts[address]
            if host.frozen_until_s > self.now_s:
                delayed = (host.frozen_until_s, source, address, message)
                self.queue.append(delayed)
            elif host.consensus is not None:
                reply = host.consensus.receive(message, self.local_time_s(host))
                self.flush(host, reply, source)

    def step(self):
        self.now_s += STEP_S
        self.deliver()
        for host in self.running_hosts():
            host.consensus.tick(self.local_time_s(host))
            self.flush(host)
        self.change_members()
        self.check_single_leader()

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def check_single_leader(self):
        serving_hosts = self.serving_hosts()
        assert (
            len(serving_hosts) <= 1
        ), f"more than one leader serves: {[h.address for h in serving_hosts]}"

    def change_members(self):
        """Let non-voters join and the leader change members, like the node."""
        leader = next(
            (h for h in self.running_hosts() if h.consensus.role == "leader"), None
        )
        if leader is None:
            return
        for host in self.running_hosts():
            if host.consensus.should_send_hello() and self.rng.random() < 0.1:
                if (host.address, leader.address) not in self.cut_links:
                    member = host.member()
                    leader.consensus.add_learner(member, self.local_time_s(leader))
        learners = leader.consensus.caught_up_learners()
        change = next_fixed_members(
            leader.consensus.voters(), learners, list(self.hosts)
        )
        if change is not None:
            new_members = change.members
            old_voter_ids = {member.member_id for member in leader.consensus.voters()}
            if leader.consensus.propose_members(change, self.local_time_s(leader)):
                self.check_new_voters(
                    new_members, old_voter_ids, leader.consensus.commit_index
                )
        self.flush(leader)

    def check_new_voters(self, members, old_voter_ids, commit_index):
        """Check that the disk of each new voter holds all committed entries."""
        for member in members:
            if member.member_id not in old_voter_ids:
                disk = self.hosts[member.address].disk
                disk_index = disk.entries[-1].index if disk.entries else 0
                disk_index = max(disk_index, disk.snapshot.last_index)
                assert disk_index >= commit_index, "a new voter lacks committed entries"

    # ---- test control ----

    def propose(self, text):
        leaders = [h for h in self.running_hosts() if h.consensus.role == "leader"]
        for host in leaders:
            indexes = host.consensus.propose([text.encode()], self.local_time_s(host))
            for index in indexes:
                key = (index, host.consensus.term)
                self.pending[key] = (host.consensus, text)
            self.flush(host)

    def is_fully_replicated(self):
        """Return whether all hosts run, vote and hold all committed entries."""
        ids = {host.member().member_id for host in self.hosts.values()}
        leader = self.leader()
        if leader is None or len(self.running_hosts()) < len(self.hosts):
            return False
        voters = {member.member_id for member in leader.consensus.voters()}
        progress = leader.consensus.progress.values()
        is_stable = leader.consensus.may_change_members()
        required_index = leader.consensus.commit_index
        return (
            voters == ids
            and is_stable
            and all(p.match_index >= required_index for p in progress)
        )

    def start_all_hosts(self):
        for host in self.hosts.values():
            if host.consensus is None:
                self.start_host(host)

    def heal(self, seconds=40):
        """End all faults and run until every host has caught up."""
        self.cut_links = set()
        self.loss = 0.0
        for host in self.hosts.values():
            host.frozen_until_s = 0.0
        for _ in range(int(seconds / STEP_S)):
            self.start_all_hosts()
            self.step()
            if self.is_fully_replicated() and not any(
                host.consensus.commit_index < self.leader().consensus.commit_index
                for host in self.hosts.values()
            ):
                return
        raise AssertionError("the group did not recover within the time limit")
