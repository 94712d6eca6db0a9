"""HTTP gateway: routing, rate limits, permits, retries and backend selection."""

from damaskvalve_core.http import Headers, IncomingRequest, Responder
from damaskvalve_gateway._announcement_check import (
    check_announcement,
    check_instance_id,
)
from damaskvalve_gateway._backends import GONE, LEAVING, READY
from damaskvalve_gateway._cold import ColdBound, ColdRule
from damaskvalve_gateway._control_service import ControlService
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._model import (
    SAFE,
    STREAMING,
    UNSAFE,
    Announcement,
    CallerRequest,
    EngineSpec,
    ForwardingFields,
    GatewayConfiguration,
    ReplyMetadata,
    Route,
    Service,
    Workspace,
)
from damaskvalve_gateway._quota import QuotaSlack
from damaskvalve_gateway._run import run_gateway
from damaskvalve_gateway._settings import (
    CONFIGURATION_APPLY_S,
    GatewaySettings,
    RetryBudgetSettings,
)

__all__ = [
    "CONFIGURATION_APPLY_S",
    "GONE",
    "LEAVING",
    "READY",
    "SAFE",
    "STREAMING",
    "UNSAFE",
    "Announcement",
    "CallerRequest",
    "ColdBound",
    "ColdRule",
    "ControlService",
    "Dialect",
    "EngineSpec",
    "ForwardingFields",
    "GatewayConfiguration",
    "GatewaySettings",
    "Headers",
    "IncomingRequest",
    "QuotaSlack",
    "ReplyMetadata",
    "Responder",
    "RetryBudgetSettings",
    "Route",
    "Service",
    "Workspace",
    "check_announcement",
    "check_instance_id",
    "run_gateway",
]
