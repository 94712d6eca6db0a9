"""Which member lists leave a quorum, and which of them may last.

A host that is gone or has lost its disk counts as a loss only until its successor has
caught up. From then on the group has to tolerate as many further losses as at first,
so a member list that does not leave a quorum for these must not last until then.
"""

import unittest

from damaskvalve_state._progress import quorum_size

# While one host of ``n`` is replaced: the voters, those among them that can never vote
# again, and the losses that count.
STATES = {
    "all there": lambda n: (n, 0, 0),
    "voter gone": lambda n: (n, 1, 1),
    "successor learns": lambda n: (n, 1, 1),
    "successor votes beside gone voter": lambda n: (n + 1, 1, 1),
    "gone voter removed first": lambda n: (n - 1, 0, 1),
    "successor votes": lambda n: (n, 0, 1),
    "disk lost": lambda n: (n, 1, 1),
    "old id of wiped host removed": lambda n: (n - 1, 0, 1),
    "wiped host votes again": lambda n: (n, 0, 1),
    "all back": lambda n: (n, 0, 0),
    # The old host stops only when its successor has caught up: it does not count.
    "successor votes beside running voter": lambda n: (n + 1, 0, 0),
    "running voter removed before it ends": lambda n: (n, 0, 0),
    "stopped host ends as a voter": lambda n: (n + 1, 1, 0),
}
LASTS = "may last"
MEANWHILE = "only until the successor has caught up"
NEVER = "never"
BEYOND = "beyond the tolerance"

UNREPLACED = {"voter gone", "successor learns", "disk lost"}
REMOVED = {"gone voter removed first", "old id of wiped host removed"}
BESIDE = {"successor votes beside gone voter"}
REPLACED = {"successor votes", "wiped host votes again"}
ENDED = {"stopped host ends as a voter"}
COUNTED = UNREPLACED | REMOVED | BESIDE | REPLACED

# By size and tolerance, the states that may not last.
EXPECTED = {
    (1, 0): {BEYOND: COUNTED, NEVER: ENDED},
    (2, 0): {BEYOND: COUNTED},
    (3, 1): {MEANWHILE: UNREPLACED | REMOVED | BESIDE, NEVER: ENDED},
    (4, 1): {MEANWHILE: UNREPLACED},
    (5, 2): {MEANWHILE: UNREPLACED | REMOVED | BESIDE, NEVER: ENDED},
    (6, 2): {MEANWHILE: UNREPLACED},
    (7, 2): {},
    (7, 3): {MEANWHILE: UNREPLACED | REMOVED | BESIDE, NEVER: ENDED},
    (8, 2): {},
    (8, 3): {MEANWHILE: UNREPLACED},
    (9, 3): {},
    (9, 4): {MEANWHILE: UNREPLACED | REMOVED | BESIDE, NEVER: ENDED},
}


def leaves_quorum(voters, dead, further_losses):
    """Return whether a quorum can vote after any further losses of living voters."""
    return voters - dead - further_losses >= quorum_size(voters)


def verdict(size, tolerance, state):
    voters, dead, counted = STATES[state](size)
    if counted > tolerance:
        return BEYOND
    if not leaves_quorum(voters, dead, tolerance - counted):
        return NEVER
    return LASTS if leaves_quorum(voters, dead, tolerance) else MEANWHILE


def steps(replaced):
    """Return all numbers of gone voters removed, and of successors that vote."""
    counts = range(replaced + 1)
    return [(removed, added) for removed in counts for added in counts]


class QuorumArithmeticTests(unittest.TestCase):
    def test_each_state_of_a_replacement_lasts_as_long_as_it_leaves_a_quorum(self):
        """With an even number of voters, one host may be in transition for long."""
        for (size, tolerance), exceptions in EXPECTED.items():
            for state in STATES:
                expected = next(
                    (key for key, states in exceptions.items() if state in states),
                    LASTS,
                )
                with self.subTest(size=size, tolerance=tolerance, state=state):
                    self.assertEqual(verdict(size, tolerance, state), expected)

    def test_any_order_of_steps_leaves_a_quorum_while_the_losses_count(self):
        """Gone voters may be removed before or after their successors are added."""
        for size, tolerance in EXPECTED:
            for replaced in range(1, tolerance + 1):
                for removed, added in steps(replaced):
                    voters = size - removed + added
                    dead = replaced - removed
                    with self.subTest(size=size, removed=removed, added=added):
                        left = tolerance - replaced
                        self.assertTrue(leaves_quorum(voters, dead, left))

    def test_smallest_group_for_its_tolerance_has_to_replace_every_lost_host(self):
        """No list but the complete one without a gone voter may last."""
        for size, tolerance in [(3, 1), (5, 2), (7, 3), (9, 4)]:
            for replaced in range(1, tolerance + 1):
                for removed, added in steps(replaced):
                    voters = size - removed + added
                    dead = replaced - removed
                    with self.subTest(size=size, removed=removed, added=added):
                        may_last = leaves_quorum(voters, dead, tolerance)
                        is_complete = removed == added == replaced
                        self.assertEqual(may_last, is_complete)

    def test_second_loss_of_three_hosts_needs_the_gone_voter_removed(self):
        """Of four voters, with one gone and one lost, two do not decide."""
        self.assertFalse(leaves_quorum(voters=4, dead=1, further_losses=1))
        self.assertTrue(leaves_quorum(voters=3, dead=0, further_losses=1))


if __name__ == "__main__":
    unittest.main()
