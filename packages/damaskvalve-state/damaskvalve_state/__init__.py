"""The replicated state of the control hosts."""

from damaskvalve_state._consensus import Consensus
from damaskvalve_state._consensus_state import LEADER
from damaskvalve_state._credit import (
    CLOCK_DRIFT,
    GRANT_LIFETIME_S,
    Bucket,
    CreditLedger,
    Limit,
)
from damaskvalve_state._foreign_messages import check_command
from damaskvalve_state._group import Group, running_group
from damaskvalve_state._group_reporter import GroupObserver
from damaskvalve_state._journal import (
    Journal,
    open_journal,
    read_or_make_member_id,
    recover,
)
from damaskvalve_state._load_budget import (
    PERMIT_VALID_S,
    LoadBudget,
    LoadDecision,
    LoadLimit,
    LoadRequest,
)
from damaskvalve_state._log import Log, empty_snapshot
from damaskvalve_state._membership import (
    LossTolerance,
    MembershipChange,
    MembershipView,
    next_fixed_members,
    next_members,
)
from damaskvalve_state._node import GroupNode
from damaskvalve_state._node_settings import NodeSettings, NodeStatus
from damaskvalve_state._state_machine import (
    ANSWERED,
    QUARANTINE_CRASHES,
    RESOLVED,
    RUNNING,
    StateMachine,
)
from damaskvalve_state._timing import Output, Timing

__all__ = [
    "ANSWERED",
    "CLOCK_DRIFT",
    "GRANT_LIFETIME_S",
    "LEADER",
    "PERMIT_VALID_S",
    "QUARANTINE_CRASHES",
    "RESOLVED",
    "RUNNING",
    "Bucket",
    "Consensus",
    "CreditLedger",
    "Group",
    "GroupNode",
    "GroupObserver",
    "Journal",
    "Limit",
    "LoadBudget",
    "LoadDecision",
    "LoadLimit",
    "LoadRequest",
    "Log",
    "LossTolerance",
    "MembershipChange",
    "MembershipView",
    "NodeSettings",
    "NodeStatus",
    "Output",
    "StateMachine",
    "Timing",
    "check_command",
    "empty_snapshot",
    "next_fixed_members",
    "next_members",
    "open_journal",
    "read_or_make_member_id",
    "recover",
    "running_group",
]
