"""Backend servers that leave or ask to be left alone, as their replies say."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import BackendPool
from damaskvalve_gateway._backend_attempt import ANSWERED, NOT_RUN
from damaskvalve_gateway._backends import LONGEST_KEPT_OFF_S, BackendTable
from damaskvalve_gateway._model import GONE, LEAVING, READY
from damaskvalve_gateway._overload import LONGEST_SPREAD_S, RetryAfterScheduler
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
    async def test_a_reply_that_says_so_takes_its_backend_server_out_of_choice(self):
        """A stream's head counts, however long the stream goes on."""
        whole = OK + b"leaving: 1\r\ncontent-length: 1\r\n\r\nw"
        stream = CHUNKED.replace(b"\r\n\r\n", b"\r\nleaving: 1\r\n\r\n")
        for data, kind in (
            (whole, UNSAFE),
            (stream + event(1) + LAST_CHUNK, "streaming"),
        ):
            left = []
            exchange = make_exchange(kind=kind)
            outcome, _, _ = await run_attempt(
                ScriptedServer(write_once(data)),
                exchange,
                within_s=2.0,
                leaving_backends=left,
            )
            self.assertEqual((outcome, len(left)), (ANSWERED, 1))

    async def test_what_another_instance_says_at_its_address_does_not_count(self):
        """A misdirected request may have reached anybody."""
        left = []
        data = REFUSED.replace(b"503 Busy", b"421 No") + b"leaving: 1\r\n\r\n"
        outcome, _, _ = await run_attempt(
            ScriptedServer(write_once(data)),
            make_exchange(),
            within_s=2.0,
            leaving_backends=left,
        )
        self.assertEqual((outcome, left), (NOT_RUN, []))

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
    def test_a_start_that_left_takes_no_work_again(self, steps):
        """Over reordered, delayed and stale announcements; a later start does."""
        table, other = BackendTable(), BackendTable()
        left = 0
        for at_s, (kind, start, sequence, state) in enumerate(steps, 1):
            now_s = float(at_s)
            known = table.find("i-1")
            if kind == "announce":
                held = announcement(sequence, state, started_at_ms=start)
                table.take(held, now_s)
                if state != READY:
                    left = max(left, start)
            elif kind == "other host":
                held = announcement(sequence, READY, started_at_ms=start)
                other.take(held, now_s)
            elif known is not None and known.announcement.started_at_ms:
                left = max(left, known.announcement.started_at_ms)
                if kind == "end":
                    table.end("i-1", now_s)
                else:
                    table.note_leaving(known, now_s)
            for backend in table.changed_since(0):
                other.take(backend.announcement, now_s)
            for side in (table, other):
                found = side.live("svc", now_s, stale=True)
                for backend in found:
                    self.assertGreater(backend.announcement.started_at_ms, left)

    def test_leaving_is_told_to_the_other_hosts(self):
        """Although a reply carries no sequence."""
        table, other = BackendTable(), BackendTable()
        table.take(announcement(7), 1.0)
        other.take(announcement(8), 1.0)
        seen = table.number
        table.note_leaving(table.find("i-1"), 2.0)
        for backend in table.changed_since(seen):
            other.take(backend.announcement, 2.0)
        self.assertEqual(other.find("i-1").announcement.state, LEAVING)
        self.assertEqual(other.live("svc", 2.0, stale=True), [])

    def test_one_that_left_is_remembered_for_as_long_as_it_is_heard(self):
        """Its announcements that say nothing of it keep it from being forgotten."""
        table = BackendTable()
        table.take(announcement(1), 0.0)
        table.note_leaving(table.find("i-1"), 0.0)
        for step in range(1, 200):
            table.take(announcement(1 + step), float(step))
            table.expire(float(step))
            self.assertEqual(table.live("svc", float(step), stale=True), [])

    def test_what_left_before_it_was_told_to_end_is_gone(self):
        """An end goes beyond leaving."""
        table = BackendTable()
        table.take(announcement(1), 0.0)
        table.note_leaving(table.find("i-1"), 0.0)
        table.end("i-1", 1.0)
        self.assertEqual(table.find("i-1").announcement.state, GONE)


class KeptOffTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_with_a_time_keeps_this_host_off(self):
        """No request goes there, not even over a connection that is being made."""
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
    def test_the_latest_end_of_all_times_counts(self, times):
        """A shorter time does not end a longer one; an absurd one ends."""
        backend = backend_at("127.0.0.1:1")
        for for_s in times:
            backend.keep_off(for_s, 100.0)
        longest_s = min(max(times), LONGEST_KEPT_OFF_S)
        if longest_s > 1e-6:
            self.assertFalse(backend.takes_work(100.0 + longest_s - 1e-6))
        self.assertTrue(backend.takes_work(100.0 + longest_s + 1e-6))

    def test_callers_come_back_one_after_the_other(self):
        """The first moment after the time is no stampede, and nobody waits for long.

        The load: all three servers of a service with six places each refuse for two
        seconds; eight hosts send 400 callers away meanwhile.
        """
        backends = [backend_at(f"127.0.0.{number}:1", slots=6) for number in (1, 2, 3)]
        for backend in backends:
            backend.service_s = 0.05
            backend.keep_off(2.0, 100.0)
        queues = [RetryAfterScheduler() for _ in range(8)]
        returns = []
        for number in range(400):
            now_s = 100.0 + number * 0.004
            wait_s = queues[number % 8].wait_s("s", backends, 8, now_s)
            returns.append(now_s + wait_s)
        self.assertGreaterEqual(min(returns), 102.0)
        self.assertLessEqual(max(returns), 102.0 + LONGEST_SPREAD_S + 0.2)
        # 18 places of 0.05 s serve 36 callers in a tenth of a second.
        for start in range(12):
            low_s = 102.0 + start * 0.1
            inside = sum(low_s <= item < low_s + 0.1 for item in returns)
            self.assertLessEqual(inside, 2 * 36 + 8)
