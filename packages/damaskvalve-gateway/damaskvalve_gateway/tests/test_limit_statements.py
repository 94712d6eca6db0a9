"""Statements about request limits that arrive late, reordered or through others."""

import math
import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_gateway._limit_statements import (
    NEVER_S,
    LimitStatement,
    newest_statement,
)
from damaskvalve_gateway._notices import from_limit_notice, to_limit_notice


def statement(limit_per_s, earliest_s, latest_s):
    return LimitStatement(limit_per_s, float(earliest_s), float(latest_s))


class LimitStatementTests(unittest.TestCase):
    def test_the_newest_statement_holds(self):
        """The rows: known, heard, and the limit that holds."""
        cases = (
            # Certainly newer or older statements.
            (statement(1.0, 0, 1), statement(None, 1, 2), None),
            (statement(None, 0, 1), statement(1.0, 2, 3), 1.0),
            (statement(1.0, 2, 3), statement(None, 0, 1), 1.0),
            (statement(None, 2, 3), statement(1.0, 0, 1), None),
            # A head without a limit, sent before the limit began and read late.
            (statement(1.0, 1, 2), statement(None, 0, 3), 1.0),
            # A head with a limit, sent before the limit ended and read late.
            (statement(None, 1, 2), statement(1.0, 0, 3), None),
            # A limit whose request was sent later than one answered without a limit.
            (statement(None, 0, 2), statement(1.0, 1, 3), 1.0),
            # Two limits whose order is unknown: that of the later request holds.
            (statement(2.0, 0, 2), statement(1.0, 1, 3), 1.0),
            (statement(2.0, 1, 2), statement(1.0, 0, 3), 2.0),
            # Nothing is known of when a message was made.
            (statement(1.0, 1, 2), statement(None, NEVER_S, 3), 1.0),
            (statement(None, 1, 2), statement(1.0, NEVER_S, 3), None),
            (None, statement(1.0, NEVER_S, 3), 1.0),
        )
        for known, heard, limit_per_s in cases:
            with self.subTest(known=known, heard=heard):
                self.assertEqual(
                    newest_statement(known, heard).limit_per_s, limit_per_s
                )

    def test_a_repeated_limit_is_not_ended_by_an_older_reply(self):
        """Each reply that repeats the limit moves the time that its end follows."""
        known = statement(1.0, 0, 1)
        known = newest_statement(known, statement(1.0, 5, 6))
        known = newest_statement(known, statement(None, 3, 7))
        self.assertEqual(known.limit_per_s, 1.0)
        known = newest_statement(known, statement(None, 6, 8))
        self.assertIsNone(known.limit_per_s)

    def test_impossible_values_are_rejected(self):
        """Negative and infinite limits, and an interval that ends before it begins."""
        for limit_per_s in (-1.0, math.inf, math.nan):
            with self.assertRaises(ValueError):
                LimitStatement(limit_per_s, 0.0, 1.0)
        with self.assertRaises(ValueError):
            LimitStatement(1.0, 2.0, 1.0)

    @settings(max_examples=300)
    @given(
        began_s=st.floats(1.0, 5.0),
        lasted_s=st.floats(1.0, 5.0),
        replies=st.lists(
            st.tuples(st.floats(0.0, 20.0), st.floats(0.0, 3.0), st.floats(0.0, 3.0)),
            max_size=30,
        ),
    )
    def test_no_reply_from_before_a_limit_ends_it(self, began_s, lasted_s, replies):
        """Replies are made and read at any time after their requests were sent.

        A reply to a request that was sent after the end of the limit ends it.
        """

        def limit_at(at_s):
            return 1.0 if began_s <= at_s < began_s + lasted_s else None

        known = None
        heard = [
            (sent + made + read, sent, sent + made) for sent, made, read in replies
        ]
        for read_s, sent_s, made_s in sorted(heard):
            before = known
            stated = LimitStatement(limit_at(made_s), sent_s, read_s)
            known = newest_statement(before, stated)
            if before is None or before.limit_per_s is None:
                continue
            if made_s < began_s:
                self.assertIsNotNone(known.limit_per_s)
            elif made_s >= began_s + lasted_s and sent_s >= before.latest_s:
                self.assertIsNone(known.limit_per_s)

    def test_a_notice_widens_the_interval_by_the_time_that_it_may_have_taken(self):
        """Ages are carried, so that hosts need not have the same clock."""
        told = to_limit_notice(statement(2.0, 90, 91), 100.0)
        heard = from_limit_notice(told, 500.0, 503.0)
        self.assertEqual(heard.limit_per_s, 2.0)
        self.assertEqual((heard.earliest_s, heard.latest_s), (490.0, 494.0))

    def test_a_notice_without_a_lower_bound_ends_no_limit(self):
        """It may have been under way for any time."""
        told = to_limit_notice(statement(None, 90, 91), 100.0)
        heard = from_limit_notice(told, None, 503.0)
        known = statement(1.0, 400, 401)
        self.assertEqual(newest_statement(known, heard).limit_per_s, 1.0)
