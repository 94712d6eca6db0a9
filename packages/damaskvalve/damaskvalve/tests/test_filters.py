"""Tests of the filters, with a fake for the leader and the control hosts."""

import json
import random
import unittest
from unittest import mock

from hypothesis import given, settings, strategies as st

from damaskvalve import key_digest
from damaskvalve._api_key import extract_key
from damaskvalve._configuration import Route, Workspace
from damaskvalve._exchange import Exchange, Reply, compose
from damaskvalve._filters import make_claim_filter, make_outer_filter
from damaskvalve._filters._outer import may_have_run_earlier
from damaskvalve_core import (
    RefusedError,
    RetryLaterError,
    copy_struct,
    discard_event,
    encode_struct,
)
from damaskvalve_core.messages import ReadReply
from damaskvalve_state import StateMachine

ROUTE = {
    "backend_kind": "service",
    "serves": "desk",
    "cost_tokens": 1,
    "weight": 1,
    "deadline_s": 1,
}
WORKSPACE = Workspace(
    "w",
    {
        "share": 1,
        "rate_tokens_per_s": 1,
        "burst_tokens": 1,
        "service_unit": "tokens",
        "max_concurrent": 1,
        "max_jobs": 1,
    },
)


class FakeLeader:
    """Commits to a state machine; can lose answers or fail to commit."""

    def __init__(self):
        self.state_machine = StateMachine()
        self.index = 0
        self.lose_answers = 0
        self.is_down = False

    def commit(self, command, timeout_s):
        if self.is_down:
            raise RetryLaterError("no leader")
        self.index += 1
        copied = copy_struct(command)
        result = self.state_machine.apply(self.index, encode_struct(copied))
        if self.lose_answers:
            self.lose_answers -= 1
            raise RetryLaterError("the answer was lost")
        return result

    def read(self, request):
        claim = self.state_machine.claims.get(request.key)
        return ReadReply(True, 0, claims=[claim] if claim else [])


class FakeMetrics:
    def record_request(self, kind, status, took_s):
        """Ignore the figure."""

    def record_refusal(self, code):
        """Ignore the figure."""

    def record_first_token(self, took_s):
        """Ignore the figure."""


def make_exchange(number=1, body=b"loan", **headers):
    exchange = Exchange(f"r{number}", "POST", "/x", "", headers, body, 0.0)
    exchange.route = Route("/x", {**ROUTE, "kind": "once"})
    exchange.workspace = WORKSPACE
    exchange.deadline_s = 0.0
    return exchange


class ClaimFilterTests(unittest.TestCase):
    def setUp(self):
        self.leader = FakeLeader()
        self.runs = 0
        self.failure = None
        claim = make_claim_filter(self.leader, self.leader, discard_event)
        outer = make_outer_filter(FakeMetrics(), discard_event)
        self.chain = compose([outer, claim], self.run_once)

    def run_once(self, exchange):
        if self.failure is not None and self.failure.ran == "not-run":
            raise self.failure
        self.runs += 1
        if self.failure is not None:
            raise self.failure
        return Reply(200, "text/plain", b"certificate %d" % self.runs)

    def send(self, number=1, body=b"loan", key="k"):
        exchange = make_exchange(number, body, **{"idempotency-key": key})
        return self.chain(exchange)

    def reported_outcome(self, reply):
        return json.loads(reply.body)["error"]["ran"]

    def test_resend_gets_the_stored_answer(self):
        """The request itself runs once."""
        first = self.send(1)
        again = self.send(2)
        self.assertEqual((first.body, self.runs), (again.body, 1))

    def test_lost_answers_of_the_leader_cause_no_second_run(self):
        """The claim and the answer are committed again with the same holder."""
        self.leader.lose_answers = 1
        self.assertEqual(self.send(1).status, 200)
        self.leader.lose_answers = 1
        self.assertEqual(self.send(2).status, 200)
        self.assertEqual(self.runs, 1)

    def test_refused_request_that_did_not_run_releases_its_claim(self):
        """A resend of it runs."""
        self.failure = RefusedError(503, "no_backend", "none", ran="not-run")
        self.assertEqual(self.reported_outcome(self.send(1)), "not-run")
        self.failure = None
        self.assertEqual(self.send(2).status, 200)
        self.assertEqual(self.runs, 1)

    def test_request_with_unknown_outcome_never_runs_again(self):
        """Every resend is answered "unknown", never "not-run"."""
        self.failure = RefusedError(503, "agent_lost", "lost", ran="unknown")
        self.assertEqual(self.reported_outcome(self.send(1)), "unknown")
        self.failure = None
        self.assertEqual(self.reported_outcome(self.send(2)), "unknown")
        self.assertEqual(self.runs, 1)

    def test_without_a_leader_nothing_runs_and_the_outcome_is_unknown(self):
        """An earlier request with the same key may have run."""
        self.leader.is_down = True
        self.assertEqual(self.reported_outcome(self.send(1)), "unknown")
        self.assertEqual(self.runs, 0)

    def test_refusal_before_the_claim_does_not_report_not_run(self):
        """An earlier request with the same Idempotency-Key may have run."""
        resend = make_exchange(**{"idempotency-key": "k"})
        self.assertTrue(may_have_run_earlier(resend))
        self.assertFalse(may_have_run_earlier(make_exchange()))

        def refuse(exchange):
            raise RefusedError(503, "configuration_not_leased", "not now")

        outer = make_outer_filter(FakeMetrics(), discard_event)
        self.assertEqual(self.reported_outcome(outer(resend, refuse)), "unknown")


