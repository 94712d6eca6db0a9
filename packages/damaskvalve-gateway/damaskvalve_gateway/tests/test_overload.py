"""Backend servers whose replies say that they leave or are overloaded."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import BackendPool
from damaskvalve_gateway._backend import MAX_BACKOFF_S
from damaskvalve_gateway._backend_attempt import ANSWERED, NOT_RUN
from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._limit_statements import LimitStatement
from damaskvalve_gateway._model import GONE, LEAVING, READY
from damaskvalve_gateway._overload import MAX_SPREAD_S, RetryAfterScheduler
from damaskvalve_gateway.tests.attempt_fixtures import (
    CHUNKED,
    LAST_CHUNK,
    OK,
    UNSAFE,
    ScriptedServer,
    backend_at,
    event,
    make_exchange,
    run_attempt,
    write_once,
)
from damaskvalve_gateway.tests.test_backends import announcement

REFUSED = OK.replace(b"200 OK", b"503 Busy") + b"not-run: 1\r\ncontent-length: 0\r\n"


class LeavingTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_reply_that_says_leaving_is_reported(self):
        """It is reported for whole replies and for streams."""
        whole = OK + b"leaving: 1\r\ncontent-length: 1\r\n\r\nw"
        stream = CHUNKED.replace(b"\r\n\r\n", b"\r\nleaving: 1\r\n\r\n")
        for data, kind in (
            (whole, UNSAFE),
            (stream + event(1) + LAST_CHUNK, "streaming"),
        ):
            leaving = []
            exchange = make_exchange(kind=kind)
            outcome, _, _ = await run_attempt(
                ScriptedServer(write_once(data)),
                exchange,
                within_s=2.0,
                leaving_backends=leaving,
            )
            self.assertEqual((outcome, len(leaving)), (ANSWERED, 1))

    async def test_a_misdirected_reply_does_not_report_leaving(self):
        """A misdirected request may have reached any instance."""
        leaving = []
        data = REFUSED.replace(b"503 Busy", b"421 No") + b"leaving: 1\r\n\r\n"
        outcome, _, _ = await run_attempt(
            ScriptedServer(write_once(data)),
            make_exchange(),
            within_s=2.0,
            leaving_backends=leaving,
        )
        self.assertEqual((outcome, leaving), (NOT_RUN, []))

    @settings(max_examples=200)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["announce", "end", "reply", "other host"]),
                st.integers(1, 3),
                st.integers(1, 30),
                st.sampled_from([READY, READY, LEAVING]),
            ),
            max_size=30,
        )
    )
    def test_an_incarnation_that_left_gets_no_work_again(self, steps):
        """Reordered, delayed and stale announcements do not make it ready again.

        Only a later incarnation may get work.
        """
        table, other = BackendTable(), BackendTable()
        newest_left_ms = 0
        for at_s, (kind, start_time_ms, sequence, state) in enumerate(steps, 1):
            now_s = float(at_s)
            known = table.find("i-1")
            if kind == "announce":
                received = announcement(sequence, state, started_at_ms=start_time_ms)
                table.update(received, now_s)
                if state != READY:
                    newest_left_ms = max(newest_left_ms, start_time_ms)
            elif kind == "other host":
                received = announcement(sequence, READY, started_at_ms=start_time_ms)
                other.update(received, now_s)
            elif known is not None and known.announcement.started_at_ms:
                newest_left_ms = max(newest_left_ms, known.announcement.started_at_ms)
                if kind == "end":
                    table.end("i-1", now_s)
                else:
                    table.note_leaving(known, now_s)
            for backend in table.changed_since(0):
                other.update(backend.announcement, now_s)
            for current_table in (table, other):
                live_backends = current_table.live("svc", now_s, stale=True)
                for backend in live_backends:
                    self.assertGreater(
                        backend.announcement.started_at_ms, newest_left_ms
                    )

    def test_leaving_is_published_to_other_hosts(self):
        """This holds also if a host learned it from a reply, which has no sequence."""
        table, other = BackendTable(), BackendTable()
        table.update(announcement(7), 1.0)
        other.update(announcement(8), 1.0)
        seen = table.revision
        table.note_leaving(table.find("i-1"), 2.0)
        for backend in table.changed_since(seen):
            other.update(backend.announcement, 2.0)
        self.assertEqual(other.find("i-1").announcement.state, LEAVING)
        self.assertEqual(other.live("svc", 2.0, stale=True), [])

    def test_leaving_is_remembered_while_announcements_arrive(self):
        """Announcements that still say ready only keep the instance from expiring."""
        table = BackendTable()
        table.update(announcement(1), 0.0)
        table.note_leaving(table.find("i-1"), 0.0)
        for step in range(1, 200):
            table.update(announcement(1 + step), float(step))
            table.expire(float(step))
            self.assertEqual(table.live("svc", float(step), stale=True), [])

    def test_an_end_overrides_leaving(self):
        """Gone ranks above leaving."""
        table = BackendTable()
        table.update(announcement(1), 0.0)
        table.note_leaving(table.find("i-1"), 0.0)
        table.end("i-1", 1.0)
        self.assertEqual(table.find("i-1").announcement.state, GONE)


class OverloadBackoffTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_with_a_backoff_stops_requests(self):
        """No request is sent, not even over a connection that is being opened."""
        server = ScriptedServer(write_once(REFUSED + b"keep-off: 0.4\r\n\r\n"))
        async with server.listening() as address:
            backend = backend_at(address)
            pool = BackendPool()
            exchange = make_exchange(kind=UNSAFE)
            for sends in (1, 1):
                outcome, _, _ = await run_attempt(
                    server, exchange, within_s=2.0, pool=pool, backend=backend
                )
                self.assertEqual(outcome, NOT_RUN)
                self.assertEqual((server.requests, exchange.attempts), (sends, sends))
            now_s = boot_clock_s()
            self.assertFalse(backend.takes_work(now_s))
            self.assertTrue(backend.takes_work(now_s + 0.5))

    @given(
        times=st.lists(
            st.one_of(
                st.floats(0.0, 60.0), st.sampled_from([float("inf"), 1e300, 1e-9])
            ),
            min_size=1,
            max_size=10,
        )
    )
    def test_the_longest_backoff_applies(self, times):
        """A shorter backoff does not end a longer one; an absurd one is limited."""
        backend = backend_at("127.0.0.1:1")
        for for_s in times:
            backend.back_off(for_s, 100.0)
        longest_s = min(max(times), MAX_BACKOFF_S)
        if longest_s > 1e-6:
            self.assertFalse(backend.takes_work(100.0 + longest_s - 1e-6))
        self.assertTrue(backend.takes_work(100.0 + longest_s + 1e-6))

    def test_retries_are_spread_after_a_backoff(self):
        """Callers neither return all at once nor wait for long.

        All three servers of a service, with six slots each, refuse for two seconds;
        eight hosts turn 400 callers away meanwhile.
        """
        backends = [backend_at(f"127.0.0.{number}:1", slots=6) for number in (1, 2, 3)]
        for backend in backends:
            backend.service_s = 0.05
            backend.back_off(2.0, 100.0)
        schedulers = [RetryAfterScheduler() for _ in range(8)]
        returns = []
        for number in range(400):
            now_s = 100.0 + number * 0.004
            wait_s = schedulers[number % 8].wait_s("s", backends, 8, now_s)
            returns.append(now_s + wait_s)
        self.assertGreaterEqual(min(returns), 102.0)
        self.assertLessEqual(max(returns), 102.0 + MAX_SPREAD_S + 0.2)
        # 18 slots of 0.05 s serve 36 callers in a tenth of a second.
        for start in range(12):
            low_s = 102.0 + start * 0.1
            inside = sum(low_s <= item < low_s + 0.1 for item in returns)
            self.assertLessEqual(inside, 2 * 36 + 8)


class LimitTests(unittest.TestCase):
    def limited(self, number, limit_per_s, slots=6):
        backend = backend_at(f"127.0.0.{number}:1", slots=slots)
        backend.limit_statement = LimitStatement(limit_per_s, 0.0, 1.0)
        return backend

    def test_callers_of_limited_servers_return_no_faster_than_the_limits_allow(self):
        """Three servers of 8 a second; eight hosts turn 40 callers away at once."""
        backends = [self.limited(number, 8.0) for number in (1, 2, 3)]
        for backend in backends:
            backend.next_grant_s = 100.5
        schedulers = [RetryAfterScheduler() for _ in range(8)]
        returns = [
            100.0 + schedulers[number % 8].wait_s("s", backends, 8, 100.0)
            for number in range(40)
        ]
        self.assertGreaterEqual(min(returns), 100.5)
        for start in range(20):
            low_s = 100.5 + start * 0.1
            inside = sum(low_s <= item < low_s + 0.1 for item in returns)
            self.assertLessEqual(inside, 8)

    def test_callers_of_a_nearly_stopped_server_are_spread(self):
        """A caller a host in 16 s could return; they are spread over two seconds."""
        backends = [self.limited(1, 0.0)]
        schedulers = [RetryAfterScheduler() for _ in range(8)]
        waits_s = [
            scheduler.wait_s("s", backends, 8, 100.0)
            for scheduler in schedulers
            for _ in range(25)
        ]
        self.assertLessEqual(max(waits_s), MAX_SPREAD_S)
        for start in range(20):
            low_s = start * 0.1
            inside = sum(low_s <= item < low_s + 0.1 for item in waits_s)
            self.assertLessEqual(inside, 24)

    def test_a_server_gets_its_share_back_over_two_seconds(self):
        """Its limit ends; the share of requests that may go there grows."""
        table = BackendTable()
        table.update(announcement(1), 0.0)
        backend = table.find("i-1")
        self.assertTrue(backend.admits_share(1.0, 0.0))
        table.note_limit(backend, LimitStatement(1.0, 0.0, 1.0), 1.0)
        table.note_limit(backend, LimitStatement(None, 2.0, 3.0), 3.0)
        points = [number / 100 for number in range(1, 101)]
        shares = [
            sum(backend.admits_share(point, 3.0 + at_s) for point in points)
            for at_s in (0.0, 0.5, 1.0, 2.0)
        ]
        self.assertEqual(shares, [0, 25, 50, 100])
