"""The choice of a backend server for a request."""

from damaskvalve_gateway._choice._demand import AdapterDemand
from damaskvalve_gateway._choice._engines import (
    EngineOrder,
    order_engines,
    plan_engines,
)
from damaskvalve_gateway._choice._plain import PlainChoice, order_plain
from damaskvalve_gateway._choice._server_load import ServerLoad, ServerLoads

__all__ = [
    "AdapterDemand",
    "EngineOrder",
    "PlainChoice",
    "ServerLoad",
    "ServerLoads",
    "order_engines",
    "order_plain",
    "plan_engines",
]
