"""Permits: which requests start at an engine, and which adapters it holds."""

from damaskvalve_agent._permits._desk import Admission, Grant
from damaskvalve_agent._permits._run import (
    EngineCall,
    EngineDialect,
    OrderTerms,
    PermitSettings,
    run_permits,
)
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
    "PermitSettings",
    "run_permits",
]
