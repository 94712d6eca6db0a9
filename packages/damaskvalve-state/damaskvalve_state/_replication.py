"""Agreement on a log: leading, following, and what is committed."""

from collections.abc import Sequence

from damaskvalve_core.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    JournalRecord,
    LogEntry,
    Member,
    SnapshotFile,
    SnapshotRequest,
)
from damaskvalve_state._consensus_state import (
    FOLLOWER,
    LEADER,
    ConsensusState,
)
from damaskvalve_state._progress import (
    NEVER_S,
    Progress,
    quorum_index,
)

MAX_ENTRIES_PER_APPEND = 512


class Replication(ConsensusState):
    """Copies the leader's log to the others and counts who holds it."""

    def _become_leader(self, now_s: float) -> None:
        self.role = LEADER
        self.leader_id = self.member.member_id
        self.leader_address = self.member.address
        self._is_fresh = False
        self.progress = {}
        self._refresh_progress(now_s)
        self._became_leader_s = now_s
        self._term_start_index = self._append_own(EntryKind.NOOP, b"", ())
        self._broadcast(now_s)

    def _refresh_progress(self, now_s: float) -> None:
        for voter in self.voters():
            known = voter.member_id in self.progress
            if not known and voter.member_id != self.member.member_id:
                fresh = Progress(voter, self.log.last_index + 1, now_s)
                self.progress[voter.member_id] = fresh

    def _append_own(self, kind: int, command: bytes, members: Sequence[Member]) -> int:
        index = self.log.last_index + 1
        entry = LogEntry(index, self.term, kind, command, list(members))
        self.log.append(entry)
        self._output.records.append(JournalRecord(entry=entry))
        return index

    def _tick_leader(self, now_s: float) -> None:
        since_s = now_s - self._became_leader_s
        if since_s > self.timing.election_timeout_s and self.lease_left_s(now_s) <= 0:
            self._follow_term(self.term, now_s)
            self.leader_id = ""
            self.leader_address = ""
            return
        if now_s >= self._next_heartbeat_s:
            self._broadcast(now_s, heartbeat=True)

    def _broadcast(self, now_s: float, *, heartbeat: bool = False) -> None:
        for known in self.progress.values():
            awaited = now_s - known.in_flight < self.timing.resend_s
            if heartbeat or (self._lacks_something(known) and not awaited):
                self._send_append(known, now_s)
        if heartbeat:
            self._next_heartbeat_s = now_s + self.timing.heartbeat_s

    def _lacks_something(self, known: Progress) -> bool:
        """Return whether a member lacks entries or does not know what is committed."""
        if known.next_index <= self.log.last_index:
            return True
        return known.sent_commit_index < self.commit_index

    def _send_append(self, known: Progress, now_s: float) -> None:
        """Send what a member lacks; only contact while an answer is awaited."""
        previous = known.next_index - 1
        waiting = now_s - known.in_flight < self.timing.resend_s
        if self.log.term_at(previous) is None:
            if not waiting:
                known.in_flight = now_s
                self._send_snapshot(known, now_s)
            return
        if not waiting:
            known.in_flight = now_s
        most = 0 if waiting else MAX_ENTRIES_PER_APPEND
        known.sent_commit_index = self.commit_index
        request = AppendRequest(
            self.term,
            self.member.member_id,
            self.member.address,
            previous,
            self.log.term_at(previous),
            list(self.log.entries_from(known.next_index, most)),
            self.commit_index,
            now_s,
        )
        self._output.early_messages.append((known.member, request))

    def _send_snapshot(self, known: Progress, now_s: float) -> None:
        snapshot = self.log.snapshot
        request = SnapshotRequest(
            self.term,
            self.member.member_id,
            self.member.address,
            snapshot.last_index,
            snapshot.last_term,
            list(snapshot.members),
            snapshot.data,
            now_s,
        )
        self._output.early_messages.append((known.member, request))

    def _on_append_reply(self, reply: AppendReply, now_s: float) -> None:
        if reply.term > self.term:
            self._follow_term(reply.term, now_s)
            return
        known = self.progress.get(reply.member_id)
        if self.role != LEADER or reply.term != self.term or known is None:
            return
        awaited = reply.sent_at_s == known.in_flight
        if awaited:
            known.in_flight = NEVER_S
        known.acked_sent_at_s = max(known.acked_sent_at_s, reply.sent_at_s)
        if reply.success:
            known.match_index = max(known.match_index, reply.match_index)
            known.next_index = known.match_index + 1
            self._advance_commit(now_s)
        else:
            self._step_back(known, reply.match_index)
        if awaited and self._lacks_something(known):
            self._send_append(known, now_s)

    def _step_back(self, known: Progress, hint_index: int) -> None:
        known.next_index = max(1, min(known.next_index - 1, hint_index + 1))

    def _advance_commit(self, now_s: float) -> None:
        own_id = self.member.member_id
        index = quorum_index(self.voters(), own_id, self.synced_index, self.progress)
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        self._broadcast(now_s)

    def _accept_leader(
        self, term: int, leader_id: str, address: str, now_s: float
    ) -> None:
        if term > self.term or self.role != FOLLOWER:
            self._follow_term(term, now_s)
        self.leader_id = leader_id
        self.leader_address = address
        self._leader_contact_s = now_s
        self._is_fresh = False
        self._reset_election(now_s)

    def _reply(
        self, *, success: bool, match_index: int, sent_at_s: float
    ) -> AppendReply:
        own_id = self.member.member_id
        return AppendReply(self.term, own_id, success, match_index, sent_at_s)

    def _on_append_request(self, request: AppendRequest, now_s: float) -> AppendReply:
        sent_at_s = request.sent_at_s
        if request.term < self.term:
            return self._reply(success=False, match_index=0, sent_at_s=NEVER_S)
        self._accept_leader(
            request.term, request.leader_id, request.leader_address, now_s
        )
        if request.previous_index < self.log.snapshot.last_index:
            base = self.log.snapshot.last_index
            return self._reply(success=True, match_index=base, sent_at_s=sent_at_s)
        if self.log.term_at(request.previous_index) != request.previous_term:
            hint = min(self.log.last_index, request.previous_index - 1)
            return self._reply(success=False, match_index=hint, sent_at_s=sent_at_s)
        for entry in request.entries:
            self._store_entry(entry)
        match_index = request.previous_index + len(request.entries)
        commit_index = min(request.commit_index, match_index)
        self.commit_index = max(self.commit_index, commit_index)
        return self._reply(success=True, match_index=match_index, sent_at_s=sent_at_s)

    def _store_entry(self, entry: LogEntry) -> None:
        held_term = self.log.term_at(entry.index)
        if held_term == entry.term:
            return
        if held_term is not None:
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
            return self._reply(success=False, match_index=0, sent_at_s=NEVER_S)
        self._accept_leader(
            request.term, request.leader_id, request.leader_address, now_s
        )
        if request.last_index > self.commit_index:
            snapshot = SnapshotFile(
                request.last_index, request.last_term, request.members, request.data
            )
            self._install(snapshot)
        match_index = request.last_index
        return self._reply(
            success=True, match_index=match_index, sent_at_s=request.sent_at_s
        )

    def _install(self, snapshot: SnapshotFile) -> None:
        self.log.reset(snapshot)
        self.commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        # Records of entries that the snapshot replaces must not be written.
        kept = [item for item in self._output.records if item.hard_state is not None]
        self._output.records = kept
        self._output.install = snapshot
        self.synced_index = snapshot.last_index
