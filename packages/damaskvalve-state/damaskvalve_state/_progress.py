"""Replication progress of members, and quorum calculations."""

from collections.abc import Iterable, Mapping, Sequence

from damaskvalve_core.messages import Member
from damaskvalve_state._transfer import SnapshotTransfer

NEVER_S = float("-inf")


class Progress:
    """Replication progress of one voter or learner."""

    __slots__ = (
        "member",
        "next_index",
        "match_index",
        "sent_commit_index",
        "acked_sent_at_s",
        "answered_at_s",
        "sent_at_s",
        "in_flight_since_s",
        "in_flight_until_s",
        "in_flight_bytes",
        "transfer",
        "added_at_s",
        "stopping_until_s",
    )

    def __init__(self, member: Member, next_index: int, added_at_s: float) -> None:
        self.member = member
        self.added_at_s = added_at_s
        self.next_index = next_index
        self.match_index = 0
        # The commit index last sent to the member.
        self.sent_commit_index = 0
        # When the leader sent the newest request that the member acknowledged.
        self.acked_sent_at_s = NEVER_S
        # When its last reply arrived; NEVER_S if a request has failed since.
        self.answered_at_s = NEVER_S
        # When the newest request was sent.
        self.sent_at_s = NEVER_S
        # When the unanswered request was sent; NEVER_S if there is none.
        self.in_flight_since_s = NEVER_S
        # When that request is given up, and its payload.
        self.in_flight_until_s = NEVER_S
        self.in_flight_bytes = 0
        # The snapshot that is being sent to the member.
        self.transfer: SnapshotTransfer | None = None
        # Until when the member counts as stopping; NEVER_S if it has not announced it.
        self.stopping_until_s = NEVER_S

    def begin_request(self, size_bytes: int, now_s: float, until_s: float) -> None:
        """Record a request that awaits its reply until a time."""
        self.in_flight_since_s = now_s
        self.in_flight_until_s = until_s
        self.in_flight_bytes = size_bytes

    def end_request(self) -> None:
        """Record that no reply is awaited any more."""
        self.in_flight_since_s = NEVER_S
        self.in_flight_until_s = NEVER_S
        self.in_flight_bytes = 0

    def awaits_reply(self, now_s: float) -> bool:
        """Return whether a request is under way and not given up."""
        return now_s < self.in_flight_until_s


def quorum_size(count: int) -> int:
    """Return the size of a majority of ``count`` voters."""
    return count // 2 + 1


def quorum_value(values: Iterable[float], count: int) -> float:
    """Return the greatest value that a majority of ``count`` members has reached."""
    ranked = sorted(values, reverse=True)
    return ranked[quorum_size(count) - 1]


def quorum_index(
    voters: Sequence[Member],
    own_id: str,
    own_index: int,
    progress: Mapping[str, Progress],
) -> int:
    """Return the highest log index that a majority of voters has synced."""
    match_indexes = [
        own_index if voter.member_id == own_id else _match_index(progress, voter)
        for voter in voters
    ]
    return int(quorum_value(match_indexes, len(voters)))


def quorum_contact_s(
    voters: Sequence[Member],
    own_id: str,
    now_s: float,
    progress: Mapping[str, Progress],
) -> float:
    """Return the latest time at which a majority is known to follow this leader."""
    contacts = [
        now_s if voter.member_id == own_id else _contact_s(progress, voter)
        for voter in voters
    ]
    return quorum_value(contacts, len(voters))


def _match_index(progress: Mapping[str, Progress], voter: Member) -> int:
    item = progress.get(voter.member_id)
    return item.match_index if item else 0


def _contact_s(progress: Mapping[str, Progress], voter: Member) -> float:
    item = progress.get(voter.member_id)
    return item.acked_sent_at_s if item else NEVER_S
