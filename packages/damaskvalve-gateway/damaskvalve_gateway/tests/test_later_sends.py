"""What is known of a request is asked again before each of its sends."""

import asyncio
import unittest
from unittest import mock

from damaskvalve_core import RefusedError, boot_clock_s
from damaskvalve_core.http import BackendPool
from damaskvalve_core.messages import AdmitReply
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._crashes import MISSED_S, REFUSED_AT, UNKNOWN
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway._model import READY, SAFE, Announcement
from damaskvalve_gateway._permits import PermitClient
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway.tests.attempt_fixtures import (
    DIALECT,
    OK,
    ScriptedServer,
    backend_at,
    make_exchange,
    once,
)

FINGERPRINT = "m"


def make_gateway(view, permits=None):
    log = mock.Mock()
    crashes = CrashController(mock.Mock(), view, log)
    return Gateway(
        view,
        DIALECT,
        BackendPool(),
        permits,
        mock.Mock(),
        RetryBudget(1.0, 100.0, 10.0),
        crashes,
        mock.Mock(),
        "dc",
        log,
        mock.Mock(),
    )


def announce(view, number, address):
    held = Announcement(f"i-{number}", "s", address, "dc", READY, 1, 1, 9, ())
    view.backends.take(held, boot_clock_s())


def repeatable():
    exchange = make_exchange(kind=SAFE)
    exchange.fingerprint = FINGERPRINT
    return exchange


async def closing(writer):
    writer.close()


class LaterSendTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.view = ClusterView()
        self.view.leader_contact_s = boot_clock_s()

    def count_runs(self, runs):
        for number in range(runs):
            self.view.crashes.note(FINGERPRINT, (f"x-{number}", 1), boot_clock_s())

    async def dispatch(self, server, exchange):
        async with server.listening() as address:
            announce(self.view, 0, address)
            # Nobody listens there, but it is one more to choose from.
            announce(self.view, 1, address.replace("127.0.0.1", "127.0.0.2"))
            with self.assertRaises(RefusedError) as caught:
                await make_gateway(self.view)._dispatch(exchange)
        return caught.exception

    async def test_the_run_that_makes_it_refused_is_the_last(self):
        """Although its route allows one more; what has run is not called refused."""
        self.count_runs(REFUSED_AT - 1)
        server = ScriptedServer(closing)
        error = await self.dispatch(server, repeatable())
        self.assertEqual((error.status, error.ran), (502, "unknown"))
        self.assertEqual(server.requests, 1)

    async def test_one_that_is_let_in_is_not_sent_once_it_is_refused(self):
        """Another host has sent it meanwhile."""
        exchange = repeatable()
        self.count_runs(REFUSED_AT)
        server = ScriptedServer(once(OK + b"content-length: 0\r\n\r\n"))
        error = await self.dispatch(server, exchange)
        self.assertEqual((error.code, error.ran), ("crashing_request", "not-run"))
        self.assertEqual(server.requests, 0)

    async def test_one_that_waits_for_its_permit_is_refused_at_once(self):
        """It does not wait for its turn or its deadline."""
        call = mock.Mock()
        turn = asyncio.get_running_loop().create_future()
        call.receive = mock.AsyncMock(side_effect=lambda: turn)

        def check():
            raise RefusedError(503, "crashing_request", "")

        async with asyncio.timeout(1.0):
            with self.assertRaises(RefusedError):
                await PermitClient._turn(call, backend_at("10.0.0.1:1"), check)

    async def test_its_turn_comes_if_nothing_is_known_against_it(self):
        """The permit is returned as the agent gave it."""
        reply = AdmitReply(True, 1, 0.0, "", 0.1)
        call = mock.Mock()
        call.receive = mock.AsyncMock(return_value=reply)
        found = await PermitClient._turn(call, backend_at("10.0.0.1:1"), lambda: None)
        self.assertIs(found, reply)

    async def test_each_way_in_which_a_run_does_not_end_is_counted(self):
        """At once if the connection broke, else when its server is missed."""
        short = OK + b"content-length: 9\r\n\r\nshort"
        failure = OK.replace(b"200 OK", b"500 No") + b"content-length: 0\r\n\r\n"

        async def silent(writer):
            await asyncio.sleep(30.0)

        async def broken_body(writer):
            writer.write(short)
            writer.close()

        for script, within_s, at_once in (
            (closing, 1.0, True),
            (broken_body, 1.0, True),
            (silent, 0.3, False),
            (once(failure), 1.0, False),
        ):
            view = ClusterView()
            view.leader_contact_s = boot_clock_s()
            tracker = view.crashes
            async with ScriptedServer(script).listening() as address:
                announce(view, 0, address)
                sending = make_gateway(view)._dispatch(repeatable())
                task = asyncio.create_task(sending)
                await asyncio.wait((task,), timeout=within_s)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
            self.assertEqual(tracker.count(FINGERPRINT), int(at_once))
            tracker.settle(lambda start, since_s: UNKNOWN, boot_clock_s() + MISSED_S)
            self.assertEqual(tracker.starts(FINGERPRINT), [("i-0", 1)])

    async def test_a_refusal_is_no_end_and_a_success_is(self):
        """What has not run says nothing; a failure says nothing yet."""
        refusal = OK.replace(b"200 OK", b"503 Busy") + b"not-run: 1\r\n"
        failure = OK.replace(b"200 OK", b"500 No")
        success = OK
        for head, left in ((refusal, 1), (failure, 1), (success, 0)):
            view = ClusterView()
            view.leader_contact_s = boot_clock_s()
            view.crashes.note(FINGERPRINT, ("x", 1), boot_clock_s())
            server = ScriptedServer(once(head + b"content-length: 0\r\n\r\n"))
            async with server.listening() as address:
                announce(view, 0, address)
                task = make_gateway(view)._dispatch(repeatable())
                await asyncio.gather(task, return_exceptions=True)
            with self.subTest(head=head):
                self.assertEqual(view.crashes.count(FINGERPRINT), left)
