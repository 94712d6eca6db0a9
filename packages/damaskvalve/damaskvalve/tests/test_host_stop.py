"""The planned stop of an entry host."""

import contextlib
import http.client
import itertools
import socket
import threading
import time
import unittest
from unittest import mock

from damaskvalve._agent_client import AttemptError
from damaskvalve._dispatch import Dispatcher
from damaskvalve._http import Application
from damaskvalve._http_server import serving
from damaskvalve._jobs import JobRunner, running_jobs
from damaskvalve_core import (
    MIN_GRACE_S,
    UNKNOWN,
    PlannedStop,
    RefusedError,
    boot_clock_s as now_s,
)
from damaskvalve_core.messages import JobRecord, LeaseJobReply

IP = "127.0.229.1"
# An abandoned server may hold its port until the end of the process.
PORTS = itertools.count(18_080)
# Longer than any stop here, and shorter than the limit of a test run.
ENDLESS_S = 30.0


def make_stop(left_s):
    """Return a stop in whose grace period some time is left."""
    stop = PlannedStop(MIN_GRACE_S)
    stop.note_signal(now_s() - MIN_GRACE_S + left_s)
    return stop


def make_application(chain, stop):
    unused = mock.Mock()
    settings = mock.Mock(max_body_bytes=65_536, caller_timeout_s=20.0)
    return Application(settings, unused, unused, chain, unused, unused, unused, stop)


class HostStopTests(unittest.TestCase):
    def setUp(self):
        self.port = next(PORTS)
        self.release = threading.Event()
        self.addCleanup(self.release.set)

    @contextlib.contextmanager
    def serving(self, application, stop):
        settings = mock.Mock(
            listen=f"{IP}:{self.port}",
            threads=4,
            caller_timeout_s=20.0,
            max_header_bytes=32_768,
            max_body_bytes=65_536,
        )
        with serving(settings, application, stop):
            yield

    def connect(self):
        sock = socket.create_connection((IP, self.port), 5.0)
        self.addCleanup(sock.close)
        return sock

    def test_a_request_that_did_not_end_held_the_stop_of_a_host(self):
        """Neither the server, nor a job, nor a thread outlasts the grace period."""
        reached = threading.Event()

        def answer(environ, start_response):
            reached.set()
            self.release.wait(ENDLESS_S)
            start_response("200 OK", [("Content-Length", "0")])
            yield b""

        runner = mock.Mock()
        runner.run_forever = lambda stop: self.release.wait(ENDLESS_S)
        stop = PlannedStop(MIN_GRACE_S)
        with running_jobs(runner, 2, stop), self.serving(answer, stop):
            self.connect().sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertTrue(reached.wait(5.0))
            stop.note_signal(now_s() - MIN_GRACE_S + 3.0)
        self.assertLess(now_s(), stop.killed_s())
        threads = [item for item in threading.enumerate() if not item.daemon]
        self.assertEqual(threads, [threading.main_thread()])

    def test_a_half_read_request_was_cut_without_an_answer(self):
        """It is refused, as not run, also while another request does not end."""
        stop = PlannedStop(MIN_GRACE_S)
        endless = make_application(lambda _: self.release.wait(ENDLESS_S), stop)
        with self.serving(endless, stop):
            for _ in range(2):
                self.connect().sendall(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            time.sleep(0.3)
            sock = self.connect()
            sock.sendall(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc")
            time.sleep(0.3)
            stop.note_signal(now_s() - MIN_GRACE_S + 2.5)
        answer = sock.recv(65_536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"X-Ran: not-run", answer)
        self.assertIn(b"Connection: close", answer)

    def test_requests_began_as_the_others_were_ended(self):
        """They are refused on kept connections too; a resend may have run before."""
        stop = make_stop(1.9)
        chain = mock.Mock()
        with self.serving(make_application(chain, stop), stop):
            connection = http.client.HTTPConnection(IP, self.port, timeout=5.0)
            self.addCleanup(connection.close)
            for headers, ran in (({}, "not-run"), ({"Idempotency-Key": "k"}, UNKNOWN)):
                connection.request("POST", "/a", b"{}", headers)
                response = connection.getresponse()
                response.read()
                self.assertEqual(
                    (response.status, response.headers["X-Ran"]), (503, ran)
                )
        chain.assert_not_called()

    def test_a_host_that_stops_leased_further_jobs(self):
        """From the signal on, it runs only those that it has leased before."""
        leader, view = mock.Mock(), mock.Mock()
        job = JobRecord(job_id="j-1", path="/gone", workspace="w", body=b"{}")
        leader.call.return_value = LeaseJobReply("", [job])
        view.route.return_value = None
        runner = JobRunner("entry", leader, view, mock.Mock(), mock.Mock())
        stop = PlannedStop(MIN_GRACE_S)
        with running_jobs(runner, 2, stop):
            time.sleep(0.1)
            stop.begin(now_s())
            time.sleep(0.1)
            leased = leader.call.call_count
            # Callers are still answered.
            time.sleep(0.7)
        self.assertGreater(leased, 0)
        self.assertEqual(leader.call.call_count, leased)


class EndedRequestTests(unittest.TestCase):
    def refusal(self, attempts, is_ending):
        unused, view = mock.Mock(), mock.Mock()
        view.suspect.return_value = None
        dispatcher = Dispatcher(view, unused, unused, "dc", unused, unused, is_ending)
        with mock.patch.multiple(
            dispatcher,
            create=True,
            choose_backend=mock.Mock(return_value=None),
            _make_work_request=mock.Mock(),
            _run_attempt=mock.Mock(side_effect=attempts),
        ):
            exchange = mock.Mock(deadline_s=now_s() + 60.0, body=b"{}")
            dispatcher.choose_backend.side_effect = [mock.Mock(), *[None] * 99]
            with self.assertRaises(RefusedError) as caught:
                list(dispatcher.events(exchange))
        return caught.exception

    def test_a_request_that_waited_for_an_agent_was_cut_by_the_stop_of_its_host(self):
        """It may have run, if an agent was lost that had started it."""
        interrupted = AttemptError("agent_lost", "lost", ran=UNKNOWN)
        answers = iter([False, False, True])
        refusal = self.refusal([interrupted], lambda: next(answers))
        self.assertEqual((refusal.code, refusal.ran), ("stopping", UNKNOWN))

    def test_a_request_that_no_agent_has_had_is_refused_as_not_run(self):
        """Its caller sends it again, to another host."""
        refusal = self.refusal([], lambda: True)
        self.assertEqual((refusal.code, refusal.ran), ("stopping", "not-run"))

    def test_a_request_that_runs_was_cut_by_the_stop_of_its_host(self):
        """It is ended where it waits for its agent, and may have run."""
        unused = mock.Mock()
        dispatcher = Dispatcher(
            unused, unused, unused, "dc", unused, unused, lambda: True
        )
        with self.assertRaises(RefusedError) as caught:
            dispatcher._make_stop_check(mock.Mock(key_digest=""))()
        refusal = caught.exception
        self.assertEqual((refusal.code, refusal.ran), ("stopping", UNKNOWN))


if __name__ == "__main__":
    unittest.main()
