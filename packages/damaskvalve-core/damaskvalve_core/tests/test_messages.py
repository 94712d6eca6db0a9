"""Frames between processes: round trips, garbage, and strangers."""

import contextlib
import socket
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings, strategies as st

from damaskvalve_core import (
    ChannelError,
    Identity,
    ProtocolError,
    ReceiveTimeoutError,
    decode_message,
    dialing,
    encode_message,
    listening,
    split_address,
)
from damaskvalve_core.messages import Ack, Header, WorkChunk, WorkRequest
from damaskvalve_core.tests.certificates import make_identities

TEXT = st.text(max_size=20)


class CodecTests(unittest.TestCase):
    @settings(max_examples=200)
    @given(name=TEXT, body=st.binary(max_size=200), cost=st.floats(allow_nan=False))
    def test_a_message_comes_back_equal(self, name, body, cost):
        """Every field survives, bytes and text alike."""
        work = WorkRequest(
            request_id=name, headers=[Header(name, "v")], body=body, cost_units=cost
        )
        self.assertEqual(decode_message(encode_message(work)), work)

    @settings(max_examples=1000)
    @given(frame=st.binary(max_size=120))
    def test_garbage_is_a_protocol_error_and_nothing_else(self, frame):
        """No bytes make the decoder fail in another way."""
        with contextlib.suppress(ProtocolError):
            decode_message(frame)


class ChannelTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.scratch = tempfile.TemporaryDirectory()
        folder = Path(cls.scratch.name)
        make_identities(folder / "fleet", ["a", "b"])
        make_identities(folder / "stranger", ["a"])
        cls.identity = cls.load(folder / "fleet", "a")
        cls.other = cls.load(folder / "fleet", "b")
        cls.stranger = cls.load(folder / "stranger", "a")

    @classmethod
    def tearDownClass(cls):
        cls.scratch.cleanup()

    @staticmethod
    def load(folder, name):
        return Identity(
            folder / f"{name}.pem", folder / f"{name}.key", folder / "authority.pem"
        )

    def echo(self, request, connection):
        self.calls.append(request)
        yield request

    def setUp(self):
        self.calls = []

    def test_a_call_reaches_a_process_of_the_same_fleet(self):
        """Both sides prove that they belong to it."""
        with listening("127.0.0.1:0", self.identity, self.echo) as address:
            with dialing(self.other) as dialer:
                for number in range(3):
                    reply = dialer.call(address, Ack(number), 2.0)
                    self.assertEqual(reply, Ack(number))

    def test_a_stranger_is_not_answered(self):
        """A certificate of another authority is refused at the handshake."""
        with listening("127.0.0.1:0", self.identity, self.echo) as address:
            with dialing(self.stranger) as dialer, self.assertRaises(ChannelError):
                dialer.call(address, Ack(1), 2.0)
        self.assertEqual(self.calls, [])

    def test_plain_bytes_close_the_connection(self):
        """Nobody without a certificate gets further than the handshake."""
        with listening("127.0.0.1:0", self.identity, self.echo) as address:
            with socket.create_connection(split_address(address), 2.0) as sock:
                sock.sendall(b"GET / HTTP/1.1\r\n\r\n" * 10)
                sock.settimeout(5.0)
                with contextlib.suppress(ConnectionError):
                    while sock.recv(1000):
                        continue
        self.assertEqual(self.calls, [])

    def test_garbage_of_a_fleet_member_closes_the_connection_only(self):
        """The next caller is answered as before."""
        with listening("127.0.0.1:0", self.identity, self.echo) as address:
            context = self.other.context(server=False)
            for frame in (b"\xff\xff\xff\xff", b"\0\0\0\2\xee\xee", b"\0\0\0\0"):
                raw = socket.create_connection(split_address(address), 2.0)
                with context.wrap_socket(raw) as sock:
                    sock.sendall(frame)
                    sock.settimeout(5.0)
                    with contextlib.suppress(OSError):
                        self.assertEqual(sock.recv(10), b"")
            with dialing(self.other) as dialer:
                self.assertEqual(dialer.call(address, Ack(7), 2.0), Ack(7))

    def test_a_message_that_stops_in_its_middle_is_read_once_it_goes_on(self):
        """Silence loses nothing that has arrived."""

        def slowly(request, connection):
            frame = encode_message(WorkChunk("r", "text", 3))
            data = len(frame).to_bytes(4, "big") + frame
            connection._sock.sendall(data[:6])
            connection.receive()
            connection._sock.sendall(data[6:])
            yield Ack(0)

        with listening("127.0.0.1:0", self.identity, slowly) as address:
            with dialing(self.other) as dialer:
                with dialer.open_call(address, Ack(1), 2.0) as connection:
                    connection.set_timeout(0.1)
                    with self.assertRaises(ReceiveTimeoutError):
                        connection.receive()
                    connection.send(Ack(2))
                    connection.set_timeout(2.0)
                    self.assertEqual(connection.receive(), WorkChunk("r", "text", 3))
                    self.assertEqual(connection.receive(), Ack(0))


if __name__ == "__main__":
    unittest.main()
