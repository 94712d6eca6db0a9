"""HTTP/1.1 over asyncio for hosts and agents; h11 parses and frames."""

from damaskvalve_core.http._client import (
    BackendConnection,
    BackendFailedError,
    BackendPool,
    BackendSilentError,
    ReplyHead,
    pooled_backends,
)
from damaskvalve_core.http._incoming import Headers, Incoming, ServerLimits
from damaskvalve_core.http._memory import MemoryFullError, MessageMemory
from damaskvalve_core.http._responder import Responder
from damaskvalve_core.http._server import HttpServer, serving_http

__all__ = [
    "BackendConnection",
    "BackendFailedError",
    "BackendPool",
    "BackendSilentError",
    "Headers",
    "HttpServer",
    "Incoming",
    "MemoryFullError",
    "MessageMemory",
    "ReplyHead",
    "Responder",
    "ServerLimits",
    "pooled_backends",
    "serving_http",
]
