"""Reads the requests of one connection: strict parsing within the given limits."""

import asyncio

import h11

from damaskvalve_core import RefusedError, boot_clock_s
from damaskvalve_core._buffer_budget import (
    EXEMPT_MESSAGE_BYTES,
    FIELD_BYTES,
    BufferBudgetExceededError,
    BufferReservation,
)
from damaskvalve_core._turn_limit import TurnLimit
from damaskvalve_core.http._bounded_reader import READ_BYTES, BoundedReader
from damaskvalve_core.http._request import IncomingRequest, ServerLimits
from damaskvalve_core.http._request_validation import (
    check_framing,
    check_header_lines,
    has_bare_line_feed,
)

# Retry-After of requests that are refused because bodies use up the budget. By then,
# some of the bodies are complete or discarded.
BODIES_RETRY_AFTER_S = 1.0
# Size at which the newest part of a body becomes a block.
BLOCK_BYTES = 64 * 1024
# Number of unread bytes of requests that are sent ahead.
SENT_AHEAD_BYTES = 8 * 1024


class _BodyBuffer:
    """A body that grows by blocks of equal size.

    Many that grow at the same time would otherwise scatter the heap with gaps.
    """

    __slots__ = ("size_bytes", "_blocks", "_last")

    def __init__(self) -> None:
        self.size_bytes = 0
        self._blocks: list[bytes] = []
        self._last = bytearray()

    def add(self, data: bytes) -> None:
        """Append some bytes."""
        self.size_bytes += len(data)
        self._last += data
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last = bytearray()

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join([*self._blocks, self._last])


