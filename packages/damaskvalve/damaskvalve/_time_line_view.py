"""Merges the time lines of many processes and renders them as text or HTML."""

import html
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

from damaskvalve_core import TIME_LINE_FILE, stamp_to_wall_s, wall_s_to_stamp

#: The fields by which events can be selected.
FILTERS = ("request", "workspace", "backend_server", "job", "adapter")
# Fields that have columns of their own.
_COLUMN_FIELDS = ("at", "process", "event")

Event = Mapping[str, Any]


def read_events(folders: Iterable[Path]) -> Iterator[Event]:
    """Yield the events of data folders, and the records of decision log files.

    Incomplete last lines and lines of any other form are skipped.
    """
    for folder in folders:
        if folder.is_file():
            yield from _read_log(folder)
        for path in sorted(folder.rglob(f"{TIME_LINE_FILE}*")):
            for line in path.read_text(encoding="utf-8").splitlines():
                try:
                    yield json.loads(line)
                except ValueError:
                    continue


def _read_log(path: Path) -> Iterator[Event]:
    """Yield the records in a process's standard output; ignore any text before them."""
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        try:
            record = json.loads(line[line.index("{") :])
            at = wall_s_to_stamp(record.pop("time_s"))
            yield {"at": at, "event": record.pop("kind"), **record}
        except (ValueError, KeyError, TypeError, AttributeError):
            continue


def select_events(
    events: Iterable[Event], criteria: Mapping[str, str]
) -> Sequence[Event]:
    """Return the matching events, and all events of the requests they belong to."""
    events = list(events)
    matching = [event for event in events if _matches(event, criteria)]
    requests = {event["request"] for event in matching if "request" in event}
    if "request" not in criteria:
        matching.extend(
            event
            for event in events
            if event.get("request") in requests and not _matches(event, criteria)
        )
    return sorted(matching, key=lambda event: (event["at"], event["process"]))


def _matches(event: Event, criteria: Mapping[str, str]) -> bool:
    return all(str(event.get(name)) == value for name, value in criteria.items())


def _format_details(event: Event) -> str:
    parts = [
        f"{name}={value}" for name, value in event.items() if name not in _COLUMN_FIELDS
    ]
    return " ".join(parts)


def render_text(events: Sequence[Event]) -> str:
    """Return one line for each event, with the time since the first event."""
    if not events:
        return "no such events\n"
    start_s = stamp_to_wall_s(events[0]["at"])
    lines = []
    for event in events:
        since_ms = (stamp_to_wall_s(event["at"]) - start_s) * 1000
        columns = f"{event['process']:<14} {event['event']:<16}"
        lines.append(f"{since_ms:10.1f} ms  {columns} {_format_details(event)}")
    return "\n".join(lines) + "\n"


_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title><style>
body {{ font: 14px system-ui, sans-serif; margin: 2em; color: #222; }}
table {{ border-collapse: collapse; width: 100%; }}
th, td {{ text-align: left; padding: 4px 10px; border-bottom: 1px solid #ddd; }}
td.time {{ text-align: right; font-variant-numeric: tabular-nums; }}
td.lane {{ width: 30%; position: relative; }}
span.dot {{ position: absolute; top: 8px; width: 9px; height: 9px;
  border-radius: 50%; background: #8c2f39; }}
tr.bad td {{ background: #fbecec; }}
</style></head><body><h1>{title}</h1>
<table><tr><th>ms</th><th></th><th>process</th><th>event</th><th>details</th></tr>
{rows}
</table></body></html>
"""
_ROW = (
    '<tr class="{kind}"><td class="time">{since_ms:.1f}</td>'
    '<td class="lane"><span class="dot" style="left:{left:.1f}%"></span></td>'
    "<td>{process}</td><td>{event}</td><td>{details}</td></tr>"
)


def render_page(events: Sequence[Event], title: str) -> str:
    """Return the events as a self-contained HTML page."""
    if not events:
        return _PAGE.format(title=html.escape(title), rows="")
    start_s = stamp_to_wall_s(events[0]["at"])
    length_s = max(stamp_to_wall_s(events[-1]["at"]) - start_s, 1e-6)
    rows = []
    for event in events:
        since_s = stamp_to_wall_s(event["at"]) - start_s
        rows.append(
            _ROW.format(
                kind="bad" if _is_failure(event) else "",
                since_ms=since_s * 1000,
                left=95 * since_s / length_s,
                process=html.escape(str(event["process"])),
                event=html.escape(str(event["event"])),
                details=html.escape(_format_details(event)),
            )
        )
    return _PAGE.format(title=html.escape(title), rows="\n".join(rows))


def _is_failure(event: Event) -> bool:
    return "code" in event or event.get("delivered") is False
