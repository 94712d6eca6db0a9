"""Measures the slopes behind docs/CAPACITY.md by doubling one size at a time.

Prints each slope and writes ``bench/capacity.json``, which the page quotes.
"""

import json
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from figures import Row

from damaskvalve._backend_table import BackendTable
from damaskvalve_core import Identity, dialing, encode_message, encode_struct
from damaskvalve_core.messages import (
    BackendReport,
    ChangeConfiguration,
    ClaimOnce,
    Command,
    CreditAsk,
    CreditReport,
    CreditRequest,
    PollRequest,
    Row as ConfigurationRow,
)
from damaskvalve_standins.fleet import Fleet, running_fleet
from damaskvalve_state import CreditLedger, Limit, StateMachine

SECONDS = 3.0
ADAPTER_VALUE = '{"current":"2026-11","model":"base-13b","versions":["2026-11"]}'


class Slope:
    """A line fitted through measurements at doubled sizes."""

    def __init__(
        self, name: str, unit: str, points: Sequence[tuple[int, float]]
    ) -> None:
        self.name = name
        self.unit = unit
        self.points = points
        count = len(points)
        mean_x = sum(x for x, _ in points) / count
        mean_y = sum(y for _, y in points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        cross = sum((x - mean_x) * (y - mean_y) for x, y in points)
        self.each = cross / spread
        self.base = mean_y - self.each * mean_x

    def rows(self) -> Sequence[Row]:
        """Return the slope and where the line starts."""
        return [
            Row(f"{self.name}.each", self.each, self.unit),
            Row(f"{self.name}.base", self.base, self.unit),
        ]


def _machine(adapters: int) -> StateMachine:
    state_machine = StateMachine()
    for start in range(0, adapters, 1_000):
        rows = [
            ConfigurationRow(
                "adapter", f"workspace-{n % 50}/adapter-{n}", ADAPTER_VALUE, 0
            )
            for n in range(start, start + 1_000)
        ]
        change = ChangeConfiguration(
            f"op-{start}", state_machine.revision, "me", rows, 0.0
        )
        state_machine.apply(start, encode_struct(Command(change=change)))
    return state_machine


def adapters_in_state() -> Sequence[Slope]:
    """Measure memory, snapshot size and snapshot time for each adapter."""
    memory = []
    size = []
    took = []
    for count in (5_000, 10_000, 20_000):
        tracemalloc.start()
        state_machine = _machine(count)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        started_s = time.perf_counter()
        data = state_machine.to_bytes()
        took.append((count, (time.perf_counter() - started_s) * 1000))
        size.append((count, len(data) / 1024))
    return [
        Slope("control.memory_by_adapter", "KB", memory),
        Slope("control.snapshot_size_by_adapter", "KB", size),
        Slope("control.snapshot_time_by_adapter", "ms", took),
    ]


def claims_in_state() -> Sequence[Slope]:
    """Measure memory for each claim that is kept."""
    memory = []
    for count in (5_000, 10_000, 20_000):
        tracemalloc.start()
        state_machine = StateMachine()
        for number in range(count):
            claim = ClaimOnce(f"{number:064d}", "d" * 64, "h" * 32)
            state_machine.apply(number, encode_struct(Command(claim=claim)))
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return [Slope("control.memory_by_claim", "KB", memory)]


def backends_in_table() -> Sequence[Slope]:
    """Measure memory for each backend server in the membership table."""
    memory = []
    for count in (150, 300, 600):
        tracemalloc.start()
        table = BackendTable(lambda: None)
        for number in range(count):
            table.update(_report(f"engine-{number}", 1), 0.0)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return [Slope("control.memory_by_backend", "KB", memory)]


def _report(name: str, sequence: int, *, full: bool = True) -> BackendReport:
    resident = [f"adapter-{n}@2026-11" for n in range(8)]
    served = {f"workspace-{n}": 1000.0 * n for n in range(50)}
    counters = {f"counter_{n}": 1.0 for n in range(8)}
    return BackendReport(
        name,
        "10.0.0.1:7100",
        "dc-1",
        "engine",
        "base-13b",
        f"{name}-0123456789ab",
        sequence,
        False,
        sequence % 7,
        sequence % 5,
        32,
        resident,
        8,
        served if full else None,
        counters if full else None,
    )


def message_sizes() -> Sequence[Row]:
    """Measure the bytes of the regular messages."""
    report = len(encode_message(_report("engine-1", 1)))
    light = len(encode_message(_report("engine-1", 1, full=False)))
    poll = len(encode_message(PollRequest("edge-1", "dc-1", 9, 9, 9, 0.5, "host-1-x")))
    asks = [
        CreditAsk(f"workspace-{n}", 500.0, [CreditReport(n, 100.0, 0.0)], [])
        for n in range(10)
    ]
    credit = len(encode_message(CreditRequest("edge-1-x", 1, asks)))
    return [
        Row("message.report_50_workspaces", report, "bytes"),
        Row("message.light_report", light, "bytes"),
        Row("message.poll", poll, "bytes"),
        Row("message.credit_10_workspaces", credit, "bytes"),
    ]


def credit_decision() -> Sequence[Row]:
    """Measure the leader's time for one ask of credit."""
    limit = Limit(1000.0, 1e9)
    ledger = CreditLedger({}, 0.0)
    count = 5_000
    started_s = time.perf_counter()
    for number in range(count):
        ask = CreditAsk("w", 10.0, [CreditReport(number, 10.0, 0.0)], [])
        now_s = number * 0.01
        ledger.settle("e", ask, limit, now_s)
        ledger.apply_reservations(ledger.reservations([ask], {"w": limit}, now_s))
        ledger.grant("e", ask, limit, now_s)
    cost_us = (time.perf_counter() - started_s) / count * 1e6
    return [Row("leader.credit_ask", cost_us, "us")]


def _identity(fleet: Fleet) -> Identity:
    files = fleet.identity("operator")
    return Identity(
        Path(files["certificate"]), Path(files["key"]), Path(files["authority"])
    )


def _hammer(
    fleet: Fleet, callers: int, period_s: float, make: Callable[[int, int], Any]
) -> tuple[float, float]:
    """Call the first control host regularly; return calls/s and its cores."""
    identity = _identity(fleet)
    address = fleet.control_hosts[0]
    process = fleet.processes["host-1"]
    calls = [0] * callers
    with dialing(identity) as dialer:
        stop_s = time.monotonic() + SECONDS

        def run(number: int) -> None:
            while time.monotonic() < stop_s:
                started_s = time.monotonic()
                dialer.call(address, make(number, calls[number]), 5.0)
                calls[number] += 1
                time.sleep(max(0.0, period_s - (time.monotonic() - started_s)))

        before_s = process.cpu_s()
        threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        cores = (process.cpu_s() - before_s) / SECONDS
    return sum(calls) / SECONDS, cores


def control_calls(fleet: Fleet) -> Sequence[Slope]:
    """Measure a control host's processor time for each report and each poll."""
    reports = []
    polls = []
    for callers in (10, 20, 40):
        rate, cores = _hammer(
            fleet,
            callers,
            0.1,
            lambda n, i: _report(f"engine-{n}", i + 1, full=i % 4 == 0),
        )
        reports.append((int(rate), cores * 1e6))
    for callers in (15, 30, 60):
        rate, cores = _hammer(
            fleet,
            callers,
            0.05,
            lambda n, i: PollRequest(f"edge-{n}", "dc", 0, 0, -1, 0.0, "other"),
        )
        polls.append((int(rate), cores * 1e6))
    return [
        Slope("control.cpu_by_report", "us", reports),
        Slope("control.cpu_by_poll", "us", polls),
    ]


def idle_costs(fleet: Fleet) -> Sequence[Row]:
    """Measure what idle processes use over some seconds."""
    names = {"control": "host-2", "entry": "edge", "agent": "engine"}
    length_s = 8.0
    before = {role: fleet.processes[name].cpu_s() for role, name in names.items()}
    time.sleep(length_s)
    rows = []
    for role, name in names.items():
        process = fleet.processes[name]
        share = (process.cpu_s() - before[role]) / length_s * 100
        rows.append(Row(f"{role}.idle_cpu", share, "% of a core"))
        rows.append(Row(f"{role}.idle_memory", process.resident_kb() / 1024, "MB"))
    return rows


def measure() -> Sequence[Row]:
    """Run all measurements."""
    rows: list[Row] = []
    slopes = [*adapters_in_state(), *claims_in_state(), *backends_in_table()]
    rows.extend(message_sizes())
    rows.extend(credit_decision())
    with tempfile.TemporaryDirectory() as folder:
        with running_fleet(Path(folder)) as fleet:
            fleet.start_hosts(3, entry=False)
            fleet.start_entry("edge")
            fleet.start_engine("engine")
            fleet.wait_ready()
            time.sleep(5.0)
            rows.extend(idle_costs(fleet))
            slopes.extend(control_calls(fleet))
    for slope in slopes:
        rows.extend(slope.rows())
    return rows


def main() -> None:
    """Measure, print and keep the figures."""
    rows = measure()
    for row in rows:
        print(f"{row.name:<44} {row.value:>12} {row.unit}")
    path = Path(__file__).resolve().parent / "capacity.json"
    documents = [
        {"name": row.name, "value": row.value, "unit": row.unit} for row in rows
    ]
    path.write_text(json.dumps(documents, indent=1) + "\n")


if __name__ == "__main__":
    main()
