"""Tests of the merged time line."""

import tempfile
import unittest
from pathlib import Path

from damaskvalve._time_line_view import (
    read_events,
    render_page,
    render_text,
    select_events,
)
from damaskvalve_core import HybridClock, open_time_line


class TimeLineTests(unittest.TestCase):
    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        now_s = [1000.0]
        clock = HybridClock(lambda: now_s[0])
        with open_time_line(self.folder / "a", "host-1", clock) as record:
            record("request-start", request="r1", path="/x")
            now_s[0] += 0.5
            record("request-end", request="r1", workspace="w", code="<queue_full>")
        now_s[0] -= 0.25
        with open_time_line(
            self.folder / "b", "agent-1", HybridClock(clock._wall_s)
        ) as record_agent:
            record_agent("work-start", request="r1", queued_s=0.1)
            record_agent("work-start", request="r2", queued_s=0.2)

    def events(self, **criteria):
        return select_events(read_events([self.folder]), criteria)

    def test_events_of_all_processes_are_sorted_by_time(self):
        """The agent's event is sorted between the two events of the host."""
        names = [event["event"] for event in self.events(request="r1")]
        self.assertEqual(names, ["request-start", "work-start", "request-end"])

    def test_selecting_a_workspace_includes_all_events_of_its_requests(self):
        """Events without a workspace field are included by their request id."""
        self.assertEqual(len(self.events(workspace="w")), 3)

    def test_an_incomplete_last_line_is_skipped(self):
        """A line cut off by a killed process does not hide the other events."""
        with (self.folder / "a" / "timeline.jsonl").open("a") as file:
            file.write('{"at": 12, "eve')
        self.assertEqual(len(self.events(request="r1")), 3)

    def test_logs_of_several_processes_are_merged_for_one_request(self):
        """Files of standard output are merged; lines of any other form are skipped."""
        host, agent = self.folder / "host.log", self.folder / "agent.log"
        host.write_text(
            "not a line\n"
            '12.5 host {"time_s": 12.5, "process": "h", "kind": "request", '
            '"request": "r9", "waited_s": 1.2}\n'
            '{"time_s": 11.0, "process": "h", "kind": "other", "request": "r8"}\n'
        )
        agent.write_text(
            '{"time_s": 12.1, "process": "a", "kind": "waited_longer", '
            '"request": "r9"}\n{"time_s": 1'
        )
        events = select_events(read_events([host, agent]), {"request": "r9"})
        names = [(event["process"], event["event"]) for event in events]
        self.assertEqual(names, [("a", "waited_longer"), ("h", "request")])
        self.assertIn("waited_s=1.2", render_text(events))

    def test_text_shows_times_and_page_escapes_event_fields(self):
        """Markup in an event field is escaped in the page."""
        events = self.events(request="r1")
        self.assertIn("500.0 ms", render_text(events))
        page = render_page(events, "request r1")
        self.assertIn("&lt;queue_full&gt;", page)
        self.assertNotIn("<queue_full>", page)


if __name__ == "__main__":
    unittest.main()
