"""Tests of the backend table: leaving, dead and flapping servers, late reports."""

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
        self.wake_count = 0
        self.table = BackendTable(self.wake)

    def wake(self):
        self.wake_count += 1

    def test_leaving_backend_server_is_removed_at_once(self):
        """Subscribers are woken and receive its removal."""
        self.table.update(report(1), 0.0)
        version = self.table.changes_since(0).version
        self.table.update(report(2, leaving=True), 0.1)
        self.assertEqual(usable(self.table), [])
        self.assertEqual(self.table.changes_since(version).removed, ["e1"])
        self.assertEqual(self.wake_count, 2)

    def test_unresponsive_backend_server_is_removed_when_its_lease_ends(self):
        """A dead and a frozen backend server are indistinguishable."""
        self.table.update(report(1), 0.0)
        self.table.expire(BACKEND_LEASE_S)
        self.assertEqual(usable(self.table), ["e1"])
        self.table.expire(BACKEND_LEASE_S + 0.1)
        self.assertEqual(usable(self.table), [])

    def test_late_report_does_not_restore_a_leaving_backend_server(self):
        """Reports of one incarnation apply only in the order of their sequence."""
        self.table.update(report(5, leaving=True), 0.0)
        self.table.update(report(4), 0.1)
        self.assertEqual(usable(self.table), [])

    def restart_repeatedly(self):
        for number in range(5):
            self.table.update(report(number, name="e2"), number * 5.0)
            self.table.update(report(1, incarnation=f"i{number}"), number * 5.0)

    def test_flapping_backend_server_is_suppressed(self):
        """After four returns within a minute it gets no work for 20 s."""
        self.restart_repeatedly()
        self.assertEqual(usable(self.table), ["e2"])
        self.table.update(report(2, incarnation="i4"), 41.0)
        self.assertEqual(usable(self.table), ["e2", "e1"])

    def test_flapping_backend_server_gets_work_that_no_other_can_take(self):
        """Its work is not refused if the others have left or serve something else."""
        self.restart_repeatedly()
        self.table.update(report(9, name="e2", leaving=True), 21.0)
        self.table.update(report(1, name="e3", serves="another"), 21.0)
        self.table.update(report(2, incarnation="i4"), 21.0)
        self.assertEqual(usable(self.table), ["e1", "e3"])

    def test_flapping_backend_server_is_usable_once_the_other_lease_ends(self):
        """The other backend server need not announce that it leaves."""
        self.restart_repeatedly()
        expired_at_s = 20.0 + BACKEND_LEASE_S + 0.1
        self.table.update(report(2, incarnation="i4"), expired_at_s)
        self.table.expire(expired_at_s)
        self.table.expire(expired_at_s + 0.1)
        self.assertEqual(usable(self.table), ["e1"])

    def test_only_changes_that_affect_routing_raise_the_version(self):
        """A small change of load does not; a change of residency does."""
        self.table.update(report(1, queued=9), 0.0)
        version = self.table.changes_since(0).version
        self.table.update(report(2, queued=10), 0.1)
        self.assertEqual(self.table.changes_since(version).changed, [])
        self.table.update(report(3, queued=10, resident=["a"]), 0.2)
        self.assertEqual(len(self.table.changes_since(version).changed), 1)

    def test_service_of_all_other_backend_servers_is_summed(self):
        """An agent receives the totals without its own service."""
        self.table.update(report(1, name="e1", served={"w": 5.0}), 0.0)
        self.table.update(report(1, name="e2", served={"w": 7.0, "v": 1.0}), 0.0)
        self.table.update(report(1, name="e3", served={"w": 1.0}), 0.0)
        self.table.update(report(2, name="e3", served=None, counters=None), 0.5)
        self.assertEqual(self.table.served_elsewhere("e1"), {"w": 8.0, "v": 1.0})

    def test_service_totals_survive_a_restart_of_an_agent(self):
        """A new incarnation counts from zero; the total never decreases."""
        self.table.update(report(1, name="e1", served={"w": 5.0}), 0.0)
        self.table.update(report(1, "i2", name="e1", served={"w": 2.0}), 1.0)
        self.assertEqual(self.table.served_elsewhere("e2"), {"w": 7.0})


if __name__ == "__main__":
    unittest.main()
