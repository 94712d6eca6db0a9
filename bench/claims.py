"""Measures commits a second, group commit against one sync for each."""

import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from figures import Row, write_rows

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

SECONDS = 3.0
THREADS = (1, 16, 48)


def _claim_until(
    client: LeaderClient, name: str, stop_s: float, times_s: list[float]
) -> None:
    number = 0
    while time.monotonic() < stop_s:
        number += 1
        started_s = time.monotonic()
        client.commit(Command(claim=ClaimOnce(f"{name}-{number}", "d", name)), 5.0)
        times_s.append(time.monotonic() - started_s)


def commits(fleet: Fleet, count: int) -> Sequence[Row]:
    """Commit claims from ``count`` threads through three control hosts."""
    files = fleet.identity("operator")
    identity = Identity(
        Path(files["certificate"]), Path(files["key"]), Path(files["authority"])
    )
    times_s: list[float] = []
    with dialing(identity) as dialer:
        client = LeaderClient(fleet.control_hosts, dialer)
        stop_s = time.monotonic() + SECONDS
        threads = [
            threading.Thread(
                target=_claim_until, args=(client, f"{count}-{n}", stop_s, times_s)
            )
            for n in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    ranked = sorted(times_s)
    p95_ms = ranked[int(0.95 * len(ranked))] * 1000
    title = f"claims.{count}_threads"
    return [
        Row(f"{title}.commits", len(ranked) / SECONDS, "commits/s"),
        Row(f"{title}.p95", p95_ms, "ms"),
    ]


def journal_rates(folder: Path) -> Sequence[Row]:
    """Write entries with one sync each and with one sync for 32."""
    rates = {}
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
            rates[batch] = index / (time.monotonic() - started_s)
    name = "claims.journal_group_commit_of_32"
    return [Row(name, rates[32], "entries/s", "one sync each", rates[1])]


def measure() -> Sequence[Row]:
    """Run all measurements."""
    rows: list[Row] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "journal").mkdir()
        rows.extend(journal_rates(folder / "journal"))
        with running_fleet(folder) as fleet:
            fleet.start_hosts(3, entry=False)
            time.sleep(4.0)
            for count in THREADS:
                rows.extend(commits(fleet, count))
    return rows


if __name__ == "__main__":
    write_rows(measure(), "claims.json")
