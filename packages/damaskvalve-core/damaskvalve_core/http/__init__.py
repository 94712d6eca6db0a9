"""HTTP/1.1 over asyncio for hosts and agents; h11 parses and frames."""

from damaskvalve_core.http._buffer_budget import BufferBudget, BufferBudgetExceededError
from damaskvalve_core.http._client import (
    BackendConnection,
    BackendFailedError,
    BackendPool,
    BackendTimeoutError,
    ReplyHead,
    open_backend_pool,
)
from damaskvalve_core.http._incoming import Headers, IncomingRequest, ServerLimits
from damaskvalve_core.http._responder import Responder
from damaskvalve_core.http._server import HttpServer, serving_http

__all__ = [
    "BackendConnection",
    "BackendFailedError",
    "BackendPool",
    "BackendTimeoutError",
    "BufferBudget",
    "BufferBudgetExceededError",
    "Headers",
    "HttpServer",
    "IncomingRequest",
    "ReplyHead",
    "Responder",
    "ServerLimits",
    "open_backend_pool",
    "serving_http",
]
