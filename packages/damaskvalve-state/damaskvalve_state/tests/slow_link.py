"""A link with a limited rate in front of a loopback address."""

import contextlib
import socket
import threading
import time

CHUNK_BYTES = 8 * 1024
# Links have small windows.
WINDOW_BYTES = 32 * 1024


class _Rate:
    """Spreads the bytes of all connections of a link over time."""

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self._free_at_s = 0.0

    def wait(self, size_bytes):
        with self._lock:
            now_s = time.monotonic()
            begin_s = max(self._free_at_s, now_s)
            self._free_at_s = begin_s + size_bytes / self._bytes_per_s
            wait_s = self._free_at_s - now_s
        time.sleep(wait_s)


def _forward(source, target, wait):
    try:
        while data := source.recv(CHUNK_BYTES):
            wait(len(data))
            target.sendall(data)
    except OSError:
        pass
    finally:
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def _split(address):
    ip, _, port = address.rpartition(":")
    return ip, int(port)


@contextlib.contextmanager
def slow_link(address, target_address, bytes_per_s):
    """Forward connections to another address, at a limited rate towards it."""
    rate = _Rate(bytes_per_s)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    listener.bind(_split(address))
    listener.listen(64)

    def serve():
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(_split(target_address), 1.0)
                far.settimeout(None)
            except OSError:
                near.close()
                continue
            for arguments in (near, far, rate.wait), (far, near, lambda size: None):
                threading.Thread(target=_forward, args=arguments, daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    try:
        yield
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
