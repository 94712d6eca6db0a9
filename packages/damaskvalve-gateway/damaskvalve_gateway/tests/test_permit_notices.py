"""What a host tells an agent while a request with a permit runs."""

import types
import unittest

from damaskvalve_gateway._permits import Permit
from damaskvalve_gateway._permits._client import _make_version_notifier


class PermitNoticeTests(unittest.TestCase):
    def notices(self, watched, events):
        sent = []
        call = types.SimpleNamespace(send=sent.append)
        permit = Permit(None, None, 1, call, "r1", watched=watched)
        for _ in range(events):
            permit.note_started()
        return sent

    def test_an_agent_is_told_of_the_first_event_once(self):
        """Most streams are not watched; more notices would cost processor time."""
        (notice,) = self.notices(watched=False, events=5)
        self.assertEqual((notice.outcome, notice.interval_s), ("started", None))

    def test_of_a_watched_stream_each_interval_is_told(self):
        """The first notice has none, and agents of earlier software ignore them."""
        first, *later = self.notices(watched=True, events=4)
        self.assertIsNone(first.interval_s)
        self.assertEqual([notice.outcome for notice in later], ["started"] * 3)
        self.assertTrue(all(notice.interval_s >= 0.0 for notice in later))

    def test_a_request_without_an_agent_tells_nobody(self):
        """Its agent did not answer."""
        permit = Permit(None, None, 1, None, "r1")
        permit.note_started()
        permit.release("done")


class NamedVersionTests(unittest.TestCase):
    def test_an_agent_is_told_once_of_each_version_named_while_a_request_waits(self):
        """Guards against VERSION, review case 10: it was told of none."""
        sent, newest = [], [1]
        call = types.SimpleNamespace(send=sent.append)
        notify = _make_version_notifier(call, "r1", 1, lambda: newest[0])
        for newest[0] in (1, 1, 2, 2, 4, 4):
            notify()
        notices = [(item.request_id, item.outcome, item.version) for item in sent]
        self.assertEqual(notices, [("r1", "version", 2), ("r1", "version", 4)])


if __name__ == "__main__":
    unittest.main()
