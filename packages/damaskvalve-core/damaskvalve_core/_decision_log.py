"""Decision log: one JSON line for each decision, written without blocking.

A bounded queue passes the lines to a writer thread. Lines that exceed the bounds are
dropped and counted by kind; the last line of the next write carries the counts. Every
kind of line has its own rate limit. In addition, successful requests without incidents
are sampled by request id, so that all processes log the same requests.
"""

import collections
import contextlib
import json
import sys
import threading
import time
import zlib
from collections.abc import Callable, Iterator
from typing import Any, TextIO

# Maximum number of queued lines, about 300 bytes each: at most 600 KB.
MAX_QUEUED_LINES = 2_000
# Maximum number of lines of one kind per second. Ten kinds of about 300 bytes a line
# make at most 120 KB per second.
MAX_LINES_PER_S = 40
# One in this many successful requests is logged.
SUCCESSES_PER_SAMPLE = 16


def is_sampled(request_id: str) -> bool:
    """Return whether to log a request that succeeds without incidents."""
    return zlib.crc32(request_id.encode()) % SUCCESSES_PER_SAMPLE == 0


class DecisionLog:
    """Queues structured lines from any thread for one writer thread."""

    def __init__(
        self,
        process: str,
        stream: TextIO,
        clock_s: Callable[[], float],
        wall_s: Callable[[], float],
    ) -> None:
        self._process = process
        self._stream = stream
        self._clock_s = clock_s
        self._wall_s = wall_s
        self._queue: collections.deque[dict[str, Any]] = collections.deque()
        self._queue_changed = threading.Condition()
        # By kind: the second of the newest line, and the number of lines in it.
        self._line_counts: dict[str, tuple[int, int]] = {}
        # Lines lost since the last write, by kind; "unwritable" counts those that could
        # not be written.
        self.dropped: collections.Counter[str] = collections.Counter()
        # Number of lines dropped because of a rate limit or a full queue since the
        # start of the process. Lines that could not be written are not included.
        self.dropped_total = 0
        self._stopping = False

    def line(self, kind: str, **fields: Any) -> None:
        """Queue one line, or drop and count it.

        A line is dropped if its kind exceeds its rate limit or if the queue is full.
        """
        now_s = self._clock_s()
        with self._queue_changed:
            second, count = self._line_counts.get(kind, (0, 0))
            count = count + 1 if second == int(now_s) else 1
            self._line_counts[kind] = (int(now_s), count)
            if count > MAX_LINES_PER_S or len(self._queue) >= MAX_QUEUED_LINES:
                self.dropped[kind] += 1
                self.dropped_total += 1
                return
            row: dict[str, Any] = {
                # ``time_s`` is wall time, to merge the logs of several hosts;
                # ``at_s`` is for measuring intervals.
                "time_s": round(self._wall_s(), 4),
                "at_s": round(now_s, 4),
                "process": self._process,
                "kind": kind,
            }
            row.update((key, value) for key, value in fields.items() if value != "")
            self._queue.append(row)
            self._queue_changed.notify()

    def write_until_stopped(self) -> None:
        """Write queued lines until :meth:`stop`; runs in the writer thread."""
        while True:
            with self._queue_changed:
                while not self._queue and not self._stopping:
                    self._queue_changed.wait()
                rows = list(self._queue)
                self._queue.clear()
                dropped = dict(self.dropped)
                self.dropped.clear()
                if not rows and self._stopping:
                    return
            if dropped:
                rows[-1]["dropped_lines"] = dropped
            try:
                self._stream.write("".join(self._encode(row) for row in rows))
                self._stream.flush()
            except (OSError, ValueError):
                with self._queue_changed:
                    self.dropped["unwritable"] += len(rows)

    def _encode(self, row: dict[str, Any]) -> str:
        """Return a line, or count it if a value cannot be written."""
        try:
            return json.dumps(row, default=str) + "\n"
        except (ValueError, TypeError, RecursionError):
            with self._queue_changed:
                self.dropped["unwritable"] += 1
            return ""

    def stop(self) -> None:
        """Make the writer thread end once the queue is written."""
        with self._queue_changed:
            self._stopping = True
            self._queue_changed.notify()


# Maximum time for which a stopping process waits for the queue to be written.
FLUSH_TIMEOUT_S = 0.5


@contextlib.contextmanager
def decision_log(
    process: str, clock_s: Callable[[], float], stream: TextIO | None = None
) -> Iterator[DecisionLog]:
    """Yield a log that writes to ``stream``, by default to standard output."""
    log = DecisionLog(process, stream or sys.stdout, clock_s, time.time)
    thread = threading.Thread(target=log.write_until_stopped, daemon=True)
    thread.start()
    try:
        yield log
    finally:
        log.stop()
        thread.join(FLUSH_TIMEOUT_S)
