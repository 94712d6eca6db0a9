"""The agent: a process beside each backend server that schedules its work."""

from damaskvalve_agent._fair_queue import FairQueue, Ticket
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._scheduler import (
    LoadAdapter,
    RejectRequest,
    RequestLoadPermit,
    Scheduler,
    SchedulerLimits,
    StartRequest,
)
from damaskvalve_agent._settings import AgentSettings, check_settings, read_settings
from damaskvalve_agent._slots import Slots

__all__ = [
    "AgentSettings",
    "FairQueue",
    "Fence",
    "LoadAdapter",
    "RejectRequest",
    "RequestLoadPermit",
    "Scheduler",
    "SchedulerLimits",
    "Slots",
    "StartRequest",
    "Ticket",
    "check_settings",
    "read_settings",
]
