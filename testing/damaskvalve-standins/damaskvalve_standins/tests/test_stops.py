"""Planned stops of hosts and agents whose requests outlast the grace period."""

import json
import signal
import socket
import threading
import time
from unittest import mock

import yaml

from damaskvalve_core import MIN_GRACE_S, UNKNOWN, split_address
from damaskvalve_standins import fleet as fleet_module
from damaskvalve_standins.fleet import START_TIMEOUT_S, wait_for
from damaskvalve_standins.tests.fleet_case import (
    FleetTestCase,
    expected_text,
    stream_text,
)

# Streams of this many tokens take longer than the grace period.
LONG_TOKENS = 600


class PlannedStopTests(FleetTestCase):
    grace_s = MIN_GRACE_S
    engine_options = ("--token-s", "0.05")

    def setUp(self):
        self.fleet.wait_ready()
        # Also until the group has a leader again, if the one that stopped led it.
        for entry in self.fleet.entries:
            self.fleet.wait_serving(entry, self.key, "ink:1")

    def stop(self, name):
        """Stop a process with two signals; return how long the stop takes."""
        process = self.fleet.processes[name]
        started_s = time.monotonic()
        process.terminate()
        time.sleep(1.0)
        process.terminate()
        self.assertEqual(process.wait(3 * MIN_GRACE_S), 0)
        return time.monotonic() - started_s

    def send_half(self, entry):
        """Send half of a request; return its connection."""
        sock = socket.create_connection(split_address(self.fleet.entries[entry]), 5.0)
        self.addCleanup(sock.close)
        sock.settimeout(3 * MIN_GRACE_S)
        head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
        sock.sendall(f"{head}abc".encode())
        return sock

    def test_a_stop_during_a_start_waited_for_an_address_in_use(self):
        """The start of a host or an agent is given up at the signal."""
        with socket.create_server(("127.0.0.1", 0)) as other:
            held = "{}:{}".format(*other.getsockname())
            fleet = self.fleet
            with mock.patch.object(fleet_module, "free_address", lambda: held):
                fleet.start_agent("late", "engine-1", {"kind": "engine", "serves": "a"})
            path = fleet.folder / "host-1.yaml"
            document = yaml.safe_load(path.read_text(encoding="utf-8"))
            document.update(name="late-host", data_folder="data-late-host")
            document.update(control_hosts=[held], control={"listen": held})
            path = fleet.write_settings("late-host", document)
            command = ("damaskvalve", "serve", "--settings", str(path))
            fleet.start("late-host", fleet.python_command(*command))
            for name in ("late", "late-host"):
                process = fleet.processes[name]
                wait_for(
                    lambda: "is in use" in process.log_path.read_text(encoding="utf-8"),
                    START_TIMEOUT_S,
                    "a start that waits for its address",
                )
                process.terminate()
                self.assertEqual(process.wait(5.0), 0)

    def test_a_hang_up_ended_hosts_and_agents_with_their_requests(self):
        """They say in their logs that settings are read at a start only."""
        names = ["host-1", *self.engines]
        streams = [self.start_stream("host-1", 60) for _ in range(4)]
        time.sleep(1.0)
        for name in names:
            self.fleet.processes[name].signal(signal.SIGHUP)
        for thread, collected in streams:
            thread.join()
            text = "".join(collected)
            self.assertEqual(stream_text(text), expected_text("ink@1", 60))
        for name in names:
            process = self.fleet.processes[name]
            self.assertTrue(process.is_running(), name)
            self.assertIn("SIGHUP", process.log_path.read_text(encoding="utf-8"))

    def test_a_host_outlasted_its_grace_period_with_requests_that_did_not_end(self):
        """Each of them gets an answer that says what is known of its run."""
        self.fleet.call_standin("desk", "faults", {"delay_s": 3 * MIN_GRACE_S})
        streams = [self.start_stream("host-2", LONG_TOKENS) for _ in range(4)]
        replies = []
        sender = threading.Thread(
            target=lambda: replies.append(self.send_once_request("host-2", "endless"))
        )
        sender.start()
        time.sleep(1.0)
        process = self.fleet.processes["host-2"]
        # The rest of its body may be missing for longer than the rest of the stop.
        halves = []
        late = threading.Timer(
            MIN_GRACE_S / 2, lambda: halves.append(self.send_half("host-2"))
        )
        late.start()
        took_s = self.stop("host-2")
        self.fleet.call_standin("desk", "faults", {"delay_s": 0})
        self.assertLess(took_s, MIN_GRACE_S)
        for thread, collected in streams:
            thread.join()
            last = [line for line in collected[0].splitlines() if line][-1]
            error = json.loads(last.removeprefix("data: "))["error"]
            self.assertEqual((error["code"], error["ran"]), ("stopping", UNKNOWN))
        sender.join()
        self.assertEqual(replies[0].headers["X-Ran"], UNKNOWN, replies[0].data)
        late.join()
        answer = halves[0].recv(65_536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"X-Ran: not-run", answer)
        process.start()

    def test_an_agent_outlasted_its_grace_period_with_requests_that_did_not_end(self):
        """The streams that it ends go on at another engine."""
        streams = [self.start_stream("host-1", LONG_TOKENS) for _ in range(4)]
        time.sleep(1.0)
        figures = {
            name: self.fleet.call_standin(name, "figures") for name in self.engines
        }
        name = max(self.engines, key=lambda name: figures[name]["running"])
        self.assertLess(self.stop(name), MIN_GRACE_S)
        for thread, collected in streams:
            thread.join()
            text = expected_text("ink@1", LONG_TOKENS)
            self.assertEqual(stream_text(collected[0]), text, collected[0][-300:])
        self.fleet.processes[name].start()
