"""Reply headers that this release does not know."""

import unittest

from damaskvalve_gateway._reply_fields import (
    MAX_COUNTED_NAMES,
    MAX_LOGGED_FIELDS,
    OTHER_NAMES,
    IneffectiveReplyFields,
)
from damaskvalve_gateway.tests.attempt_fixtures import backend_at


class ListLog:
    """Keeps its lines."""

    def __init__(self):
        self.lines = []

    def line(self, kind, **fields):
        self.lines.append((kind, fields))


class UnknownReplyFieldTests(unittest.TestCase):
    def setUp(self):
        self.log, self.counted = ListLog(), []
        self.fields = IneffectiveReplyFields(self.log, self.counted.append)

    def test_a_field_is_logged_once_for_each_start_and_counted_each_time(self):
        """The line names the server, the value and how much was sent there."""
        backend, other = backend_at("127.0.0.1:1"), backend_at("127.0.0.1:1")
        other.announcement.started_at_ms += 1
        backend.sent_count = 7
        for server in (backend, backend, other):
            self.fields.note(server, [("server-mood", "low")])
        self.assertEqual(self.counted, ["server-mood"] * 3)
        self.assertEqual(len(self.log.lines), 2)
        kind, line = self.log.lines[0]
        self.assertEqual(kind, "reply_field_unknown")
        self.assertEqual((line["field"], line["value"]), ("server-mood", "low"))
        self.assertEqual((line["backend"], line["sent"]), ("i-1", 7))

    def test_endless_new_names_are_bounded(self):
        """A server that makes up names exhausts neither memory nor metric labels."""
        backend = backend_at("127.0.0.1:1")
        for number in range(10 * MAX_LOGGED_FIELDS):
            self.fields.note(backend, [(f"x-{number}", "")])
        self.assertLessEqual(len(self.fields._logged), MAX_LOGGED_FIELDS)
        self.assertEqual(len(set(self.counted)), MAX_COUNTED_NAMES + 1)
        self.assertIn(OTHER_NAMES, self.counted)
