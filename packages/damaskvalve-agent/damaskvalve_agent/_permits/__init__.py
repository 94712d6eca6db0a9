"""Permits: which requests start at an engine, and which adapters it holds."""

from damaskvalve_agent._permits._desk import Admission, Grant
from damaskvalve_agent._permits._engine import EngineCall, EngineDialect, OrderTerms
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
    Ask,
    EngineReport,
    Limits,
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
    "Admission",
    "Ask",
    "EngineCall",
    "EngineDialect",
    "EngineReport",
    "Grant",
    "Limits",
    "Order",
    "OrderTerms",
    "PermitServer",
    "PermitSettings",
    "run_permits",
]
