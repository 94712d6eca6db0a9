"""Tests of retries: when a failed request is retried, resumed or refused."""

import json
import tracemalloc
import unittest
from unittest import mock

from damaskvalve._agent_client import AttemptError
from damaskvalve._attempts import MAX_REFUSALS, RETURN_WAIT_S, Attempts
from damaskvalve._completion import continuation_body
from damaskvalve._dispatch import Dispatcher
from damaskvalve._replies import _buffered_reply
from damaskvalve._retry_budget import MAX_SAVED_RETRIES, RetryBudget
from damaskvalve_core import UNKNOWN, RefusedError, boot_clock_s
from damaskvalve_core.messages import WorkChunk


def failure(ran, code="backend_failed"):
    return AttemptError(code, "failed", ran=ran)


class AttemptTests(unittest.TestCase):
    def setUp(self):
        self.attempts = Attempts(deadline_s=100.0)

    def test_request_that_never_started_does_not_wait_for_a_backend_server(self):
        """It is refused at once if no backend server is left."""
        self.attempts.record_failure(failure("not-run"), "e1", 0.0, 0.1)
        self.assertFalse(self.attempts.may_wait(0.1))

    def test_interrupted_request_waits_for_a_limited_time(self):
        """Long enough for an engine to restart, but not until its deadline."""
        self.attempts.record_failure(failure("unknown"), "e1", 0.0, 1.0)
        self.assertTrue(self.attempts.may_wait(1.0 + RETURN_WAIT_S / 2))
        self.assertFalse(self.attempts.may_wait(1.0 + RETURN_WAIT_S))

    def test_long_attempt_restarts_the_wait(self):
        """The time in a backend server's queue does not count as waiting time."""
        self.attempts.record_failure(failure("unknown"), "e1", 0.0, 1.0)
        self.attempts.record_failure(failure("not-run"), "e2", 1.0, 9.0)
        self.assertTrue(self.attempts.may_wait(9.0 + RETURN_WAIT_S / 2))

    def test_failures_that_no_other_backend_server_avoids_are_final(self):
        """A deadline or an adapter version that does not load ends the attempts."""
        for code in ("deadline", "adapter_held_back"):
            self.assertFalse(self.attempts.may_retry(failure("not-run", code), 0.0))

    def test_interruptions_are_limited(self):
        """The third interruption is final."""
        for number in range(3):
            self.attempts.record_failure(failure("unknown"), f"e{number}", 0.0, 0.1)
        self.assertFalse(self.attempts.may_retry(failure("unknown"), 0.2))

    def test_retries_are_a_limited_share_of_requests(self):
        """After an outage has used up the budget, one in ten requests is retried."""
        budget = RetryBudget()
        taken = sum(budget.take() for _ in range(100))
        self.assertEqual(taken, MAX_SAVED_RETRIES)
        for _ in range(100):
            budget.earn()
        self.assertLessEqual(sum(budget.take() for _ in range(100)), 10)


class ContinuationTests(unittest.TestCase):
    def test_resumed_completion_continues_after_the_delivered_text(self):
        """The prompt grows and max_tokens shrinks; at 0 the request is complete."""
        body = json.dumps({"prompt": "a", "max_tokens": 5}).encode()
        resumed = json.loads(continuation_body(body, " b c", 2))
        self.assertEqual(resumed, {"prompt": "a b c", "max_tokens": 3})
        self.assertIsNone(continuation_body(body, " b c d e f", 5))

    def test_resumed_chat_continues_the_last_message(self):
        """The partial answer is sent as a message of the assistant."""
        messages = [{"role": "user", "content": "hello"}]
        body = json.dumps({"messages": messages, "max_tokens": 5}).encode()
        resumed = json.loads(continuation_body(body, "par", 1))
        self.assertEqual(resumed["messages"][-1]["content"], "par")
        self.assertTrue(resumed["continue_final_message"])


class InterruptedRequestTests(unittest.TestCase):
    def final_refusal(self, failures, deadline_s):
        unused = mock.Mock()
        view = mock.Mock()
        view.suspect.return_value = None
        dispatcher = Dispatcher(view, unused, unused, "dc", unused, unused)
        with mock.patch.multiple(
            dispatcher,
            create=True,
            choose_backend=mock.Mock(),
            _make_work_request=mock.Mock(),
            _run_attempt=mock.Mock(side_effect=failures),
        ):
            exchange = mock.Mock(deadline_s=deadline_s, body=b"{}")
            with self.assertRaises(RefusedError) as caught:
                for _ in dispatcher.events(exchange):
                    pass
        return caught.exception

    def test_a_request_that_an_agent_had_started_was_reported_as_not_run(self):
        """The refusal of the last attempt says nothing of the attempts before it."""
        failures = [failure(UNKNOWN), failure("not-run", "deadline")]
        refusal = self.final_refusal(failures, boot_clock_s() + 60)
        self.assertEqual((refusal.status, refusal.ran), (504, UNKNOWN))

    def test_a_request_that_no_agent_started_is_reported_as_not_run(self):
        """Its caller may send it again, whatever it does."""
        failures = [failure("not-run", "queue_full") for _ in range(MAX_REFUSALS)]
        refusal = self.final_refusal(failures, boot_clock_s() + 60)
        self.assertEqual((refusal.code, refusal.ran), ("queue_full", "not-run"))


class EndlessAnswerTests(unittest.TestCase):
    def test_an_answer_that_does_not_end_is_given_up(self):
        """Its text is kept to resume it, and to answer a caller at once."""
        unused = mock.Mock()
        view = mock.Mock()
        view.suspect.return_value = None
        dispatcher = Dispatcher(view, unused, unused, "dc", unused, unused)
        closed = []

        def send_endlessly(exchange, backend, work):
            try:
                for _ in range(64):
                    yield WorkChunk("r-1", "t" * 1_000_000, 1)
            finally:
                closed.append(True)

        with mock.patch.multiple(
            dispatcher,
            create=True,
            choose_backend=mock.Mock(),
            _make_work_request=mock.Mock(),
            _run_attempt=send_endlessly,
        ):
            exchange = mock.Mock(deadline_s=boot_clock_s() + 60, body=b"{}")
            with self.assertRaises(RefusedError) as caught:
                for _ in dispatcher.events(exchange):
                    pass
        self.assertEqual((caught.exception.ran, closed), (UNKNOWN, [True]))

    def test_text_in_small_pieces_takes_as_much_memory_as_its_length(self):
        """An object for each piece weighs many times its length."""
        pieces = (WorkChunk("r-1", f"{number:05}", 1) for number in range(100_000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(RefusedError):
            _buffered_reply(mock.Mock(), pieces, mock.Mock())
        self.assertLess(tracemalloc.get_traced_memory()[1], 2_000_000)


if __name__ == "__main__":
    unittest.main()
