"""Measures the resource costs in docs/CAPACITY.md by doubling one size at a time.

Prints the figures and writes ``bench/capacity.json``, which the page quotes.
"""

import json
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from results import Row

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

MEASUREMENT_S = 3.0
ADAPTER_VALUE = '{"current":"2026-11","model":"base-13b","versions":["2026-11"]}'


class Slope:
    """A least-squares line through pairs of size and measured value.

    The sizes double from pair to pair; ``unit`` is the unit of the values.
    """

    def __init__(
        self, name: str, unit: str, points: Sequence[tuple[int, float]]
    ) -> None:
        self.name = name
        self.unit = unit
        self.points = points
        count = len(points)
        mean_x = sum(x for x, _ in points) / count
        mean_y = sum(y for _, y in points) / count
        variance_x = sum((x - mean_x) ** 2 for x, _ in points)
        covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
        self.per_unit = covariance / variance_x
        self.intercept = mean_y - self.per_unit * mean_x

    def rows(self) -> Sequence[Row]:
        """Return the slope (``each``) and the intercept (``base``) as rows."""
        return [
            Row(f"{self.name}.each", self.per_unit, self.unit),
            Row(f"{self.name}.base", self.intercept, self.unit),
        ]


def _build_state_machine(adapters: int) -> StateMachine:
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


def measure_adapters_in_state() -> Sequence[Slope]:
    """Measure memory, snapshot size and snapshot time per adapter."""
    memory_kb = []
    snapshot_sizes_kb = []
    snapshot_times_ms = []
    for count in (5_000, 10_000, 20_000):
        tracemalloc.start()
        state_machine = _build_state_machine(count)
        memory_kb.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        started_s = time.perf_counter()
        data = state_machine.to_bytes()
        snapshot_times_ms.append((count, (time.perf_counter() - started_s) * 1000))
        snapshot_sizes_kb.append((count, len(data) / 1024))
    return [
        Slope("control.memory_by_adapter", "KB", memory_kb),
        Slope("control.snapshot_size_by_adapter", "KB", snapshot_sizes_kb),
        Slope("control.snapshot_time_by_adapter", "ms", snapshot_times_ms),
    ]


def measure_claims_in_state() -> Sequence[Slope]:
    """Measure memory per stored claim."""
    memory_kb = []
    for count in (5_000, 10_000, 20_000):
        tracemalloc.start()
        state_machine = StateMachine()
        for number in range(count):
            claim = ClaimOnce(f"{number:064d}", "d" * 64, "h" * 32)
            state_machine.apply(number, encode_struct(Command(claim=claim)))
        memory_kb.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return [Slope("control.memory_by_claim", "KB", memory_kb)]


def measure_backends_in_table() -> Sequence[Slope]:
    """Measure memory per backend server in the membership table."""
    memory_kb = []
    for count in (150, 300, 600):
        tracemalloc.start()
        table = BackendTable(lambda: None)
        for number in range(count):
            table.update(_make_report(f"engine-{number}", 1), 0.0)
        memory_kb.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return [Slope("control.memory_by_backend", "KB", memory_kb)]


def _make_report(name: str, sequence: int, *, full: bool = True) -> BackendReport:
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


def measure_message_sizes() -> Sequence[Row]:
    """Measure the sizes in bytes of the periodic messages."""
    report = len(encode_message(_make_report("engine-1", 1)))
    light_report = len(encode_message(_make_report("engine-1", 1, full=False)))
    poll = len(encode_message(PollRequest("edge-1", "dc-1", 9, 9, 9, 0.5, "host-1-x")))
    asks = [
        CreditAsk(f"workspace-{n}", 500.0, [CreditReport(n, 100.0, 0.0)], [])
        for n in range(10)
    ]
    credit = len(encode_message(CreditRequest("edge-1-x", 1, asks)))
    return [
        Row("message.report_50_workspaces", report, "bytes"),
        Row("message.light_report", light_report, "bytes"),
        Row("message.poll", poll, "bytes"),
        Row("message.credit_10_workspaces", credit, "bytes"),
    ]


