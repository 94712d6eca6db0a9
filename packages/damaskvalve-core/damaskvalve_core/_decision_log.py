"""One JSON line for each decision, bounded and never blocking.

Lines go through a bounded queue to a thread that writes them. What does not fit is
counted and said in the next line that gets out. Uneventful successes are sampled by
request id, so that all processes keep the same requests; each other kind of line has
a rate of its own.
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

# Lines that wait to be written; about 300 bytes each, so 600 KB at most.
MAX_WAITING_LINES = 2_000
# Lines of one kind that are kept in a second; ten kinds are usual, so that a host
# writes at most some tens of KB a second.
MAX_LINES_PER_S = 40
# One successful request in this many leaves a line.
SUCCESS_SAMPLE = 16


def is_sampled(request_id: str) -> bool:
    """Return whether the uneventful lines of a request are kept."""
    return zlib.crc32(request_id.encode()) % SUCCESS_SAMPLE == 0


class DecisionLog:
    """Takes structured lines from any thread and writes them from its own."""

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
        self._waiting: collections.deque[dict[str, Any]] = collections.deque()
        self._ready = threading.Condition()
        self._kept: dict[str, tuple[int, int]] = {}
        self.dropped: collections.Counter[str] = collections.Counter()
        # Since the start of the process.
        self.dropped_total = 0
        self._stopping = False

    def line(self, kind: str, **fields: Any) -> None:
        """Queue one line; it is counted instead if its kind is over its rate."""
        now_s = self._clock_s()
        with self._ready:
            second, count = self._kept.get(kind, (0, 0))
            count = count + 1 if second == int(now_s) else 1
            self._kept[kind] = (int(now_s), count)
            if count > MAX_LINES_PER_S or len(self._waiting) >= MAX_WAITING_LINES:
                self.dropped[kind] += 1
                self.dropped_total += 1
                return
            row: dict[str, Any] = {
                # The time of day merges the logs of hosts; ``at_s`` measures spans.
                "time_s": round(self._wall_s(), 4),
                "at_s": round(now_s, 4),
                "process": self._process,
                "kind": kind,
            }
            row.update((key, value) for key, value in fields.items() if value != "")
            self._waiting.append(row)
            self._ready.notify()

    def write_until_stopped(self) -> None:
        """Write what is queued; runs in a thread of its own."""
        while True:
            with self._ready:
                while not self._waiting and not self._stopping:
                    self._ready.wait()
                rows = list(self._waiting)
                self._waiting.clear()
                dropped = dict(self.dropped)
                self.dropped.clear()
                if not rows and self._stopping:
                    return
            if dropped:
                rows[-1]["dropped_lines"] = dropped
            try:
                text = "".join(json.dumps(row, default=str) + "\n" for row in rows)
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                with self._ready:
                    self.dropped["unwritable"] += len(rows)

    def stop(self) -> None:
        """Let the writer end after what is queued."""
        with self._ready:
            self._stopping = True
            self._ready.notify()


# How long a stopping process waits for its last lines.
LAST_LINES_S = 0.5


@contextlib.contextmanager
def decision_log(
    process: str, clock_s: Callable[[], float], stream: TextIO | None = None
) -> Iterator[DecisionLog]:
    """Yield a log that writes to standard output until the end."""
    log = DecisionLog(process, stream or sys.stdout, clock_s, time.time)
    thread = threading.Thread(target=log.write_until_stopped, daemon=True)
    thread.start()
    try:
        yield log
    finally:
        log.stop()
        thread.join(LAST_LINES_S)
