"""Answers of a backend server that do not end, or that are framed to use memory."""

import concurrent.futures
import contextlib
import socket
import threading
import tracemalloc
import unittest
from unittest import mock

from damaskvalve_agent._backend_client import BackendClient, BackendError
from damaskvalve_agent._scheduler_actor import Outcome
from damaskvalve_agent._service import Counters, WorkService
from damaskvalve_agent.tests.test_cut_answers import (
    CHUNKED,
    OK,
    chunk,
    run_engine,
    run_service,
)
from damaskvalve_core.messages import WorkEnd, WorkRequest

MIB = 1024 * 1024


class EndlessServer:
    """Answers each connection with ``head`` and then ``piece`` again and again.

    It stops and closes the connection after ``limit_bytes``.
    """

    def __init__(self, head, piece, limit_bytes=16 * MIB):
        self._head, self._limit_bytes = head, limit_bytes
        self._pieces = piece * max(1, 16_384 // len(piece))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._threads = [threading.Thread(target=self._accept)]
        self._threads[0].start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._threads.append(threading.Thread(target=self._send, args=[connection]))
            self._threads[-1].start()

    def _send(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(self._head)
            for _ in range(self._limit_bytes // len(self._pieces)):
                connection.sendall(self._pieces)

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for thread in self._threads:
            thread.join()


@contextlib.contextmanager
def calling(head, piece, limit_bytes=16 * MIB):
    """Yield a client of a server that answers without end."""
    server = EndlessServer(head, piece, limit_bytes)
    client = BackendClient(server.address, 8, 5.0)
    try:
        yield client
    finally:
        client.close()
        server.close()


class EndlessAnswerTests(unittest.TestCase):
    def peak_bytes(self, run, head, piece, limit_bytes=16 * MIB):
        """Return the most memory that a call needed, which has to fail."""
        with calling(head, piece, limit_bytes) as client:
            tracemalloc.start()
            try:
                with self.assertRaises(BackendError) as caught:
                    run(client)
                self.assertTrue(caught.exception.sent)
                return tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()

    def test_an_endless_line_ends_the_stream(self):
        """No part of it has an end that a limit on events would see."""
        head = CHUNKED + chunk(b"data: ")
        for piece in (chunk(b"x" * 8_192), chunk(b"xy" * 8)):
            self.assertLess(self.peak_bytes(run_engine, head, piece, 8 * MIB), 4 * MIB)

    def test_an_endless_answer_to_an_order_or_a_health_check_ends_it(self):
        """Such an answer is a few hundred bytes long."""
        for run in (BackendClient.start_id, lambda client: client.load("a@1", 1)):
            for head, piece in ((CHUNKED, chunk(b"x" * 8_192)), (OK + b"\r\n", b"x")):
                self.assertLess(self.peak_bytes(run, head, piece, 8 * MIB), MIB)

    def test_a_body_in_tiny_chunks_takes_as_much_memory_as_its_bytes(self):
        """An object for each chunk weighs many times its bytes."""
        head, piece, limit_bytes = CHUNKED, chunk(b"xy"), 700_000
        peak_bytes = self.peak_bytes(run_service, head, piece, limit_bytes)
        self.assertLess(peak_bytes, MIB)

    def test_a_chunk_of_negative_size_is_not_read_to_the_end(self):
        """The standard library reads -1 bytes as all bytes, whatever the limit."""
        for run in (run_service, run_engine, BackendClient.start_id):
            for size in (b"-1", b"-5"):
                head = CHUNKED + size + b"\r\n"
                self.assertLess(self.peak_bytes(run, head, b"x", 8 * MIB), MIB)

    def test_endless_framing_ends_the_attempt(self):
        """Informational answers, trailers, and headers that are large together."""
        header = b"X-Note: " + b"n" * 60_000 + b"\r\n"
        cases = (
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (OK, b"X-Note: " + b"n" * 1_000 + b"\r\n"),
            (CHUNKED + chunk(b"x") + b"0\r\n", b"X-Note: 1\r\n"),
            (OK + header * 80 + b"\r\n", b"x"),
        )
        for head, piece in cases:
            with self.subTest(head[:60]), calling(head, piece, 4 * MIB) as client:
                with self.assertRaisesRegex(BackendError, "framing exceeds"):
                    run_service(client)
        peak_bytes = self.peak_bytes(run_service, OK + header * 80, header, 1)
        self.assertLess(peak_bytes, MIB)

    def test_many_endless_answers_at_once_stay_within_the_buffer_budget(self):
        """Each of them is within its own limit for long."""

        def failure(client):
            # The error itself would keep the answer in its traceback.
            try:
                run_service(client)
            except BackendError as error:
                return str(error)

        def run_all(client):
            with concurrent.futures.ThreadPoolExecutor(8) as executor:
                calls = [executor.submit(failure, client) for _ in range(8)]
            failures = [call.result() for call in calls]
            self.assertNotIn(None, failures)
            raise BackendError(failures[0], sent=True)

        piece, limit_bytes = chunk(b"x" * 16_384), 40 * MIB
        peak_bytes = self.peak_bytes(run_all, CHUNKED, piece, limit_bytes)
        self.assertLess(peak_bytes, 100 * MIB)

    def test_an_answer_counts_until_its_entry_host_has_received_it(self):
        """Many answers that wait for slow callers would exceed the limit."""
        body = b"b" * 300_000
        head = OK + b"content-length: %d\r\n\r\n" % len(body)
        work = WorkRequest(
            request_id="r-1",
            workspace="w",
            share=1.0,
            kind="service",
            model="m",
            method="GET",
            target="/x",
            headers=[],
            body=b"",
            cost_units=1.0,
            deadline_s=5.0,
        )
        with calling(head, body, len(body)) as client:
            settings = mock.Mock(kind="service", serves="m")
            scheduler, fence, record = mock.Mock(), mock.Mock(), mock.Mock()
            scheduler.submit().get.return_value = Outcome(True, "", 0.0, 0.0)
            fence.number.return_value = 1
            service = WorkService(
                settings, scheduler, client, fence, Counters(), record
            )
            service.backend_up = True
            used_bytes = [
                client.answer_budget.used_bytes
                for message in service.handle(work, mock.Mock())
                if isinstance(message, WorkEnd)
            ]
            self.assertEqual(used_bytes, [len(body)])
            self.assertEqual(client.answer_budget.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
