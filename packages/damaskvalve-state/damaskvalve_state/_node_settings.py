"""What a member of a group is told, and what it publishes of itself."""

from collections.abc import Sequence
from pathlib import Path

from damaskvalve_state._timing import Timing


class NodeSettings:
    """What a member has to know before it starts."""

    __slots__ = (
        "folder",
        "address",
        "data_centre",
        "group_addresses",
        "timing",
        "may_bootstrap",
        "open_group",
    )

    def __init__(
        self,
        folder: Path | None,
        address: str,
        data_centre: str,
        group_addresses: Sequence[str],
        timing: Timing,
        *,
        may_bootstrap: bool = True,
        open_group: bool = False,
    ) -> None:
        # None for a member without a disk, which learns and never votes.
        self.folder = folder
        self.address = address
        self.data_centre = data_centre
        # The first members of a closed group, or where an open one is looked for.
        self.group_addresses = tuple(group_addresses)
        self.timing = timing
        # Whether this start may form a new group.
        self.may_bootstrap = may_bootstrap
        # Whether members at other addresses may join.
        self.open_group = open_group


class NodeStatus:
    """What other threads may know of a member without asking its actor."""

    __slots__ = (
        "leader_id",
        "leader_address",
        "is_leader",
        "lease_until_s",
        "contact_s",
        "applied_index",
        "voter_addresses",
    )

    def __init__(
        self,
        leader_id: str,
        leader_address: str,
        *,
        is_leader: bool,
        lease_until_s: float,
        contact_s: float,
        applied_index: int,
        voter_addresses: Sequence[str] = (),
    ) -> None:
        # Names one leader in one term.
        self.leader_id = leader_id
        self.leader_address = leader_address
        self.is_leader = is_leader
        # No other leader can exist before then; set on the leader only.
        self.lease_until_s = lease_until_s
        # When this member last heard a leader that a quorum may follow.
        self.contact_s = contact_s
        self.applied_index = applied_index
        # Where the members vote that this member knows to vote.
        self.voter_addresses = tuple(voter_addresses)


class PublishedStatus:
    """Where a member publishes its newest status for other threads."""

    __slots__ = ("status",)

    def __init__(self) -> None:
        self.status = NodeStatus(
            "", "", is_leader=False, lease_until_s=0.0, contact_s=0.0, applied_index=0
        )
