"""The time line of a process."""

import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from damaskvalve_core import HybridClock, open_time_line, run_at_most

# How long the disk stalls.
STALL_S = 5.0


class TimeLineTests(unittest.TestCase):
    def test_a_disk_that_stalls_held_the_end_of_a_process(self):
        """The file of the time line is left as it is; the events are lost anyway."""
        release, stalled = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def stall(text):
            stalled.set()
            release.wait(STALL_S)

        with tempfile.TemporaryDirectory() as folder:
            clock = HybridClock(time.time)
            file = mock.Mock(write=stall, closed=False)
            file.tell.return_value = 0
            with mock.patch.object(Path, "open", return_value=file):
                with open_time_line(Path(folder), "host", clock) as record:
                    threading.Thread(target=record, args=("e",), daemon=True).start()
                    self.assertTrue(stalled.wait(5.0))
                    ended_s = time.monotonic()
            self.assertLess(time.monotonic() - ended_s, 1.0)
            file.close.assert_not_called()

    def test_an_event_that_the_disk_holds_delayed_the_stop(self):
        """It is abandoned; the interpreter does not wait for its thread either."""
        release = threading.Event()
        self.addCleanup(release.set)
        started_s = time.monotonic()
        self.assertFalse(run_at_most(0.2, lambda: release.wait(STALL_S)))
        self.assertTrue(run_at_most(0.2, lambda: None))
        self.assertLess(time.monotonic() - started_s, 1.0)
        threads = [item for item in threading.enumerate() if not item.daemon]
        self.assertEqual(threads, [threading.main_thread()])


if __name__ == "__main__":
    unittest.main()
