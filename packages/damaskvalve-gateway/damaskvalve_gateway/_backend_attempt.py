"""One attempt of a request on one backend server, relaying its reply to the caller."""

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
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._connection_reuse import max_idle_s
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    first_event_id,
    foreign_line,
    has_event,
)
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import STREAMING, ReplyMetadata
from damaskvalve_gateway._stall import (
    StallWatch,
    caller_timeout_s,
    first_event_limit_s,
    pause_limit_s,
)
from damaskvalve_gateway._stream_versions import NotRecordedError

# The reply was relayed to the caller.
ANSWERED = "answered"
# The backend server has not run the request and will not run it.
NOT_RUN = "not-run"
# The backend server replied with a failure; another one may be tried.
FAILED = "failed"
# The connection broke; the request may have run.
BROKEN = "broken"

# Forces a new connection.
NEVER_REUSED_S = -1.0
MAX_REPLY_BODY_BYTES = 16 * 1024 * 1024
# The head of a reply that refuses the request is sufficient. The body is read only so
# that the connection can be reused, and only within these limits.
MAX_REFUSAL_BODY_BYTES = 64 * 1024
REFUSAL_BODY_TIMEOUT_S = 0.1
# A reply with this status may come from another instance that reuses the address.
MISDIRECTED_STATUS = 421

STREAM_TYPE = b"text/event-stream"

_T = TypeVar("_T")

#: Called with a backend server, the metadata of a reply from it, the time at which the
#: request was sent, and the time at which the head of the reply was read.
ReplyCallback = Callable[[Backend, ReplyMetadata, float, float], None]

_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"proxy-connection", b"te")
    + (b"trailer", b"upgrade")
)


class FailureReply:
    """A failure reply, kept so that it can be relayed if no attempt succeeds."""

    __slots__ = ("head", "body")

    def __init__(self, head: ReplyHead, body: bytes) -> None:
        self.head = head
        self.body = body


