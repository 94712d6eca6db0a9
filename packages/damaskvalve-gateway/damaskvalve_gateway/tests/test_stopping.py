"""Requests during a planned stop: which are served, and how the others end."""

import asyncio
import contextlib
import unittest
from unittest import mock

from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import BackendPool, IncomingRequest, ServerLimits
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway._model import (
    READY,
    SAFE,
    STREAMING,
    UNSAFE,
    Announcement,
    CallerRequest,
    GatewayConfiguration,
    Route,
    Service,
)
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway._stopping import (
    MAX_KINDS,
    MAX_TIMES,
    ServingTimes,
    StopAdmission,
    may_finish,
)
from damaskvalve_gateway._stream_versions import StreamVersions
from damaskvalve_gateway.tests.attempt_fixtures import (
    CHUNKED,
    DIALECT,
    OK,
    RecordingResponder,
    ScriptedServer,
    event,
    make_exchange,
    make_gate,
    write_once,
)

EMPTY_REPLY = OK + b"content-length: 0\r\n\r\n"


class MayFinishTests(unittest.TestCase):
    def test_only_requests_that_can_end_in_time_are_served_during_a_stop(self):
        """The host ends requests at 100 s."""
        mixed = [0.1] * 9 + [5.0]
        # now_s, deadline_s, times of similar requests, then whether it is served if it
        # may be repeated and if it may not.
        for now_s, deadline_s, times_s, if_repeatable, if_once in (
            # Its own deadline is early enough, whatever similar requests took.
            (95.0, 99.9, (), True, True),
            (95.0, 100.0, (9.0,), True, True),
            # Nothing is known of similar requests.
            (95.0, 100.1, (), False, False),
            # Similar requests took less, or more, than what is left.
            (95.0, 110.0, (0.1,), True, True),
            (95.0, 110.0, (5.1,), False, False),
            # A request that may not be repeated needs a margin.
            (95.0, 110.0, (4.5,), True, False),
            (95.0, 110.0, (3.9,), True, True),
            # One slow request in ten counts only for those that may not be repeated.
            (96.0, 110.0, mixed, True, False),
            # The host ends requests already.
            (100.0, 99.0, (0.1,), False, False),
            (100.5, 110.0, (0.1,), False, False),
        ):
            for repeatable, expected in ((True, if_repeatable), (False, if_once)):
                with self.subTest(
                    now_s=now_s,
                    deadline_s=deadline_s,
                    times_s=times_s,
                    repeatable=repeatable,
                ):
                    served = may_finish(
                        deadline_s, times_s, 100.0, now_s, repeatable=repeatable
                    )
                    self.assertEqual(served, expected)


class ServingTimesTests(unittest.TestCase):
    def setUp(self):
        self.times = ServingTimes()

    def note(self, tokens, took_s, name="r"):
        exchange = make_exchange()
        exchange.route.name = name
        exchange.request.output_tokens = tokens
        self.times.note(exchange, exchange.arrived_s + took_s)

    def times_s(self, tokens, name="r"):
        exchange = make_exchange()
        exchange.route.name = name
        exchange.request.output_tokens = tokens
        return [round(time_s, 3) for time_s in self.times.times_s(exchange)]

    def test_long_requests_do_not_count_for_short_ones(self):
        """Sizes are powers of two; an unknown size has the times of its route."""
        self.note(100, 2.0)
        self.note(5, 0.2)
        self.note(5, 9.0, name="other")
        self.assertEqual(self.times_s(127), [2.0])
        self.assertEqual(self.times_s(4), [0.2])
        self.assertEqual(self.times_s(1000), [2.0, 0.2])
        self.assertEqual(self.times_s(5, name="unused"), [])

    def test_memory_is_bounded(self):
        """The newest times and the kinds used last are kept."""
        for number in range(MAX_TIMES + 3):
            self.note(5, float(number))
        self.assertEqual(len(self.times_s(5)), MAX_TIMES)
        self.assertEqual(self.times_s(5)[-1], MAX_TIMES + 2)
        for number in range(MAX_KINDS):
            self.note(5, 1.0, name=f"r{number}")
        self.assertEqual(self.times_s(5), [])
        self.assertEqual(self.times_s(5, name="r0"), [1.0])


