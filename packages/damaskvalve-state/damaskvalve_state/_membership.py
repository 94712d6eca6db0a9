"""Which member change the leader makes next, one voter at a time."""

from collections.abc import Collection, Sequence

from damaskvalve_core.messages import Member

# A group keeps at least this many voters when it gives up silent ones: fewer would
# lose a quorum with the next fault.
MIN_VOTERS = 3
# More voters than this only slow commits down; it covers the loss of four.
MAX_VOTERS = 9


def next_members(
    voters: Sequence[Member],
    caught_up_learners: Sequence[Member],
    group_addresses: Sequence[str] | None,
    silent_ids: Collection[str] = (),
) -> Sequence[Member] | None:
    """Return the member list to propose, or None if nothing is to be done.

    A learner at the address of a voter has an empty folder behind that address
    no longer: the old id is removed first, then the learner becomes a voter.
    Each step changes one voter, so that old and new majorities overlap.

    Without ``group_addresses`` any learner with a disk may become a voter, and a
    voter that has been silent for long gives its place up: at once to a learner
    that waits, otherwise only while enough voters remain.
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
            kept = _without_silent(voters, silent_ids)
            if kept is not None and len(voters) > 2:
                return kept
            if len(voters) >= MAX_VOTERS:
                continue
        return [*voters, learner]
    if group_addresses is None and len(voters) > MIN_VOTERS:
        return _without_silent(voters, silent_ids)
    return None


def _without_silent(
    voters: Sequence[Member], silent_ids: Collection[str]
) -> Sequence[Member] | None:
    """Return the voters without the first silent one; None if none is silent."""
    for voter in voters:
        if voter.member_id in silent_ids:
            return [item for item in voters if item is not voter]
    return None


def can_bootstrap(
    hellos: Sequence[tuple[Member, bool]], group_addresses: Sequence[str]
) -> bool:
    """Return whether every first member answered with an empty folder."""
    empty_addresses = {member.address for member, empty in hellos if empty}
    return empty_addresses == set(group_addresses) and len(hellos) == len(
        group_addresses
    )


def founders(hellos: Sequence[tuple[Member, bool]]) -> Sequence[Member]:
    """Return the first voters: the members with a disk, or all where none has one."""
    members = sorted((member for member, _ in hellos), key=_member_order)
    durable = [member for member in members if not member.memory_only]
    return durable or members


def is_founder(own: Member, hellos: Sequence[tuple[Member, bool]]) -> bool:
    """Return whether this member founds the group: the lowest address does."""
    return own.address == founders(hellos)[0].address


def _member_order(member: Member) -> tuple[str, str]:
    return member.address, member.member_id
