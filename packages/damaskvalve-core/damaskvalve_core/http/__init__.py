"""HTTP/1.1 client and server over asyncio; h11 parses and frames the messages."""

from damaskvalve_core._buffer_budget import (
    BufferBudget,
    BufferBudgetExceededError,
    BufferReservation,
)
from damaskvalve_core.http._client import (
    BackendConnection,
    BackendFailedError,
    BackendPool,
    BackendTimeoutError,
    ReplyHead,
    open_backend_pool,
)
from damaskvalve_core.http._connection_budget import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    ConnectionBudget,
    ConnectionLimits,
)
from damaskvalve_core.http._request import Headers, IncomingRequest, ServerLimits
from damaskvalve_core.http._responder import Responder
from damaskvalve_core.http._server import HttpServer, serving_http

__all__ = [
    "BackendConnection",
    "BackendFailedError",
    "BackendPool",
    "BackendTimeoutError",
    "BufferBudget",
    "BufferBudgetExceededError",
    "BufferReservation",
    "ConnectionBudget",
    "ConnectionLimits",
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MEMORY_BYTES",
    "Headers",
    "HttpServer",
    "IncomingRequest",
    "ReplyHead",
    "Responder",
    "ServerLimits",
    "open_backend_pool",
    "serving_http",
]
