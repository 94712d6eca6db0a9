"""The driver of a member: writes, sends and applies the output of the consensus."""

import contextlib
import errno
import random
import time
import uuid
from collections.abc import Callable, Sequence
from typing import Any

import logbook
import pykka

from damaskvalve_core import (
    CorruptJournalError,
    Dialer,
    ProtocolError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    CommandResult,
    EntryKind,
    HardState,
    LogEntry,
    Member,
    SnapshotFile,
)
from damaskvalve_state._consensus import Consensus
from damaskvalve_state._consensus_state import LEADER
from damaskvalve_state._foreign_messages import check_state
from damaskvalve_state._group_reporter import (
    GroupObserver,
    GroupReporter,
    ignore_event,
)
from damaskvalve_state._journal import (
    JOURNAL_FILE,
    Journal,
    MemoryJournal,
    read_or_make_member_id,
    recover,
    set_aside,
)
from damaskvalve_state._log import Log, empty_snapshot
from damaskvalve_state._node_messages import PeerReply
from damaskvalve_state._node_settings import NodeSettings, NodeStatus, PublishedStatus
from damaskvalve_state._peers import PeerSender
from damaskvalve_state._state_access import AppliedState, StateAccess
from damaskvalve_state._state_machine import StateMachine
from damaskvalve_state._timing import Output

# A snapshot is due after this many entries, or this many bytes of the journal: a few
# hundred configurations of some thousand routes would fill a disk of 64 MB.
SNAPSHOT_INTERVAL_ENTRIES = 5_000
SNAPSHOT_INTERVAL_BYTES = 8 * 1024 * 1024
FULL_DISK_ERRORS = (errno.ENOSPC, errno.EDQUOT)
# Interval between attempts to write to a disk that refuses it.
DISK_RETRY_INTERVAL_S = 0.2
# After an error other than that of a full disk, the files may have to be opened anew,
# which a restart does. Disks recover from most such errors sooner.
MAX_DISK_ERROR_S = 15.0

_log = logbook.Logger("group")

#: Receives the result of a proposal, or None if its outcome is unknown.
ResultCallback = Callable[[CommandResult | None], None]


