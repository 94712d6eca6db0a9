"""Kills, suspensions, partitions, lost disks and drains of real processes."""

import json
import shutil
import signal
import threading
import time
import unittest

from damaskvalve_standins.engine import CRASH_MARKER
from damaskvalve_standins.fleet import wait_for
from damaskvalve_standins.relay import running_relay
from damaskvalve_standins.tests.fleet_case import (
    WORKSPACE,
    FleetTestCase,
    expected_text,
    stream_text,
)


class AgentFaultTests(FleetTestCase):
    def busy_engine(self):
        def find():
            for name in self.engines:
                if self.fleet.call_standin(name, "figures")["running"]:
                    return name
            return None

        return wait_for(find, 5.0, "a busy engine")

    def other_engine(self, name):
        return next(item for item in self.engines if item != name)

    def wait_for_agent(self, name):
        """Wait until entry hosts route to a restarted agent's backend server."""
        wait_for(lambda: self.fleet.processes[name].is_running(), 5.0, f"{name} to run")
        time.sleep(3.0)

    def wait_for_service(self):
        """Wait until each entry host serves calls of a restarted service.

        The service is routable again after its agent's next health check and report.
        """

        def is_served():
            for entry in self.fleet.entries:
                reply = self.fleet.request(
                    entry, "POST", "/services/look", key=self.key, body=b"sound"
                )
                if reply.status != 200:
                    return False
            return True

        wait_for(is_served, 5.0, "a sound call to be served")

    def test_stream_continues_on_another_engine_when_its_agent_is_killed(self):
        """The caller receives one complete answer."""
        thread, collected = self.start_stream("host-1", 400)
        name = self.busy_engine()
        time.sleep(0.3)
        self.fleet.processes[name].kill()
        thread.join()
        text = expected_text("ink@1", 400)
        self.assertEqual(stream_text(collected[0]), text, collected[0][-300:])
        self.fleet.processes[name].start()
        self.wait_for_agent(name)

    def test_draining_agent_finishes_its_streams_and_gets_no_new_request(self):
        """Three seconds after SIGTERM no new request reaches its engine."""
        thread, collected = self.start_stream("host-2", 1200)
        name = self.busy_engine()
        process = self.fleet.processes[name]
        process.terminate()
        time.sleep(3.0)
        before = self.fleet.call_standin(name, "figures")["requests"]
        for number in range(12):
            entry = f"host-{number % 3 + 1}"
            reply = self.fleet.complete(entry, self.key, "ink:1", 2)
            self.assertEqual(reply.status, 200, reply.data)
        self.assertEqual(self.fleet.call_standin(name, "figures")["requests"], before)
        thread.join()
        self.assertEqual(process.wait(), 0)
        self.assertEqual(stream_text(collected[0]), expected_text("ink@1", 1200))
        self.assertIn("[DONE]", collected[0])
        process.start()
        self.wait_for_agent(name)

    def test_frozen_agent_gets_no_new_work_after_five_seconds(self):
        """Five seconds after its suspension, other agents answer at once."""
        thread, _ = self.start_stream("host-1", 50)
        name = self.busy_engine()
        process = self.fleet.processes[name]
        process.signal(signal.SIGSTOP)
        try:
            time.sleep(5.0)
            for number in range(6):
                started_s = time.monotonic()
                entry = f"host-{number % 3 + 1}"
                reply = self.fleet.complete(entry, self.key, "ink:1", 2)
                self.assertEqual(reply.status, 200, reply.data)
                self.assertLess(time.monotonic() - started_s, 2.0)
        finally:
            process.signal(signal.SIGCONT)
        thread.join()
        self.wait_for_agent(name)

    def test_fenced_agent_sends_no_order_after_a_second_takes_over(self):
        """An engine that does not check fencing numbers never receives an older one."""
        name = "engine-2"
        self.fleet.start_agent(
            "engine-2-second", name, {"kind": "engine", "serves": "base", "slots": 4}
        )
        second = self.fleet.folder / "engine-2-second.log"
        wait_for(
            lambda: "holding fencing number" in second.read_text(), 10.0, "the fence"
        )
        for number in range(30):
            adapter = ("ink:1", "ink:2", "jade:1", "jade:2")[number % 4]
            self.fleet.complete("host-1", self.key, adapter, 2)
            time.sleep(0.2)
        fences = self.fleet.call_standin(name, "figures")["fences"]
        self.assertEqual(fences, sorted(fences))
        self.fleet.processes["engine-2-second"].kill()
        self.fleet.processes[name].kill()
        self.fleet.processes[name].start()
        time.sleep(5.0)

    def test_crashing_request_resent_repeatedly_crashes_at_most_two_engines(self):
        """The request is quarantined; streams that run beside it are complete."""
        crashes = []
        stop = threading.Event()

        def restart_crashed_engines():
            while not stop.wait(0.2):
                for name in self.engines:
                    process = self.fleet.processes[f"{name}-engine"]
                    if not process.is_running():
                        crashes.append(name)
                        process.start()

        thread = threading.Thread(target=restart_crashed_engines)
        thread.start()
        self.addCleanup(stop.set)
        concurrent_streams = [
            self.start_stream(f"host-{n % 3 + 1}", 300) for n in range(6)
        ]
        time.sleep(0.3)
        codes = []
        for number in range(8):
            reply = self.fleet.complete(
                f"host-{number % 3 + 1}",
                self.key,
                "ink:1",
                3,
                prompt=CRASH_MARKER,
            )
            codes.append(reply.json()["error"]["code"])
            time.sleep(0.5)
        for stream_thread, collected in concurrent_streams:
            stream_thread.join()
            self.assertEqual(
                stream_text(collected[0]),
                expected_text("ink@1", 300),
                collected[0][-300:],
            )
        stop.set()
        thread.join()
        self.assertLessEqual(len(crashes), 2, crashes)
        self.assertEqual(codes[-1], "quarantined", codes)
        reply = self.fleet.complete("host-1", self.key, "ink:1", 2)
        self.assertEqual(reply.status, 200, reply.data)

    def test_crashing_call_resent_repeatedly_ends_a_service_at_most_twice(self):
        """Repeatable and once-only calls are quarantined after two crashes at most."""
        process = self.fleet.processes["desk-service"]
        for path in ("/services/look", "/services/desk"):
            ended = 0
            codes = []
            for number in range(5):
                if not process.is_running():
                    ended += 1
                    process.start()
                    self.wait_for_service()
                reply = self.fleet.request(
                    f"host-{number % 3 + 1}",
                    "POST",
                    path,
                    key=self.key,
                    body=CRASH_MARKER.encode(),
                    headers={"Idempotency-Key": f"{path}-{number}"},
                )
                codes.append(reply.json()["error"]["code"])
            ended += not process.is_running()
            self.assertLessEqual(ended, 2, codes)
            self.assertEqual(codes[-1], "quarantined", codes)
        if not process.is_running():
            process.start()
        self.wait_for_service()


