"""Tests of the retry budget, event splitting, routes, ranking and start-up waits."""

import unittest

from hypothesis import given, strategies as st

from damaskvalve_core.http import ServerLimits
from damaskvalve_gateway._backend import (
    ABSENT,
    CACHED,
    MAX_CACHED_ADAPTERS,
    RESIDENT,
    Backend,
)
from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._choice import order_engines, order_plain
from damaskvalve_gateway._events import EventSplitter, first_event_id
from damaskvalve_gateway._model import (
    READY,
    STREAMING,
    Announcement,
    GatewayConfiguration,
    Route,
)
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway._starting import startup_retry_after_s


def backend(number, data_centre="dc", resident=()):
    address = f"10.0.0.{number}:80"
    announcement = Announcement(
        f"i-{number}", "s", address, data_centre, READY, 1, 1, 8, resident
    )
    return Backend(announcement, 0.0)


def route(name, prefix, split=(("a", 1.0),), host="h"):
    return Route(
        name,
        host,
        prefix,
        STREAMING,
        5.0,
        1.0,
        0,
        split,
        2,
        public=True,
        resumable=True,
    )


class RetryTests(unittest.TestCase):
    def test_all_hosts_together_stay_within_the_retry_budget(self):
        """Eight hosts use their whole budgets; the sum is within ratio and slack."""
        hosts = [RetryBudget(0.2, 62, 10.0) for _ in range(8)]
        retries = 0
        for host in hosts:
            for tick in range(100):
                host.earn("s", tick * 0.1)
            retries += sum(host.take("s", 8, 9.9) for _ in range(1000))
        self.assertLessEqual(retries, 0.2 * 800 + 62)

    def test_used_retries_are_available_again_after_the_window(self):
        """A retry counts until the window has passed since it was used."""
        budget = RetryBudget(0.0, 8, 10.0)
        self.assertTrue(all(budget.take("s", 8, 0.0) for _ in range(1)))
        self.assertFalse(budget.take("s", 8, 5.0))
        self.assertTrue(budget.take("s", 8, 10.1))


class EventTests(unittest.TestCase):
    STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 9))

    def test_an_id_with_thousands_of_digits_counts_as_none(self):
        """The stream goes on, and the id before it stands."""
        splitter = EventSplitter(None)
        for line in (b"id: 4", b"id: " + b"9" * 5_000, "id: ²".encode()):
            splitter.feed(line + b"\ndata: x\n\n")
        self.assertEqual(splitter.last_event_id, 4)

    @given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=12))
    def test_only_complete_events_are_returned_for_any_chunking(self, cuts):
        """The parts add up to the stream, and each ends with a complete event."""
        splitter = EventSplitter(None)
        bounds = [0, *sorted(cuts), len(self.STREAM)]
        out = []
        for start, end in zip(bounds, bounds[1:]):
            events = splitter.feed(self.STREAM[start:end])
            self.assertTrue(events == b"" or events.endswith(b"\n\n"))
            out.append(events)
        self.assertEqual(b"".join(out), self.STREAM)
        self.assertEqual(splitter.last_event_id, 8)
        self.assertFalse(splitter.has_partial_event())

    def test_an_incomplete_event_is_buffered_without_advancing_the_event_id(self):
        """A resumed run continues after the last complete event."""
        splitter = EventSplitter(3)
        self.assertEqual(splitter.feed(b"id: 4\ndata"), b"")
        self.assertTrue(splitter.has_partial_event())
        self.assertEqual(splitter.last_event_id, 3)
        self.assertEqual(first_event_id(b"id: 4\ndata: y\n\n"), 4)


class RouteTests(unittest.TestCase):
    def configuration(self, *routes):
        limits = ServerLimits(1, 1, 1.0, 1.0)
        return GatewayConfiguration(1, routes, {}, limits, {}, {}, needs_keys=False)

    def test_the_longest_prefix_wins(self):
        """The order of routes in the configuration does not matter."""
        short, long = route("short", "/a/"), route("long", "/a/b/")
        found = self.configuration(short, long).find_route("h", "/a/b/c")
        self.assertEqual(found.name, "long")
        self.assertIsNone(self.configuration(short).find_route("h", "/b"))
        self.assertIsNone(self.configuration(short).find_route("other", "/a/"))

    @given(point=st.floats(0, 1, exclude_max=True))
    def test_a_split_follows_the_weights(self, point):
        """A service of weight 0 receives no requests."""
        split_route = route("r", "/", (("a", 90.0), ("zero", 0.0), ("b", 10.0)))
        self.assertEqual(split_route.choose_service(point), "a" if point < 0.9 else "b")


