"""Replies of backend servers that stop at any byte, as their callers get them."""

import unittest

from damaskvalve_gateway.tests.attempt_fixtures import LAST_CHUNK, chunk
from damaskvalve_gateway.tests.cut_reply_fixtures import (
    CLOSE,
    KEEP,
    RESET,
    CuttingFleet,
)

UNSIGNED_OK = b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n"
OK = UNSIGNED_OK + b"signature: s-1\r\n"
BODY = b"twelve bytes"
LENGTH = OK + b"content-length: 12\r\n\r\n" + BODY
LENGTH_FIRST = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\nrequest-id: r-1\r\nsignature: s-1\r\n"
    b"\r\n" + BODY
)
CHUNKED_HEAD = OK + b"transfer-encoding: chunked\r\n\r\n"
CHUNKED = CHUNKED_HEAD + b"006\r\ntwelve\r\n" + chunk(b" bytes") + LAST_CHUNK
UNFRAMED = OK + b"connection: close\r\n\r\n" + BODY
OLD = LENGTH.replace(b"HTTP/1.1", b"HTTP/1.0")
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\nx-note: 1\r\n\r\n"
NO_CONTENT = OK.replace(b"200 OK", b"204 No Content") + b"\r\n"
FAILURE = LENGTH.replace(b"200 OK", b"500 No")
REFUSAL = LENGTH.replace(b"200 OK", b"503 Busy").replace(
    b"content", b"not-run: 1\r\ncontent"
)
STREAM = OK + b"content-type: text/event-stream\r\n"
LAST_EVENT = 4
# Statuses that promise that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(first, last=LAST_EVENT):
    return [event(number) for number in range(first, last + 1)]


WHOLE_STREAM = b"".join(events(1))


def chunked_stream(first=1):
    body = b"".join(chunk(item) for item in events(first))
    return STREAM + b"transfer-encoding: chunked\r\n\r\n" + body + LAST_CHUNK


def stream_with_length(first=1):
    body = b"".join(events(first))
    return STREAM + b"content-length: %d\r\n\r\n" % len(body) + body


def unframed_stream(first=1):
    return STREAM + b"connection: close\r\n\r\n" + b"".join(events(first))


def rest_of(make_stream):
    """Return a reply that goes on after the event that the request names."""
    return lambda headers: make_stream(int(headers.get(b"last-event-id", 0)) + 1)


def cuts(reply, last=None):
    """Yield the first bytes of a reply and how the connection ends, for each cut.

    A reset after each fourth of the bytes beside an orderly close after each.
    """
    for length in range(len(reply) if last is None else last):
        yield reply[:length], CLOSE
        if length % 4 == 0:
            yield reply[:length], RESET


def head_bytes(reply):
    """Return the size of the final head and all before it."""
    start = len(INFORMATIONAL) if reply.startswith(INFORMATIONAL) else 0
    return reply.index(b"\r\n\r\n", start) + 4


