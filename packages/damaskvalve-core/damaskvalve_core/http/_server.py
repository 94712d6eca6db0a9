"""HTTP server for callers: strict parsing; responses are complete or visibly aborted.

h11 parses and frames the messages. It is used instead of cheroot, the usual server of
the project, because a stream has to be aborted without its last chunk and the
disconnect of a caller has to be detected at once.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable, Sequence

from damaskvalve_core import RefusedError, boot_clock_s, split_address
from damaskvalve_core._listen import open_server
from damaskvalve_core.http._connection_budget import TOO_MANY, ConnectionBudget
from damaskvalve_core.http._request import ServerLimits
from damaskvalve_core.http._server_connection import (
    RefusalFormatter,
    RequestHandler,
    ServerConnection,
)

BACKLOG = 512
# Maximum number of connections accepted before others that end are closed.
ACCEPT_BATCH = 4
# Interval between checks of callers with an unfinished response.
WATCH_INTERVAL_S = 1.0


class HttpServer:
    """Accepts connections on an address until it is stopped."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], ServerLimits],
        format_refusal: RefusalFormatter,
        budget: ConnectionBudget | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.budget = budget or ConnectionBudget()
        if max_connections is None:
            max_connections = self.budget.limits.caller_connections
        self.max_connections = max_connections
        self.tells_peer_state: bool | None = None
        self.handler = handler
        self.limits = limits
        self.format_refusal = format_refusal
        self.connections: set[ServerConnection] = set()
        # Whether the next response of each connection says that it closes.
        self.closing = False
        # Number of requests that are being handled.
        self.active = 0
        # The shared memory limit of the heads and bodies of all unanswered requests.
        self.body_budget = self.budget.message_budget()
        self._listener: asyncio.Server | None = None
        self._next_check: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Start accepting connections.

        Raises :class:`damaskvalve_core.OperatorError` if the address cannot be bound.
        """
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()

        async def open_once() -> asyncio.Server:
            sock = socket.create_server((ip, port))
            server = await loop.create_server(
                lambda: ServerConnection(self), sock=sock, backlog=ACCEPT_BATCH
            )
            # The event loop accepts as many at a time as it was told to queue.
            sock.listen(BACKLOG)
            return server

        self._listener = await open_server(open_once, address)

    def admit(self, now_s: float) -> bool:
        """Return whether there is room for a new connection.

        Close a connection whose caller makes no progress, if there is none.
        """
        if len(self.connections) < self.max_connections:
            return True
        holdings = [connection.holding for connection in self.connections]
        if self.budget.make_room(holdings, now_s):
            return True
        self.budget.observe(TOO_MANY, 1, self.budget.used_bytes)
        return False

    def watch(self) -> None:
        """Check connections with an unfinished response until there is none."""
        if self._next_check is None:
            loop = asyncio.get_running_loop()
            self._next_check = loop.call_later(WATCH_INTERVAL_S, self._check_peers)

    def _check_peers(self) -> None:
        self._next_check = None
        now_s = boot_clock_s()
        is_needed = self.active > 0
        for connection in list(self.connections):
            if connection.is_sending():
                is_needed = True
                reason = connection.check_peer(now_s)
                if reason is not None:
                    self.budget.observe(reason, 1, self.budget.used_bytes)
                    connection.evict(reason)
        if is_needed:
            self.watch()

    def stop_watching(self) -> None:
        """Check connections no longer."""
        if self._next_check is not None:
            self._next_check.cancel()
            self._next_check = None

    def close_after_response(self) -> None:
        """Close each connection after the next response, which says so.

        A response that has begun cannot say so; the connection is then kept for another
        one.

        This includes connections that were accepted before the listening socket was
        closed and are noticed afterwards.
        """
        self.closing = True
        for connection in self.connections:
            connection.closing = True

    def close_idle(self, now_s: float, min_idle_s: float = 0.0) -> None:
        """Close the connections on which no request has begun for some time."""
        for connection in list(self.connections):
            if connection.is_idle() and now_s >= connection.idle_since_s + min_idle_s:
                connection.close()

    def close_all(self) -> None:
        """Close all connections, which aborts the requests in progress."""
        for connection in list(self.connections):
            connection.close()

    def refuse_unread(self, refusal: RefusedError) -> None:
        """Refuse the requests of which some, but not all bytes have been read."""
        for connection in list(self.connections):
            connection.refuse_unread(refusal)

    def refuse_all(self, refusal: RefusedError) -> None:
        """Refuse the requests that are being read or handled."""
        for connection in list(self.connections):
            connection.refuse_unread(refusal)
            connection.refuse_handled(refusal)

    def is_open(self) -> bool:
        """Return whether a connection is open, or closes but has unsent bytes."""
        return bool(self.connections)

    def unsent_bytes(self) -> Sequence[int]:
        """Return, for each open connection, how much of its responses is unsent."""
        return [connection.unsent_bytes() for connection in self.connections]

    def stop_accepting(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()


@contextlib.asynccontextmanager
async def serving_http(
    address: str,
    handler: RequestHandler,
    limits: Callable[[], ServerLimits],
    format_refusal: RefusalFormatter,
    budget: ConnectionBudget | None = None,
    max_connections: int | None = None,
) -> AsyncIterator[HttpServer]:
    """Yield a server that listens on an address; close it and its connections.

    ``budget`` is shared by the servers of a process.
    """
    server = HttpServer(handler, limits, format_refusal, budget, max_connections)
    await server.listen(address)
    try:
        yield server
    finally:
        server.stop_accepting()
        server.close_all()
        server.stop_watching()
