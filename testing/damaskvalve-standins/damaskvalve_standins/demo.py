"""Demonstrates the request path while an agent and the leader are killed."""

import json
import sys
import tempfile
import threading
import time
from pathlib import Path

import urllib3

from damaskvalve_standins.fleet import Fleet, running_fleet

WORKSPACE = "valuation"
ADAPTER = "provenance"
STREAM_TOKENS = 400


class CheckResults:
    """The checks that failed."""

    def __init__(self) -> None:
        self.problems: list[str] = []

    def check(self, is_ok: bool, description: str) -> None:
        """Print the result of one check and record it if it failed."""
        verdict = "ok    " if is_ok else "FAILED"
        print(f"  {verdict} {description}", flush=True)
        if not is_ok:
            self.problems.append(description)


def _start_fleet(fleet: Fleet) -> str:
    print("starting 3 control and entry hosts, 3 agents and their stand-ins")
    fleet.start_hosts(3)
    fleet.start_engine("engine-1")
    fleet.start_engine("engine-2")
    fleet.start_service("certificates")
    fleet.wait_ready()
    print("creating a workspace, an adapter, a route and a key")
    fleet.run_operator_command(
        *("config", "set-workspace", WORKSPACE, "--share", "1"),
        *("--rate", "5000", "--burst", "50000"),
    )
    fleet.run_operator_command(
        *("config", "set-adapter", WORKSPACE, ADAPTER),
        *("--model", "base", "--version", "1"),
    )
    fleet.run_operator_command(
        *("config", "set-route", "/services/certificates", "--kind", "once"),
        *("--backend-kind", "service", "--serves", "certificates"),
    )
    key, _ = fleet.grant_key(WORKSPACE)
    for entry in fleet.entries:
        fleet.wait_serving(entry, key, ADAPTER)
    return key


def _stream_text(data: bytes) -> str:
    texts: list[str] = []
    for line in data.decode().splitlines():
        if line.startswith("data: {"):
            choices = json.loads(line[6:]).get("choices") or []
            texts.extend(choice.get("text", "") for choice in choices)
    return "".join(texts)


def _expected_text(count: int) -> str:
    return "".join(f" {ADAPTER}@1#{number}" for number in range(count))


def _check_requests(fleet: Fleet, key: str, results: CheckResults) -> None:
    whole = fleet.complete("host-1", key, ADAPTER, 8)
    text = whole.json()["choices"][0]["text"] if whole.status == 200 else ""
    results.check(text == _expected_text(8), f"whole answer: {whole.status}")
    body = {"model": ADAPTER, "prompt": "x", "max_tokens": 20, "stream": True}
    streamed = fleet.request("host-2", "POST", "/v1/completions", key=key, body=body)
    results.check(
        _stream_text(streamed.data) == _expected_text(20)
        and streamed.data.rstrip().endswith(b"[DONE]"),
        f"streamed answer: {streamed.status}",
    )
    for entry in ("host-3", "host-1"):
        answer = _certificate(fleet, entry, key, "scroll-1")
        results.check(answer.status == 200, f"certificate by {entry}: {answer.status}")
    rejected = fleet.complete("host-1", "not-a-key", ADAPTER, 8)
    results.check(
        rejected.status == 401 and rejected.json()["error"]["ran"] == "not-run",
        f"unknown key: {rejected.status} not-run",
    )


def _certificate(
    fleet: Fleet, entry: str, key: str, name: str
) -> urllib3.BaseHTTPResponse:
    return fleet.request(
        entry,
        "POST",
        "/services/certificates",
        key=key,
        body=name.encode(),
        headers={"Idempotency-Key": name},
    )


def _other_entry_host(fleet: Fleet, host: str) -> str:
    return next(name for name in fleet.entries if name != host)


def _check_failover(fleet: Fleet, key: str, results: CheckResults) -> None:
    leader = fleet.leader()
    entry = _other_entry_host(fleet, leader)
    stream_replies: list[bytes] = []

    def stream() -> None:
        body = {
            "model": ADAPTER,
            "prompt": "x",
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        reply = fleet.request(entry, "POST", "/v1/completions", key=key, body=body)
        stream_replies.append(reply.data)

    thread = threading.Thread(target=stream)
    thread.start()
    time.sleep(0.4)
    busy = _busy_engine(fleet)
    print(f"killing the agent {busy} and the leading control host {leader}")
    fleet.processes[busy].kill()
    fleet.processes[leader].kill()
    thread.join()
    text = _stream_text(stream_replies[0]) if stream_replies else ""
    results.check(
        text == _expected_text(STREAM_TOKENS),
        f"the stream continued on another engine: {text.count('#')} tokens",
    )
    _check_certificates_after_kills(fleet, key, entry, results)


def _busy_engine(fleet: Fleet) -> str:
    for name in ("engine-1", "engine-2"):
        if fleet.call_standin(name, "figures")["running"]:
            return name
    return "engine-1"


def _check_certificates_after_kills(
    fleet: Fleet, key: str, entry: str, results: CheckResults
) -> None:
    statuses = []
    for number in range(10):
        name = f"scroll-after-{number}"
        deadline_s = time.monotonic() + 15
        while time.monotonic() < deadline_s:
            answer = _certificate(fleet, entry, key, name)
            if answer.status == 200:
                break
            time.sleep(0.3)
        statuses.append(answer.status)
    results.check(statuses == [200] * 10, f"certificates after the kills: {statuses}")
    runs = fleet.call_standin("certificates", "runs")
    results.check(
        len(runs) == 11 and set(runs.values()) == {1},
        f"{len(runs)} certificates ran, each at most {max(runs.values())} time",
    )


def main() -> int:
    """Run the demo; return 1 if a check failed, such as a lost or repeated run."""
    results = CheckResults()
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        with running_fleet(Path(folder)) as fleet:
            key = _start_fleet(fleet)
            _check_requests(fleet, key, results)
            _check_failover(fleet, key, results)
    took_s = round(time.monotonic() - started_s, 1)
    print(f"done in {took_s} s; {len(results.problems)} problems")
    return 1 if results.problems else 0


if __name__ == "__main__":
    sys.exit(main())
