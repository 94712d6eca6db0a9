"""Splitting of streams into events."""

import time
import unittest

from hypothesis import given, strategies as st

from damaskvalve_gateway._events import MAX_EVENT_BYTES, EventSplitter

# A request may stay unanswered for this long after its timeout.
MAX_HELD_S = 0.5
PIECE = b"#" * 16


class EventSplitterTests(unittest.TestCase):
    @given(st.lists(st.sampled_from([b"\n", b"id: 7", b"data: a", b"\n\n", b"x"])))
    def test_pieces_lose_no_byte_and_no_separator(self, pieces):
        """A separator may be split between two pieces."""
        splitter = EventSplitter(None)
        events = b"".join(splitter.feed(piece) for piece in pieces)
        partial = splitter.partial_event()
        self.assertEqual(events + partial, b"".join(pieces))
        self.assertNotIn(b"\n\n", partial)
        self.assertTrue(events.endswith(b"\n\n") or not events)

    def test_an_event_without_end_in_small_pieces_does_not_hold_the_process(self):
        """Each piece is searched once: the work grows with the bytes, not faster."""
        splitter = EventSplitter(None)
        began_s = time.process_time()
        while not splitter.is_too_large():
            splitter.feed(PIECE)
        self.assertLess(time.process_time() - began_s, MAX_HELD_S)
        self.assertGreater(len(splitter.partial_event()), MAX_EVENT_BYTES)


if __name__ == "__main__":
    unittest.main()