class StopAdmissionTests(unittest.TestCase):
    def test_a_late_stream_was_cut_off_although_similar_ones_were_quick(self):
        """What others took is no bound; only a deadline within the stop is one.

        A request whose answer begins with its end can still be answered otherwise.
        """
        stop = StopAdmission()
        exchange = make_exchange()
        arrived_s = exchange.arrived_s
        for _ in range(MAX_TIMES):
            stop.times.note(exchange, arrived_s + 0.05)
        stop.begin(arrived_s - 1.0, arrived_s + 4.0)
        for left_s, is_admitted in ((30.0, False), (4.1, False), (3.9, True)):
            with self.subTest(left_s):
                exchange.deadline_s = arrived_s + left_s
                exchange.route.kind = STREAMING
                self.assertEqual(stop.admits(exchange, arrived_s), is_admitted)
                exchange.route.kind = UNSAFE
                self.assertTrue(stop.admits(exchange, arrived_s))

    def test_a_stream_that_a_kept_connection_brought_late_was_cut_off(self):
        """Nine in ten end in time; by then, callers reach hosts where all do."""
        stop = StopAdmission()
        exchange = make_exchange(resumable=True)
        arrived_s = exchange.arrived_s
        for took_s in (0.5,) * 29 + (9.0,) * 3:
            stop.times.note(exchange, arrived_s + took_s)
        stop.begin(arrived_s + 1.0, arrived_s + 4.0)
        self.assertTrue(stop.admits(exchange, arrived_s))
        stop.begin(arrived_s, arrived_s + 4.0)
        self.assertTrue(stop.admits(exchange, arrived_s))
        stop.begin(arrived_s - 1.0, arrived_s + 4.0)
        self.assertFalse(stop.admits(exchange, arrived_s))


class StopResponder(RecordingResponder):
    """Also records how the connection ends."""

    def __init__(self):
        super().__init__()
        self.aborted = self.closes = False

    def close_connection(self):
        self.closes = True

    def abort(self):
        self.aborted = True


async def never_reply(writer):
    await asyncio.sleep(30.0)


