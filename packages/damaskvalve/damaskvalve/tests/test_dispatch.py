"""When a request is tried again, and when it is given up."""

import json
import unittest

from damaskvalve._agent_client import AttemptError
from damaskvalve._attempts import RETURN_WAIT_S, Attempts
from damaskvalve._completion import continuation_body
from damaskvalve._retry_budget import MAX_SAVED_RETRIES, RetryBudget


def failure(ran, code="backend_failed"):
    return AttemptError(code, "failed", ran=ran)


class AttemptTests(unittest.TestCase):
    def setUp(self):
        self.attempts = Attempts(deadline_s=100.0)

    def test_a_request_that_never_began_does_not_wait_for_a_backend_server(self):
        """It is refused at once when nobody is left."""
        self.attempts.record_failure(failure("not-run"), "e1", 0.0, 0.1)
        self.assertFalse(self.attempts.may_wait(0.1))

    def test_an_interrupted_request_waits_a_little(self):
        """Long enough for an engine to come back, not until its deadline."""
        self.attempts.record_failure(failure("unknown"), "e1", 0.0, 1.0)
        self.assertTrue(self.attempts.may_wait(1.0 + RETURN_WAIT_S / 2))
        self.assertFalse(self.attempts.may_wait(1.0 + RETURN_WAIT_S))

    def test_a_long_stay_in_a_queue_begins_the_wait_anew(self):
        """The time that a backend server kept it is not waiting time."""
        self.attempts.record_failure(failure("unknown"), "e1", 0.0, 1.0)
        self.attempts.record_failure(failure("not-run"), "e2", 1.0, 9.0)
        self.assertTrue(self.attempts.may_wait(9.0 + RETURN_WAIT_S / 2))

    def test_what_no_other_backend_server_can_change_is_final(self):
        """A deadline or a version that does not load ends the attempts."""
        for code in ("deadline", "adapter_held_back"):
            self.assertFalse(self.attempts.may_retry(failure("not-run", code), 0.0))

    def test_interruptions_are_bounded(self):
        """The third one is the last."""
        for number in range(3):
            self.attempts.record_failure(failure("unknown"), f"e{number}", 0.0, 0.1)
        self.assertFalse(self.attempts.may_retry(failure("unknown"), 0.2))

    def test_retries_are_a_bounded_part_of_requests(self):
        """After an outage has used the savings, one in ten requests is retried."""
        budget = RetryBudget()
        taken = sum(budget.take() for _ in range(100))
        self.assertEqual(taken, MAX_SAVED_RETRIES)
        for _ in range(100):
            budget.earn()
        self.assertLessEqual(sum(budget.take() for _ in range(100)), 10)


class ContinueTests(unittest.TestCase):
    def test_a_resumed_request_goes_on_after_its_text(self):
        """The prompt grows and the tokens shrink; a full one is complete."""
        body = json.dumps({"prompt": "a", "max_tokens": 5}).encode()
        resumed = json.loads(continuation_body(body, " b c", 2))
        self.assertEqual(resumed, {"prompt": "a b c", "max_tokens": 3})
        self.assertIsNone(continuation_body(body, " b c d e f", 5))

    def test_a_resumed_chat_continues_the_last_message(self):
        """The partial answer is handed back as the assistant's."""
        messages = [{"role": "user", "content": "hello"}]
        body = json.dumps({"messages": messages, "max_tokens": 5}).encode()
        resumed = json.loads(continuation_body(body, "par", 1))
        self.assertEqual(resumed["messages"][-1]["content"], "par")
        self.assertTrue(resumed["continue_final_message"])


if __name__ == "__main__":
    unittest.main()
