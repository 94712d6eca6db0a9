"""A threaded HTTP server for the stand-ins."""

import json
import signal
import threading
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

#: Answers one request through its handler.
Route = Callable[["Handler"], None]


class Handler(BaseHTTPRequestHandler):
    """Dispatches each request by its path to the routes of a stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 16 * 1024
    routes: Mapping[str, Route] = {}
    # The route of all other paths; with None they are answered with 404.
    fallback: Route | None = None
    body: bytes = b""

    def _dispatch(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length)
        route = self.routes.get(self.path.partition("?")[0], self.fallback)
        if route is None:
            self.send_json(404, {"error": "no such path"})
        else:
            route(self)

    do_GET = do_POST = do_PUT = do_DELETE = _dispatch

    def read_body(self) -> bytes:
        """Return the request's body."""
        return self.body

    def send_body(
        self, status: int, content_type: str, body: bytes, **headers: str
    ) -> None:
        """Send an answer with a body of known length.

        An underscore in the name of a header stands for a hyphen.
        """
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def send_json(self, status: int, document: Any, **headers: str) -> None:
        """Send an unstreamed JSON answer."""
        body = json.dumps(document).encode()
        self.send_body(status, "application/json", body, **headers)

    def start_stream(self) -> None:
        """Begin a chunked answer of server-sent events."""
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the stream."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of connections that callers closed."""


def serve(address: str, routes: Mapping[str, Route], fallback: Route | None) -> None:
    """Serve the routes on an address until SIGTERM."""
    ip, _, port = address.rpartition(":")
    attributes: dict[str, Any] = {"routes": routes}
    if fallback is not None:
        attributes["fallback"] = staticmethod(fallback)
    handler = type("BoundHandler", (Handler,), attributes)
    server = _Server((ip, int(port)), handler)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stop.set())
    threading.Thread(target=server.serve_forever, daemon=True).start()
    stop.wait()
    server.shutdown()
