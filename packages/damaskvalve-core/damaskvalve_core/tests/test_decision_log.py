"""Decision log: it is bounded, never blocks, and counts the lines that it drops."""

import io
import json
import threading
import time
import unittest

from damaskvalve_core._decision_log import (
    MAX_LINES_PER_S,
    MAX_QUEUED_LINES,
    DecisionLog,
    decision_log,
    is_sampled,
)


class BlockedStream(io.StringIO):
    """A stream whose writes block, like an output that is not read."""

    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text):
        self.unblocked.wait(10)
        return super().write(text)


def parse_rows(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class DecisionLogTests(unittest.TestCase):
    def test_every_line_has_process_kind_and_time(self):
        """Empty fields are omitted."""
        stream = io.StringIO()
        with decision_log("p", lambda: 5.0, stream) as log:
            log.line("refused", request="r1", reason="", status=429)
        (row,) = parse_rows(stream)
        self.assertEqual(
            (row["process"], row["kind"], row["at_s"]), ("p", "refused", 5)
        )
        self.assertNotIn("reason", row)

    def test_a_value_that_cannot_be_written_costs_its_own_line_only(self):
        """The lines before and after it are written, and it is counted."""
        nested = []
        for _ in range(100_000):
            nested = [nested]
        stream = io.StringIO()
        with decision_log("p", lambda: 5.0, stream) as log:
            for value in (nested, {(1,): 2}, 10**5_000, "\ud800"):
                log.line("odd", value=value)
                log.line("sound")
            deadline_s = time.monotonic() + 5.0
            while len(parse_rows(stream)) < 5 and time.monotonic() < deadline_s:
                time.sleep(0.01)
            log.line("last")
        rows = parse_rows(stream)
        kinds = [row["kind"] for row in rows]
        self.assertEqual(kinds, ["sound"] * 3 + ["odd", "sound", "last"])
        dropped = [row["dropped_lines"] for row in rows if "dropped_lines" in row]
        self.assertEqual(sum(item["unwritable"] for item in dropped), 3)
        while nested:
            nested = nested.pop()

    def test_a_frequent_kind_of_line_does_not_displace_others(self):
        """Lines over the rate limit of their kind are dropped; the log counts them."""
        stream = io.StringIO()
        with decision_log("p", lambda: 5.0, stream) as log:
            for number in range(MAX_LINES_PER_S + 100):
                log.line("many", number=number)
            log.line("rare")
        kinds = [row["kind"] for row in parse_rows(stream)]
        self.assertEqual(kinds.count("many"), MAX_LINES_PER_S)
        self.assertIn("rare", kinds)
        dropped = [
            row["dropped_lines"] for row in parse_rows(stream) if "dropped_lines" in row
        ]
        self.assertEqual(sum(item["many"] for item in dropped), 100)

    def test_a_blocked_output_does_not_block_logging(self):
        """Lines are dropped instead of blocking the thread that logs them."""
        stream = BlockedStream()
        clock = iter(range(10_000_000))
        log = DecisionLog("p", stream, lambda: float(next(clock)), time.time)
        writer = threading.Thread(target=log.write_until_stopped)
        writer.start()
        began_s = time.perf_counter()
        for _ in range(3 * MAX_QUEUED_LINES):
            log.line("line")
        self.assertLess(time.perf_counter() - began_s, 5.0)
        self.assertGreater(log.dropped_total, 0)
        stream.unblocked.set()
        log.stop()
        writer.join()

    def test_all_processes_sample_the_same_requests(self):
        """Sampling depends only on the id and keeps about one request in sixteen."""
        sampled = sum(is_sampled(f"request-{number}") for number in range(16_000))
        self.assertTrue(800 < sampled < 1_200, sampled)