class ControlFaultTests(FleetTestCase):
    def revision(self):
        return json.loads(self.fleet.run_operator_command("config", "show", "--json"))[
            "revision"
        ]

    def set_workspace(self, name):
        self.fleet.run_operator_command(
            *("config", "set-workspace", name, "--share", "1"),
            *("--rate", "10", "--burst", "10"),
        )

    def wait_for_full_group(self):
        def is_full_group():
            status = json.loads(
                self.fleet.run_operator_command(
                    "config", "status", "--json", check=False
                )
                or "{}"
            )
            rows = status.get("control_hosts", [])
            return (
                len(rows) == 3
                and all(row[2] == "yes" for row in rows)
                and all(row[5] == 3 for row in rows)
            )

        wait_for(is_full_group, 30.0, "a group of three live control hosts")

    def lose_disk(self, name):
        self.fleet.processes[name].kill()
        shutil.rmtree(self.fleet.folder / f"data-{name}" / "group")
        self.fleet.processes[name].start()

    def test_disk_lost_right_after_a_repair_loses_no_change(self):
        """Each host in turn restarts with an empty state folder."""
        for name in ("host-1", "host-2", "host-3"):
            self.set_workspace(f"before-{name}")
            accepted = self.revision()
            self.lose_disk(name)
            self.wait_for_full_group()
            self.assertEqual(self.revision(), accepted)
        rows = json.loads(
            self.fleet.run_operator_command("config", "show", "workspace", "--json")
        )
        names = {row[1] for row in rows["rows"]}
        expected = {"before-host-1", "before-host-2", "before-host-3", WORKSPACE}
        self.assertLessEqual(expected, names)
        self.fleet.wait_ready()

    def test_configuration_survives_a_simultaneous_kill_of_every_host(self):
        """All hosts are killed together after twenty changes."""
        for number in range(20):
            self.set_workspace(f"many-{number % 5}")
        accepted = self.revision()
        for name in ("host-1", "host-2", "host-3"):
            self.fleet.processes[name].kill()
        for name in ("host-1", "host-2", "host-3"):
            self.fleet.processes[name].start()
        self.wait_for_full_group()
        self.assertEqual(self.revision(), accepted)
        self.fleet.wait_ready()

    def test_frozen_leader_neither_blocks_changes_nor_reverts_them(self):
        """A change is committed during the suspension and kept after it."""
        leader = self.fleet.leader()
        process = self.fleet.processes[leader]
        process.signal(signal.SIGSTOP)
        try:
            self.set_workspace("while-frozen")
        finally:
            process.signal(signal.SIGCONT)
        accepted = self.revision()
        self.wait_for_full_group()
        self.assertEqual(self.revision(), accepted)
        self.fleet.wait_ready()

    def test_withdrawn_key_is_refused_by_a_partitioned_entry_host(self):
        """The configuration lease of the host lapses; open routes are still served."""
        key, digest = self.fleet.grant_key(WORKSPACE)
        with running_relay(self.fleet.control_hosts[0]) as relay:
            controls = self.fleet.control_hosts
            self.fleet.control_hosts = [relay.address]
            try:
                self.fleet.start_entry("edge")
            finally:
                self.fleet.control_hosts = controls
            self.fleet.wait_ready(["edge"])
            self.assertEqual(self.fleet.complete("edge", key, "ink:1").status, 200)
            relay.cut()
            cut_at_s = time.monotonic()
            self.fleet.run_operator_command("key", "withdraw", digest)

            def find_refusal():
                reply = self.fleet.complete("edge", key, "ink:1", 1)
                return reply if reply.status != 200 else None

            reply = wait_for(find_refusal, 8.0, "a refusal")
            self.assertLess(time.monotonic() - cut_at_s, 5.0)
            self.assertEqual(reply.status, 503)
            self.assertEqual(reply.json()["error"]["ran"], "not-run")
            opened = self.fleet.request("edge", "POST", "/services/open", body=b"o")
            self.assertEqual(opened.status, 200)
            relay.restore()
            wait_for(
                lambda: self.fleet.complete("edge", key, "ink:1", 1).status == 401,
                8.0,
                "the withdrawal to arrive",
            )
            self.fleet.processes["edge"].kill()
            del self.fleet.entries["edge"]

    def test_change_is_in_force_everywhere_within_eleven_seconds(self):
        """The bound of eleven seconds holds while a control host is down."""
        self.fleet.processes["host-3"].kill()
        try:
            started_s = time.monotonic()
            output = self.fleet.run_operator_command(
                *("config", "set-workspace", "quick", "--share", "1"),
                *("--rate", "10", "--burst", "10", "--wait"),
            )
            self.assertLess(time.monotonic() - started_s, 11.0)
            self.assertIn("in force everywhere", output)
        finally:
            self.fleet.processes["host-3"].start()
        self.wait_for_full_group()
        self.fleet.wait_ready()


