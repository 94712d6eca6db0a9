"""Replies whose status is not one of a final reply, over real connections."""

import unittest

from damaskvalve_gateway._backend_attempt import ANSWERED, BROKEN
from damaskvalve_gateway._model import SAFE, STREAMING, UNSAFE
from damaskvalve_gateway.tests.attempt_fixtures import (
    LAST_CHUNK,
    OK,
    ScriptedServer,
    event,
    make_exchange,
    run_attempt,
    write_once,
)

INVALID = (b"000", b"001", b"099", b"20", b"2000", b"-01", b"abc", b"101")
# These pass through the HTTP library.
OUT_OF_RANGE = (b"600", b"700", b"999")
BODY = b"content-length: 3\r\n\r\nabc"


def reply(status, rest=BODY):
    return OK.replace(b"200 OK", status + b" X") + rest


async def attempt(data, **route_settings):
    exchange = make_exchange(**route_settings)
    server = ScriptedServer(write_once(data))
    outcome, reason, _ = await run_attempt(server, exchange, within_s=2.0)
    return outcome, reason, exchange.responder


class InvalidStatusTests(unittest.IsolatedAsyncioTestCase):
    async def test_no_caller_gets_an_invalid_status(self):
        """Guards against MIXED, issue 58: 600 and more reached callers, with a seal.

        Whether the request has run is not known.
        """
        for status in (*INVALID, *OUT_OF_RANGE):
            for kind in (SAFE, UNSAFE, STREAMING):
                with self.subTest(status=status, kind=kind):
                    data = reply(status)
                    outcome, reason, responder = await attempt(data, kind=kind)
                    self.assertEqual(outcome, BROKEN, reason)
                    self.assertFalse(responder.started)

    async def test_an_invalid_status_never_says_that_a_request_has_not_run(self):
        """A refusal that is not one must not be taken at its word."""
        for status in OUT_OF_RANGE:
            data = reply(status, b"not-run: 1\r\n" + BODY)
            outcome, _, _ = await attempt(data, kind=UNSAFE)
            self.assertEqual(outcome, BROKEN)

    async def test_a_stream_is_not_resumed_with_an_invalid_status(self):
        """Its caller gets neither the status nor the events that follow."""
        for status in (b"000", *OUT_OF_RANGE):
            rest = b"transfer-encoding: chunked\r\n\r\n" + event(2) + LAST_CHUNK
            exchange = make_exchange(resumable=True)
            await exchange.responder.start(200, [])
            exchange.last_event_id = b"1"
            server = ScriptedServer(write_once(reply(status, rest)))
            outcome, _, _ = await run_attempt(server, exchange, within_s=2.0)
            self.assertEqual(outcome, BROKEN)
            self.assertEqual(exchange.responder.body, b"")

    async def test_valid_statuses_still_pass(self):
        """Errors of the backend server itself are answers."""
        for status in (b"200", b"201", b"404", b"499", b"599"):
            outcome, reason, responder = await attempt(reply(status), kind=UNSAFE)
            self.assertEqual(outcome, ANSWERED, reason)
            self.assertEqual(responder.status, int(status))
