"""Measures commits per second, and group commit against one sync per entry."""

import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from results import Row, write_rows

from damaskvalve_core import Identity, LeaderClient, dialing
from damaskvalve_core.messages import (
    ClaimOnce,
    Command,
    EntryKind,
    HardState,
    JournalRecord,
    LogEntry,
)
from damaskvalve_standins.fleet import Fleet, running_fleet
from damaskvalve_state import empty_snapshot, open_journal

MEASUREMENT_S = 3.0
THREAD_COUNTS = (1, 16, 48)


def _commit_claims_until(
    client: LeaderClient, name: str, stop_s: float, times_s: list[float]
) -> None:
    number = 0
    while time.monotonic() < stop_s:
        number += 1
        started_s = time.monotonic()
        client.commit(Command(claim=ClaimOnce(f"{name}-{number}", "d", name)), 5.0)
        times_s.append(time.monotonic() - started_s)


def measure_commits(fleet: Fleet, count: int) -> Sequence[Row]:
    """Commit claims from ``count`` threads through three control hosts."""
    files = fleet.identity_settings("operator")
    identity = Identity(
        Path(files["certificate"]), Path(files["key"]), Path(files["authority"])
    )
    times_s: list[float] = []
    with dialing(identity) as dialer:
        client = LeaderClient(fleet.control_hosts, dialer)
        stop_s = time.monotonic() + MEASUREMENT_S
        threads = [
            threading.Thread(
                target=_commit_claims_until,
                args=(client, f"{count}-{n}", stop_s, times_s),
            )
            for n in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    sorted_times_s = sorted(times_s)
    p95_ms = sorted_times_s[int(0.95 * len(sorted_times_s))] * 1000
    title = f"claims.{count}_threads"
    return [
        Row(f"{title}.commits", len(sorted_times_s) / MEASUREMENT_S, "commits/s"),
        Row(f"{title}.p95", p95_ms, "ms"),
    ]


def measure_journal_rates(folder: Path) -> Sequence[Row]:
    """Append entries for 1 s with one sync each, then with one per 32 entries."""
    entries_per_s = {}
    for batch in (1, 32):
        with open_journal(folder) as journal:
            journal.install(empty_snapshot(), [], HardState(1, ""))
            started_s = time.monotonic()
            index = 0
            while time.monotonic() - started_s < 1.0:
                records = []
                for _ in range(batch):
                    index += 1
                    entry = LogEntry(index, 1, EntryKind.COMMAND, b"x" * 120, [])
                    records.append(JournalRecord(entry=entry))
                journal.append(records)
            entries_per_s[batch] = index / (time.monotonic() - started_s)
    name = "claims.journal_group_commit_of_32"
    return [
        Row(name, entries_per_s[32], "entries/s", "one sync each", entries_per_s[1])
    ]


def measure() -> Sequence[Row]:
    """Run all measurements."""
    rows: list[Row] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "journal").mkdir()
        rows.extend(measure_journal_rates(folder / "journal"))
        with running_fleet(folder) as fleet:
            fleet.start_hosts(3, entry=False)
            time.sleep(4.0)
            for count in THREAD_COUNTS:
                rows.extend(measure_commits(fleet, count))
    return rows


if __name__ == "__main__":
    write_rows(measure(), "claims.json")
