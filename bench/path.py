"""Measures the real path on loopback against the stand-in asked directly."""

import json
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from figures import Row, write_rows

from damaskvalve_standins.fleet import Fleet, running_fleet

STREAMS = (1, 16, 64)
SECONDS = "4"
WARM_UP = ("--warm-up-s", "2")
TOKEN_S = "0.01"


def load(address: str, *options: str) -> Any:
    """Run the load tool in a process of its own and return its figures."""
    command = [sys.executable, "-m", "damaskvalve_standins.load"]
    done = subprocess.run(
        [*command, "--address", address, "--seconds", SECONDS, *WARM_UP, *options],
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(done.stdout)


def start(fleet: Fleet) -> str:
    """Start three control hosts, one entry host and engines; return a key."""
    fleet.start_hosts(3, entry=False)
    options = ("--slots", "8", "--token-s", TOKEN_S)
    agent = {"max_running": 128}
    fleet.start_engine("slow", *options, **agent)
    fast = ("--slots", "8", "--token-s", "0", "--model", "fast")
    fleet.start_engine("fast-1", *fast, serves="fast", **agent)
    fleet.start_engine("fast-2", *fast, serves="fast", **agent)
    fleet.start_entry("edge", threads=160)
    fleet.operate(
        *("config", "set-workspace", "w", "--share", "1", "--rate", "10000000"),
        *("--burst", "10000000", "--max-concurrent", "1000"),
    )
    for adapter, model in (("ink", "base"), ("f0", "fast"), ("f1", "fast")):
        fleet.operate(
            *("config", "set-adapter", "w", adapter),
            *("--model", model, "--version", "1", "--wait"),
        )
    key, _ = fleet.grant_key("w")
    for adapter in ("ink", "f0", "f1"):
        fleet.wait_serving("edge", key, adapter)
    return key


def streams(fleet: Fleet, key: str) -> Sequence[Row]:
    """Compare streams through the system with streams asked directly."""
    rows = []
    for count in STREAMS:
        options = ("--threads", str(count), "--stream", "--max-tokens", "64")
        direct = load(fleet.backends["slow"], *options, "--adapters", "ink@1")
        through = load(fleet.entries["edge"], *options, "--key", key)
        for what in ("first", "gap", "whole"):
            for quantile in ("p50", "p95"):
                name = f"{what}_{quantile}_ms"
                added = through[name] - direct[name]
                title = f"path.added_{what}_{quantile}.{count}_streams"
                rows.append(Row(title, added, "ms", "direct", direct[name]))
    return rows


def throughput(fleet: Fleet, key: str) -> Sequence[Row]:
    """Measure what one entry process carries."""
    entry = fleet.entries["edge"]
    process = fleet.processes["edge"]
    common = ("--key", key, "--adapters", "f0,f1")
    before_s = process.cpu_s()
    whole = load(entry, *common, "--threads", "24", "--max-tokens", "1")
    whole_cpu_s = process.cpu_s() - before_s
    before_s = process.cpu_s()
    streamed = load(
        entry, *common, "--threads", "16", "--max-tokens", "2000", "--stream"
    )
    stream_cpu_s = process.cpu_s() - before_s
    bad = sum(count for status, count in whole["statuses"].items() if status != "200")
    return [
        Row("path.whole_requests", whole["requests_per_s"], "requests/s", "goal", 300),
        Row("path.whole_requests_refused", bad, "requests"),
        Row("path.whole_entry_cpu", whole_cpu_s / float(SECONDS), "cores"),
        Row(
            "path.streamed_tokens", streamed["tokens_per_s"], "tokens/s", "goal", 10000
        ),
        Row("path.streamed_pieces", streamed["pieces_per_s"], "pieces/s"),
        Row("path.stream_entry_cpu", stream_cpu_s / float(SECONDS), "cores"),
    ]


def memory(fleet: Fleet) -> Sequence[Row]:
    """Read the resident memory of each role after the load."""
    roles = {"control": "host-1", "entry": "edge", "agent": "slow"}
    return [
        Row(f"path.resident_{role}", fleet.processes[name].resident_kb() / 1024, "MB")
        for role, name in roles.items()
    ]


def measure() -> Sequence[Row]:
    """Run all measurements on one fleet."""
    with tempfile.TemporaryDirectory() as folder:
        with running_fleet(Path(folder)) as fleet:
            key = start(fleet)
            return [*streams(fleet, key), *throughput(fleet, key), *memory(fleet)]


if __name__ == "__main__":
    write_rows(measure(), "path.json")
