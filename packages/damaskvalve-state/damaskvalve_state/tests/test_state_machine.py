"""The replicated state machine: revisions, claims, jobs, fences, quarantine."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_core import encode_struct
from damaskvalve_core.messages import (
    AnswerOnce,
    ChangeConfiguration,
    ClaimOnce,
    ClearSuspect,
    Command,
    CreditRecord,
    DropJob,
    ExpireClaims,
    FinishJob,
    GrantFence,
    RecordSuspects,
    ReleaseOnce,
    ReportCrash,
    ReserveCredit,
    ResolveOnce,
    Row,
    StoredAnswer,
    SubmitJob,
    SuspectRecord,
)
from damaskvalve_state import StateMachine
from damaskvalve_state._state_machine import MAX_SUSPECTS

ANSWER = StoredAnswer(200, "text/plain", b"done", "ran")
NAMES = st.sampled_from(["a", "b", "c"])


def change(operation, expected, actor="ann", key="w", value="{}"):
    rows = [Row("workspace", key, value, 0)]
    return Command(change=ChangeConfiguration(operation, expected, actor, rows, 0.0))


def commands():
    """Return a strategy for every kind of command."""
    return st.one_of(
        st.builds(change, NAMES, st.integers(0, 5), NAMES, NAMES),
        st.builds(lambda c, h: Command(claim=ClaimOnce(c, "d", h)), NAMES, NAMES),
        st.builds(lambda c, h: Command(answer=AnswerOnce(c, h, ANSWER)), NAMES, NAMES),
        st.builds(lambda c, h: Command(release=ReleaseOnce(c, h)), NAMES, NAMES),
        st.builds(
            lambda c, r: Command(resolve=ResolveOnce(c, r, "op")), NAMES, st.booleans()
        ),
        st.builds(lambda j: Command(submit=SubmitJob(j, "w", "/p", b"b", 2)), NAMES),
        st.builds(lambda j: Command(finish=FinishJob(j, ANSWER)), NAMES),
        st.builds(lambda j: Command(drop=DropJob(j)), NAMES),
        st.builds(
            lambda w: Command(reserve=ReserveCredit([CreditRecord(w, 1.0, 2.0)])), NAMES
        ),
        st.builds(lambda b, h: Command(fence=GrantFence(b, h)), NAMES, NAMES),
        st.builds(
            lambda f, r, i: Command(crash=ReportCrash(f, r, i)),
            NAMES,
            NAMES,
            st.booleans(),
        ),
        st.builds(lambda f: Command(clear=ClearSuspect(f)), NAMES),
        st.builds(
            lambda f, c: Command(
                record_suspects=RecordSuspects([SuspectRecord(f, c, c > 2)])
            ),
            NAMES,
            st.integers(0, 3),
        ),
        st.builds(lambda n: Command(expire=ExpireClaims(n)), st.integers(0, 30)),
    )


class StateMachineTests(unittest.TestCase):
    def setUp(self):
        self.state_machine = StateMachine()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.state_machine.apply(self.index, encode_struct(command))

    @settings(max_examples=150)
    @given(before=st.lists(commands(), max_size=40), after=st.lists(commands()))
    def test_restored_snapshot_gives_the_same_results_as_the_original(
        self, before, after
    ):
        """Replay after a snapshot gives equal states and equal results."""
        original = StateMachine()
        for index, command in enumerate(before, 1):
            original.apply(index, encode_struct(command))
        restored = StateMachine.from_bytes(original.to_bytes())
        for index, command in enumerate(after, len(before) + 1):
            data = encode_struct(command)
            self.assertEqual(original.apply(index, data), restored.apply(index, data))
        self.assertEqual(original.to_bytes(), restored.to_bytes())

    def test_conflicting_change_is_rejected_and_names_the_winner(self):
        """Two operators change the same revision."""
        self.assertTrue(self.apply(change("op-1", 0, "ann")).accepted)
        lost = self.apply(change("op-2", 0, "bob"))
        self.assertFalse(lost.accepted)
        self.assertEqual(
            (lost.reason, lost.actor, lost.revision), ("conflict", "ann", 1)
        )

    def test_resent_operation_returns_its_first_result(self):
        """A resend after a lost reply changes nothing, however late it arrives."""
        first = self.apply(change("op-1", 0))
        self.apply(change("op-2", 1, key="other"))
        again = self.apply(change("op-1", 0))
        self.assertEqual((again.accepted, again.revision), (True, first.revision))
        self.assertEqual(self.state_machine.revision, 2)

    @settings(max_examples=200)
    @given(
        steps=st.lists(
            st.one_of(
                st.tuples(st.just("claim"), NAMES),
                st.tuples(st.just("answer"), NAMES),
                st.tuples(st.just("release"), NAMES),
            )
        )
    )
    def test_claim_runs_at_most_once_unless_released_before_its_run(self, steps):
        """At most one holder may run at any time, and none after an answer."""
        state_machine = StateMachine()
        holder = None
        answered = False
        for index, (action, name) in enumerate(steps, 1):
            command = {
                "claim": lambda: Command(claim=ClaimOnce("c", "d", name)),
                "answer": lambda: Command(answer=AnswerOnce("c", name, ANSWER)),
                "release": lambda: Command(release=ReleaseOnce("c", name)),
            }[action]()
            accepted = state_machine.apply(index, encode_struct(command)).accepted
            if action == "claim":
                self.assertEqual(accepted, holder is None)
                holder = name if accepted else holder
            elif action == "answer":
                self.assertEqual(accepted, holder == name and not answered)
                answered = answered or accepted
            else:
                self.assertEqual(accepted, holder == name and not answered)
                holder = None if accepted else holder

    def test_later_claims_get_the_stored_answer(self):
        """A resend gets the answer and does not run."""
        self.apply(Command(claim=ClaimOnce("c", "d", "first")))
        self.apply(Command(answer=AnswerOnce("c", "first", ANSWER)))
        again = self.apply(Command(claim=ClaimOnce("c", "d", "second")))
        self.assertEqual((again.accepted, again.reason), (False, "answered"))
        self.assertEqual(again.claim.answer.body, b"done")

    def test_claim_with_another_body_is_rejected(self):
        """A claim is valid only for the body that it was made for."""
        self.apply(Command(claim=ClaimOnce("c", "d", "first")))
        other = self.apply(Command(claim=ClaimOnce("c", "e", "second")))
        self.assertEqual((other.accepted, other.reason), (False, "other-body"))

    def test_only_settled_claims_and_finished_jobs_expire(self):
        """Claims of unknown outcome wait for an operator; unfinished jobs must run."""
        self.apply(Command(claim=ClaimOnce("done", "d", "h")))
        self.apply(Command(answer=AnswerOnce("done", "h", ANSWER)))
        self.apply(Command(claim=ClaimOnce("open", "d", "h")))
        for name in ("finished", "waiting"):
            self.apply(Command(submit=SubmitJob(name, "w", "/p", b"body", 9)))
        self.apply(Command(finish=FinishJob("finished", ANSWER)))
        self.apply(Command(expire=ExpireClaims(100)))
        self.assertEqual(list(self.state_machine.claims), ["open"])
        self.assertEqual(list(self.state_machine.jobs), ["waiting"])

    def test_fencing_number_rises_only_with_a_new_holder(self):
        """A grant repeated after a lost reply still names the previous holder."""
        numbers = []
        for holder in ("a", "a", "b", "a"):
            result = self.apply(Command(fence=GrantFence("engine", holder)))
            numbers.append((result.fence.number, result.fence.previous_holder))
        self.assertEqual(numbers, [(1, ""), (1, ""), (2, "a"), (3, "b")])

    def test_only_an_isolated_crash_quarantines(self):
        """A request that only ran beside a crashing one is never quarantined."""
        for number in range(5):
            crash = ReportCrash("innocent", f"r{number}", False)
            result = self.apply(Command(crash=crash))
            self.assertFalse(result.suspect.quarantined)
        self.apply(Command(crash=ReportCrash("guilty", "x1", False)))
        result = self.apply(Command(crash=ReportCrash("guilty", "x2", True)))
        self.assertTrue(result.suspect.quarantined)

    def test_a_repeated_crash_report_counts_once(self):
        """A report repeated after a lost reply changes nothing."""
        for _ in range(3):
            result = self.apply(Command(crash=ReportCrash("f", "same", True)))
        self.assertEqual(result.suspect.crashes, 1)

    def test_new_suspects_do_not_evict_quarantined_ones(self):
        """Quarantined suspects stay, however many others are suspected later."""
        for name in ("guilty", "guilty"):
            crash = ReportCrash(name, f"x{len(self.state_machine.suspects)}", True)
            self.apply(Command(crash=crash))
        proved = SuspectRecord("proved", 3, True, ["a/1", "b/1", "c/1"], True)
        self.apply(Command(record_suspects=RecordSuspects([proved])))
        for number in range(MAX_SUSPECTS):
            crash = ReportCrash(f"other{number}", f"r{number}", False)
            self.apply(Command(crash=crash))
        self.assertEqual(len(self.state_machine.suspects), MAX_SUSPECTS)
        self.assertTrue(self.state_machine.suspects["guilty"].quarantined)
        self.assertEqual(self.state_machine.suspects["proved"], proved)

    def test_suspects_survive_a_snapshot_and_are_removed_when_cleared(self):
        """Incarnations of backend servers that ended under a suspect are kept too."""
        suspect = SuspectRecord("f", 2, False, ["a/1", "b/1"], False)
        self.apply(Command(record_suspects=RecordSuspects([suspect])))
        restored = StateMachine.from_bytes(self.state_machine.to_bytes())
        self.assertEqual(restored.suspects["f"], suspect)
        cleared = SuspectRecord("f", 0, False)
        self.apply(Command(record_suspects=RecordSuspects([cleared])))
        self.assertNotIn("f", self.state_machine.suspects)

    def test_deferred_jobs_are_bounded_and_kept_until_dropped(self):
        """A full list rejects jobs; a finished job stays until it is dropped."""
        for name in ("a", "b"):
            submit = Command(submit=SubmitJob(name, "w", "/p", b"body", 2))
            self.assertTrue(self.apply(submit).accepted)
        full = self.apply(Command(submit=SubmitJob("c", "w", "/p", b"body", 2)))
        self.assertEqual((full.accepted, full.reason), (False, "full"))
        self.assertFalse(self.apply(Command(drop=DropJob("a"))).accepted)
        self.apply(Command(finish=FinishJob("a", ANSWER)))
        self.assertTrue(self.apply(Command(drop=DropJob("a"))).accepted)

    @settings(max_examples=60)
    @given(count=st.integers(1, 60), since=st.integers(0, 60), width=st.integers(1, 3))
    def test_deltas_reproduce_the_current_rows(self, count, since, width):
        """Old rows plus the delta are equal to the full configuration."""
        state_machine = StateMachine()
        rows_by_key = {}
        for number in range(count):
            if state_machine.revision == since:
                rows_by_key = dict(state_machine.table("workspace"))
            rows = [
                Row("workspace", f"k{(number * width + i) % 7}", None if i else "{}", 0)
                for i in range(width)
            ]
            body = ChangeConfiguration(f"op{number}", number, "ann", rows, 0.0)
            state_machine.apply(number + 1, encode_struct(Command(change=body)))
        delta = state_machine.rows_since(since)
        if since > state_machine.revision:
            self.assertIsNone(delta)
            return
        if since == state_machine.revision:
            rows_by_key = dict(state_machine.table("workspace"))
        for row in delta:
            if row.value is None:
                rows_by_key.pop(row.key, None)
            else:
                rows_by_key[row.key] = row
        self.assertEqual(rows_by_key, dict(state_machine.table("workspace")))


if __name__ == "__main__":
    unittest.main()
