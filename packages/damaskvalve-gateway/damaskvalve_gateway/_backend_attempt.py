"""One send of a request to one backend server, and its reply to the caller."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from damaskvalve_core import NotSentError, boot_clock_s
from damaskvalve_core.http import (
    BackendConnection,
    BackendFailedError,
    BackendPool,
    BackendTimeoutError,
    BufferBudgetExceededError,
    ReplyHead,
)
from damaskvalve_gateway._backends import Backend
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._events import EventSplitter, first_event_id, has_event
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import STREAMING, ReplyMetadata
from damaskvalve_gateway._stall import (
    StallWatch,
    first_event_limit_s,
    pause_limit_s,
)

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
MAX_WHOLE_BYTES = 16 * 1024 * 1024
# A reply that says that the request has not run is complete with its head; its body
# is read so far only to keep the connection.
REFUSAL_BODY_BYTES = 64 * 1024
REFUSAL_BODY_S = 0.1
# The status of a reply that may be another instance's, at an address used again.
MISDIRECTED = 421

_T = TypeVar("_T")

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


class BackendAttempt:
    """Sends a request over one connection and relays what comes back."""

    def __init__(
        self,
        exchange: Exchange,
        backend: Backend,
        adapter_version: int,
        pool: BackendPool,
        dialect: Dialect,
        started: Callable[[], None],
        note_leaving: Callable[[Backend], None],
    ) -> None:
        self._exchange = exchange
        self._backend = backend
        self._adapter_version = adapter_version
        self._pool = pool
        self._dialect = dialect
        # Called when the first event or the answer has come.
        self._started = started
        # Called when the reply says that the backend server has begun to leave.
        self._note_leaving = note_leaving
        # What became of it, once it has run, and why.
        self.outcome = ""
        self.reason = ""
        self.failure: Failure | None = None
        # Whether the request may be running: it was sent, and no whole reply has come.
        self.is_running = False
        # Whether the connection ended or went wrong under it.
        self.is_broken = False
        # Whether the request has run to a good end.
        self.ended_well = False

    async def run(self) -> str:
        """Send the request; return what became of it."""
        self.outcome = await self._run()
        return self.outcome

    async def _run(self) -> str:
        exchange, backend = self._exchange, self._backend
        instance_id = backend.announcement.instance_id
        began_s = boot_clock_s()
        unsafe = not exchange.route.is_repeatable()
        max_idle_s = UNSAFE_IDLE_S if unsafe else ANY_IDLE_S
        try:
            connection = await self._pool.take(
                instance_id, backend.announcement.address, began_s, max_idle_s
            )
        except NotSentError as error:
            backend.note_broken(began_s)
            self.reason = str(error)
            return NOT_RUN
        now_s = boot_clock_s()
        if not backend.takes_work(now_s) or exchange.left_s(now_s) <= 0:
            # It changed, or this host was suspended, while the connection was made.
            self._pool.give_back(instance_id, connection, now_s)
            self.reason = "the backend server takes no work any more"
            return NOT_RUN
        backend.active += 1
        try:
            outcome = await self._over(connection, began_s)
        except BackendFailedError as error:
            connection.close()
            self.reason = str(error)
            self.is_broken = not isinstance(error, BackendTimeoutError)
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
        plan = exchange.forwarding_fields(
            instance_id, self._adapter_version, boot_clock_s()
        )
        request = exchange.request
        headers = self._dialect.backend_headers(request, plan)
        exchange.attempts += 1
        exchange.runs += 1
        exchange.tried.add(instance_id)
        self.is_running = True
        connection.send(request.method, request.target, headers, request.body)
        head = await self._head(connection, began_s)
        metadata = self._dialect.read_reply(head.status, head.headers)
        # A refusal may name no request; one that names another is a second copy, and
        # says nothing of whether this request runs.
        if metadata.request_id != request.request_id and (
            metadata.request_id or not metadata.not_run
        ):
            raise BackendFailedError("the reply belongs to another request")
        self._take_wishes(head, metadata)
        if metadata.not_run:
            self.is_running = False
            exchange.runs -= 1
            await self._skip_refusal(connection, head)
            self.reason = f"status {head.status}, not run"
            return NOT_RUN
        if metadata.encoded:
            raise BackendFailedError("the reply was encoded on its way")
        if exchange.route.kind == STREAMING and 200 <= head.status < 300:
            return await self._relay_stream(connection, head, began_s)
        body = await self._whole(connection, head)
        self._note_end(head)
        return await self._relay_whole(head, body, began_s)

    def _note_end(self, head: ReplyHead) -> None:
        """Note that the reply is whole.

        Other statuses than success may come from before the request has run.
        """
        self.is_running = False
        self.ended_well = 200 <= head.status < 300

    def _take_wishes(self, head: ReplyHead, metadata: ReplyMetadata) -> None:
        """Act on what a backend server says of further requests."""
        if head.status == MISDIRECTED:
            return
        if metadata.leaving:
            self._note_leaving(self._backend)
        if metadata.backoff_s > 0:
            self._backend.keep_off(metadata.backoff_s, boot_clock_s())

    async def _skip_refusal(
        self, connection: BackendConnection, head: ReplyHead
    ) -> None:
        """Read a refusal's body if it comes at once; else give up the connection."""
        try:
            async with asyncio.timeout(REFUSAL_BODY_S):
                await self._whole(connection, head, REFUSAL_BODY_BYTES)
        except (BackendFailedError, TimeoutError) as error:
            connection.close()
            self.reason = f"the body of a refusal did not end: {error}"

    async def _head(self, connection: BackendConnection, began_s: float) -> ReplyHead:
        if self._exchange.route.kind != STREAMING:
            return await connection.head()
        watch = StallWatch(first_event_limit_s(self._exchange), began_s)
        return await _watched(connection.head, watch)

    async def _whole(
        self,
        connection: BackendConnection,
        head: ReplyHead,
        max_bytes: int = MAX_WHOLE_BYTES,
    ) -> bytes:
        parts: list[bytes] = []
        with self._pool.reply_memory.holding() as held:
            while True:
                piece = await connection.piece()
                if piece is None:
                    break
                parts.append(piece)
                try:
                    held.add(len(piece))
                except BufferBudgetExceededError as error:
                    raise BackendFailedError(str(error)) from error
                if held.size > max_bytes:
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
        # What counts as a sign of life is a whole event: bytes of one that never ends,
        # or comments, do not keep a stream.
        watch = StallWatch(first_event_limit_s(exchange), began_s)
        while True:
            piece = await _watched(connection.piece, watch)
            if piece is None:
                break
            events = splitter.feed(piece)
            if splitter.is_too_large():
                raise BackendFailedError("an event without an end")
            if not has_event(events):
                if watch.is_stalled(boot_clock_s()):
                    raise BackendTimeoutError(f"no event for {watch.limit_s:.2f} s")
                if events and responder.started:
                    await responder.write(events)
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
            watch = StallWatch(pause_limit_s(exchange), boot_clock_s())
        if splitter.has_partial_event():
            raise BackendFailedError("the stream ends inside an event")
        self._note_end(head)
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


async def _watched(step: Callable[[], Awaitable[_T]], watch: StallWatch) -> _T:
    """Await a step of a stream, which may be begun anew, until the stream stalls."""
    while True:
        try:
            async with asyncio.timeout(watch.left_s(boot_clock_s())):
                return await step()
        except TimeoutError as error:
            if watch.is_stalled(boot_clock_s()):
                raise BackendTimeoutError(
                    f"no event for {watch.limit_s:.2f} s"
                ) from error


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
    "BackendAttempt",
    "Failure",
    "relay",
]
