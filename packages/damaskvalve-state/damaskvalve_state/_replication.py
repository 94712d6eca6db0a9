"""Log replication: the leader and follower roles, and the commit index."""

from collections.abc import Sequence
from typing import Any

from damaskvalve_core.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    JournalRecord,
    LogEntry,
    Member,
    SnapshotFile,
    SnapshotPartRequest,
    SnapshotRequest,
)
from damaskvalve_state._consensus_state import (
    FOLLOWER,
    LEADER,
    LIST_COMMITTED,
    WITHOUT_LOST_VOTER,
    ConsensusState,
)
from damaskvalve_state._progress import (
    NEVER_S,
    Progress,
    quorum_index,
)
from damaskvalve_state._transfer import (
    MAX_PAYLOAD_BYTES,
    SMALL_PAYLOAD_BYTES,
    InFlightWindow,
    SnapshotTransfer,
    payload_bytes,
    transfer_time_s,
)

MAX_ENTRIES_PER_APPEND = 512


class Replication(ConsensusState):
    """Replicates the leader's log and commits entries that a majority has synced."""

    def _become_leader(self, now_s: float, lost_voter: Member | None = None) -> None:
        """Begin to lead.

        ``lost_voter`` lost its disk and was left out of the majority that elected this
        member, so it is removed before anything is committed.
        """
        self.role = LEADER
        self.leader_id = self.member.member_id
        self.leader_address = self.member.address
        self._is_fresh_start = False
        self.progress = {}
        self._refresh_progress(now_s)
        self._became_leader_s = now_s
        self._marked_list_index = 0
        self._term_start_index = self._append_as_leader(EntryKind.NOOP, b"", ())
        if lost_voter is not None:
            remaining = [voter for voter in self.voters() if voter is not lost_voter]
            self._append_as_leader(EntryKind.MEMBERS, WITHOUT_LOST_VOTER, remaining)
            self.progress.pop(lost_voter.member_id, None)
        self._broadcast(now_s)

    def _refresh_progress(self, now_s: float) -> None:
        for voter in self.voters():
            is_known = voter.member_id in self.progress
            if not is_known and voter.member_id != self.member.member_id:
                new = Progress(voter, self.log.last_index + 1, now_s)
                self.progress[voter.member_id] = new

    def _append_as_leader(
        self, kind: int, command: bytes, members: Sequence[Member]
    ) -> int:
        index = self.log.last_index + 1
        entry = LogEntry(index, self.term, kind, command, list(members))
        self.log.append(entry)
        self._output.records.append(JournalRecord(entry=entry))
        return index

    def _tick_leader(self, now_s: float) -> None:
        since_s = now_s - self._became_leader_s
        if since_s > self.timing.election_timeout_s and self.lease_left_s(now_s) <= 0:
            self._become_follower(self.term, now_s)
            self.leader_id = ""
            self.leader_address = ""
            return
        if now_s >= self._next_heartbeat_s:
            self._broadcast(now_s, heartbeat=True)

    def _broadcast(self, now_s: float, *, heartbeat: bool = False) -> None:
        window = self._open_window(now_s)
        for peer in self.progress.values():
            if heartbeat or (self._needs_append(peer) and not peer.awaits_reply(now_s)):
                self._send_append(peer, window, now_s, heartbeat=heartbeat)
        if heartbeat:
            self._next_heartbeat_s = now_s + self.timing.heartbeat_s

    def _open_window(self, now_s: float) -> InFlightWindow:
        return InFlightWindow(
            peer.in_flight_bytes
            for peer in self.progress.values()
            if peer.in_flight_bytes and peer.awaits_reply(now_s)
        )

    def _needs_append(self, peer: Progress) -> bool:
        """Return whether a member lacks entries or the current commit index."""
        if peer.next_index <= self.log.last_index:
            return True
        return peer.sent_commit_index < self.commit_index

    def _send_append(
        self,
        peer: Progress,
        window: InFlightWindow,
        now_s: float,
        *,
        heartbeat: bool = False,
    ) -> None:
        """Send what a member lacks next: entries, or a snapshot or a part of one.

        While a reply is pending, or while the member may not be sent anything large, a
        heartbeat carries nothing of this.
        """
        entries: Sequence[LogEntry] = ()
        if not peer.awaits_reply(now_s):
            may_be_large = self._may_send_large(peer, window, now_s)
            if may_be_large and self._plan_transfer(peer):
                self._send_snapshot(peer, window, now_s)
                return
            limit_bytes = MAX_PAYLOAD_BYTES if may_be_large else SMALL_PAYLOAD_BYTES
            entries = self._next_entries(peer, limit_bytes, may_be_large=may_be_large)
        if entries or heartbeat or peer.sent_commit_index < self.commit_index:
            self._send_entries(peer, entries, window, now_s)

    def _may_send_large(
        self, peer: Progress, window: InFlightWindow, now_s: float
    ) -> bool:
        """Return whether a payload of any size may be sent to a member now.

        Commits wait for voters, so nothing holds them up. Of the other members those
        that answer share a window: one that is down must not take the room of others.
        The reply to a request that was sent at the same time would be taken for that
        to the large one.
        """
        if self._is_other_voter(peer.member):
            return True
        if peer.sent_at_s == now_s:
            return False
        answers = now_s - peer.answered_at_s <= self.timing.resend_s
        return answers and window.admits()

    def _plan_transfer(self, peer: Progress) -> bool:
        """Return whether a snapshot is sent to a member, and choose which."""
        if peer.transfer is not None:
            if peer.transfer.held_bytes > 0:
                return True
            peer.transfer = None
        known = self._newest_snapshot
        limit_bytes = max(len(known.data), MAX_PAYLOAD_BYTES)
        is_compacted = self.log.term_at(peer.next_index - 1) is None
        if not is_compacted and not self.log.exceeds(peer.next_index, limit_bytes):
            return False
        if self.log.exceeds(known.last_index + 1, limit_bytes):
            self._capture_snapshot()
        if self._newest_snapshot.last_index < peer.next_index:
            return False
        peer.transfer = SnapshotTransfer(self._newest_snapshot)
        return True

    def _capture_snapshot(self) -> None:
        """Take a snapshot of the applied state for members that lag."""
        state = self._access.capture()
        if state is None or state.index <= self._newest_snapshot.last_index:
            return
        self._newest_snapshot = self._snapshot_at(state.index, state.data)

    def _snapshot_at(self, index: int, data: bytes) -> SnapshotFile:
        members = list(self.log.members_at(index))
        return SnapshotFile(index, self.log.term_at(index), members, data)

    def _next_entries(
        self, peer: Progress, limit_bytes: int, *, may_be_large: bool
    ) -> Sequence[LogEntry]:
        if self.log.term_at(peer.next_index - 1) is None:
            return ()
        batch = self.log.batch_from(
            peer.next_index, MAX_ENTRIES_PER_APPEND, limit_bytes
        )
        if not batch and may_be_large:
            # A single entry may be larger than a message should be.
            return list(self.log.entries_from(peer.next_index, 1))
        return batch

    def _send_entries(
        self,
        peer: Progress,
        entries: Sequence[LogEntry],
        window: InFlightWindow,
        now_s: float,
    ) -> None:
        previous = peer.next_index - 1
        if self.log.term_at(previous) is None:
            # A heartbeat of a member that needs a snapshot.
            previous = self.log.snapshot.last_index
        peer.sent_commit_index = self.commit_index
        request = AppendRequest(
            self.term,
            self.member.member_id,
            self.member.address,
            previous,
            self.log.term_at(previous),
            list(entries),
            self.commit_index,
            now_s,
        )
        self._send_request(peer, request, window, now_s)

    def _send_snapshot(
        self, peer: Progress, window: InFlightWindow, now_s: float
    ) -> None:
        transfer = peer.transfer
        assert transfer is not None
        snapshot = transfer.snapshot
        fields = (
            self.term,
            self.member.member_id,
            self.member.address,
            snapshot.last_index,
            snapshot.last_term,
            list(snapshot.members),
        )
        request: SnapshotRequest | SnapshotPartRequest
        if transfer.is_whole():
            request = SnapshotRequest(*fields, snapshot.data, now_s)
        else:
            request = SnapshotPartRequest(
                *fields,
                transfer.next_part(),
                now_s,
                transfer.held_bytes,
                len(snapshot.data),
            )
        self._send_request(peer, request, window, now_s)

    def _send_request(
        self, peer: Progress, request: Any, window: InFlightWindow, now_s: float
    ) -> None:
        if not peer.awaits_reply(now_s):
            size_bytes = payload_bytes(request)
            window.take(size_bytes)
            until_s = now_s + self.timing.resend_s + transfer_time_s(size_bytes)
            peer.begin_request(size_bytes, now_s, until_s)
        peer.sent_at_s = now_s
        self._output.early_messages.append((peer.member, request))

    def _on_append_reply(self, reply: AppendReply, now_s: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, now_s)
            return
        peer = self.progress.get(reply.member_id)
        if self.role != LEADER or reply.term != self.term or peer is None:
            return
        answers_in_flight = reply.sent_at_s == peer.in_flight_since_s
        frees_window = answers_in_flight and peer.in_flight_bytes > 0
        if answers_in_flight:
            peer.end_request()
        peer.answered_at_s = now_s
        peer.acked_sent_at_s = max(peer.acked_sent_at_s, reply.sent_at_s)
        if reply.snapshot_bytes is not None:
            self._note_snapshot_bytes(peer, reply)
        elif reply.success:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = peer.match_index + 1
            self._advance_commit(now_s)
        else:
            self._decrease_next_index(peer, reply.match_index)
        if peer.transfer is not None:
            if peer.match_index >= peer.transfer.snapshot.last_index:
                peer.transfer = None
        if answers_in_flight and self._needs_append(peer):
            self._send_append(peer, self._open_window(now_s), now_s)
        if frees_window:
            self._broadcast(now_s)

    def _note_snapshot_bytes(self, peer: Progress, reply: AppendReply) -> None:
        """Record how much of a snapshot a member holds that is sent in parts."""
        transfer = peer.transfer
        if transfer is not None:
            size_bytes = len(transfer.snapshot.data)
            transfer.held_bytes = min(reply.snapshot_bytes, size_bytes - 1)

    def _decrease_next_index(self, peer: Progress, hint_index: int) -> None:
        peer.next_index = max(1, min(peer.next_index - 1, hint_index + 1))

    def _advance_commit(self, now_s: float) -> None:
        own_id = self.member.member_id
        index = quorum_index(self.voters(), own_id, self.synced_index, self.progress)
        old_voters = self._voters_before_change()
        if old_voters:
            old_index = quorum_index(
                old_voters, own_id, self.synced_index, self.progress
            )
            index = min(index, old_index)
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        self._mark_committed_list()
        self._broadcast(now_s)

    def _mark_committed_list(self) -> None:
        """Let all members know, also after a restart, that a list is committed.

        Only an even number of voters may elect without one that lost its disk. A list
        that follows an even one needs a majority of that too until it is committed;
        the members that it leaves out may be gone afterwards.
        """
        voters, index = self.log.members()
        if index == self._marked_list_index or index > self.commit_index:
            return
        self._marked_list_index = index
        entry = self.log.newest_members_entry()
        earlier = self.log.members_at(index - 1) if entry is not None else ()
        follows_even = bool(earlier) and len(earlier) % 2 == 0
        if len(voters) % 2 and not follows_even:
            return
        if entry is None or not self._is_marked_as_committed(entry):
            self._append_as_leader(EntryKind.NOOP, LIST_COMMITTED, ())

    def _accept_leader(
        self, term: int, leader_id: str, address: str, now_s: float
    ) -> None:
        if term > self.term or self.role != FOLLOWER:
            self._become_follower(term, now_s)
        self.leader_id = leader_id
        self.leader_address = address
        self._leader_contact_s = now_s
        self._is_fresh_start = False
        self._reset_election(now_s)

    def _append_reply(
        self,
        *,
        success: bool,
        match_index: int,
        sent_at_s: float,
        snapshot_bytes: int | None = None,
    ) -> AppendReply:
        own_id = self.member.member_id
        return AppendReply(
            self.term, own_id, success, match_index, sent_at_s, snapshot_bytes
        )

    def _on_append_request(self, request: AppendRequest, now_s: float) -> AppendReply:
        sent_at_s = request.sent_at_s
        if request.term < self.term:
            return self._append_reply(success=False, match_index=0, sent_at_s=NEVER_S)
        self._accept_leader(
            request.term, request.leader_id, request.leader_address, now_s
        )
        if request.previous_index < self.log.snapshot.last_index:
            covered = self.log.snapshot.last_index
            return self._append_reply(
                success=True, match_index=covered, sent_at_s=sent_at_s
            )
        if self.log.term_at(request.previous_index) != request.previous_term:
            hint = min(self.log.last_index, request.previous_index - 1)
            return self._append_reply(
                success=False, match_index=hint, sent_at_s=sent_at_s
            )
        for entry in request.entries:
            self._store_entry(entry)
        match_index = request.previous_index + len(request.entries)
        commit_index = min(request.commit_index, match_index)
        self.commit_index = max(self.commit_index, commit_index)
        return self._append_reply(
            success=True, match_index=match_index, sent_at_s=sent_at_s
        )

    def _store_entry(self, entry: LogEntry) -> None:
        stored_term = self.log.term_at(entry.index)
        if stored_term == entry.term:
            return
        if stored_term is not None:
            self.log.truncate_from(entry.index)
            self.synced_index = min(self.synced_index, entry.index - 1)
            record = JournalRecord(truncate_from_index=entry.index)
            self._output.records.append(record)
        self.log.append(entry)
        self._output.records.append(JournalRecord(entry=entry))

    def _on_snapshot_request(
        self, request: SnapshotRequest, now_s: float
    ) -> AppendReply:
        if request.term < self.term:
            return self._append_reply(success=False, match_index=0, sent_at_s=NEVER_S)
        self._accept_leader(
            request.term, request.leader_id, request.leader_address, now_s
        )
        self._take_snapshot(request, request.data)
        return self._append_reply(
            success=True, match_index=request.last_index, sent_at_s=request.sent_at_s
        )

    def _on_snapshot_part(
        self, request: SnapshotPartRequest, now_s: float
    ) -> AppendReply:
        if request.term < self.term:
            return self._append_reply(success=False, match_index=0, sent_at_s=NEVER_S)
        self._accept_leader(
            request.term, request.leader_id, request.leader_address, now_s
        )
        sent_at_s, last_index = request.sent_at_s, request.last_index
        data = None
        if last_index > self.commit_index:
            data = self._assembly.add(request)
            if data is None:
                return self._append_reply(
                    success=True,
                    match_index=0,
                    sent_at_s=sent_at_s,
                    snapshot_bytes=self._assembly.held_bytes(request),
                )
            if not self._access.is_readable(data):
                return self._append_reply(
                    success=False, match_index=0, sent_at_s=sent_at_s, snapshot_bytes=0
                )
            self._take_snapshot(request, data)
        return self._append_reply(
            success=True, match_index=last_index, sent_at_s=sent_at_s
        )

    def _take_snapshot(
        self, request: SnapshotRequest | SnapshotPartRequest, data: bytes
    ) -> None:
        """Install a snapshot, unless this member holds the entries that it covers."""
        self._assembly.clear()
        if request.last_index <= self.commit_index:
            return
        if self.log.term_at(request.last_index) == request.last_term:
            # Later entries may have been acknowledged, so they must be kept.
            self.commit_index = request.last_index
            return
        self._install_snapshot(
            SnapshotFile(request.last_index, request.last_term, request.members, data)
        )

    def _install_snapshot(self, snapshot: SnapshotFile) -> None:
        self.log.reset(snapshot)
        self._newest_snapshot = snapshot
        self.commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        self.holds_commands = True
        # Entries that the snapshot replaces must not be written to the journal.
        hard_states = [
            item for item in self._output.records if item.hard_state is not None
        ]
        self._output.records = hard_states
        self._output.install = snapshot
        self.synced_index = snapshot.last_index
