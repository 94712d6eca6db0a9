"""A gateway by host name and path: routes, rates, permits, backend servers."""

from damaskvalve_core.http import Headers, Incoming, Responder
from damaskvalve_gateway._backends import GONE, LEAVING, READY
from damaskvalve_gateway._control_desk import ControlDesk
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._model import (
    SAFE,
    STREAMING,
    UNSAFE,
    Announcement,
    CallerRequest,
    EngineSpec,
    GatewayConfiguration,
    ReplyMark,
    Route,
    SendPlan,
    Service,
    Workspace,
)
from damaskvalve_gateway._quota import QuotaSlack
from damaskvalve_gateway._run import run_gateway
from damaskvalve_gateway._settings import GatewaySettings, RetryTerms

__all__ = [
    "GONE",
    "LEAVING",
    "READY",
    "SAFE",
    "STREAMING",
    "UNSAFE",
    "Announcement",
    "CallerRequest",
    "ControlDesk",
    "Dialect",
    "EngineSpec",
    "GatewayConfiguration",
    "GatewaySettings",
    "Headers",
    "Incoming",
    "QuotaSlack",
    "ReplyMark",
    "Responder",
    "RetryTerms",
    "Route",
    "SendPlan",
    "Service",
    "Workspace",
    "run_gateway",
]
