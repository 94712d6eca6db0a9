"""Tests of placement: deterministic choices and bounded load."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve import choose, homes
from damaskvalve_core.messages import BackendReport

NAMES = [f"e{n}" for n in range(8)]


def backend(name, queued=0, running=0, resident=(), data_centre="dc-1"):
    return BackendReport(
        backend_server=name,
        data_centre=data_centre,
        queued=queued,
        running=running,
        max_running=8,
        resident=list(resident),
    )


class PlacementTests(unittest.TestCase):
    @settings(max_examples=100)
    @given(order=st.permutations(NAMES), adapter=st.text(max_size=10))
    def test_choice_does_not_depend_on_the_order_of_reports(self, order, adapter):
        """Entry hosts agree without communication."""
        first = choose(adapter, [backend(name) for name in NAMES], {}, "dc-1")
        second = choose(adapter, [backend(name) for name in order], {}, "dc-1")
        self.assertEqual(first.backend_server, second.backend_server)

    def test_homes_change_only_for_adapters_of_a_lost_backend_server(self):
        """All other adapters keep their homes."""
        adapters = [f"a{n}" for n in range(400)]
        for adapter in adapters:
            before = homes(adapter, NAMES)
            after = homes(adapter, NAMES[:-1])
            if NAMES[-1] not in before:
                self.assertEqual(list(before), list(after))

    def test_resident_adapter_is_preferred_over_a_load(self):
        """A short wait is cheaper than an adapter load."""
        reports = [backend(name) for name in NAMES]
        holder = next(name for name in NAMES if name not in homes("a@1", NAMES))
        reports[NAMES.index(holder)] = backend(holder, running=1, resident=["a@1"])
        self.assertEqual(choose("a@1", reports, {}, "dc-1").backend_server, holder)

    def test_overloaded_holder_gets_a_second_replica(self):
        """If the wait is longer than a load, another home loads the adapter."""
        first, second = homes("a@1", NAMES)
        reports = [backend(name) for name in NAMES]
        reports[NAMES.index(first)] = backend(first, 40, 8, resident=["a@1"])
        chosen = choose("a@1", reports, {}, "dc-1")
        self.assertEqual(chosen.backend_server, second)

    def test_requests_in_flight_count_while_reports_lag(self):
        """An entry host does not send all requests to the same backend server."""
        counts = {}
        reports = [backend(name, resident=["a@1"]) for name in NAMES]
        for _ in range(80):
            name = choose("a@1", reports, counts, "dc-1").backend_server
            counts[name] = counts.get(name, 0) + 1
        self.assertLessEqual(max(counts.values()), 16)

    def test_excluded_backend_servers_are_not_chosen(self):
        """A retry goes elsewhere; if all are excluded, there is no choice."""
        reports = [backend(name) for name in NAMES]
        chosen = choose("a@1", reports, {}, "dc-1", set(NAMES[1:]))
        self.assertEqual(chosen.backend_server, NAMES[0])
        self.assertIsNone(choose("a@1", reports, {}, "dc-1", set(NAMES)))


if __name__ == "__main__":
    unittest.main()