class RequestReader(BoundedReader):
    """The receiving side of a caller's connection."""

    _max_ahead_bytes = SENT_AHEAD_BYTES

    def __init__(self) -> None:
        super().__init__()
        self._turn = TurnLimit()
        self._caller_gone = False
        # Size of one read while the rest of a request is awaited; 0 otherwise.
        self._awaited_bytes = 0
        # Refuses the request that is being read; None if it is not refused.
        self._refusal: RefusedError | None = None
        self.idle = True
        self.idle_since_s = boot_clock_s()
        self.peer = ""

    def get_buffer(self, sizehint: int) -> memoryview:
        buffer = super().get_buffer(sizehint)
        if self._awaited_bytes:
            return buffer[: self._awaited_bytes]
        # What is sent ahead stays with the kernel, whose window stops the caller.
        return buffer[: max(1, SENT_AHEAD_BYTES + 1 - len(self._unread))]

    def write(self, data: bytes) -> None:
        """Queue bytes to send to the caller."""
        raise NotImplementedError

    def make_room(self, reservation: BufferReservation) -> bool:
        """Discard a larger request that is not complete; return False if none is."""
        raise NotImplementedError

    def _reserve(self, reservation: BufferReservation, size_bytes: int) -> None:
        """Reserve bytes of a request; refuse it if they exceed the shared limit."""
        try:
            reservation.add(size_bytes)
        except BufferBudgetExceededError as error:
            is_small = reservation.size_bytes <= EXEMPT_MESSAGE_BYTES
            if is_small and self.make_room(reservation):
                return
            raise RefusedError(
                503, "bodies_too_large", str(error), retry_after_s=BODIES_RETRY_AFTER_S
            ) from error

    async def _wait_for_data(
        self, timeout_s: float | None, read_bytes: int = 0
    ) -> bool:
        """Wait for more data; return False on a disconnect or a timeout.

        ``read_bytes`` is the size of one read if the rest of a request is awaited.
        """
        if self._caller_gone:
            return False
        # A head may be larger than what is read ahead.
        self._resume_reading()
        self._check_refusal()
        self._received.clear()
        self._awaited_bytes = read_bytes
        try:
            await asyncio.wait_for(self._received.wait(), timeout_s)
        except TimeoutError:
            # Data may have arrived as the timeout passed.
            if not self._received.is_set():
                return False
        finally:
            self._awaited_bytes = 0
        self._turn.begin_turn()
        self._check_refusal()
        return not self._caller_gone

    def _check_refusal(self) -> None:
        """Raise the refusal of the request that is being read, if it is refused."""
        if self._refusal is not None:
            raise self._refusal

    async def _read_request(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        reservation: BufferReservation,
    ) -> IncomingRequest | None:
        """Return the next request, or None if the caller disconnects or stays idle."""
        self.idle, self.idle_since_s = True, boot_clock_s()
        while not self._unread:
            if not await self._wait_for_data(limits.idle_timeout_s):
                return None
        self.idle = False
        head = await self._read_head(limits, reservation)
        if head is None:
            return None
        try:
            framing.receive_data(head)
            request = framing.next_event()
        except h11.RemoteProtocolError as error:
            raise RefusedError(400, "bad_request", str(error)) from error
        if not isinstance(request, h11.Request):
            raise RefusedError(400, "bad_request", "the request head is incomplete")
        check_framing(request)
        body = await self._read_body(framing, limits, reservation)
        return IncomingRequest(
            request.method.decode("ascii"),
            request.target.decode("latin-1"),
            list(request.headers),
            body,
            self.peer,
        )

    async def _read_head(
        self, limits: ServerLimits, reservation: BufferReservation
    ) -> bytes | None:
        """Return the head of a request, or None if the caller disconnects."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + limits.header_timeout_s
        while True:
            if has_bare_line_feed(self._unread):
                raise RefusedError(
                    400,
                    "bad_line_end",
                    "a line of the request head does not end with CR LF",
                )
            end = self._unread.find(b"\r\n\r\n")
            if end > limits.header_bytes or (
                end < 0 and len(self._unread) > limits.header_bytes
            ):
                message = f"the headers exceed {limits.header_bytes} bytes"
                raise RefusedError(431, "headers_too_large", message)
            if end >= 0:
                fields = self._unread.count(b"\r\n", 0, end)
                self._reserve(reservation, end + fields * FIELD_BYTES)
                # Reading goes on, so that the end of the connection is noticed.
                head = self._take_unread(end + 4)
                check_header_lines(head)
                return head
            if not await self._wait_for_data(
                deadline_s - loop.time(), SENT_AHEAD_BYTES
            ):
                if self._caller_gone:
                    return None
                raise RefusedError(
                    408, "headers_too_slow", "the headers did not arrive in time"
                )

    async def _read_body(
        self,
        framing: h11.Connection,
        limits: ServerLimits,
        reservation: BufferReservation,
    ) -> bytes:
        body = _BodyBuffer()
        while True:
            await self._turn.step()
            try:
                event = framing.next_event()
            except h11.RemoteProtocolError as error:
                raise RefusedError(400, "bad_body", str(error)) from error
            if isinstance(event, h11.Data):
                body.add(event.data)
                self._reserve(reservation, len(event.data))
                if body.size_bytes > limits.body_bytes:
                    message = f"the body exceeds {limits.body_bytes} bytes"
                    raise RefusedError(413, "body_too_large", message)
            elif isinstance(event, h11.EndOfMessage):
                # Data after the body belongs to the next request.
                self._unread[:0] = framing.trailing_data[0]
                return body.join()
            else:
                await self._feed_body(framing, limits)

    async def _feed_body(self, framing: h11.Connection, limits: ServerLimits) -> None:
        if framing.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self.write(framing.send(continue_response) or b"")
        if not self._unread and not await self._wait_for_data(
            limits.idle_timeout_s, READ_BYTES
        ):
            raise RefusedError(408, "body_too_slow", "the body did not arrive in time")
        try:
            framing.receive_data(self._take_unread())
        except h11.RemoteProtocolError as error:
            raise RefusedError(400, "bad_body", str(error)) from error
