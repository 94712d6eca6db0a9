"""Membership changes, one voter at a time, and bootstrap of a group."""

from collections import Counter
from collections.abc import Collection, Sequence

from damaskvalve_core.messages import Member

# More voters only slow down commits, unless the tolerance asks for them.
MAX_VOTERS = 9
LOST_DISK = "lost its disk"


class LossTolerance:
    """The losses that the group outlives at once, with their disks.

    A host that was replaced for good counts as lost until its successor has run for
    ``catch_up_s``; from then on the same number of other hosts may be lost.
    """

    __slots__ = ("hosts", "data_centres", "catch_up_s")

    def __init__(
        self, hosts: int = 1, data_centres: int = 0, catch_up_s: float = 4.0
    ) -> None:
        for name, value in (
            ("hosts", hosts),
            ("data_centres", data_centres),
            ("catch_up_s", catch_up_s),
        ):
            if value < 0:
                raise ValueError(f"{name} must not be negative: {value}")
        self.hosts = hosts
        self.data_centres = data_centres
        self.catch_up_s = catch_up_s

    def min_voters(self, members: Sequence[Member]) -> int:
        """Return the number of voters that keeps a majority after these losses."""
        counts = Counter(member.data_centre for member in members)
        largest = sorted(counts.values(), reverse=True)[: self.data_centres]
        return 2 * max(self.hosts, sum(largest)) + 1


class MembershipView:
    """What the leader knows of the members when it decides on their votes."""

    __slots__ = (
        "voters",
        "ready",
        "silent_ids",
        "doubtful_ids",
        "stopping_ids",
        "leader_id",
        "is_settled",
    )

    def __init__(
        self,
        voters: Sequence[Member],
        ready: Sequence[Member] = (),
        silent_ids: Collection[str] = (),
        doubtful_ids: Collection[str] = (),
        stopping_ids: Collection[str] = (),
        *,
        leader_id: str = "",
        is_settled: bool = False,
    ) -> None:
        self.voters = tuple(voters)
        # Learners that hold all committed entries and answer.
        self.ready = tuple(ready)
        # Voters that have not answered for an election timeout.
        self.silent_ids = frozenset(silent_ids)
        # Voters that did not answer the last heartbeats; the silent ones are among
        # them.
        self.doubtful_ids = frozenset(doubtful_ids)
        # Members that have announced that they stop.
        self.stopping_ids = frozenset(stopping_ids)
        self.leader_id = leader_id
        # Whether the leader has led for so long that every running host has joined.
        self.is_settled = is_settled

    def without(self, lost: Member) -> Sequence[Member]:
        """Return the voters without one of them."""
        return [item for item in self.voters if item is not lost]


class MembershipChange:
    """The voters to propose, and why."""

    __slots__ = ("members", "reason", "leaves_out_lost")

    def __init__(
        self, members: Sequence[Member], reason: str, *, leaves_out_lost: bool = False
    ) -> None:
        self.members = tuple(members)
        self.reason = reason
        # Whether it only leaves out a voter that is known to have lost its disk.
        self.leaves_out_lost = leaves_out_lost

    def includes(self, member_id: str) -> bool:
        """Return whether a member is one of the voters."""
        return any(item.member_id == member_id for item in self.members)


def next_members(
    view: MembershipView, tolerance: LossTolerance
) -> MembershipChange | None:
    """Return the next change of an open group, or None if none is needed.

    A voter that is silent or lost its disk is replaced by a learner that is ready. It
    is removed first: beside it the successor would raise the quorum without adding a
    vote that can be counted on. A voter that stops still answers, so its successor is
    added first. Without a successor such voters are removed while enough voters remain
    for the tolerated losses. Each step changes one voter, so that old and new
    majorities overlap.

    Members without a disk vote only while no member has one: a loss of power ends their
    votes for good.
    """
    ready = [
        item
        for item in may_vote(view.ready, view.voters)
        if item.member_id not in view.stopping_ids
    ]
    min_voters = tolerance.min_voters([*view.voters, *ready])
    is_spared = len(view.voters) > min_voters
    if is_spared or (ready and len(view.voters) > 1):
        for lost, reason in _lost_voters(view, ready):
            remaining = view.without(lost)
            if _has_quorum(remaining, view.doubtful_ids):
                return MembershipChange(
                    remaining,
                    f"{lost.address} {reason}",
                    leaves_out_lost=reason == LOST_DISK,
                )
    change = _without_memory_only(view, ready, min_voters)
    if change is not None:
        return change
    has_room = len(view.voters) < max(MAX_VOTERS, min_voters)
    # A voter that may be about to count as silent is replaced instead.
    may_add = not view.doubtful_ids or len(view.voters) < min_voters
    if ready and has_room and may_add:
        return MembershipChange(
            [*view.voters, ready[0]], f"{ready[0].address} is ready"
        )
    if is_spared or (ready and not has_room):
        for voter in view.voters:
            remaining = view.without(voter)
            stops = voter.member_id in view.stopping_ids
            if stops and _has_quorum(remaining, view.doubtful_ids):
                return MembershipChange(remaining, f"{voter.address} stops")
    return None