class OnceFaultTests(FleetTestCase):
    def run_once_requests(self, count, inject_fault):
        """Send once-only requests until answered; inject a fault after a third.

        The answers are sets by request name; an empty set is an unknown outcome.
        """
        answers = {}
        false_answers = []
        lock = threading.Lock()

        def send(number):
            name = f"loan-{number}"
            deadline_s = time.monotonic() + 25
            entry = number
            while time.monotonic() < deadline_s:
                entry += 1
                try:
                    reply = self.send_once_request(
                        f"host-{entry % 3 + 1}", name, timeout_s=12.0
                    )
                except Exception:
                    time.sleep(0.2)
                    continue
                with lock:
                    if reply.status == 200:
                        answers.setdefault(name, set()).add(reply.data)
                        return
                    if reply.json()["error"]["ran"] == "unknown":
                        answers.setdefault(name, set())
                time.sleep(0.3)

        threads = []
        for number in range(count):
            thread = threading.Thread(target=send, args=(number,))
            thread.start()
            threads.append(thread)
            time.sleep(0.05)
            if number == count // 3:
                inject_fault()
        for thread in threads:
            thread.join()
        return answers, false_answers

    def assert_no_double_runs(self, answers, count):
        runs = self.fleet.call_standin("desk", "runs")
        once_runs = {
            name: times for name, times in runs.items() if name.startswith("loan-")
        }
        repeated = {name: times for name, times in once_runs.items() if times > 1}
        self.assertEqual(repeated, {})
        for name, found in answers.items():
            self.assertLessEqual(len(found), 1, name)
            if found:
                self.assertEqual(once_runs.get(name), 1, name)
        answered = sum(1 for found in answers.values() if found)
        self.assertGreater(answered, count // 2)

    def test_killed_leader_runs_no_once_request_twice(self):
        """The killed host is leader and entry host with once-only requests running."""
        leader = self.fleet.leader()

        def inject_fault():
            self.fleet.call_standin("desk", "faults", {"delay_s": 0.2})
            self.fleet.processes[leader].kill()
            self.fleet.processes[leader].start()

        answers, _ = self.run_once_requests(40, inject_fault)
        self.fleet.call_standin("desk", "faults", {"delay_s": 0})
        self.assert_no_double_runs(answers, 40)
        self.fleet.wait_ready()

    def test_killed_agent_runs_no_once_request_twice(self):
        """Requests that the agent ran become unknown, the others are answered."""

        def inject_fault():
            self.fleet.call_standin("desk", "faults", {"delay_s": 0.2})
            self.fleet.processes["desk"].kill()
            self.fleet.processes["desk"].start()

        answers, _ = self.run_once_requests(40, inject_fault)
        self.fleet.call_standin("desk", "faults", {"delay_s": 0})
        self.assert_no_double_runs(answers, 40)

    def test_deferred_jobs_survive_a_killed_leader(self):
        """Every accepted job is answered with the expected text."""
        leader = self.fleet.leader()
        others = [name for name in self.fleet.entries if name != leader]
        jobs = []
        for number in range(12):
            if number == 6:
                self.fleet.processes[leader].kill()
            accepted = self.submit_job(others[number % 2], number)
            if accepted is not None:
                jobs.append(accepted)
        self.fleet.processes[leader].start()
        self.assertGreaterEqual(len(jobs), 6)
        for job_id in jobs:
            text = wait_for(lambda: self.job_text(others[0], job_id), 90.0, "a job")
            self.assertEqual(text, expected_text("ink@1", 30))
        self.fleet.wait_ready()

    def submit_job(self, entry, number):
        """Send a job until it is accepted; return its id, or None after 20 s.

        All attempts have the same idempotency key.
        """
        body = {"model": "ink:1", "prompt": f"tape {number}", "max_tokens": 30}
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
            reply = self.fleet.request(
                entry,
                "POST",
                "/v1/transcriptions",
                key=self.key,
                body=body,
                headers={"Idempotency-Key": f"tape-{number}"},
            )
            if reply.status == 202:
                return reply.json()["job_id"]
            time.sleep(0.3)
        return None

    def job_text(self, entry, job_id):
        reply = self.fleet.request(entry, "GET", f"/v1/jobs/{job_id}", key=self.key)
        if reply.status != 200:
            return None
        return reply.json()["choices"][0]["text"]

    def test_terminated_host_finishes_its_running_requests(self):
        """Running streams and once-only requests are completed; the exit code is 0."""
        self.fleet.call_standin("desk", "faults", {"delay_s": 1.0})
        streams = [self.start_stream("host-2", 500) for _ in range(4)]
        replies = []
        sender = threading.Thread(
            target=lambda: replies.append(self.send_once_request("host-2", "last-loan"))
        )
        sender.start()
        time.sleep(0.5)
        process = self.fleet.processes["host-2"]
        process.terminate()
        for thread, collected in streams:
            thread.join()
            self.assertEqual(stream_text(collected[0]), expected_text("ink@1", 500))
        sender.join()
        self.assertEqual(replies[0].status, 200)
        self.assertEqual(process.wait(), 0)
        self.fleet.call_standin("desk", "faults", {"delay_s": 0})
        process.start()
        self.fleet.wait_ready()


class RateTests(FleetTestCase):
    rate = "400"
    burst = "800"
    engine_options = ("--token-s", "0.001", "--slots", "8")

    def test_three_hosts_together_admit_at_most_rate_and_burst(self):
        """Ten callers overload the two other hosts while the leader is killed."""
        leader = self.fleet.leader()
        admitted = []
        lock = threading.Lock()
        stop = threading.Event()

        def call(number):
            names = [name for name in self.fleet.entries if name != leader]
            while not stop.is_set():
                entry = names[number % len(names)]
                sent_s = time.monotonic()
                reply = self.fleet.complete(entry, self.key, "ink:1", 17)
                if reply.status == 200:
                    used = reply.json()["usage"]["total_tokens"]
                    with lock:
                        admitted.append((sent_s, time.monotonic(), used))

        started_s = time.monotonic()
        threads = [threading.Thread(target=call, args=(n,)) for n in range(10)]
        for thread in threads:
            thread.start()
        time.sleep(3.0)
        self.fleet.processes[leader].kill()
        time.sleep(6.0)
        stop.set()
        for thread in threads:
            thread.join()
        length_s = time.monotonic() - started_s
        total = sum(used for _, _, used in admitted)
        self.assertLessEqual(total, 400 * length_s + 800)
        self.assertGreater(total, 0.5 * 400 * length_s)
        self.fleet.processes[leader].start()


if __name__ == "__main__":
    unittest.main()
