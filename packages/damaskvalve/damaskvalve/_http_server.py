"""The HTTP server of an entry host, and its part of a planned stop."""

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import logbook
from cheroot import wsgi
from cheroot.workers.threadpool import WorkerThread

from damaskvalve._http import REQUEST_ID_KEY, new_request_id
from damaskvalve._settings import EntrySettings
from damaskvalve_core import PlannedStop, boot_clock_s, run_at_most, split_address

DRAIN_POLL_INTERVAL_S = 0.05
# A stopping host closes its server after this time without a request in flight.
IDLE_PERIOD_S = 0.5
# Part of the grace period that the end of the server leaves to what follows it.
LAST_RESERVE_S = 0.4
# Maximum number of requests that the line of those unfinished at a stop names.
MAX_UNFINISHED_LOGGED = 50

_log = logbook.Logger("entry")

WsgiApplication = Callable[[Mapping[str, Any], Callable[..., Any]], Iterable[bytes]]


class _OpenRequests:
    """The ids of the requests in flight."""

    __slots__ = ("_lock", "_ids")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ids: set[str] = set()

    def enter(self, request_id: str) -> None:
        with self._lock:
            self._ids.add(request_id)

    def leave(self, request_id: str) -> None:
        with self._lock:
            self._ids.discard(request_id)

    def ids(self) -> list[str]:
        with self._lock:
            return sorted(self._ids)


def _note_requests(
    application: WsgiApplication, requests: _OpenRequests
) -> WsgiApplication:
    def run(
        environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request_id = new_request_id()
        requests.enter(request_id)
        try:
            named = {**environ, REQUEST_ID_KEY: request_id}
            yield from application(named, start_response)
        finally:
            requests.leave(request_id)

    return run


def _log_server_error(
    message: str = "", level: int = 20, traceback: bool = False
) -> None:
    _log.debug("http server: {}", message)


def _start(server: wsgi.Server) -> None:
    """Start the server in threads that the end of the process does not wait for.

    A thread is a daemon if the one that starts it is, and the server starts the threads
    that answer.
    """
    errors: list[BaseException] = []

    def prepare() -> None:
        try:
            server.prepare()
        except BaseException as error:
            errors.append(error)

    thread = threading.Thread(target=prepare, daemon=True)
    thread.start()
    thread.join()
    if errors:
        raise errors[0]
    threading.Thread(target=server.serve, daemon=True).start()


@contextlib.contextmanager
def serving(
    settings: EntrySettings, application: WsgiApplication, stop: PlannedStop
) -> Iterator[None]:
    """Serve requests; on exit, let those in flight finish before the stop ends them."""
    requests = _OpenRequests()
    server = wsgi.Server(
        split_address(settings.listen),
        _note_requests(application, requests),
        numthreads=settings.threads,
        max=settings.threads,
        timeout=math.ceil(settings.caller_timeout_s),
        request_queue_size=512,
    )
    server.max_request_header_size = settings.max_header_bytes
    server.max_request_body_size = settings.max_body_bytes
    setattr(server, "error_log", _log_server_error)
    _start(server)
    try:
        yield
    finally:
        stop.begin(boot_clock_s())
        _await_requests(requests, stop.end_s())
        if requests.ids():
            _end_requests(server, requests, stop)
        _close(server, stop)


def _await_requests(requests: _OpenRequests, end_s: float) -> None:
    """Wait until no request has been in flight for ``IDLE_PERIOD_S``."""
    idle_since_s = boot_clock_s()
    while boot_clock_s() < end_s:
        if requests.ids():
            idle_since_s = boot_clock_s()
        elif boot_clock_s() - idle_since_s > IDLE_PERIOD_S:
            return
        time.sleep(DRAIN_POLL_INTERVAL_S)


def _end_requests(
    server: wsgi.Server, requests: _OpenRequests, stop: PlannedStop
) -> None:
    """Let the requests get their answers that the stop ends.

    Those that run are refused where they wait for an agent, and those that are not read
    completely as their connections end.
    """
    _log_unfinished("ending the requests that still run", requests.ids())
    _end_reading(server)
    while requests.ids() and boot_clock_s() < stop.answered_s():
        time.sleep(DRAIN_POLL_INTERVAL_S)
    if requests.ids():
        _log_unfinished("requests are cut without an answer", requests.ids())


def _log_unfinished(what: str, request_ids: list[str]) -> None:
    named = ", ".join(request_ids[:MAX_UNFINISHED_LOGGED])
    _log.warning("{}, {} in all: {}", what, len(request_ids), named)


def _end_reading(server: wsgi.Server) -> None:
    """End the receiving side of each connection whose request is being answered."""
    for thread in threading.enumerate():
        if isinstance(thread, WorkerThread) and thread.server is server:
            connection = thread.conn
            if connection is not None:
                with contextlib.suppress(OSError):
                    connection.socket.shutdown(socket.SHUT_RD)


def _close(server: wsgi.Server, stop: PlannedStop) -> None:
    """Close the server; what it still waits for near the end is abandoned."""
    server.shutdown_timeout = max(0.1, stop.end_s() - boot_clock_s())
    left_s = stop.killed_s() - LAST_RESERVE_S - boot_clock_s()
    if not run_at_most(left_s, server.stop):
        _log.warning("the grace period ends; open connections are abandoned")
