"""A gateway between a raw caller and backend servers whose replies stop anywhere."""

import asyncio
import contextlib
import itertools
import socket
import struct
from unittest import mock

import h11

from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import BackendPool, ServerLimits, serving_http
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway._model import (
    READY,
    SAFE,
    STREAMING,
    UNSAFE,
    Announcement,
    CallerRequest,
    GatewayConfiguration,
    ReplyMetadata,
    Route,
    Service,
)
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway._stream_versions import StreamVersions
from damaskvalve_gateway.tests.attempt_fixtures import make_gate

FRONT_IP = "127.0.62.1"
FRONT_PORT = 18_231
BACKEND_IPS = ("127.0.62.101", "127.0.62.102")
CLOSE, RESET, KEEP = "close", "reset", "keep"
LIMITS = ServerLimits(16 * 1024, 1024 * 1024, 2.0, 5.0)
_UNKNOWN_STATUS = 0


def _read_request(incoming):
    headers = dict(incoming.headers)
    return CallerRequest(
        headers[b"request-id"].decode(),
        incoming.method,
        incoming.target,
        "h",
        [(b"host", b"h"), (b"request-id", headers[b"request-id"])],
        incoming.body,
    )


def _backend_headers(request, fields):
    headers = [*request.headers, (b"content-length", b"%d" % len(request.body))]
    if fields.last_event_id is not None:
        headers.append((b"last-event-id", b"%d" % fields.last_event_id))
    return headers


def _read_reply(status, headers):
    values = dict(headers)
    return ReplyMetadata(
        values.get(b"request-id", b"").decode(),
        not_run=b"not-run" in values,
        encoded=False,
        signed=bool(values.get(b"signature")),
    )


DIALECT = Dialect(
    _read_request,
    _backend_headers,
    _read_reply,
    lambda error: ([(b"x-code", error.code.encode())], b"refused"),
    mock.Mock(),
)


def _route(kind, prefix, attempts, *, resumable=False):
    return Route(
        prefix,
        "h",
        prefix,
        kind,
        5.0,
        1.0,
        0,
        (("s", 1.0),),
        attempts,
        public=True,
        resumable=resumable,
        pause_s=0.25,
    )


ROUTES = (
    _route(UNSAFE, "/unsafe/", 1),
    _route(SAFE, "/safe/", 2),
    _route(STREAMING, "/stream/", 1),
    _route(STREAMING, "/resumable/", 2, resumable=True),
)


class CallerReply:
    """What a caller got; ``complete`` unless its framing shows that it was cut."""

    def __init__(self, status, headers, body, *, complete):
        self.status, self.headers, self.body = status, headers, body
        self.complete = complete

    def is_success(self):
        return self.complete and 200 <= self.status < 300


class CuttingFleet:
    """One gateway and backend servers that write the planned replies."""

    def __init__(self, backends=1, retry_slack=1_000.0):
        self._ips = BACKEND_IPS[:backends]
        self._retry_slack = retry_slack
        # The replies to the next requests: bytes, or a function of the request's
        # headers, and how the connection ends.
        self.planned = []
        # The headers of the requests that backend servers got.
        self.arrived = []
        self.accepted = 0
        # Errors that the gateway had not expected.
        self.internal_errors = []
        self._numbers = itertools.count()

    async def _serve(self, reader, writer):
        self.accepted += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            ending = KEEP
            while ending == KEEP:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = [line.partition(b": ") for line in head.split(b"\r\n")[1:]]
                headers = {name.lower(): value for name, _, value in lines if name}
                await reader.readexactly(int(headers[b"content-length"]))
                self.arrived.append(headers)
                reply, ending = self.planned.pop(0)
                writer.write(reply(headers) if callable(reply) else reply)
                await writer.drain()
            if ending == RESET:
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    @contextlib.asynccontextmanager
    async def running(self):
        loop = asyncio.get_running_loop()
        # Thousands of requests; the debug mode doubles the time for each.
        loop.set_debug(False)
        loop.set_exception_handler(
            lambda loop, context: self.internal_errors.append(context)
        )
        async with contextlib.AsyncExitStack() as stack:
            addresses = []
            for ip in self._ips:
                server = await asyncio.start_server(self._serve, ip, 0)
                stack.callback(server.close)
                addresses.append(f"{ip}:{server.sockets[0].getsockname()[1]}")
            self._make_gateway(addresses)
            stack.callback(self._pool.close_all_idle)
            front = serving_http(
                f"{FRONT_IP}:{FRONT_PORT}",
                lambda *request: self._gateway.handle(*request),
                lambda: LIMITS,
                DIALECT.refusal,
            )
            await stack.enter_async_context(front)
            yield self

    def _make_gateway(self, addresses):
        view = ClusterView()
        view.leader_contact_s = boot_clock_s() + 3_600.0
        view.configuration = GatewayConfiguration(
            1,
            ROUTES,
            {"s": Service("s", 10, None)},
            LIMITS,
            {},
            {},
            needs_keys=False,
        )
        view.base_versions = {"s": ""}
        view.host_count = 1
        for number, address in enumerate(addresses):
            announcement = Announcement(
                f"i-{number}", "s", address, "dc", READY, 1, 1, 9, ()
            )
            view.backends.update(announcement, boot_clock_s() + 3_600.0)
        log = mock.Mock()
        log.line = self._note_line
        rate = mock.Mock()
        rate.spending = lambda exchange: contextlib.nullcontext()
        self._pool = BackendPool()
        self._gateway = Gateway(
            view,
            DIALECT,
            self._pool,
            mock.Mock(),
            make_gate(),
            rate,
            RetryBudget(0.0, self._retry_slack, 3_600.0),
            CrashController(mock.Mock(), view, log),
            StreamVersions(mock.Mock(), view, log),
            mock.Mock(),
            lambda *observed: None,
            "dc",
            log,
            mock.Mock(),
        )

    def _note_line(self, kind, **fields):
        if kind == "internal_error":
            self.internal_errors.append(fields)

    async def ask(self, kind, *planned, method="POST", version="1.1"):
        """Return what a caller gets; forget the requests that arrived before."""
        self.planned = list(planned)
        self.arrived.clear()
        reader, writer = await asyncio.open_connection(FRONT_IP, FRONT_PORT)
        writer.write(
            f"{method} /{kind}/{next(self._numbers)} HTTP/{version}\r\nHost: h\r\n"
            "Request-Id: r-1\r\nContent-Length: 0\r\n\r\n".encode()
        )
        try:
            async with asyncio.timeout(8.0):
                reply = await _read_reply_of_caller(reader, method)
        finally:
            writer.close()
        assert not self.internal_errors, self.internal_errors
        return reply


async def _read_reply_of_caller(reader, method):
    framing = h11.Connection(h11.CLIENT)
    framing.send(h11.Request(method=method, target="/", headers=[("host", "h")]))
    framing.send(h11.EndOfMessage())
    status, headers, body = _UNKNOWN_STATUS, {}, b""
    try:
        while True:
            event = framing.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65_536)
                framing.receive_data(data)
                if not data and framing.their_state is h11.SEND_RESPONSE:
                    return CallerReply(status, headers, body, complete=False)
            elif isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return CallerReply(status, headers, body, complete=True)
    except (h11.RemoteProtocolError, ConnectionError):
        return CallerReply(status, headers, body, complete=False)


__all__ = ["CLOSE", "KEEP", "RESET", "CallerReply", "CuttingFleet"]