class CutReplyTests(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, **settings):
        return await self.enterAsyncContext(CuttingFleet(**settings).running())

    async def assert_no_cut_is_a_success(
        self, fleet, reply, *, last=None, method="POST", before=None
    ):
        """Cut the reply to a request that may run once before any of its bytes."""
        wrong = []
        for cut in cuts(reply, last):
            if before is not None:
                await fleet.ask("unsafe", (before, KEEP), method=method)
            got = await fleet.ask("unsafe", cut, method=method)
            promised = got.complete and got.status in NOT_RUN_STATUSES
            if got.is_success() or promised or len(fleet.arrived) != 1:
                wrong.append((cut, got.status, got.body))
        self.assertEqual(wrong, [])

    async def test_a_reply_that_is_cut_anywhere_is_no_success(self):
        """Its request may have run: it is neither repeated nor refused as not run."""
        fleet = await self.start_fleet()
        for reply in (LENGTH, LENGTH_FIRST, CHUNKED, OLD, INFORMATIONAL + LENGTH):
            got = await fleet.ask("unsafe", (reply, CLOSE))
            self.assertEqual((got.status, got.body, got.complete), (200, BODY, True))
            await self.assert_no_cut_is_a_success(fleet, reply)

    async def test_a_reply_without_a_body_that_is_cut_is_no_success(self):
        """The head is all of it: 204, and a reply to HEAD."""
        fleet = await self.start_fleet()
        got = await fleet.ask("unsafe", (NO_CONTENT, KEEP))
        self.assertTrue(got.is_success())
        await self.assert_no_cut_is_a_success(fleet, NO_CONTENT)
        head = LENGTH[: head_bytes(LENGTH)]
        got = await fleet.ask("unsafe", (head, KEEP), method="HEAD")
        self.assertTrue(got.is_success())
        await self.assert_no_cut_is_a_success(fleet, head, method="HEAD")

    async def test_a_reply_that_ends_with_its_connection_is_whole_after_its_head(self):
        """A reset shows that it was cut; a cut head is never its end."""
        fleet = await self.start_fleet()
        last = head_bytes(UNFRAMED)
        await self.assert_no_cut_is_a_success(fleet, UNFRAMED, last=last)
        for length in range(last, len(UNFRAMED) + 1):
            got = await fleet.ask("unsafe", (UNFRAMED[:length], RESET))
            self.assertFalse(got.is_success(), UNFRAMED[:length])
            got = await fleet.ask("unsafe", (UNFRAMED[:length], CLOSE))
            self.assertEqual(got.body, UNFRAMED[last:length])

    async def test_a_reply_that_is_cut_on_a_reused_connection_is_no_success(self):
        """The connection carried a whole reply before."""
        fleet = await self.start_fleet()
        await self.assert_no_cut_is_a_success(fleet, LENGTH_FIRST, before=LENGTH)
        self.assertEqual(fleet.accepted, len(list(cuts(LENGTH_FIRST))))

    async def test_a_success_without_a_signature_is_not_relayed(self):
        """Whatever wrote it left a part of the head out; the request may have run."""
        fleet = await self.start_fleet(backends=2)
        for head in (UNSIGNED_OK, UNSIGNED_OK + b"signature:\r\n"):
            for framing in (b"content-length: 2\r\n\r\nok", b"\r\nok"):
                unsigned = head + framing, CLOSE
                got = await fleet.ask("unsafe", unsigned)
                self.assertEqual((got.status, len(fleet.arrived)), (502, 1))
                got = await fleet.ask("safe", unsigned, (LENGTH, KEEP))
                self.assertEqual((got.body, got.is_success()), (BODY, True))
        got = await fleet.ask("unsafe", (FAILURE.replace(b"signature", b"x"), CLOSE))
        self.assertEqual((got.status, got.body), (500, BODY))

    async def test_a_failure_that_is_cut_is_not_relayed(self):
        """The gateway answers with a failure of its own."""
        fleet = await self.start_fleet()
        for cut in cuts(FAILURE):
            got = await fleet.ask("unsafe", cut)
            self.assertEqual((got.status, got.complete), (502, True))

    async def test_only_the_whole_head_of_a_refusal_shows_that_nothing_ran(self):
        """Cut heads may be those of any reply."""
        fleet = await self.start_fleet()
        await self.assert_no_cut_is_a_success(fleet, REFUSAL, last=head_bytes(REFUSAL))
        got = await fleet.ask("unsafe", *[(REFUSAL[:-3], CLOSE)] * 3)
        self.assertEqual((got.status, got.complete), (503, True))

    async def test_a_repeatable_request_whose_reply_was_cut_is_sent_once_more(self):
        """Another backend server answers it; the route allows two attempts."""
        fleet = await self.start_fleet(backends=2)
        for length in range(len(CHUNKED)):
            cut = CHUNKED[:length], CLOSE
            got = await fleet.ask("safe", cut, (LENGTH, KEEP))
            self.assertEqual((got.status, got.body, got.complete), (200, BODY, True))
            got = await fleet.ask("safe", cut, cut)
            self.assertEqual((got.status, len(fleet.arrived)), (502, 2))

    async def test_cut_replies_use_up_the_retry_budget(self):
        """Then the request is answered with a failure at once."""
        fleet = await self.start_fleet(backends=2, retry_slack=3.0)
        cut = LENGTH[:40], CLOSE
        sends = []
        for _ in range(6):
            got = await fleet.ask("safe", cut, cut)
            self.assertEqual(got.status, 502)
            sends.append(len(fleet.arrived))
        self.assertEqual(sends, [2, 2, 2, 1, 1, 1])