class ChoiceTests(unittest.TestCase):
    def test_a_lost_engine_moves_only_its_own_adapters(self):
        """The first choice for all other adapters stays the same."""
        engines = [backend(number) for number in range(6)]
        names = [f"m/a{number}" for number in range(300)]
        before = {name: order_engines(engines, name, 0.0)[0] for name in names}
        left = engines[1:]
        for name in names:
            if before[name] is not engines[0]:
                self.assertIs(order_engines(left, name, 0.0)[0], before[name])

    def test_adapters_are_spread_evenly_over_engines(self):
        """No engine is the first choice for twice its share of 3000 adapters."""
        engines = [backend(number) for number in range(6)]
        counts = dict.fromkeys(engines, 0)
        for number in range(3000):
            counts[order_engines(engines, f"m/a{number}", 0.0)[0]] += 1
        self.assertLess(max(counts.values()), 2 * 3000 / 6)

    def test_an_engine_with_the_adapter_loaded_ranks_before_the_hashed_choice(self):
        """A request that started on an engine here counts as residency for a while."""
        engines = [backend(number) for number in range(6)]
        for number in range(20):
            name = f"m/a{number}"
            first, *_, last = order_engines(engines, name, 0.0)
            last.note_adapter(name, 0.0)
            self.assertEqual(order_engines(engines, name, 1.0)[:2], [last, first])

    def test_an_engine_that_recently_had_the_adapter_ranks_second(self):
        """An engine with a copy ranks after one with the adapter loaded.

        Only a limited number of copies is assumed.
        """
        engines = [backend(number) for number in range(6)]
        cached, loaded, *others = engines
        cached.note_adapter("m/a", 0.0)
        loaded.note_adapter("m/a", 50.0)
        self.assertEqual(order_engines(engines, "m/a", 51.0)[:2], [loaded, cached])
        for number in range(MAX_CACHED_ADAPTERS):
            cached.note_adapter(f"m/b{number}", 50.0)
        self.assertIs(cached.residency("m/a", 51.0), ABSENT)

    def test_announced_adapters_are_resident_until_the_next_announcement(self):
        """Adapters missing from the next announcement count as cached copies."""
        table = BackendTable()
        for sequence, adapters in ((1, ("m/a@1",)), (2, ("m/b@1",))):
            heartbeat = Announcement(
                "i", "s", "1:1", "dc", READY, 1, sequence, 8, adapters
            )
            table.update(heartbeat, float(sequence))
        residencies = [table.find("i").residency(f"m/{name}", 2.0) for name in "bac"]
        self.assertEqual(residencies, [RESIDENT, CACHED, ABSENT])

    def test_residency_is_checked_by_model_and_version(self):
        """The same adapter name under another model is another adapter."""
        loaded_engine = backend(1, resident=("m/a1@3",))
        table = (("m/a1", 0, True), ("m/a1", 3, True), ("m/a1", 4, False))
        for name, version, expected in (*table, ("n/a1", 0, False)):
            self.assertIs(
                loaded_engine.is_resident(name, version), expected, (name, version)
            )

    def test_a_failing_backend_server_ranks_last(self):
        """It is chosen last also if it is the hashed choice or the least busy."""
        servers = [backend(number) for number in range(3)]
        servers[0].note_connection_failure(0.0)
        self.assertIs(order_plain(servers, "dc", "r", 0.1)[-1], servers[0])
        self.assertIs(order_engines(servers, "m/a", 0.1)[-1], servers[0])


class StartTests(unittest.TestCase):
    def test_callers_of_a_starting_host_are_not_told_to_retry_before_it_serves(self):
        """After a power failure, hosts, engines and callers all return together.

        Plain requests are served 1.2 s after the start, streams after 2.5 s.
        """
        for engine, ready_s in ((False, 1.2), (True, 2.5)):
            for step in range(12):
                now_s = 100.0 + 0.1 * step
                wait_s = startup_retry_after_s(100.0, now_s, needs_engine=engine)
                self.assertGreaterEqual(now_s + wait_s, 100.0 + ready_s)
                self.assertLessEqual(now_s + wait_s, 100.0 + max(ready_s, 1.7))

    def test_after_the_start_callers_retry_after_half_a_second(self):
        """A host that still lacks state then lacks it for another reason."""
        for engine in (False, True):
            self.assertEqual(
                startup_retry_after_s(100.0, 105.0, needs_engine=engine), 0.5
            )