class HostKilledError(BaseException):
    """Simulates the death of the entry host."""


class FlakyLeader(FakeLeader):
    """Fails before or after a commit, or kills the entry host there.

    The host dies before the commit if "killed", and after it if "kills".
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng

    def commit(self, command, timeout_s):
        outcome = self.rng.choice(["fine"] * 5 + ["before", "after", "killed", "kills"])
        if outcome == "before":
            raise RetryLaterError("not committed")
        if outcome == "killed":
            raise HostKilledError
        result = super().commit(command, timeout_s)
        if outcome == "after":
            raise RetryLaterError("the answer was lost")
        if outcome == "kills":
            raise HostKilledError
        return result


class OncePropertyTests(unittest.TestCase):
    @settings(max_examples=400)
    @given(seed=st.integers(0, 2**32))
    def test_request_runs_at_most_once_and_not_run_is_never_false(self, seed):
        """Entry hosts die at any step, answers are lost and callers send again."""
        rng = random.Random(seed)
        leader = FlakyLeader(rng)
        runs = []

        def run(exchange):
            outcome = rng.choice(["fine", "fine", "refused", "lost", "killed", "kills"])
            if outcome == "refused":
                raise RefusedError(503, "no_backend", "none")
            if outcome == "killed":
                raise HostKilledError
            runs.append(exchange.request_id)
            if outcome == "lost":
                raise RefusedError(503, "agent_lost", "lost", ran="unknown")
            if outcome == "kills":
                raise HostKilledError
            return Reply(200, "text/plain", exchange.request_id.encode())

        claim = make_claim_filter(leader, leader, discard_event)
        chain = compose([make_outer_filter(FakeMetrics(), discard_event), claim], run)
        answers = set()
        with mock.patch("time.sleep"):
            for number in range(8):
                exchange = make_exchange(number, **{"idempotency-key": "k"})
                try:
                    reply = chain(exchange)
                except HostKilledError:
                    continue
                if reply.status == 200:
                    answers.add(reply.body)
                elif json.loads(reply.body)["error"]["ran"] == "not-run":
                    self.assertEqual(runs, [])
        self.assertLessEqual(len(runs), 1)
        self.assertLessEqual(len(answers), 1)


class KeyTests(unittest.TestCase):
    def test_key_is_replaced_by_its_digest(self):
        """The Bearer scheme is accepted; other schemes are not a key."""
        cases = {
            "Bearer secret": key_digest("secret"),
            "bearer  secret ": key_digest("secret"),
            "Basic secret": "",
            "secret": "",
        }
        for value, digest in cases.items():
            with self.subTest(value=value):
                exchange = make_exchange(authorization=value)
                extract_key(exchange)
                self.assertEqual(exchange.presented_digest, digest)
                self.assertNotIn("authorization", exchange.headers)

    def test_key_outside_its_header_is_refused(self):
        """It may not appear in the path, query, body or another header."""
        places = {
            "path": {"path": "/a/secret"},
            "query": {"query": "k=secret"},
            "body": {"body": b"my secret"},
        }
        for name, change in places.items():
            with self.subTest(place=name):
                exchange = make_exchange(authorization="Bearer secret")
                for field, value in change.items():
                    setattr(exchange, field, value)
                with self.assertRaises(RefusedError):
                    extract_key(exchange)
        exchange = make_exchange(authorization="Bearer secret", accept="secret")
        with self.assertRaises(RefusedError):
            extract_key(exchange)


if __name__ == "__main__":
    unittest.main()
