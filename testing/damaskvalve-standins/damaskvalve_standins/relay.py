"""A TCP relay that can cut a connection silently, in one direction or both."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator

_READ_BYTES = 64 * 1024


class Relay:
    """Forwards one address to another until it is cut."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self.forward = True
        self.backward = True
        self._closed = False

    def cut(self, *, forward: bool = True, backward: bool = True) -> None:
        """Drop silently what goes forward, backward or both ways."""
        self.forward = not forward
        self.backward = not backward

    def mend(self) -> None:
        """Forward again."""
        self.forward = self.backward = True

    def accept_forever(self) -> None:
        """Accept until closed; a cut relay still accepts, as a dead route does."""
        while not self._closed:
            try:
                near, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        ip, _, port = self._target.rpartition(":")
        while not self.forward and not self._closed:
            time.sleep(0.05)
        try:
            far = socket.create_connection((ip, int(port)), 2.0)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for source, sink, way in ((near, far, "forward"), (far, near, "backward")):
            threading.Thread(
                target=self._pump, args=(source, sink, way), daemon=True
            ).start()

    def _pump(self, source: socket.socket, sink: socket.socket, way: str) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(_READ_BYTES)
                while not getattr(self, way) and not self._closed:
                    time.sleep(0.05)
                if not data:
                    break
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop accepting."""
        self._closed = True
        self._server.close()


@contextlib.contextmanager
def relaying(target: str) -> Iterator[Relay]:
    """Yield a running relay."""
    relay = Relay(target)
    threading.Thread(target=relay.accept_forever, daemon=True).start()
    try:
        yield relay
    finally:
        relay.close()
