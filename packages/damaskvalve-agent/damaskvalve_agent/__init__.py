"""The process beside each backend server."""

from damaskvalve_agent._fair_queue import FairQueue, Ticket
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._scheduler import (
    AskPermit,
    Load,
    Refuse,
    Scheduler,
    SchedulerLimits,
    Start,
)
from damaskvalve_agent._settings import AgentSettings, check_settings, read_settings
from damaskvalve_agent._slots import Slots

__all__ = [
    "AgentSettings",
    "AskPermit",
    "FairQueue",
    "Fence",
    "Load",
    "Refuse",
    "Scheduler",
    "SchedulerLimits",
    "Slots",
    "Start",
    "Ticket",
    "check_settings",
    "read_settings",
]