class GatewayStopTests(unittest.IsolatedAsyncioTestCase):
    def make_gateway(self, kind, resumable=False):
        self.view = view = ClusterView()
        view.leader_contact_s = boot_clock_s()
        route = Route(
            "r",
            "h",
            "/",
            kind,
            30.0,
            1.0,
            0,
            (("s", 1.0),),
            2,
            public=True,
            resumable=resumable,
        )
        limits = ServerLimits(1_000, 1_000, 1.0, 1.0)
        services = {"s": Service("s", 10, None)}
        view.configuration = GatewayConfiguration(
            1, [route], services, limits, {}, {}, needs_keys=False
        )
        log = mock.Mock()
        streams = StreamVersions(mock.Mock(), view, log)
        streams.begin = mock.Mock()
        streams.wait_until_recorded = mock.AsyncMock()
        rate = mock.Mock(spending=lambda exchange: contextlib.nullcontext())
        dialect = Dialect(
            lambda incoming: CallerRequest("r-1", "POST", "/x", "h", (), b""),
            DIALECT.backend_headers,
            DIALECT.read_reply,
            lambda error: (
                [(b"retry-after", str(error.retry_after_s).encode())],
                f"{error.code} {error.ran}".encode(),
            ),
            mock.Mock(),
        )
        return Gateway(
            view,
            dialect,
            BackendPool(),
            mock.Mock(),
            make_gate(),
            rate,
            RetryBudget(1.0, 100.0, 10.0),
            CrashController(mock.Mock(), view, log),
            streams,
            mock.Mock(),
            mock.Mock(),
            "dc",
            log,
            mock.Mock(),
        )

    def announce(self, address):
        self.view.backends.update(
            Announcement("i-1", "s", address, "dc", READY, 1, 1, 9, ()), boot_clock_s()
        )

    async def handle(self, gateway, responder):
        incoming = IncomingRequest("POST", "/x", [], b"", "127.0.0.1")
        async with asyncio.timeout(5.0):
            await gateway.handle(incoming, responder)

    async def test_requests_that_came_late_in_a_stop_were_taken_and_cut_off(self):
        """They are refused as not run; a quick one is served until the end."""
        server = ScriptedServer(write_once(EMPTY_REPLY))
        async with server.listening() as address:
            gateway = self.make_gateway(UNSAFE)
            self.announce(address)
            # How long requests of the route take is not known yet.
            gateway.begin_stop(boot_clock_s() + 5.0, boot_clock_s() + 5.0)
            responder = StopResponder()
            await self.handle(gateway, responder)
            self.assertEqual(responder.body, b"stopping not-run")
            self.assertEqual((responder.status, responder.closes), (503, True))
            self.assertEqual(server.requests, 0)
            # It is known once some were served, here before the stop.
            gateway.begin_stop(boot_clock_s() + 40.0, boot_clock_s() + 40.0)
            await self.handle(gateway, StopResponder())
            gateway.begin_stop(boot_clock_s() + 5.0, boot_clock_s() + 5.0)
            responder = StopResponder()
            await self.handle(gateway, responder)
            self.assertEqual((responder.status, server.requests), (200, 2))
            gateway.begin_stop(boot_clock_s(), boot_clock_s())
            responder = StopResponder()
            await self.handle(gateway, responder)
            self.assertEqual((responder.status, server.requests), (503, 2))

    async def test_a_request_that_waited_for_its_turn_was_cut_off_by_a_stop(self):
        """It is refused as not run as soon as it would be sent too late."""
        gateway = self.make_gateway(SAFE)
        gateway._attempt_once = lambda exchange: asyncio.sleep(30.0)
        responder = StopResponder()
        handling = asyncio.create_task(self.handle(gateway, responder))
        await asyncio.sleep(0.05)
        gateway.refuse_waiting(boot_clock_s())
        await asyncio.sleep(0.05)
        self.assertFalse(handling.done())
        gateway.begin_stop(boot_clock_s() + 5.0, boot_clock_s() + 5.0)
        gateway.refuse_waiting(boot_clock_s())
        await asyncio.wait_for(handling, 1.0)
        self.assertEqual(
            (responder.status, responder.body, responder.closes),
            (503, b"stopping not-run", True),
        )

    async def test_a_request_that_ran_got_no_answer_at_the_end_of_a_stop(self):
        """It is answered with an unknown outcome, never as not run."""
        server = ScriptedServer(never_reply)
        async with server.listening() as address:
            gateway = self.make_gateway(UNSAFE)
            self.announce(address)
            responder = StopResponder()
            handling = asyncio.create_task(self.handle(gateway, responder))
            await asyncio.sleep(0.1)
            gateway.begin_stop(boot_clock_s() + 0.1, boot_clock_s() + 0.1)
            gateway.refuse_waiting(boot_clock_s())
            await asyncio.sleep(0.05)
            self.assertFalse(handling.done())
            gateway.end_unfinished()
            await asyncio.wait_for(handling, 1.0)
            self.assertEqual(
                (responder.status, responder.body, server.requests),
                (502, b"stopping unknown", 1),
            )

    async def test_a_stream_that_runs_at_the_end_of_a_stop_does_not_look_complete(self):
        """Its connection is cut without the end mark."""

        async def write_some(writer):
            writer.write(CHUNKED + event(1))
            await asyncio.sleep(30.0)

        async with ScriptedServer(write_some).listening() as address:
            gateway = self.make_gateway(STREAMING, resumable=True)
            self.announce(address)
            responder = StopResponder()
            handling = asyncio.create_task(self.handle(gateway, responder))
            await asyncio.sleep(0.1)
            self.assertTrue(responder.started)
            gateway.begin_stop(boot_clock_s(), boot_clock_s())
            gateway.end_unfinished()
            await asyncio.wait_for(handling, 1.0)
            self.assertEqual((responder.finished, responder.aborted), (False, True))
            self.assertIn(b"data: t1", responder.body)
