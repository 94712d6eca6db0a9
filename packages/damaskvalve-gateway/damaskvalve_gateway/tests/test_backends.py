"""Announcements in any order, and what hosts make of silence and failures."""

import unittest

from damaskvalve_gateway._backends import SILENT_S, BackendTable
from damaskvalve_gateway._model import GONE, LEAVING, READY, Announcement


def announcement(
    sequence, state=READY, started_at_ms=1, name="i-1", address="10.0.0.1:80"
):
    return Announcement(
        name, "svc", address, "dc", state, started_at_ms, sequence, 64, ()
    )


class BackendTableTests(unittest.TestCase):
    def live(self, table, now_s, stale=False):
        found = table.live("svc", now_s, stale=stale)
        return [item.announcement.instance_id for item in found]

    def test_an_older_announcement_does_not_undo_a_newer_one(self):
        """A late 'ready' from before does not bring a leaving one back."""
        table = BackendTable()
        table.take(announcement(5, LEAVING), 1.0)
        self.assertFalse(table.take(announcement(4), 2.0))
        self.assertEqual(self.live(table, 2.0), [])

    def test_an_end_is_final_for_its_start(self):
        """Whatever sequence a delayed announcement carries."""
        table = BackendTable()
        table.take(announcement(5), 1.0)
        table.end("i-1", 1.5)
        self.assertFalse(table.take(announcement(9), 2.0))
        self.assertEqual(table.find("i-1").announcement.state, GONE)

    def test_a_new_start_under_the_same_id_counts_anew(self):
        """Its sequence starts again, and the old start's announcements are stale."""
        table = BackendTable()
        table.take(announcement(50), 1.0)
        self.assertTrue(table.take(announcement(1, started_at_ms=2), 2.0))
        self.assertFalse(table.take(announcement(51), 3.0))
        self.assertEqual(self.live(table, 3.0), ["i-1"])

    def test_a_silent_one_is_left_out_unless_the_host_is_cut_off(self):
        """A host that hears nobody keeps what it knew."""
        table = BackendTable()
        table.take(announcement(1), 1.0)
        later_s = 1.0 + SILENT_S + 0.1
        self.assertEqual(self.live(table, later_s), [])
        self.assertEqual(self.live(table, later_s, stale=True), ["i-1"])

    def test_the_newest_start_at_an_address_is_the_only_one(self):
        """An address is used again by another instance."""
        table = BackendTable()
        table.take(announcement(7, name="i-1", started_at_ms=1), 1.0)
        table.take(announcement(1, name="i-2", started_at_ms=9), 1.2)
        self.assertEqual(self.live(table, 1.5), ["i-2"])

    def test_changes_since_a_number_are_each_told_once(self):
        """A host that was told everything gets nothing again."""
        table = BackendTable()
        table.take(announcement(1), 1.0)
        seen = table.number
        self.assertEqual(table.changed_since(seen), [])
        table.take(announcement(2), 2.0)
        self.assertEqual(len(table.changed_since(seen)), 1)

    def test_a_broken_connection_pauses_longer_each_time(self):
        """One success ends the pause."""
        table = BackendTable()
        table.take(announcement(1), 1.0)
        backend = table.find("i-1")
        backend.note_broken(10.0)
        first_s = backend.paused_until_s - 10.0
        backend.note_broken(20.0)
        self.assertGreater(backend.paused_until_s - 20.0, first_s)
        backend.note_success(0.1)
        self.assertEqual(backend.paused_until_s, 0.0)
