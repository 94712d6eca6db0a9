"""Permits: which requests start at an engine, and which adapters it loads."""

from damaskvalve_agent._permits._admission import AdmissionController, Grant
from damaskvalve_agent._permits._engine import EngineCall, EngineDialect, OrderContext
from damaskvalve_agent._permits._run import PermitServer
from damaskvalve_agent._permits._serve import run_permits
from damaskvalve_agent._permits._settings import PermitSettings
from damaskvalve_agent._permits._types import (
    ACCEPTED,
    COMPLETED,
    CONFLICT,
    LOAD,
    LOAD_MODEL,
    NO_ANSWER,
    REJECTED,
    UNLOAD,
    AdmissionRequest,
    EngineCapacity,
    EngineReport,
    Order,
)

__all__ = [
    "ACCEPTED",
    "CONFLICT",
    "COMPLETED",
    "LOAD",
    "LOAD_MODEL",
    "NO_ANSWER",
    "REJECTED",
    "UNLOAD",
    "AdmissionController",
    "AdmissionRequest",
    "EngineCall",
    "EngineCapacity",
    "EngineDialect",
    "EngineReport",
    "Grant",
    "Order",
    "OrderContext",
    "PermitServer",
    "PermitSettings",
    "run_permits",
]