class CutStreamTests(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, **settings):
        return await self.enterAsyncContext(CuttingFleet(**settings).running())

    def assert_whole_events(self, got):
        """Expect a first part of the stream that ends with an event."""
        parts = ["".join(map(bytes.decode, events(1, last))) for last in range(5)]
        self.assertIn(got.body.decode(), parts)

    async def test_a_stream_that_is_cut_anywhere_does_not_end_as_complete(self):
        """Only whole events are relayed, and no status says that nothing ran."""
        fleet = await self.start_fleet()
        for stream in (chunked_stream(), stream_with_length()):
            got = await fleet.ask("stream", (stream, CLOSE))
            self.assertEqual((got.body, got.complete), (WHOLE_STREAM, True))
            for cut in cuts(stream):
                got = await fleet.ask("stream", cut)
                self.assertFalse(got.is_success(), cut)
                self.assertIn(got.status, (200, 502), cut)
                if got.status == 200:
                    self.assert_whole_events(got)

    async def test_a_cut_stream_does_not_end_as_complete_for_an_old_caller(self):
        """Its answer over HTTP/1.0 has neither a length nor chunks."""
        fleet = await self.start_fleet()
        stream = chunked_stream()
        got = await fleet.ask("stream", (stream, CLOSE), version="1.0")
        self.assertEqual((got.body, got.complete), (WHOLE_STREAM, True))
        for cut in cuts(stream):
            got = await fleet.ask("stream", cut, version="1.0")
            self.assertFalse(got.is_success(), cut)

    async def test_a_stream_that_ends_with_its_connection_ends_after_an_event(self):
        """Anywhere else, and before the first event, its end is a cut."""
        fleet = await self.start_fleet()
        stream = unframed_stream()
        ends = {len(stream) - len(b"".join(events(n + 1))) for n in range(1, 5)}
        for length in range(len(stream) + 1):
            got = await fleet.ask("stream", (stream[:length], CLOSE))
            self.assertEqual(got.is_success(), length in ends, stream[:length])
            got = await fleet.ask("stream", (stream[:length], RESET))
            self.assertFalse(got.is_success(), stream[:length])

    async def test_a_resumable_stream_that_is_cut_goes_on_at_another_server(self):
        """The caller gets each event once, wherever and however it was cut."""
        fleet = await self.start_fleet(backends=2)
        for make_stream in (chunked_stream, stream_with_length, unframed_stream):
            stream = make_stream()
            for cut in cuts(stream):
                is_whole = make_stream is unframed_stream and cut[1] == CLOSE
                if is_whole and cut[0].endswith(tuple(events(1))):
                    continue
                got = await fleet.ask(
                    "resumable", cut, (rest_of(chunked_stream), CLOSE)
                )
                result = got.body, got.complete, len(fleet.arrived)
                self.assertEqual(result, (WHOLE_STREAM, True, 2), cut)

    async def test_a_stream_is_relayed_whole_with_what_is_no_event(self):
        """Comments and empty lines, before the first event and after the last."""
        fleet = await self.start_fleet()
        note = b": note\n\n"
        for parts in (
            (note, *events(1), note),
            (note, note, *events(1), b"\n"),
            (b"\n", *events(1), b"\r\n"),
            (note,),
        ):
            body = b"".join(map(chunk, parts))
            head = STREAM + b"transfer-encoding: chunked\r\n\r\n"
            got = await fleet.ask("stream", (head + body + LAST_CHUNK, CLOSE))
            self.assertEqual((got.body, got.complete), (b"".join(parts), True))

    async def test_the_length_of_a_cut_stream_does_not_end_the_one_that_goes_on(self):
        """The second run writes more, or less, than the first had announced."""
        fleet = await self.start_fleet(backends=2)
        first = stream_with_length()
        cut = first[: first.index(event(2)) + len(event(2))], CLOSE
        for last in (LAST_EVENT - 1, LAST_EVENT, LAST_EVENT + 1):
            body = b"".join(map(chunk, events(3, last)))
            rest = CHUNKED_HEAD + body + LAST_CHUNK, CLOSE
            got = await fleet.ask("resumable", cut, rest)
            whole = b"".join(events(1, last))
            self.assertEqual((got.body, got.complete), (whole, True), last)
            rest = CHUNKED_HEAD + body, CLOSE
            got = await fleet.ask("resumable", cut, rest)
            self.assertEqual((got.body, got.complete), (whole, False), last)

    async def test_a_stream_does_not_go_on_with_a_reply_without_a_signature(self):
        """The caller's stream is cut; before the first event, it gets a failure."""
        fleet = await self.start_fleet(backends=2)
        whole = chunked_stream()
        first = whole[: whole.index(event(2)) + len(event(2))], CLOSE
        unsigned = chunked_stream(3).replace(b"signature: s-1\r\n", b""), CLOSE
        got = await fleet.ask("resumable", first, unsigned)
        self.assertEqual((got.body, got.complete), (b"".join(events(1, 2)), False))
        got = await fleet.ask("stream", unsigned)
        self.assertEqual(got.status, 502)

    async def test_the_rest_of_a_stream_that_is_cut_as_well_does_not_complete_it(self):
        """The second server stops at any byte of the rest."""
        fleet = await self.start_fleet(backends=2)
        first = chunked_stream()
        first = first[: first.index(event(2)) + len(event(2))]
        for make_stream in (chunked_stream, stream_with_length):
            rest = make_stream(3)
            for cut in cuts(rest):
                got = await fleet.ask("resumable", (first, CLOSE), cut)
                self.assertEqual((got.status, got.complete), (200, False), cut)
                self.assert_whole_events(got)
                self.assertEqual(len(fleet.arrived), 2)


if __name__ == "__main__":
    unittest.main()
