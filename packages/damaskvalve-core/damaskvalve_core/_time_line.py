"""Time line: structured events of a process, appended to a file in its data folder."""

import contextlib
import json
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TextIO

from damaskvalve_core._clock import HybridClock

TIME_LINE_FILE = "timeline.jsonl"
MAX_FILE_BYTES = 64 * 1024 * 1024
# How long the end of a process waits for an event that is being written.
CLOSE_TIMEOUT_S = 0.2

#: Records one event, given its name and its fields.
Recorder = Callable[..., None]


class _TimeLineWriter:
    """Appends events to a file and rotates it above :data:`MAX_FILE_BYTES`."""

    def __init__(self, folder: Path, process: str, clock: HybridClock) -> None:
        self._path = folder / TIME_LINE_FILE
        self._process = process
        self._clock = clock
        self._lock = threading.Lock()
        self._file: TextIO = self._path.open("a", encoding="utf-8")

    def record(self, event: str, **fields: object) -> None:
        """Append one event; omit fields that are None."""
        row: dict[str, object] = {
            "at": self._clock.tick(),
            "process": self._process,
            "event": event,
        }
        row.update((name, value) for name, value in fields.items() if value is not None)
        line = json.dumps(row, ensure_ascii=False, separators=(",", ":")) + "\n"
        with self._lock:
            if self._file.closed:
                return
            self._file.write(line)
            self._file.flush()
            if self._file.tell() > MAX_FILE_BYTES:
                self._rotate()

    def _rotate(self) -> None:
        self._file.close()
        self._path.replace(self._path.with_suffix(".jsonl.1"))
        self._file = self._path.open("a", encoding="utf-8")

    def close(self) -> None:
        """Close the file, unless the disk holds an event that is being written."""
        if self._lock.acquire(timeout=CLOSE_TIMEOUT_S):
            try:
                self._file.close()
            finally:
                self._lock.release()


@contextlib.contextmanager
def open_time_line(
    folder: Path, process: str, clock: HybridClock
) -> Iterator[Recorder]:
    """Yield a function that records events; close the file at the end."""
    folder.mkdir(parents=True, exist_ok=True)
    writer = _TimeLineWriter(folder, process, clock)
    try:
        yield writer.record
    finally:
        writer.close()


def discard_event(event: str, **fields: object) -> None:
    """Discard the event: a recorder for tests and tools."""
