"""A group of members over a fake network and fake disks, in virtual time."""

import json
import random

from damaskvalve_core.messages import EntryKind, HardState, LogEntry, Member
from damaskvalve_state import Consensus, Log, Timing, empty_snapshot, next_members

STEP_S = 0.03
MAX_DELAY_S = 0.2
DRIFTS = (0.97, 1.0, 1.03)


class Disk:
    """What a member has synced."""

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
    """One control host: its disk survives crashes, its member does not."""

    def __init__(self, address, rng):
        self.address = address
        self.rate = rng.choice(DRIFTS)
        self.lives = 0
        self.disk = Disk()
        self.consensus = None
        self.frozen_until_s = 0.0
        self.applied = []

    def member(self):
        return Member(f"{self.address}#{self.lives}", self.address, "dc")


class FakeGroup:
    """Drives members the way the real driver does, with faults in between."""

    def __init__(
        self, seed, size, loss=0.1, crash_rate=0.002, most_delay_s=MAX_DELAY_S
    ):
        self.rng = random.Random(seed)
        self.most_delay_s = most_delay_s
        self.now_s = 0.0
        self.loss = loss
        self.crash_rate = crash_rate
        self.timing = Timing(election_timeout_s=1.0, heartbeat_s=0.15)
        self.hosts = {f"h{n}": Host(f"h{n}", self.rng) for n in range(size)}
        self.queue = []
        self.cut = set()
        self.committed = {}
        self.accepted = set()
        self.pending = {}
        members = [host.member() for host in self.hosts.values()]
        for host in self.hosts.values():
            host.disk.entries = [LogEntry(1, 0, EntryKind.MEMBERS, b"", members)]
            self.boot(host)

    # ---- lives of hosts ----

    def local(self, host):
        return self.now_s * host.rate

    def boot(self, host):
        disk = host.disk
        log = Log(disk.snapshot, list(disk.entries))
        host.applied = json.loads(disk.snapshot.data or b"[]")
        rng = random.Random(self.rng.random())
        host.consensus = Consensus(
            host.member(),
            log,
            disk.hard_state,
            self.timing,
            rng,
            self.local(host),
        )

    def crash(self, host):
        host.consensus = None

    def lose_disk(self, host):
        host.consensus = None
        host.disk = Disk()
        host.lives += 1

    def serving(self):
        return [h for h in self.up() if h.consensus.may_serve(self.local(h))]

    def leader(self):
        serving = self.serving()
        return serving[0] if serving else None

    def up(self):
        return [
            h
            for h in self.hosts.values()
            if h.consensus is not None and h.frozen_until_s <= self.now_s
        ]

    # ---- steps ----

    def flush(self, host, reply=None, to=None):
        """Write, send and apply as the driver does; may crash halfway."""
        while host.consensus is not None:
            output = host.consensus.take_output()
            for member, message in output.early_messages:
                self.send(host, member.address, message)
            if output.records and self.rng.random() < self.crash_rate:
                self.crash(host)
                return
            host.disk.write(output)
            if output.install is not None:
                host.applied = json.loads(output.install.data or b"[]")
            log = host.consensus.log
            host.consensus.synced(log.last_index, self.local(host))
            for member, message in output.messages:
                self.send(host, member.address, message)
            if reply is not None:
                self.send(host, to, reply)
                reply = None
            self.apply(host, output.committed)
            work = output.records or output.early_messages or output.messages
            if not (work or output.committed):
                return

    def apply(self, host, entries):
        for entry in entries:
            known = self.committed.setdefault(entry.index, entry)
            same = (known.term, known.command) == (entry.term, entry.command)
            assert same, f"two entries committed at {entry.index}"
            if entry.kind == EntryKind.COMMAND:
                host.applied.append(entry.command.decode())
                proposed = self.pending.get((entry.index, entry.term))
                if proposed is not None and proposed[0] is host.consensus:
                    self.accepted.add(proposed[1])
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
        if self.rng.random() < self.loss or (host.address, address) in self.cut:
            return
        copies = 2 if self.rng.random() < 0.05 else 1
        for _ in range(copies):
            at_s = self.now_s + self.rng.random() * self.most_delay_s
            self.queue.append((at_s, host.address, address, message))

    def deliver(self):
        due = [item for item in self.queue if item[0] <= self.now_s]
        self.queue = [item for item in self.queue if item[0] > self.now_s]
        self.rng.shuffle(due)
        for _, source, address, message in due:
            host = self.hosts[address]
            if host.frozen_until_s > self.now_s:
                late = (host.frozen_until_s, source, address, message)
                self.queue.append(late)
            elif host.consensus is not None:
                reply = host.consensus.receive(message, self.local(host))
                self.flush(host, reply, source)

    def step(self):
        self.now_s += STEP_S
        self.deliver()
        for host in self.up():
            host.consensus.tick(self.local(host))
            self.flush(host)
        self.repair()
        self.check_one_server()

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def check_one_server(self):
        serving = self.serving()
        assert len(serving) <= 1, f"two leaders serve: {[h.address for h in serving]}"

    def repair(self):
        """Let non-voters join and the leader change members, as the node does."""
        leader = next((h for h in self.up() if h.consensus.role == "leader"), None)
        if leader is None:
            return
        for host in self.up():
            if host.consensus.needs_hello() and self.rng.random() < 0.1:
                if (host.address, leader.address) not in self.cut:
                    member = host.member()
                    leader.consensus.add_learner(member, self.local(leader))
        learners = leader.consensus.caught_up_learners()
        wanted = next_members(leader.consensus.voters(), learners, list(self.hosts))
        if wanted is not None:
            before = {member.member_id for member in leader.consensus.voters()}
            if leader.consensus.propose_members(wanted, self.local(leader)):
                self.check_copy(wanted, before, leader.consensus.commit_index)
        self.flush(leader)

    def check_copy(self, members, before, commit_index):
        """A new voter's disk must hold all that is committed."""
        for member in members:
            if member.member_id not in before:
                disk = self.hosts[member.address].disk
                held = disk.entries[-1].index if disk.entries else 0
                held = max(held, disk.snapshot.last_index)
                assert held >= commit_index, "a voter with an incomplete copy"

    # ---- use ----

    def propose(self, text):
        leaders = [h for h in self.up() if h.consensus.role == "leader"]
        for host in leaders:
            indexes = host.consensus.propose([text.encode()], self.local(host))
            for index in indexes:
                key = (index, host.consensus.term)
                self.pending[key] = (host.consensus, text)
            self.flush(host)

    def is_whole(self):
        """Return whether each host is up and its present life is a voter."""
        ids = {host.member().member_id for host in self.hosts.values()}
        leader = self.leader()
        if leader is None or len(self.up()) < len(self.hosts):
            return False
        voters = {member.member_id for member in leader.consensus.voters()}
        progress = leader.consensus.progress.values()
        settled = leader.consensus.may_change_members()
        level = leader.consensus.commit_index
        return (
            voters == ids and settled and all(p.match_index >= level for p in progress)
        )

    def boot_all(self):
        for host in self.hosts.values():
            if host.consensus is None:
                self.boot(host)

    def heal(self, seconds=40):
        """End every fault and wait until the group is whole."""
        self.cut = set()
        self.loss = 0.0
        for host in self.hosts.values():
            host.frozen_until_s = 0.0
        for _ in range(int(seconds / STEP_S)):
            self.boot_all()
            self.step()
            if self.is_whole() and not any(
                host.consensus.commit_index < self.leader().consensus.commit_index
                for host in self.hosts.values()
            ):
                return
        raise AssertionError("the group did not become whole again")
