"""How old a host's proof is that its configuration is the newest."""

import unittest

from hypothesis import given, strategies as st

from damaskvalve_gateway._confirmations import FRESH_S, Confirmations

APPLY_S = 2.0
LEADER = "L/1"


def confirmed(at_s, version=7):
    """Return the state of a host whose configuration was confirmed at a time."""
    confirmations = Confirmations()
    confirmations.note_in_force(version)
    confirmations.note(version, LEADER, at_s)
    return confirmations


class ConfirmationTests(unittest.TestCase):
    def test_a_host_without_a_confirmation_denies_nothing(self):
        """It may have been started with an old copy of the state."""
        confirmations = Confirmations()
        confirmations.note_in_force(7)
        self.assertFalse(confirmations.may_deny(0.0, APPLY_S))

    def test_an_old_confirmation_denies_nothing(self):
        """Up to the bound, a later configuration need not be in force yet."""
        confirmations = confirmed(100.0)
        self.assertTrue(confirmations.may_deny(100.0 + APPLY_S, APPLY_S))
        self.assertFalse(confirmations.may_deny(100.1 + APPLY_S, APPLY_S))
        # The host was suspended, or lost the leader, for an hour.
        self.assertFalse(confirmations.may_deny(3_700.0, APPLY_S))

    def test_only_a_fresh_confirmation_denies_without_a_question_to_the_leader(self):
        """A bound that is shorter than the period of confirmations is kept too."""
        confirmations = confirmed(100.0)
        self.assertTrue(confirmations.is_fresh(100.0 + FRESH_S, APPLY_S))
        self.assertFalse(confirmations.is_fresh(100.1 + FRESH_S, APPLY_S))
        self.assertFalse(confirmations.is_fresh(100.2, 0.1))

    def test_a_later_version_confirms_nothing_before_it_is_in_force(self):
        """Once it is, the time of the request counts, not that of the application."""
        confirmations = confirmed(100.0)
        confirmations.note(8, LEADER, 101.0)
        self.assertEqual(confirmations.age_s(103.0), 3.0)
        confirmations.note_in_force(8)
        self.assertEqual(confirmations.age_s(103.0), 2.0)

    def test_a_configuration_that_cannot_be_read_is_not_confirmed(self):
        """The leader states it in each reply, and the host obeys an older one."""
        confirmations = confirmed(100.0)
        for at_s in (101.0, 102.0, 103.0):
            confirmations.note(8, LEADER, at_s)
        self.assertFalse(confirmations.may_deny(103.0, APPLY_S))

    def test_a_late_reply_does_not_replace_a_newer_confirmation(self):
        """Replies to different calls may be read in any order."""
        confirmations = confirmed(100.0)
        confirmations.note(7, "M/2", 99.0)
        self.assertEqual(confirmations.age_s(100.0), 0.0)
        self.assertEqual(confirmations.leader_id, LEADER)

    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 1.5),
                st.sampled_from(("acknowledge", "ask", "read", "apply")),
            ),
            max_size=40,
        )
    )
    def test_nothing_is_denied_that_was_acknowledged_before_the_bound(self, steps):
        """Whatever the order of changes, calls, replies and applications."""
        confirmations, now_s, newest, in_force = Confirmations(), 0.0, 1, 1
        acknowledged_s = {1: 0.0}
        replies = []
        confirmations.note_in_force(1)
        for wait_s, step in steps:
            now_s += wait_s
            if step == "acknowledge":
                newest += 1
                acknowledged_s[newest] = now_s
            elif step == "ask":
                replies.append((newest, LEADER, now_s))
            elif step == "read" and replies:
                confirmations.note(*replies.pop(0))
            elif step == "apply" and in_force < newest:
                in_force += 1
                confirmations.note_in_force(in_force)
            if confirmations.may_deny(now_s, APPLY_S):
                missed = [
                    now_s - at_s
                    for version, at_s in acknowledged_s.items()
                    if version > in_force
                ]
                self.assertLessEqual(max(missed, default=0.0), APPLY_S)
