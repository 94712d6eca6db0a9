"""Measures latency and throughput of the request path on loopback.

The baseline of the latencies is a stand-in engine that is called directly. The baseline
of the throughput is a fixed goal.
"""

import json
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from results import Row, write_rows

from damaskvalve_standins.fleet import Fleet, running_fleet

STREAM_COUNTS = (1, 16, 64)
# Durations are strings because they are command-line options.
DURATION_S = "4"
WARM_UP_OPTIONS = ("--warm-up-s", "2")
TOKEN_TIME_S = "0.01"


def run_load(address: str, *options: str) -> Any:
    """Run the load generator in a separate process and return its report."""
    command = [sys.executable, "-m", "damaskvalve_standins.load"]
    done = subprocess.run(
        [
            *command,
            "--address",
            address,
            "--seconds",
            DURATION_S,
            *WARM_UP_OPTIONS,
            *options,
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(done.stdout)


def start_configured_fleet(fleet: Fleet) -> str:
    """Start the processes, configure a workspace and adapters; return its API key.

    The processes are three control hosts, one entry host and three engines.
    """
    fleet.start_hosts(3, entry=False)
    options = ("--slots", "8", "--token-s", TOKEN_TIME_S)
    agent = {"max_running": 128}
    fleet.start_engine("slow", *options, **agent)
    fast = ("--slots", "8", "--token-s", "0", "--model", "fast")
    fleet.start_engine("fast-1", *fast, serves="fast", **agent)
    fleet.start_engine("fast-2", *fast, serves="fast", **agent)
    fleet.start_entry("edge", threads=160)
    fleet.run_operator_command(
        *("config", "set-workspace", "w", "--share", "1", "--rate", "10000000"),
        *("--burst", "10000000", "--max-concurrent", "1000"),
    )
    for adapter, model in (("ink", "base"), ("f0", "fast"), ("f1", "fast")):
        fleet.run_operator_command(
            *("config", "set-adapter", "w", adapter),
            *("--model", model, "--version", "1", "--wait"),
        )
    key, _ = fleet.grant_key("w")
    for adapter in ("ink", "f0", "f1"):
        fleet.wait_serving("edge", key, adapter)
    return key


def measure_streams(fleet: Fleet, key: str) -> Sequence[Row]:
    """Compare streams through the system with streams direct from the engine."""
    rows = []
    for count in STREAM_COUNTS:
        options = ("--threads", str(count), "--stream", "--max-tokens", "64")
        direct = run_load(fleet.backends["slow"], *options, "--adapters", "ink@1")
        via_host = run_load(fleet.entries["edge"], *options, "--key", key)
        # Time to the first chunk, time between chunks and time of the whole answer.
        for metric in ("first", "gap", "whole"):
            for quantile in ("p50", "p95"):
                name = f"{metric}_{quantile}_ms"
                added = via_host[name] - direct[name]
                title = f"path.added_{metric}_{quantile}.{count}_streams"
                rows.append(Row(title, added, "ms", "direct", direct[name]))
    return rows


def measure_throughput(fleet: Fleet, key: str) -> Sequence[Row]:
    """Measure the throughput of one entry host process."""
    entry = fleet.entries["edge"]
    process = fleet.processes["edge"]
    common = ("--key", key, "--adapters", "f0,f1")
    cpu_before_s = process.cpu_s()
    unstreamed = run_load(entry, *common, "--threads", "24", "--max-tokens", "1")
    unstreamed_cpu_s = process.cpu_s() - cpu_before_s
    cpu_before_s = process.cpu_s()
    streamed = run_load(
        entry, *common, "--threads", "16", "--max-tokens", "2000", "--stream"
    )
    streamed_cpu_s = process.cpu_s() - cpu_before_s
    refused_count = sum(
        count for status, count in unstreamed["statuses"].items() if status != "200"
    )
    # The processor times include the warm-up, but DURATION_S does not.
    return [
        Row(
            "path.whole_requests",
            unstreamed["requests_per_s"],
            "requests/s",
            "goal",
            300,
        ),
        Row("path.whole_requests_refused", refused_count, "requests"),
        Row("path.whole_entry_cpu", unstreamed_cpu_s / float(DURATION_S), "cores"),
        Row(
            "path.streamed_tokens", streamed["tokens_per_s"], "tokens/s", "goal", 10000
        ),
        Row("path.streamed_pieces", streamed["pieces_per_s"], "pieces/s"),
        Row("path.stream_entry_cpu", streamed_cpu_s / float(DURATION_S), "cores"),
    ]


def measure_memory(fleet: Fleet) -> Sequence[Row]:
    """Return the resident memory of each role after the load."""
    # The process of an agent has the name of its engine.
    roles = {"control": "host-1", "entry": "edge", "agent": "slow"}
    return [
        Row(f"path.resident_{role}", fleet.processes[name].resident_kb() / 1024, "MB")
        for role, name in roles.items()
    ]


def measure() -> Sequence[Row]:
    """Run all measurements on one fleet."""
    with tempfile.TemporaryDirectory() as folder:
        with running_fleet(Path(folder)) as fleet:
            key = start_configured_fleet(fleet)
            return [
                *measure_streams(fleet, key),
                *measure_throughput(fleet, key),
                *measure_memory(fleet),
            ]


if __name__ == "__main__":
    write_rows(measure(), "path.json")
