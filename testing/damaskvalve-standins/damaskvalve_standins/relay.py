"""A TCP relay that simulates a network partition in one or both directions."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator

_READ_BYTES = 64 * 1024


class Relay:
    """Forwards connections to a target address until the relay is cut."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self.forward = True
        self.backward = True
        self._closed = False

    def cut(self, *, forward: bool = True, backward: bool = True) -> None:
        """Hold back data towards the target, from it, or both, without closing.

        A direction given as False is restored.
        """
        self.forward = not forward
        self.backward = not backward

    def restore(self) -> None:
        """Forward in both directions again, held data first."""
        self.forward = self.backward = True

    def accept_forever(self) -> None:
        """Accept connections until closed, also while the relay is cut.

        Callers of a cut relay see a connection that stays silent, not a refused one.
        """
        while not self._closed:
            try:
                inbound, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(inbound,), daemon=True).start()

    def _connect(self, inbound: socket.socket) -> None:
        ip, _, port = self._target.rpartition(":")
        while not self.forward and not self._closed:
            time.sleep(0.05)
        try:
            outbound = socket.create_connection((ip, int(port)), 2.0)
            outbound.settimeout(None)
        except OSError:
            inbound.close()
            return
        for source, sink, direction in (
            (inbound, outbound, "forward"),
            (outbound, inbound, "backward"),
        ):
            threading.Thread(
                target=self._pump, args=(source, sink, direction), daemon=True
            ).start()

    def _pump(self, source: socket.socket, sink: socket.socket, direction: str) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(_READ_BYTES)
                while not getattr(self, direction) and not self._closed:
                    time.sleep(0.05)
                if not data:
                    break
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop accepting connections and forwarding data."""
        self._closed = True
        self._server.close()


@contextlib.contextmanager
def running_relay(target: str) -> Iterator[Relay]:
    """Yield a running relay and close it on exit."""
    relay = Relay(target)
    threading.Thread(target=relay.accept_forever, daemon=True).start()
    try:
        yield relay
    finally:
        relay.close()
