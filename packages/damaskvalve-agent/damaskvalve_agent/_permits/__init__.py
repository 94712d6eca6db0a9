"""Permits: which requests start at an engine, and which adapters it holds."""

from damaskvalve_agent._permits._admission import AdmissionController, Grant
from damaskvalve_agent._permits._engine import EngineCall, EngineDialect, OrderContext
from damaskvalve_agent._permits._run import PermitServer, run_permits
from damaskvalve_agent._permits._settings import PermitSettings
from damaskvalve_agent._permits._types import (
    ACCEPTED,
    CONFLICT,
    HOLDS,
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
    "HOLDS",
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
