"""Membership of backend servers: leaving, dead, flapping and late reports."""

import unittest

from damaskvalve._backend_table import BACKEND_LEASE_S, BackendTable
from damaskvalve_core.messages import BackendReport


def report(sequence, incarnation="i1", name="e1", **more):
    values = {
        "backend_server": name,
        "agent_address": "127.0.0.1:1",
        "incarnation": incarnation,
        "sequence": sequence,
        "leaving": False,
        "queued": 0,
        "running": 0,
        "max_running": 8,
        "resident": [],
        "served": {},
        "counters": {},
        **more,
    }
    return BackendReport(**values)


def usable(table):
    return [item.backend_server for item in table.usable()]


class BackendTableTests(unittest.TestCase):
    def setUp(self):
        self.wakes = 0
        self.table = BackendTable(self.wake)

    def wake(self):
        self.wakes += 1

    def test_a_leaving_backend_server_is_gone_at_once(self):
        """Subscribers are woken and told of its removal."""
        self.table.update(report(1), 0.0)
        version = self.table.changes_since(0).version
        self.table.update(report(2, leaving=True), 0.1)
        self.assertEqual(usable(self.table), [])
        self.assertEqual(self.table.changes_since(version).removed, ["e1"])
        self.assertEqual(self.wakes, 2)

    def test_a_silent_one_is_gone_when_its_lease_ends(self):
        """Dead and frozen look the same."""
        self.table.update(report(1), 0.0)
        self.table.expire(BACKEND_LEASE_S)
        self.assertEqual(usable(self.table), ["e1"])
        self.table.expire(BACKEND_LEASE_S + 0.1)
        self.assertEqual(usable(self.table), [])

    def test_a_late_report_does_not_bring_it_back(self):
        """Reports of one incarnation count in their order only."""
        self.table.update(report(5, leaving=True), 0.0)
        self.table.update(report(4), 0.1)
        self.assertEqual(usable(self.table), [])

    def flap(self):
        for number in range(5):
            self.table.update(report(number, name="e2"), number * 5.0)
            self.table.update(report(1, incarnation=f"i{number}"), number * 5.0)

    def test_one_that_flaps_is_held_back(self):
        """After four returns in a minute it has to stay up for a while."""
        self.flap()
        self.assertEqual(usable(self.table), ["e2"])
        self.table.update(report(2, incarnation="i4"), 41.0)
        self.assertEqual(usable(self.table), ["e2", "e1"])

    def test_one_that_flaps_gets_work_that_no_other_can_take(self):
        """Its work is refused neither with the other gone nor with another kind."""
        self.flap()
        self.table.update(report(9, name="e2", leaving=True), 21.0)
        self.table.update(report(1, name="e3", serves="another"), 21.0)
        self.table.update(report(2, incarnation="i4"), 21.0)
        self.assertEqual(usable(self.table), ["e1", "e3"])

    def test_one_that_flaps_is_asked_as_soon_as_the_other_is_silent(self):
        """The end of the other's lease is enough."""
        self.flap()
        silent_s = 20.0 + BACKEND_LEASE_S + 0.1
        self.table.update(report(2, incarnation="i4"), silent_s)
        self.table.expire(silent_s)
        self.table.expire(silent_s + 0.1)
        self.assertEqual(usable(self.table), ["e1"])

    def test_only_what_matters_for_routing_is_sent(self):
        """Small changes of load raise no version; residency does."""
        self.table.update(report(1, queued=9), 0.0)
        version = self.table.changes_since(0).version
        self.table.update(report(2, queued=10), 0.1)
        self.assertEqual(self.table.changes_since(version).changed, [])
        self.table.update(report(3, queued=10, resident=["a"]), 0.2)
        self.assertEqual(len(self.table.changes_since(version).changed), 1)

    def test_service_of_the_rest_of_the_fleet_is_summed(self):
        """An agent hears of all service but its own."""
        self.table.update(report(1, name="e1", served={"w": 5.0}), 0.0)
        self.table.update(report(1, name="e2", served={"w": 7.0, "v": 1.0}), 0.0)
        self.table.update(report(1, name="e3", served={"w": 1.0}), 0.0)
        self.table.update(report(2, name="e3", served=None, counters=None), 0.5)
        self.assertEqual(self.table.served_elsewhere("e1"), {"w": 8.0, "v": 1.0})

    def test_service_goes_on_after_an_agent_restarts_its_count(self):
        """A new incarnation counts from nothing; the fleet's total never falls."""
        self.table.update(report(1, name="e1", served={"w": 5.0}), 0.0)
        self.table.update(report(1, "i2", name="e1", served={"w": 2.0}), 1.0)
        self.assertEqual(self.table.served_elsewhere("e2"), {"w": 7.0})


if __name__ == "__main__":
    unittest.main()
