"""A scripted backend server on loopback, and attempts on it without a gateway."""

import asyncio
import contextlib
from unittest import mock

from damaskvalve_core import ChannelError, boot_clock_s
from damaskvalve_core.http import BackendPool, BufferBudget, BufferReservation
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backend_attempt import BackendAttempt
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import (
    READY,
    STREAMING,
    UNSAFE,
    Announcement,
    CallerRequest,
    ReplyMetadata,
    Route,
    Service,
)
from damaskvalve_gateway._send_gate import SendGate

IP = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    return chunk(b"id: %d\ndata: t%d\n\n" % (number, number))


LAST_CHUNK = b"0\r\n\r\n"


def read_reply(status, headers):
    values = dict(headers)
    return ReplyMetadata(
        values.get(b"request-id", b"").decode(),
        not_run=b"not-run" in values,
        encoded=False,
        leaving=b"leaving" in values,
        backoff_s=float(values.get(b"keep-off", 0)),
    )


DIALECT = Dialect(
    mock.Mock(),
    lambda request, fields: [(b"host", b"h"), (b"content-length", b"0")],
    read_reply,
    mock.Mock(),
    mock.Mock(),
    event_fields=(b"version-of-weights",),
)


class RecordingResponder:
    """Records the reply as the caller receives it."""

    def __init__(self):
        self.started = self.finished = False
        self.status, self.body = 0, b""

    async def send(self, status, headers, body):
        await self.start(status, headers)
        await self.write(body)
        await self.finish()

    async def start(self, status, headers):
        self.started, self.status = True, status

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.finished = True


def make_exchange(
    *, kind=STREAMING, resumable=False, objective_s=1.0, pause_s=0.25, timeout_s=30.0
):
    route = Route(
        "r",
        "h",
        "/",
        kind,
        timeout_s,
        objective_s,
        0,
        (("s", 1.0),),
        2,
        public=False,
        resumable=resumable,
        pause_s=pause_s,
    )
    request = CallerRequest("r-1", "POST", "/x", "h", (), b"")
    service = Service("s", 10, None)
    now_s = boot_clock_s()
    exchange = Exchange(request, route, None, service, RecordingResponder(), now_s, "")
    exchange.reply_buffer = BufferReservation(BufferBudget())
    return exchange


class ScriptedServer:
    """Runs a script for each request that arrives on a connection."""

    def __init__(self, script):
        self._script = script
        self.requests = 0
        self.closed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                await self._script(writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.closed.set()
            writer.close()

    @contextlib.asynccontextmanager
    async def listening(self):
        server = await asyncio.start_server(self._serve, IP, 0)
        port = server.sockets[0].getsockname()[1]
        try:
            yield f"{IP}:{port}"
        finally:
            server.close()


def backend_at(address, slots=1):
    announcement = Announcement("i-1", "s", address, "dc", READY, 1, 1, slots, ())
    return Backend(announcement, boot_clock_s())


async def no_leader(asks, returned):
    """Fail as a call for grants does while no leader is known."""
    raise ChannelError("this host knows no leader")


def make_gate(request_grants=no_leader, log=None):
    """Return a gate; by default it obtains no grants."""
    return SendGate(request_grants, mock.Mock(), log or mock.Mock())


def write_endlessly(data, every_s=0.0):
    """Return a script that writes the data over and over."""

    async def script(writer):
        while True:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(every_s)

    return script


def write_once(*parts):
    """Return a script that writes the parts and returns."""

    async def script(writer):
        for part in parts:
            writer.write(part)
            await writer.drain()

    return script


async def run_attempt(
    server,
    exchange,
    *,
    within_s,
    pool=None,
    backend=None,
    leaving_backends=None,
    may_send=lambda now_s: True,
):
    """Run one attempt; return its outcome, the reason and the time that it took."""
    async with server.listening() as address:
        backend = backend or backend_at(address)

        def note_reply(backend, metadata, sent_s, read_s):
            if metadata.leaving and leaving_backends is not None:
                leaving_backends.append(backend)

        pool = pool or BackendPool()
        attempt = BackendAttempt(
            exchange,
            backend,
            0,
            pool,
            DIALECT,
            lambda: None,
            note_reply,
            may_send,
        )
        started_at_s = boot_clock_s()
        async with asyncio.timeout(within_s):
            with pool.reply_budget.reserve() as exchange.reply_buffer:
                outcome = await attempt.run()
        return outcome, attempt.reason, boot_clock_s() - started_at_s


__all__ = [
    "CHUNKED",
    "DIALECT",
    "LAST_CHUNK",
    "OK",
    "UNSAFE",
    "RecordingResponder",
    "ScriptedServer",
    "backend_at",
    "chunk",
    "event",
    "make_exchange",
    "make_gate",
    "run_attempt",
    "write_endlessly",
    "write_once",
]