class StoredMember(pykka.ThreadingActor):
    """Owns the consensus, journal and state machine of one member.

    Sends the early messages of consensus steps, writes their records, then sends the
    other messages and applies the committed entries.
    """

    use_daemon_thread = True

    def __init__(
        self,
        settings: NodeSettings,
        dialer: Dialer,
        published: PublishedStatus | None = None,
        observer: GroupObserver = ignore_event,
    ) -> None:
        super().__init__()
        self.reporter = GroupReporter(observer, boot_clock_s())
        self._published = published or PublishedStatus()
        self.settings = settings
        self.state_machine = StateMachine()
        self.applied_index = 0
        self._dialer = dialer
        self._senders: dict[str, PeerSender] = {}
        self._replies: list[tuple[Any, Any]] = []
        # The term and callback of each proposal of this leader, by log index.
        self._callbacks: dict[int, tuple[int, ResultCallback]] = {}
        self._flush_scheduled = False
        self._hello_replies: dict[str, tuple[Member, bool]] = {}
        self._next_hello_s = 0.0
        # Whether this member has announced its stop, and when it repeats that.
        self._stops = False
        self._next_stopping_s = 0.0
        # The leader's address as advertised by another member's hello or reply.
        self._advertised_leader = ""
        # The time of the current step on the boot clock.
        self.step_at_s = boot_clock_s()
        # Addresses of the group's hosts, as the replicated state names them.
        self.known_addresses: frozenset[str] = frozenset()
        # Called in the actor's thread after committed commands are applied.
        self.apply_hooks: list[Callable[[Any], None]] = []
        self.tick_hooks: list[Callable[[Any, float], None]] = []
        self._write_with_retry(lambda: self._open_folder(boot_clock_s()))

    # ---- data folder ----

    def _open_folder(self, now_s: float) -> None:
        folder = self.settings.folder
        if folder is None:
            self._start_without_disk(now_s)
            return
        try:
            recovered = recover(folder)
        except CorruptJournalError as error:
            damaged_folder = set_aside(folder, str(time.time_ns()))
            _log.error("{}; set aside as {}; joining anew", error, damaged_folder)
            recovered = None
        self.member = Member(
            read_or_make_member_id(folder),
            self.settings.address,
            self.settings.data_centre,
        )
        self.is_bootstrapped = recovered is not None
        log = recovered.log if recovered else Log(empty_snapshot())
        hard_state = recovered.hard_state if recovered else HardState(0, "")
        if recovered is None:
            (folder / JOURNAL_FILE).unlink(missing_ok=True)
        elif recovered.truncated_bytes:
            _log.warning(
                "truncated a torn tail of {} bytes from the journal",
                recovered.truncated_bytes,
            )
        self.journal: Journal | MemoryJournal = Journal(folder)
        self._start_consensus(log, hard_state, now_s)
        self._restore(log.snapshot)

    def _start_without_disk(self, now_s: float) -> None:
        address = self.settings.address
        self.member = Member(uuid.uuid4().hex, address, self.settings.data_centre, True)
        self.is_bootstrapped = False
        self.journal = MemoryJournal()
        self._start_consensus(Log(empty_snapshot()), HardState(0, ""), now_s)
        self._restore(self.consensus.log.snapshot)

    def _start_consensus(self, log: Log, hard_state: HardState, now_s: float) -> None:
        self.consensus = Consensus(
            self.member,
            log,
            hard_state,
            self.settings.timing,
            random.Random(self.member.member_id),
            now_s,
            StateAccess(self._capture, self._is_readable),
        )

    def _capture(self) -> AppliedState:
        data = self.state_machine.to_bytes()
        self.reporter.report(
            "snapshot_for_members", log_index=self.applied_index, bytes=len(data)
        )
        return AppliedState(self.applied_index, data)

    @staticmethod
    def _is_readable(data: bytes) -> bool:
        try:
            check_state(data)
        except ProtocolError as error:
            _log.warning("refused a snapshot in parts: {}", error)
            return False
        return True

    def _restore(self, snapshot: SnapshotFile) -> None:
        self.state_machine = StateMachine.from_bytes(snapshot.data)
        self.applied_index = snapshot.last_index

    # ---- output ----

    def _flush(self, now_s: float) -> None:
        while True:
            output = self.consensus.take_output()
            replies, self._replies = self._replies, []
            if not self._has_work(output) and not replies:
                return
            self._send_all(output.early_messages)
            self._write(output)
            self.consensus.record_synced(self.consensus.log.last_index, now_s)
            self._send_all(output.messages)
            for future, reply in replies:
                future.set(reply)
            self._apply(output.committed)

    @staticmethod
    def _has_work(output: Output) -> bool:
        return bool(
            output.install
            or output.records
            or output.early_messages
            or output.messages
            or output.committed
        )

    def _write(self, output: Output) -> None:
        if output.install is not None:
            snapshot = output.install
            hard_state = HardState(self.consensus.term, self.consensus.voted_for)
            self._write_with_retry(
                lambda: self.journal.install(snapshot, [], hard_state)
            )
            self._restore(snapshot)
            self._run_apply_hooks()
        self._write_with_retry(lambda: self.journal.append(output.records))

    def _write_with_retry(self, write: Callable[[], None]) -> None:
        """Retry a write until the disk takes it.

        The actor blocks meanwhile: a leader sends no heartbeats, so another member is
        elected, and nothing is acknowledged that is not on disk. Raise
        :class:`OSError` if an error lasts for MAX_DISK_ERROR_S, unless the disk is
        full, and if the member has to stop.
        """
        began_s = boot_clock_s()
        logged_errno: int | None = None
        attempts = 0
        while True:
            try:
                write()
                break
            except OSError as error:
                attempts += 1
                if attempts == 1 or error.errno != logged_errno:
                    _log.error("the disk refused a write, retrying it: {}", error)
                    logged_errno = error.errno
                is_full = error.errno in FULL_DISK_ERRORS
                if not is_full and boot_clock_s() - began_s > MAX_DISK_ERROR_S:
                    raise
                if self._published.stop_requested.wait(DISK_RETRY_INTERVAL_S):
                    raise
        if attempts:
            took_s = boot_clock_s() - began_s
            _log.info("the disk took the write after {:.1f} s", took_s)

    def _run_apply_hooks(self) -> None:
        for hook in self.apply_hooks:
            hook(self)

    def _send_all(self, messages: Sequence[tuple[Member, Any]]) -> None:
        for member, message in messages:
            self._send(member, message)

    def _send(self, member: Member, message: Any) -> None:
        sender = self._senders.get(member.address)
        if sender is None:
            timeout_s = self.settings.timing.election_timeout_s
            sender = PeerSender(
                member.address,
                self._dialer,
                timeout_s,
                self._enqueue_reply,
                lambda fields: self.reporter.report("peer_call_failed", **fields),
            )
            self._senders[member.address] = sender
        sender.send(member, message)

    def _enqueue_reply(self, member: Member, request: Any, reply: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(PeerReply(member, request, reply))

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = self.state_machine.apply(entry.index, entry.command)
            self.applied_index = entry.index
            term, callback = self._callbacks.pop(entry.index, (0, None))
            if callback is not None:
                callback(result if term == entry.term else None)
        if self.consensus.role != LEADER:
            self._fail_callbacks()
        if entries:
            self._publish(self.step_at_s)
            self._run_apply_hooks()
        if self._is_snapshot_due():
            self._snapshot()

    def _is_snapshot_due(self) -> bool:
        new_entries = self.applied_index - self.consensus.log.snapshot.last_index
        if new_entries >= SNAPSHOT_INTERVAL_ENTRIES:
            return True
        return (
            new_entries > 0 and self.journal.appended_bytes >= SNAPSHOT_INTERVAL_BYTES
        )

    def _fail_callbacks(self) -> None:
        callbacks, self._callbacks = self._callbacks, {}
        for _, callback in callbacks.values():
            callback(None)

    def _snapshot(self) -> None:
        data = self.state_machine.to_bytes()
        snapshot = self.consensus.compact(self.applied_index, data)
        entries = self.consensus.log.entries_after_snapshot()
        hard_state = HardState(self.consensus.term, self.consensus.voted_for)
        self._write_with_retry(
            lambda: self.journal.install(snapshot, entries, hard_state)
        )

    def awaits_disks(self, now_s: float) -> bool:
        """Return whether commands wait until members with a disk have the votes."""
        if not self.settings.open_group:
            return False
        return self.consensus.awaits_disks(self.settings.tolerance, now_s)

    def _publish(self, now_s: float) -> None:
        consensus = self.consensus
        # Until it has applied all entries of earlier terms, a leader would confirm an
        # older state as the newest.
        is_leader = (
            consensus.may_serve(now_s)
            and consensus.has_applied_its_term(self.applied_index)
            and not self.awaits_disks(now_s)
        )
        self._published.status = NodeStatus(
            f"{consensus.leader_id}/{consensus.term}" if consensus.leader_id else "",
            consensus.leader_address,
            is_leader=is_leader,
            lease_until_s=now_s + consensus.lease_left_s(now_s) if is_leader else 0.0,
            contact_s=now_s if is_leader else consensus.leader_contact_s(),
            applied_index=self.applied_index,
            voter_addresses=[voter.address for voter in consensus.voters()],
            has_spare_vote=consensus.has_spare_vote(self.settings.tolerance),
            silent_voters=len(consensus.silent_voters(now_s)),
        )
