"""One send of a request to one backend server, and its reply to the caller."""

import asyncio
from collections.abc import Callable

from damaskvalve_core import NotSentError, boot_clock_s
from damaskvalve_core.http import (
    BackendConnection,
    BackendFailedError,
    BackendPool,
    ReplyHead,
)
from damaskvalve_gateway._backends import Backend
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._events import EventSplitter, first_event_id
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import STREAMING

# The request was answered to the caller.
ANSWERED = "answered"
# The backend server has not run the request and never will.
NOT_RUN = "not-run"
# The backend server failed the request and said so; it may be tried elsewhere.
FAILED = "failed"
# The connection broke; the request may have run.
BROKEN = "broken"

# A request that may not be repeated goes only over a connection that was just used:
# one that the other side drops meanwhile would leave its outcome unknown.
UNSAFE_IDLE_S = 0.5
ANY_IDLE_S = 60.0
# Callers give a stream up after a gap of two seconds at the least; after this one a
# stream that may be resumed goes on elsewhere.
STREAM_GAP_S = 2.2
# The same before the first event: a permit is given when the prompt can be read, which
# takes some 0.2 s, and callers hope for it within a second.
FIRST_EVENT_S = 1.5
MAX_WHOLE_BYTES = 16 * 1024 * 1024

_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"proxy-connection", b"te")
    + (b"trailer", b"upgrade")
)


class Failure:
    """A failure that a backend server answered, kept to be relayed if need be."""

    __slots__ = ("head", "body")

    def __init__(self, head: ReplyHead, body: bytes) -> None:
        self.head = head
        self.body = body


