"""Which member change the leader makes next, one voter at a time."""

from collections.abc import Sequence

from damaskvalve_core.messages import Member


def next_members(
    voters: Sequence[Member],
    caught_up_learners: Sequence[Member],
    group_addresses: Sequence[str],
) -> Sequence[Member] | None:
    """Return the member list to propose, or None if nothing is to be done.

    A learner at the address of a voter has an empty folder behind that address
    no longer: the old id is removed first, then the learner becomes a voter.
    Each step changes one voter, so that old and new majorities overlap.
    """
    for learner in caught_up_learners:
        if learner.address not in group_addresses:
            continue
        replaced = [voter for voter in voters if voter.address == learner.address]
        if replaced and len(voters) > 1:
            return [voter for voter in voters if voter not in replaced]
        if not replaced:
            return [*voters, learner]
    return None


def may_found(
    hellos: Sequence[tuple[Member, bool]], group_addresses: Sequence[str]
) -> bool:
    """Return whether every first member answered with an empty folder."""
    empty_addresses = {member.address for member, empty in hellos if empty}
    return empty_addresses == set(group_addresses) and len(hellos) == len(
        group_addresses
    )


def is_founder(own: Member, hellos: Sequence[tuple[Member, bool]]) -> bool:
    """Return whether this member has the lowest address of all."""
    return own.address == min(member.address for member, _ in hellos)
