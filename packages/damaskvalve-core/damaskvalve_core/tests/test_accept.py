"""A process must go on accepting connections after one could not be accepted."""

import contextlib
import errno
import socket
import struct
import threading
import unittest
from unittest import mock

from damaskvalve_core import listening, split_address

# Too many open files, in the process and in the system; a peer that has given up; no
# memory for a socket.
ERRORS = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS)
TIMEOUT_S = 3.0
# The header of a frame that is too large; its connection is closed.
OVERSIZED = struct.pack(">I", 2**31)


class AcceptTests(unittest.TestCase):
    @contextlib.contextmanager
    def failing_accept(self, error_number):
        """Have the first call of accept fail."""
        accept, numbers = socket.socket.accept, [error_number]

        def fail_or_accept(sock):
            if numbers:
                raise OSError(numbers.pop(), "cannot accept")
            return accept(sock)

        with mock.patch.object(socket.socket, "accept", fail_or_accept):
            yield

    def assert_served(self, address):
        with socket.create_connection(split_address(address), TIMEOUT_S) as caller:
            caller.sendall(OVERSIZED)
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(caller.recv(1), b"")

    def test_a_host_was_deaf_after_a_connection_could_not_be_accepted(self):
        """Later connections are served."""
        for error_number in ERRORS:
            with (
                self.subTest(errno.errorcode[error_number]),
                self.failing_accept(error_number),
                listening("127.0.0.1:0", None, mock.Mock()) as address,
            ):
                self.assert_served(address)

    def test_a_host_was_deaf_after_a_thread_could_not_be_started(self):
        """The connection is closed, and later ones are served."""
        start, failures = threading.Thread.start, [RuntimeError("can't start")]
        with listening("127.0.0.1:0", None, mock.Mock(), max_connections=1) as address:

            def fail_or_start(thread):
                if failures:
                    raise failures.pop()
                start(thread)

            with mock.patch.object(threading.Thread, "start", fail_or_start):
                for _ in range(2):
                    self.assert_served(address)
        self.assertEqual(failures, [])


if __name__ == "__main__":
    unittest.main()
