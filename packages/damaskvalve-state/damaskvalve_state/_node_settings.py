"""The settings of a group member and its published status."""

import threading
from collections.abc import Sequence
from pathlib import Path

from damaskvalve_state._membership import LossTolerance
from damaskvalve_state._timing import Timing


class NodeSettings:
    """The settings of a member."""

    __slots__ = (
        "folder",
        "address",
        "data_centre",
        "group_addresses",
        "timing",
        "may_bootstrap",
        "open_group",
        "tolerance",
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
        tolerance: LossTolerance | None = None,
    ) -> None:
        # None for a member without a disk. It remains a learner, unless no initial
        # member has a disk; then all initial members are voters.
        self.folder = folder
        self.address = address
        self.data_centre = data_centre
        # The initial members of a closed group, or the seeds of an open one.
        self.group_addresses = tuple(group_addresses)
        self.timing = timing
        # Whether this start may bootstrap a new group.
        self.may_bootstrap = may_bootstrap
        # Whether members at other addresses may join.
        self.open_group = open_group
        # The losses that an open group has to outlive.
        self.tolerance = tolerance or LossTolerance()


class NodeStatus:
    """A member's status for other threads, readable without a call to its actor."""

    __slots__ = (
        "leader_id",
        "leader_address",
        "is_leader",
        "lease_until_s",
        "contact_s",
        "applied_index",
        "voter_addresses",
        "has_spare_vote",
        "silent_voters",
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
        has_spare_vote: bool = False,
        silent_voters: int = 0,
    ) -> None:
        # Identifies a leader in one term; empty if no leader is known.
        self.leader_id = leader_id
        self.leader_address = leader_address
        self.is_leader = is_leader
        # The end of the leader lease; 0 if this member may not serve as leader.
        self.lease_until_s = lease_until_s
        # When this member last had contact with a leader; this leader need not have had
        # a quorum then.
        self.contact_s = contact_s
        self.applied_index = applied_index
        # The addresses of the voters, as far as this member knows them.
        self.voter_addresses = tuple(voter_addresses)
        # Whether this member votes and the others can spare its vote. A member that
        # stops waits until it has given up such a vote.
        self.has_spare_vote = has_spare_vote
        # The number of voters that do not answer this leader; 0 on other members.
        self.silent_voters = silent_voters


class PublishedStatus:
    """Holds the newest status of a member for other threads."""

    __slots__ = ("status", "stop_requested")

    def __init__(self) -> None:
        # Ends the wait of a member for its disk.
        self.stop_requested = threading.Event()
        self.status = NodeStatus(
            "", "", is_leader=False, lease_until_s=0.0, contact_s=0.0, applied_index=0
        )