class BackendAttempt:
    """Sends a request over one connection and relays the reply."""

    def __init__(
        self,
        exchange: Exchange,
        backend: Backend,
        adapter_version: int,
        pool: BackendPool,
        dialect: Dialect,
        on_started: Callable[[], None],
        on_reply: ReplyCallback,
        may_send: Callable[[float], bool],
        await_recorded: Callable[[], Awaitable[None]] | None = None,
        can_go_on_elsewhere: Callable[[], bool] = lambda: True,
    ) -> None:
        self._exchange = exchange
        self._backend = backend
        self._adapter_version = adapter_version
        self._pool = pool
        self._dialect = dialect
        # Called for each group of events that is relayed, and for a whole reply.
        self._on_started = on_started
        # Called for each reply that the backend server sent to this request.
        self._on_reply = on_reply
        # Called right before the request is sent; False if it may not be sent now.
        self._may_send = may_send
        # Called before the first event of a stream is relayed; None if the stream needs
        # no record of the software version that begins it.
        self._await_recorded = await_recorded
        # Called when a stream has stalled; False if it is kept for as long as its
        # caller waits.
        self._can_go_on_elsewhere = can_go_on_elsewhere
        # The outcome and its reason, set by run(). The reason is empty if the outcome
        # is ANSWERED.
        self.outcome = ""
        self.reason = ""
        # The failure reply, None if none has arrived.
        self.failure: FailureReply | None = None
        # Whether the request was sent and no complete reply has arrived.
        self.may_be_running = False
        # Whether the connection closed or the reply was invalid. A time-out does not
        # count.
        self.connection_broke = False
        # Number of groups of events that this attempt has relayed.
        self.event_groups = 0
        # When the backend server began its answer: a stream with its first event, any
        # other reply after the request was sent at the earliest.
        self._began_s = 0.0
        # Whether another attempt, or an earlier request, has brought the first events.
        self._goes_on = exchange.last_event_id is not None
        # Whether a complete reply with a 2xx status has arrived.
        self.succeeded = False
        # The size of the failure reply of an earlier attempt, which is still kept.
        self._kept_bytes = 0
        # What the head of the reply takes in memory.
        self._head_bytes = 0

    async def run(self) -> str:
        """Send the request and relay the reply; return the outcome."""
        reply_buffer = self._exchange.reply_buffer
        self._kept_bytes = reply_buffer.size_bytes
        try:
            self.outcome = await self._run()
        finally:
            if self.failure is None:
                reply_buffer.resize(self._kept_bytes)
        return self.outcome

    async def _run(self) -> str:
        exchange, backend = self._exchange, self._backend
        instance_id = backend.announcement.instance_id
        started_at_s = boot_clock_s()
        idle_s = max_idle_s(exchange)
        if instance_id in exchange.tried_instances:
            # The earlier reply to this request might be repeated on its connection.
            idle_s = NEVER_REUSED_S
        try:
            connection = await self._pool.acquire(
                instance_id, backend.announcement.address, started_at_s, idle_s
            )
        except NotSentError as error:
            backend.note_connection_failure(started_at_s)
            self.reason = str(error)
            return NOT_RUN
        now_s = boot_clock_s()
        if not backend.takes_work(now_s) or exchange.left_s(now_s) <= 0:
            # The backend server's state changed, or this host was suspended, while the
            # connection was established.
            self._pool.release(instance_id, connection, now_s)
            self.reason = (
                "backend server stopped accepting requests, or deadline passed"
            )
            return NOT_RUN
        if not self._may_send(now_s):
            self._pool.release(instance_id, connection, now_s)
            self.reason = "the backend server's request limit allows no request now"
            return NOT_RUN
        backend.active += 1
        try:
            outcome = await self._send_and_relay(connection, started_at_s)
        except BackendFailedError as error:
            connection.close()
            self.reason = str(error)
            self.connection_broke = not isinstance(error, BackendTimeoutError)
            backend.note_connection_failure(boot_clock_s())
            return BROKEN
        except NotRecordedError as error:
            # The backend server is not to blame.
            connection.close()
            self.reason = str(error)
            return BROKEN
        except BaseException:
            connection.close()
            raise
        finally:
            backend.active -= 1
        return outcome

    async def _send_and_relay(
        self, connection: BackendConnection, started_at_s: float
    ) -> str:
        exchange, backend = self._exchange, self._backend
        instance_id = backend.announcement.instance_id
        fields = exchange.forwarding_fields(
            instance_id, self._adapter_version, boot_clock_s()
        )
        request = exchange.request
        headers = self._dialect.backend_headers(request, fields)
        exchange.attempts += 1
        exchange.runs += 1
        exchange.tried_instances.add(instance_id)
        backend.sent_count += 1
        self.may_be_running = True
        sent_s = self._began_s = boot_clock_s()
        connection.send(request.method, request.target, headers, request.body)
        head = await self._read_head(connection, started_at_s)
        self._head_bytes = head.memory_bytes()
        read_s = boot_clock_s()
        metadata = self._dialect.read_reply(head.status, head.headers)
        self._check_request_id(metadata, connection)
        self._apply_availability(head, metadata, sent_s, read_s)
        if metadata.not_run:
            self.may_be_running = False
            exchange.runs -= 1
            await self._drain_refusal(connection, head)
            self.reason = f"status {head.status}, the request was not run"
            return NOT_RUN
        if metadata.encoded:
            raise BackendFailedError(
                "the reply has a content encoding added in transit"
            )
        self._check_signature(head, metadata)
        if exchange.route.kind == STREAMING and 200 <= head.status < 300:
            return await self._relay_stream(connection, head, started_at_s)
        body = await self._read_body(connection, head)
        self._note_complete_reply(head)
        return await self._relay_whole(head, body, started_at_s)

    def _check_request_id(
        self, metadata: ReplyMetadata, connection: BackendConnection
    ) -> None:
        """Raise :class:`BackendFailedError` unless a reply is one to this request.

        A duplicate of an earlier reply does not show whether this request runs. A
        refusal may lack a request id; on a connection that carried another request
        before, it may be a duplicate too.
        """
        if metadata.request_id == self._exchange.request.request_id:
            return
        if metadata.request_id:
            raise BackendFailedError("the reply carries the id of another request")
        if metadata.backoff_s > 0:
            # Whichever request it refuses, the backend server wants none for a while.
            self._backend.back_off(metadata.backoff_s, boot_clock_s())
        if not metadata.not_run or connection.request_count > 1:
            raise BackendFailedError("the reply carries no request id")

    @staticmethod
    def _check_signature(head: ReplyHead, metadata: ReplyMetadata) -> None:
        """Raise :class:`BackendFailedError` for a success without a signature."""
        if 200 <= head.status < 300 and not metadata.signed:
            raise BackendFailedError("the reply is a success without a signature")

    def _note_event(self, now_s: float) -> None:
        if not self.event_groups:
            self._began_s = now_s
        self.event_groups += 1

    def proved_sound_at_s(self) -> float | None:
        """Return when the answer began if it succeeded, else None.

        A backend server may crash at any moment of an answer, so only a whole one, by
        one backend server, proves that the request does not crash it.
        """
        return self._began_s if self.succeeded and not self._goes_on else None

    def _note_complete_reply(self, head: ReplyHead) -> None:
        """Record that a complete reply has arrived.

        Only a 2xx status shows that the request has run: another status may have been
        sent before the request ran.
        """
        self.may_be_running = False
        self.succeeded = 200 <= head.status < 300

    def _apply_availability(
        self, head: ReplyHead, metadata: ReplyMetadata, sent_s: float, read_s: float
    ) -> None:
        """Apply what a reply says about its backend server.

        A misdirected reply is ignored: another instance may have sent it.
        """
        if head.status == MISDIRECTED_STATUS:
            return
        self._on_reply(self._backend, metadata, sent_s, read_s)
        if metadata.backoff_s > 0:
            self._backend.back_off(metadata.backoff_s, boot_clock_s())

    async def _drain_refusal(
        self, connection: BackendConnection, head: ReplyHead
    ) -> None:
        """Read the body of a refusal; close the connection if it takes too long."""
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
                await self._read_body(connection, head, MAX_REFUSAL_BODY_BYTES)
        except (BackendFailedError, TimeoutError) as error:
            connection.close()
            self.reason = (
                f"refused; connection closed, the body did not arrive: {error}"
            )

    async def _read_head(
        self, connection: BackendConnection, started_at_s: float
    ) -> ReplyHead:
        if self._exchange.route.kind != STREAMING:
            return await connection.read_head()
        watch = StallWatch(first_event_limit_s(self._exchange), started_at_s)
        return await self._await_until_stalled(connection.read_head, watch)

    async def _read_body(
        self,
        connection: BackendConnection,
        head: ReplyHead,
        max_bytes: int = MAX_REPLY_BODY_BYTES,
    ) -> bytes:
        body = bytearray()
        self._note_buffered(0)
        while (piece := await connection.read_chunk()) is not None:
            body += piece
            self._note_buffered(len(body))
            if len(body) > max_bytes:
                raise BackendFailedError("the reply body is too large")
        now_s = boot_clock_s()
        connection.finish_reply(head, now_s)
        instance_id = self._backend.announcement.instance_id
        self._pool.release(instance_id, connection, now_s)
        return bytes(body)

    def _note_buffered(self, size_bytes: int) -> None:
        """Count the head of the reply and what is buffered of its body.

        Raise :class:`BackendFailedError` if it is too much for all replies together.
        """
        try:
            self._exchange.reply_buffer.resize(
                self._kept_bytes + self._head_bytes + size_bytes
            )
        except BufferBudgetExceededError as error:
            raise BackendFailedError(str(error)) from error

    async def _relay_whole(
        self, head: ReplyHead, body: bytes, started_at_s: float
    ) -> str:
        exchange = self._exchange
        failed = head.status >= 500
        if failed:
            self._backend.note_error()
            self.failure = FailureReply(head, body)
            if exchange.may_run_again() and not exchange.responder.started:
                self.reason = f"status {head.status}"
                return FAILED
        else:
            self._backend.note_success(boot_clock_s() - started_at_s)
        self._on_started()
        if exchange.responder.started:
            # The caller has already received the status of the resumed stream.
            raise BackendFailedError(f"got status {head.status} on resuming a stream")
        await relay(exchange, head, body)
        return ANSWERED

    async def _relay_stream(
        self, connection: BackendConnection, head: ReplyHead, started_at_s: float
    ) -> str:
        exchange = self._exchange
        responder = exchange.responder
        splitter = EventSplitter(exchange.last_event_id)
        # What came before the first event, while no response has started.
        early_comments = bytearray()
        self._note_buffered(0)
        self._check_content_type(head)
        # Only complete events reset the stall timer. Neither comments nor the bytes of
        # an event that never ends keep a stream alive.
        watch = StallWatch(first_event_limit_s(exchange), started_at_s)
        while True:
            piece = await self._await_until_stalled(connection.read_chunk, watch)
            if piece is None:
                break
            events = splitter.feed(piece)
            self._note_buffered(splitter.buffered_bytes() + len(early_comments))
            if splitter.is_too_large():
                raise BackendFailedError("an event exceeds the size limit")
            line = foreign_line(events, self._dialect.event_fields)
            if line is not None:
                raise BackendFailedError(f"got {line[:80]!r} in place of an event")
            if not has_event(events):
                if self._is_given_up(watch, boot_clock_s()):
                    raise BackendTimeoutError(f"no event for {watch.limit_s:.2f} s")
                if responder.started and events:
                    await responder.write(events)
                elif events:
                    early_comments += events
                    if len(early_comments) > MAX_EVENT_BYTES:
                        raise BackendFailedError("the comments exceed the size limit")
                continue
            self._check_order(events)
            if exchange.software_version is None:
                if self._await_recorded is not None:
                    await self._await_recorded()
                exchange.software_version = self._backend.announcement.software_version
            if not responder.started:
                await responder.start(head.status, _stream_headers(head, exchange))
            now_s = boot_clock_s()
            if exchange.first_event_s is None:
                self._backend.note_success(now_s - started_at_s)
            exchange.note_events(now_s)
            self._note_event(now_s)
            self._on_started()
            await responder.write(bytes(early_comments) + events)
            early_comments.clear()
            exchange.last_event_id = splitter.last_event_id
            watch = StallWatch(pause_limit_s(exchange), boot_clock_s())
        if splitter.has_partial_event():
            raise BackendFailedError("the stream ended within an event")
        if not self.event_groups and not head.has_framing():
            raise BackendFailedError("the connection ended before the first event")
        self._note_complete_reply(head)
        now_s = boot_clock_s()
        connection.finish_reply(head, now_s)
        instance_id = self._backend.announcement.instance_id
        self._pool.release(instance_id, connection, now_s)
        if not responder.started:
            await responder.start(head.status, _stream_headers(head, exchange))
        if rest := bytes(early_comments) + splitter.partial_event():
            await responder.write(rest)
        await responder.finish()
        return ANSWERED

    async def _await_until_stalled(
        self, operation: Callable[[], Awaitable[_T]], watch: StallWatch
    ) -> _T:
        """Await an operation of a stream until the stream is given up.

        If the timeout passed because this process was suspended, or the stream is kept,
        the operation is started again. Raise :class:`BackendTimeoutError` if the stream
        is given up.
        """
        while True:
            try:
                async with asyncio.timeout(watch.left_s(boot_clock_s())):
                    return await operation()
            except TimeoutError as error:
                if self._is_given_up(watch, boot_clock_s()):
                    raise BackendTimeoutError(
                        f"no event for {watch.limit_s:.2f} s"
                    ) from error

    def _is_given_up(self, watch: StallWatch, now_s: float) -> bool:
        """Return whether a stream has stalled and is not kept."""
        if not watch.is_stalled(now_s):
            return False
        if self._can_go_on_elsewhere():
            return True
        return not watch.extend(caller_timeout_s(self._exchange))

    def _check_content_type(self, head: ReplyHead) -> None:
        """Raise :class:`BackendFailedError` if a stream would go on with other data."""
        content_type = head.header_value(b"content-type").strip().lower()
        goes_on = self._exchange.last_event_id is not None
        if goes_on and content_type and not content_type.startswith(STREAM_TYPE):
            raise BackendFailedError(f"the stream went on as {content_type[:80]!r}")

    def _check_order(self, events: bytes) -> None:
        """Raise :class:`BackendFailedError` if a resumed run repeats events."""
        last = self._exchange.last_event_id
        first = first_event_id(events)
        if last is None or first is None:
            return
        if first <= last:
            raise BackendFailedError(f"got event {first} after event {last}")


def reply_headers(head: ReplyHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of a reply without the hop-by-hop ones."""
    return [(name, value) for name, value in head.headers if name not in _HOP_HEADERS]


def _stream_headers(head: ReplyHead, exchange: Exchange) -> list[tuple[bytes, bytes]]:
    """Return the headers of a stream, without the length of this one reply.

    Another backend server may write the rest, and its length may differ.
    """
    if exchange.request.method == "HEAD":
        return reply_headers(head)
    return [item for item in reply_headers(head) if item[0] != b"content-length"]


async def relay(exchange: Exchange, head: ReplyHead, body: bytes) -> None:
    """Send a backend server's complete reply to the caller."""
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
    "FailureReply",
    "ReplyCallback",
    "relay",
]