def measure_credit_decision() -> Sequence[Row]:
    """Measure the leader's time to settle and grant one credit request."""
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
    files = fleet.identity_settings("operator")
    return Identity(
        Path(files["certificate"]), Path(files["key"]), Path(files["authority"])
    )


def _call_periodically(
    fleet: Fleet, callers: int, period_s: float, make_request: Callable[[int, int], Any]
) -> tuple[float, float]:
    """Call the first control host periodically; return calls/s and cores it uses."""
    identity = _identity(fleet)
    address = fleet.control_hosts[0]
    process = fleet.processes["host-1"]
    calls = [0] * callers
    with dialing(identity) as dialer:
        stop_s = time.monotonic() + MEASUREMENT_S

        def run(number: int) -> None:
            while time.monotonic() < stop_s:
                started_s = time.monotonic()
                dialer.call(address, make_request(number, calls[number]), 5.0)
                calls[number] += 1
                time.sleep(max(0.0, period_s - (time.monotonic() - started_s)))

        host_cpu_before_s = process.cpu_s()
        threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        cores = (process.cpu_s() - host_cpu_before_s) / MEASUREMENT_S
    return sum(calls) / MEASUREMENT_S, cores


def measure_control_calls(fleet: Fleet) -> Sequence[Slope]:
    """Measure a control host's processor time per report and per poll."""
    reports = []
    polls = []
    for callers in (10, 20, 40):
        calls_per_s, cores = _call_periodically(
            fleet,
            callers,
            0.1,
            lambda n, i: _make_report(f"engine-{n}", i + 1, full=i % 4 == 0),
        )
        # Microseconds of processor time per second, so that the slope is in
        # microseconds per call.
        reports.append((int(calls_per_s), cores * 1e6))
    for callers in (15, 30, 60):
        calls_per_s, cores = _call_periodically(
            fleet,
            callers,
            0.05,
            lambda n, i: PollRequest(f"edge-{n}", "dc", 0, 0, -1, 0.0, "other"),
        )
        polls.append((int(calls_per_s), cores * 1e6))
    return [
        Slope("control.cpu_by_report", "us", reports),
        Slope("control.cpu_by_poll", "us", polls),
    ]


def measure_idle_costs(fleet: Fleet) -> Sequence[Row]:
    """Measure processor share and memory of idle processes."""
    # The process of an agent has the name of its engine.
    names = {"control": "host-2", "entry": "edge", "agent": "engine"}
    duration_s = 8.0
    cpu_before_s = {role: fleet.processes[name].cpu_s() for role, name in names.items()}
    time.sleep(duration_s)
    rows = []
    for role, name in names.items():
        process = fleet.processes[name]
        cpu_percent = (process.cpu_s() - cpu_before_s[role]) / duration_s * 100
        rows.append(Row(f"{role}.idle_cpu", cpu_percent, "% of a core"))
        rows.append(Row(f"{role}.idle_memory", process.resident_kb() / 1024, "MB"))
    return rows


def measure() -> Sequence[Row]:
    """Run all measurements."""
    rows: list[Row] = []
    slopes = [
        *measure_adapters_in_state(),
        *measure_claims_in_state(),
        *measure_backends_in_table(),
    ]
    rows.extend(measure_message_sizes())
    rows.extend(measure_credit_decision())
    with tempfile.TemporaryDirectory() as folder:
        with running_fleet(Path(folder)) as fleet:
            fleet.start_hosts(3, entry=False)
            fleet.start_entry("edge")
            fleet.start_engine("engine")
            fleet.wait_ready()
            time.sleep(5.0)
            rows.extend(measure_idle_costs(fleet))
            slopes.extend(measure_control_calls(fleet))
    for slope in slopes:
        rows.extend(slope.rows())
    return rows


def main() -> None:
    """Run all measurements, print the rows and write them to the file."""
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