class Send:
    """Sends a request over one connection and relays what comes back."""

    def __init__(
        self,
        exchange: Exchange,
        backend: Backend,
        adapter_version: int,
        pool: BackendPool,
        dialect: Dialect,
        started: Callable[[], None],
    ) -> None:
        self._exchange = exchange
        self._backend = backend
        self._adapter_version = adapter_version
        self._pool = pool
        self._dialect = dialect
        # Called when the first event or the answer has come.
        self._started = started
        self.failure: Failure | None = None
        self.reason = ""

    async def run(self) -> str:
        """Send the request; return what became of it."""
        exchange, backend = self._exchange, self._backend
        instance_id = backend.announcement.instance_id
        began_s = boot_clock_s()
        unsafe = not exchange.route.may_repeat()
        max_idle_s = UNSAFE_IDLE_S if unsafe else ANY_IDLE_S
        try:
            connection = await self._pool.take(
                instance_id, backend.announcement.address, began_s, max_idle_s
            )
        except NotSentError as error:
            backend.note_broken(began_s)
            self.reason = str(error)
            return NOT_RUN
        backend.active += 1
        try:
            outcome = await self._over(connection, began_s)
        except BackendFailedError as error:
            connection.close()
            self.reason = str(error)
            backend.note_broken(boot_clock_s())
            return BROKEN
        except TimeoutError:
            connection.close()
            raise
        except BaseException:
            connection.close()
            raise
        finally:
            backend.active -= 1
        return outcome

    async def _over(self, connection: BackendConnection, began_s: float) -> str:
        exchange, backend = self._exchange, self._backend
        instance_id = backend.announcement.instance_id
        plan = exchange.plan(instance_id, self._adapter_version, boot_clock_s())
        request = exchange.request
        headers = self._dialect.backend_headers(request, plan)
        exchange.sends += 1
        exchange.runs += 1
        exchange.tried.add(instance_id)
        connection.send(request.method, request.target, headers, request.body)
        head = await self._within(connection.head(), FIRST_EVENT_S)
        mark = self._dialect.read_reply(head.status, head.headers)
        if mark.not_run:
            exchange.runs -= 1
            await self._whole(connection, head)
            self.reason = f"status {head.status}, not run"
            return NOT_RUN
        if mark.request_id != request.request_id or mark.encoded:
            raise BackendFailedError("the reply belongs to another request")
        if exchange.route.kind == STREAMING and 200 <= head.status < 300:
            return await self._relay_stream(connection, head, began_s)
        body = await self._whole(connection, head)
        return await self._relay_whole(head, body, began_s)

    async def _within(self, step, limit_s):  # type: ignore[no-untyped-def]
        """Await a step; a stream that may be resumed waits only so long for it."""
        exchange = self._exchange
        if exchange.route.kind != STREAMING or not exchange.may_run_again():
            return await step
        try:
            async with asyncio.timeout(limit_s):
                return await step
        except TimeoutError as error:
            raise BackendFailedError(f"silent for {limit_s} s") from error

    async def _whole(self, connection: BackendConnection, head: ReplyHead) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            piece = await connection.piece()
            if piece is None:
                break
            parts.append(piece)
            size += len(piece)
            if size > MAX_WHOLE_BYTES:
                raise BackendFailedError("the reply is too large")
        now_s = boot_clock_s()
        connection.complete(head, now_s)
        instance_id = self._backend.announcement.instance_id
        self._pool.give_back(instance_id, connection, now_s)
        return b"".join(parts)

    async def _relay_whole(self, head: ReplyHead, body: bytes, began_s: float) -> str:
        exchange = self._exchange
        failed = head.status >= 500
        if failed:
            self._backend.note_error()
            self.failure = Failure(head, body)
            if exchange.may_run_again() and not exchange.responder.started:
                self.reason = f"status {head.status}"
                return FAILED
        else:
            self._backend.note_success(boot_clock_s() - began_s)
        self._started()
        if exchange.responder.started:
            # A resumed stream cannot take another status.
            raise BackendFailedError(f"status {head.status} in place of a stream")
        await relay(exchange, head, body)
        return ANSWERED

    async def _relay_stream(
        self, connection: BackendConnection, head: ReplyHead, began_s: float
    ) -> str:
        exchange = self._exchange
        responder = exchange.responder
        splitter = EventSplitter(exchange.last_event_id)
        while True:
            limit_s = FIRST_EVENT_S if exchange.first_event_s is None else STREAM_GAP_S
            piece = await self._within(connection.piece(), limit_s)
            if piece is None:
                break
            events = splitter.feed(piece)
            if splitter.is_too_large():
                raise BackendFailedError("an event without an end")
            if not events:
                continue
            self._check_order(events)
            if not responder.started:
                await responder.start(head.status, reply_headers(head))
            now_s = boot_clock_s()
            if exchange.first_event_s is None:
                self._backend.note_success(now_s - began_s)
            exchange.note_events(now_s)
            self._started()
            await responder.write(events)
            exchange.last_event_id = splitter.last_event_id
        if splitter.has_part():
            raise BackendFailedError("the stream ends inside an event")
        now_s = boot_clock_s()
        connection.complete(head, now_s)
        instance_id = self._backend.announcement.instance_id
        self._pool.give_back(instance_id, connection, now_s)
        if not responder.started:
            await responder.start(head.status, reply_headers(head))
        await responder.finish()
        return ANSWERED

    def _check_order(self, events: bytes) -> None:
        """Refuse events of a resumed run that repeat or skip what the caller has."""
        last = self._exchange.last_event_id
        first = first_event_id(events)
        if last is None or first is None or self._exchange.first_event_s is None:
            return
        if first <= last:
            raise BackendFailedError(f"event {first} after event {last}")


def reply_headers(head: ReplyHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of a reply that concern more than one connection."""
    return [(name, value) for name, value in head.headers if name not in _HOP_HEADERS]


async def relay(exchange: Exchange, head: ReplyHead, body: bytes) -> None:
    """Answer the caller with a backend server's whole reply."""
    headers = reply_headers(head)
    responder = exchange.responder
    if exchange.request.method == "HEAD" or head.status in (204, 304):
        await responder.start(head.status, headers)
        await responder.finish()
        return
    await responder.send(head.status, headers, body)


__all__ = [
    "ANSWERED",
    "BROKEN",
    "FAILED",
    "NOT_RUN",
    "Failure",
    "Send",
    "relay",
]
