"""The sequence of a planned stop."""

import asyncio
import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import ServerLimits, serving_http
from damaskvalve_gateway import _planned_stop
from damaskvalve_gateway._planned_stop import StopTimes

GRACE_S = 1.0
# The grace period of the users' deployments, and the time after SIGTERM until which
# they accept the cut of a request that is sent.
GIVEN_GRACE_S, LATEST_SENT_S = 8.0, 3.0
IP, PORT = "127.0.0.1", 21_695
REQUEST = b"GET /p HTTP/1.1\r\nHost: h\r\n\r\n"
# Fits into the write buffer of a connection.
REPLY_BYTES = 48 * 1024
# Smallest size of a socket's buffer.
SOCKET_BYTES = 4096


class BusyServer:
    """A server with one request that runs until it is ended."""

    def __init__(self):
        self.active = 1
        self.stop_accepting = self.close_after_response = mock.Mock()
        self.close_idle = self.refuse_unread = mock.Mock()

    def is_open(self):
        return self.active > 0

    def unsent_bytes(self):
        return [0] * self.active


class ClosedServer(BusyServer):
    """A server without connections."""

    def __init__(self):
        super().__init__()
        self.active = 0
        self.refuse_all = mock.Mock()


class StopTimesTests(unittest.TestCase):
    def test_a_stop_that_began_late_outlasted_its_grace_period(self):
        """The time from the signal until the event loop was told of it counts."""
        for late_s in (0.0, 0.5, 2.0):
            with self.subTest(late_s):
                times = StopTimes(100.0, 8.0, 100.0 + late_s)
                self.assertEqual((times.end_s, times.answered_s), (107.0, 107.5))
        # Callers are told of the close of their connections all the same.
        self.assertEqual(StopTimes(100.0, 8.0, 100.5).closing_s, 102.6)
        self.assertEqual(round(StopTimes(100.0, 8.0, 102.5).closing_s, 3), 103.1)

    def test_a_late_signal_moved_the_end_of_admission_by_estimates(self):
        """Users accept the cut of a request only if it was sent within 3 s."""
        for late_s in (0.0, 2.0, 2.5, 3.5):
            with self.subTest(late_s):
                removed_s = StopTimes(0.0, GIVEN_GRACE_S, late_s).removed_s
                self.assertLessEqual(removed_s, LATEST_SENT_S)

    def test_a_late_signal_moved_the_close_of_connections_beyond_the_end(self):
        """Requests are ended at the end of the stop, however late it began."""
        for grace_s, late_s in ((GIVEN_GRACE_S, 6.9), (2.0, 0.0)):
            times = StopTimes(0.0, grace_s, late_s)
            self.assertLessEqual(times.closing_s, times.end_s)

    def test_requests_are_not_ended_before_the_last_sixth_of_the_grace_period(self):
        """Users accept a cut only then; the reserve for the rest lies in it."""
        for grace_s in (4.0, 8.0, 30.0):
            times = StopTimes(0.0, grace_s, 0.0)
            self.assertGreaterEqual(times.end_s, grace_s * 5 / 6)
            self.assertLess(times.answered_s, grace_s)


class LateTurnTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_late_turn_moved_the_end_of_admission_by_estimates(self):
        """The event loop is blocked as the removal from the load balancer is due."""
        gateway, signalled_s = mock.Mock(), boot_clock_s() - 2.5
        times = StopTimes(signalled_s, GIVEN_GRACE_S, signalled_s)
        asyncio.get_running_loop().call_later(0.02, time.sleep, 0.9)
        await _planned_stop._drain(times, ClosedServer(), gateway, mock.Mock())
        (removed_s, _), _ = gateway.begin_stop.call_args
        self.assertLessEqual(removed_s - signalled_s, LATEST_SENT_S)
        named = {name for name, _, _ in gateway.method_calls}
        self.assertEqual(named, {"begin_stop", "refuse_waiting", "end_unfinished"})


class StopTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_slow_transfer_of_leadership_took_its_time_from_the_requests(self):
        """Requests are ended when the grace period ends, not later by the transfer."""
        started_s = boot_clock_s()
        server, group, gateway = BusyServer(), mock.Mock(), mock.Mock()
        group.announce_stop = lambda: asyncio.sleep(1.5)
        ended_s = []

        def end_unfinished():
            server.active = 0
            ended_s.append(boot_clock_s() - started_s)

        gateway.end_unfinished = end_unfinished
        with mock.patch.object(_planned_stop, "BALANCER_REMOVAL_S", 0.2):
            await _planned_stop.stop_serving(
                started_s, GRACE_S, group, server, ClosedServer(), gateway, mock.Mock()
            )
        self.assertLess(ended_s[0], GRACE_S)
        (_, end_s), _ = gateway.begin_stop.call_args
        self.assertLess(end_s - started_s, GRACE_S)

    async def test_an_error_of_the_member_ended_all_requests_at_once(self):
        """The stop goes on if the announcement fails in any way."""
        group = mock.Mock(announce_stop=mock.AsyncMock(side_effect=KeyError("x")))
        group.status.return_value.has_spare_vote = False
        gateway, log = mock.Mock(), mock.Mock()
        await _planned_stop.stop_serving(
            boot_clock_s() - 6.5,
            GIVEN_GRACE_S,
            group,
            ClosedServer(),
            ClosedServer(),
            gateway,
            log,
        )
        gateway.end_unfinished.assert_called_once()
        log.line.assert_any_call("stop_not_announced", reason="KeyError('x')")

    def test_a_reply_that_the_caller_read_slowly_was_cut_at_the_end_of_a_stop(self):
        """The host waits for what it has not sent yet, within the grace period."""
        received, log = self.stop_amid_a_reply(reads_after_s=0.8)
        self.assertEqual(len(received), REPLY_BYTES)
        self.assertEqual(self.stopped_fields(log), {"active": 0, "cut": 0})

    def test_a_reply_that_was_unsent_at_the_end_of_a_stop_counted_as_sent(self):
        """The log tells of a reply that is complete here, but not at its caller."""
        received, log = self.stop_amid_a_reply(reads_after_s=2.5)
        self.assertLess(len(received), REPLY_BYTES)
        self.assertEqual(self.stopped_fields(log), {"active": 0, "cut": 1})

    @staticmethod
    def stopped_fields(log):
        lines = {call.args[0]: call.kwargs for call in log.line.call_args_list}
        return {name: lines["stopped"][name] for name in ("active", "cut")}

    def stop_amid_a_reply(self, reads_after_s):
        """Stop with a caller that reads its reply late; return reply and log."""
        listening, answered, log = threading.Event(), threading.Event(), mock.Mock()

        async def answer(_, responder):
            transport = responder._connection._transport
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES
            )
            await responder.send(200, [], b"x" * REPLY_BYTES)
            answered.set()

        async def serve_and_stop():
            limits = ServerLimits(1_000, 1_000, 1.0, 9.0)
            serving = serving_http(f"{IP}:{PORT}", answer, lambda: limits, mock.Mock())
            async with serving as server:
                listening.set()
                await asyncio.to_thread(answered.wait, 5.0)
                group = mock.Mock(announce_stop=mock.AsyncMock())
                group.status.return_value.has_spare_vote = False
                await _planned_stop.stop_serving(
                    boot_clock_s(),
                    2.0,
                    group,
                    server,
                    ClosedServer(),
                    mock.Mock(),
                    log,
                )

        host = threading.Thread(target=lambda: asyncio.run(serve_and_stop()))
        received = b""
        with (
            mock.patch.object(_planned_stop, "BALANCER_REMOVAL_S", 0.2),
            socket.socket() as caller,
        ):
            host.start()
            listening.wait(5.0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
            caller.settimeout(2.0)
            caller.connect((IP, PORT))
            caller.sendall(REQUEST)
            answered.wait(5.0)
            time.sleep(reads_after_s)
            with contextlib.suppress(OSError):
                while piece := caller.recv(SOCKET_BYTES):
                    received += piece
            host.join()
        return received.partition(b"\r\n\r\n")[2], log
