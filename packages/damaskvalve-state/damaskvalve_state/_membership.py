"""Membership changes, one voter at a time, and bootstrap of a group."""

from collections.abc import Collection, Sequence

from damaskvalve_core.messages import Member

# Unresponsive voters are not removed below this number: a smaller group would lose
# its quorum with the next fault.
MIN_VOTERS = 3
# Tolerates the loss of four voters; more voters only slow down commits.
MAX_VOTERS = 9


def next_members(
    voters: Sequence[Member],
    caught_up_learners: Sequence[Member],
    group_addresses: Sequence[str] | None,
    unresponsive_ids: Collection[str] = (),
) -> Sequence[Member] | None:
    """Return the member list to propose, or None if no change is needed.

    A caught-up learner at the address of a voter replaces it, because the voter's
    data folder was lost: the old id is removed first, then the learner becomes a
    voter. Each step changes one voter, so that old and new majorities overlap.

    Without ``group_addresses`` any learner with a disk may become a voter, and an
    unresponsive voter is removed: if a learner is ready to replace it, while there are
    more than two voters; otherwise only while at least ``MIN_VOTERS`` remain.
    """
    for learner in caught_up_learners:
        if learner.memory_only:
            continue
        if group_addresses is not None and learner.address not in group_addresses:
            continue
        replaced = [voter for voter in voters if voter.address == learner.address]
        if replaced and len(voters) > 1:
            return [voter for voter in voters if voter not in replaced]
        if replaced:
            continue
        if group_addresses is None:
            remaining = _without_unresponsive(voters, unresponsive_ids)
            if remaining is not None and len(voters) > 2:
                return remaining
            if len(voters) >= MAX_VOTERS:
                continue
        return [*voters, learner]
    if group_addresses is None and len(voters) > MIN_VOTERS:
        return _without_unresponsive(voters, unresponsive_ids)
    return None


def _without_unresponsive(
    voters: Sequence[Member], unresponsive_ids: Collection[str]
) -> Sequence[Member] | None:
    """Return the voters without the first unresponsive one; None if all respond."""
    for voter in voters:
        if voter.member_id in unresponsive_ids:
            return [item for item in voters if item is not voter]
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
    durable = [member for member in members if not member.memory_only]
    return durable or members


def initiates_bootstrap(own: Member, hellos: Sequence[tuple[Member, bool]]) -> bool:
    """Return whether this member, as the voter of lowest address, bootstraps."""
    return own.address == initial_voters(hellos)[0].address


def _member_order(member: Member) -> tuple[str, str]:
    return member.address, member.member_id