def may_vote(learners: Sequence[Member], voters: Sequence[Member]) -> Sequence[Member]:
    """Return the learners that may become voters.

    These are the members with a disk, or all if neither a learner nor a voter has one.
    """
    durable = [item for item in learners if not item.memory_only]
    if durable or any(not item.memory_only for item in voters):
        return durable
    return learners


def _without_memory_only(
    view: MembershipView, ready: Sequence[Member], min_voters: int
) -> MembershipChange | None:
    """Return the change that takes the vote of a member without a disk, or None.

    Such a voter stays until a member with a disk has joined in its place. A settled
    group has no further member with a disk, so its votes end in any case. The leader's
    own vote is the last, because it has to hand over its leadership.
    """
    memory_only = [item for item in view.voters if item.memory_only]
    if len(memory_only) == len(view.voters) and all(item.memory_only for item in ready):
        return None
    for voter in sorted(memory_only, key=lambda item: item.member_id == view.leader_id):
        remaining = view.without(voter)
        is_spared = len(remaining) >= min_voters or (view.is_settled and not ready)
        if is_spared and _has_quorum(remaining, view.doubtful_ids):
            return MembershipChange(remaining, f"{voter.address} has no disk")
    return None


def _lost_voters(
    view: MembershipView, ready: Sequence[Member]
) -> Sequence[tuple[Member, str]]:
    """Return the voters whose vote cannot be counted on, and why."""
    ready_addresses = {item.address for item in ready}
    without_disk = [
        (voter, LOST_DISK) for voter in view.voters if voter.address in ready_addresses
    ]
    silent = [
        (voter, "is silent")
        for voter in view.voters
        if voter.member_id in view.silent_ids
    ]
    return [*without_disk, *silent]


def _has_quorum(voters: Sequence[Member], doubtful_ids: Collection[str]) -> bool:
    """Return whether a majority of the voters answers."""
    answering = sum(voter.member_id not in doubtful_ids for voter in voters)
    return answering >= len(voters) // 2 + 1


def next_fixed_members(
    voters: Sequence[Member], ready: Sequence[Member], addresses: Sequence[str]
) -> MembershipChange | None:
    """Return the next change of a group with fixed addresses, or None.

    A ready learner at the address of a voter replaces it, because the voter's data
    folder was lost: the old id is removed first, then the learner becomes a voter.
    """
    for learner in may_vote(ready, voters):
        if learner.address not in addresses:
            continue
        replaced = [voter for voter in voters if voter.address == learner.address]
        if replaced and len(voters) > 1:
            remaining = [voter for voter in voters if voter not in replaced]
            return MembershipChange(
                remaining, f"{learner.address} {LOST_DISK}", leaves_out_lost=True
            )
        if not replaced:
            return MembershipChange([*voters, learner], f"{learner.address} is ready")
    return None


def can_bootstrap(
    hellos: Sequence[tuple[Member, bool]], group_addresses: Sequence[str]
) -> bool:
    """Return whether every initial member replied that its folder is empty."""
    empty_addresses = {member.address for member, empty in hellos if empty}
    return empty_addresses == set(group_addresses) and len(hellos) == len(
        group_addresses
    )


def initial_voters(hellos: Sequence[tuple[Member, bool]]) -> Sequence[Member]:
    """Return the initial voters: members with a disk, or all if none has one."""
    members = sorted((member for member, _ in hellos), key=_member_order)
    return may_vote(members, ())


def initiates_bootstrap(own: Member, hellos: Sequence[tuple[Member, bool]]) -> bool:
    """Return whether this member, as the voter of lowest address, bootstraps."""
    return own.address == initial_voters(hellos)[0].address


def _member_order(member: Member) -> tuple[str, str]:
    return member.address, member.member_id
