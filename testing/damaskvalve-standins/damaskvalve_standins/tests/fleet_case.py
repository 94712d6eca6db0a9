"""A test case that starts one fleet of real processes for each class."""

import contextlib
import json
import tempfile
import threading
import unittest
from pathlib import Path

from damaskvalve_standins.fleet import running_fleet

WORKSPACE = "valuation"


class FleetTestCase(unittest.TestCase):
    """Runs three control and entry hosts, two engines and a service on loopback."""

    engines: tuple[str, ...] = ("engine-1", "engine-2")
    engine_options: tuple[str, ...] = ("--token-s", "0.005")
    rate = "20000"
    burst = "100000"
    grace_s = 120.0

    @classmethod
    def setUpClass(cls):
        cls.stack = contextlib.ExitStack()
        cls.addClassCleanup(cls.stack.close)
        folder = cls.stack.enter_context(tempfile.TemporaryDirectory())
        cls.fleet = cls.stack.enter_context(running_fleet(Path(folder)))
        cls.start_all()

    @classmethod
    def start_all(cls):
        fleet = cls.fleet
        fleet.grace_s = cls.grace_s
        fleet.start_hosts(3)
        for name in cls.engines:
            fleet.start_engine(name, *cls.engine_options)
        fleet.start_service("desk")
        fleet.wait_ready()
        fleet.run_operator_command(
            *("config", "set-workspace", WORKSPACE, "--share", "1"),
            *("--rate", cls.rate, "--burst", cls.burst),
        )
        for adapter in ("ink", "jade"):
            fleet.run_operator_command(
                *("config", "set-adapter", WORKSPACE, adapter),
                *("--model", "base", "--version", "1", "--version", "2"),
            )
        cls.set_route("/services/desk", "once")
        cls.set_route("/services/look", "repeatable")
        cls.set_route("/services/open", "open")
        cls.set_route("/v1/transcriptions", "deferred", backend_kind="engine")
        cls.key, cls.digest = fleet.grant_key(WORKSPACE)
        for entry in fleet.entries:
            fleet.wait_serving(entry, cls.key, "ink:1")

    @classmethod
    def set_route(cls, path, kind, backend_kind="service"):
        serves = "desk" if backend_kind == "service" else "base"
        cls.fleet.run_operator_command(
            *("config", "set-route", path, "--kind", kind),
            *("--backend-kind", backend_kind, "--serves", serves, "--cost", "1"),
        )

    def send_once_request(self, entry, name, key=None, **options):
        """Send a once-only request whose name is its body and idempotency key."""
        return self.fleet.request(
            entry,
            "POST",
            "/services/desk",
            key=key or self.key,
            body=name.encode(),
            headers={"Idempotency-Key": name},
            **options,
        )

    def start_stream(self, entry, count, key=None, adapter="ink:1"):
        """Start a stream in a thread; return the thread and the list for its reply."""
        collected = []

        def run():
            body = {
                "model": adapter,
                "prompt": "x",
                "max_tokens": count,
                "stream": True,
            }
            reply = self.fleet.request(
                entry, "POST", "/v1/completions", key=key or self.key, body=body
            )
            collected.append(reply.data.decode())

        thread = threading.Thread(target=run)
        thread.start()
        return thread, collected


def expected_text(adapter, count, start=0):
    """Return the text that the stand-in engine generates for an adapter."""
    return "".join(f" {adapter}#{number}" for number in range(start, start + count))


def stream_text(data):
    """Return the generated text of a collected event stream."""
    texts = []
    for line in data.splitlines():
        if line.startswith("data: {"):
            choices = json.loads(line[6:]).get("choices") or []
            texts.extend(choice.get("text", "") for choice in choices)
    return "".join(texts)
