"""The decision log: bounded, never blocking, and honest about what it drops."""

import io
import json
import threading
import time
import unittest

from damaskvalve_core._decision_log import (
    MAX_LINES_PER_S,
    MAX_WAITING_LINES,
    DecisionLog,
    decision_log,
    is_sampled,
)


class StuckStream(io.StringIO):
    """A standard output that nobody reads."""

    def __init__(self):
        super().__init__()
        self.free = threading.Event()

    def write(self, text):
        self.free.wait(10)
        return super().write(text)


def rows(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class DecisionLogTests(unittest.TestCase):
    def test_each_line_names_process_kind_and_time(self):
        """Empty fields are left out."""
        stream = io.StringIO()
        with decision_log("p", lambda: 5.0, stream) as log:
            log.line("refused", request="r1", reason="", status=429)
        (row,) = rows(stream)
        self.assertEqual(
            (row["process"], row["kind"], row["at_s"]), ("p", "refused", 5)
        )
        self.assertNotIn("reason", row)

    def test_one_kind_does_not_crowd_out_another(self):
        """Beyond its rate a kind is counted, and the count is written."""
        stream = io.StringIO()
        with decision_log("p", lambda: 5.0, stream) as log:
            for number in range(MAX_LINES_PER_S + 100):
                log.line("many", number=number)
            log.line("rare")
        kinds = [row["kind"] for row in rows(stream)]
        self.assertEqual(kinds.count("many"), MAX_LINES_PER_S)
        self.assertIn("rare", kinds)
        dropped = [
            row["dropped_lines"] for row in rows(stream) if "dropped_lines" in row
        ]
        self.assertEqual(sum(item["many"] for item in dropped), 100)

    def test_an_output_that_nobody_reads_holds_up_nobody(self):
        """Lines are dropped, the caller goes on at once."""
        stream = StuckStream()
        clock = iter(range(10_000_000))
        log = DecisionLog("p", stream, lambda: float(next(clock)), time.time)
        writer = threading.Thread(target=log.write_until_stopped)
        writer.start()
        began_s = time.perf_counter()
        for _ in range(3 * MAX_WAITING_LINES):
            log.line("line")
        self.assertLess(time.perf_counter() - began_s, 5.0)
        self.assertGreater(log.dropped_total, 0)
        stream.free.set()
        log.stop()
        writer.join()

    def test_all_processes_sample_the_same_requests(self):
        """By the id alone, and about one in sixteen."""
        sampled = sum(is_sampled(f"request-{number}") for number in range(16_000))
        self.assertTrue(800 < sampled < 1_200, sampled)
