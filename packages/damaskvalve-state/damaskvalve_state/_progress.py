"""What a leader knows of each member that it replicates to."""

from collections.abc import Iterable, Mapping, Sequence

from damaskvalve_core.messages import Member

NEVER_S = float("-inf")


class Progress:
    """Replication progress of one voter or learner."""

    __slots__ = (
        "member",
        "next_index",
        "match_index",
        "sent_commit_index",
        "acked_sent_at_s",
        "in_flight",
        "added_at_s",
    )

    def __init__(self, member: Member, next_index: int, added_at_s: float) -> None:
        self.member = member
        self.added_at_s = added_at_s
        self.next_index = next_index
        self.match_index = 0
        # The commit index that the member was told last.
        self.sent_commit_index = 0
        # When the leader sent the newest request that this member answered.
        self.acked_sent_at_s = NEVER_S
        # When the request that is not answered yet was sent, or NEVER_S.
        self.in_flight = NEVER_S


def quorum_size(count: int) -> int:
    """Return how many of ``count`` voters make a majority."""
    return count // 2 + 1


def quorum_value(values: Iterable[float], count: int) -> float:
    """Return the greatest value that a majority of ``count`` has reached."""
    ranked = sorted(values, reverse=True)
    return ranked[quorum_size(count) - 1]


def quorum_index(
    voters: Sequence[Member],
    own_id: str,
    own_index: int,
    progress: Mapping[str, Progress],
) -> int:
    """Return the highest index that a majority of voters holds on disk."""
    held = [
        own_index if voter.member_id == own_id else _match(progress, voter)
        for voter in voters
    ]
    return int(quorum_value(held, len(voters)))


def quorum_contact_s(
    voters: Sequence[Member],
    own_id: str,
    now_s: float,
    progress: Mapping[str, Progress],
) -> float:
    """Return the latest time since which a majority accepts this leader."""
    contacts = [
        now_s if voter.member_id == own_id else _contact_s(progress, voter)
        for voter in voters
    ]
    return quorum_value(contacts, len(voters))


def _match(progress: Mapping[str, Progress], voter: Member) -> int:
    known = progress.get(voter.member_id)
    return known.match_index if known else 0


def _contact_s(progress: Mapping[str, Progress], voter: Member) -> float:
    known = progress.get(voter.member_id)
    return known.acked_sent_at_s if known else NEVER_S
