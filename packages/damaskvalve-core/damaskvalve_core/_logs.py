"""Logging set-up that the executables share."""

import contextlib
import json
import sys
from collections.abc import Iterator
from typing import Any

import logbook

HUMAN_FORMAT = (
    "{record.time:%Y-%m-%d %H:%M:%S.%f} {record.level_name:<7} "
    "{record.channel}: {record.message}"
)


def _json_line(record: Any, handler: Any) -> str:
    row = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "channel": record.channel,
        "message": record.message,
    }
    if record.formatted_exception:
        row["exception"] = record.formatted_exception
    return json.dumps(row, ensure_ascii=False)


@contextlib.contextmanager
def logging_to(level: str, style: str, destination: str) -> Iterator[None]:
    """Write log records to ``destination`` (``stderr`` or a file) in ``style``."""
    level_number = logbook.lookup_level(level.upper())
    handler: logbook.StreamHandler
    if destination == "stderr":
        handler = logbook.StreamHandler(sys.stderr, level=level_number)
    else:
        handler = logbook.FileHandler(destination, level=level_number)
    if style == "json":
        handler.formatter = _json_line
    else:
        handler.format_string = HUMAN_FORMAT
    with logbook.NullHandler().applicationbound(), handler.applicationbound():
        yield
