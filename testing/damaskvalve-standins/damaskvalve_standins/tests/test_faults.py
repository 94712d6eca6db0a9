"""Kills, freezes, cuts, lost disks and leaving, on real processes."""

import json
import shutil
import signal
import threading
import time
import unittest

from damaskvalve_standins.engine import CRASH_MARK
from damaskvalve_standins.fleet import wait_for
from damaskvalve_standins.relay import relaying
from damaskvalve_standins.tests.fleet_case import (
    WORKSPACE,
    FleetCase,
    expected_text,
    stream_text,
)


class AgentFaultTests(FleetCase):
    def busy_engine(self):
        def find():
            for name in self.engines:
                if self.fleet.standin(name, "figures")["running"]:
                    return name
            return None

        return wait_for(find, 5.0, "a busy engine")

    def other_engine(self, name):
        return next(item for item in self.engines if item != name)

    def wait_routable(self, name):
        """Wait until an entry host sends work to a backend server again."""
        wait_for(lambda: self.fleet.processes[name].is_running(), 5.0, f"{name} to run")
        time.sleep(3.0)

    def wait_called(self):
        """Wait until each entry host sends calls to a service that started again.

        The agent's next health check and report bring the service back.
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

    def test_a_stream_goes_on_elsewhere_when_its_agent_is_killed(self):
        """The caller sees one whole answer."""
        thread, collected = self.stream("host-1", 400)
        name = self.busy_engine()
        time.sleep(0.3)
        self.fleet.processes[name].kill()
        thread.join()
        text = expected_text("ink@1", 400)
        self.assertEqual(stream_text(collected[0]), text, collected[0][-300:])
        self.fleet.processes[name].start()
        self.wait_routable(name)

    def test_a_leaving_agent_finishes_its_streams_and_gets_nothing_new(self):
        """After three seconds no new request reaches its engine."""
        thread, collected = self.stream("host-2", 1200)
        name = self.busy_engine()
        process = self.fleet.processes[name]
        process.terminate()
        time.sleep(3.0)
        before = self.fleet.standin(name, "figures")["requests"]
        for number in range(12):
            entry = f"host-{number % 3 + 1}"
            reply = self.fleet.complete(entry, self.key, "ink:1", 2)
            self.assertEqual(reply.status, 200, reply.data)
        self.assertEqual(self.fleet.standin(name, "figures")["requests"], before)
        thread.join()
        self.assertEqual(process.wait(), 0)
        self.assertEqual(stream_text(collected[0]), expected_text("ink@1", 1200))
        self.assertIn("[DONE]", collected[0])
        process.start()
        self.wait_routable(name)

    def test_a_frozen_agent_gets_no_new_work_after_five_seconds(self):
        """Requests go elsewhere and are answered."""
        thread, _ = self.stream("host-1", 50)
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
        self.wait_routable(name)

    def test_a_second_agent_takes_over_and_the_first_orders_nothing_more(self):
        """The engine ignores fencing numbers and never sees an older one."""
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
        fences = self.fleet.standin(name, "figures")["fences"]
        self.assertEqual(fences, sorted(fences))
        self.fleet.processes["engine-2-second"].kill()
        self.fleet.processes[name].kill()
        self.fleet.processes[name].start()
        time.sleep(5.0)

    def test_one_request_resent_for_ever_crashes_two_engines_at_most(self):
        """It ends in quarantine; requests beside it are answered."""
        crashes = []
        stop = threading.Event()

        def revive():
            while not stop.wait(0.2):
                for name in self.engines:
                    process = self.fleet.processes[f"{name}-engine"]
                    if not process.is_running():
                        crashes.append(name)
                        process.start()

        thread = threading.Thread(target=revive)
        thread.start()
        self.addCleanup(stop.set)
        beside = [self.stream(f"host-{n % 3 + 1}", 300) for n in range(6)]
        time.sleep(0.3)
        codes = []
        for number in range(8):
            reply = self.fleet.complete(
                f"host-{number % 3 + 1}",
                self.key,
                "ink:1",
                3,
                prompt=CRASH_MARK,
            )
            codes.append(reply.json()["error"]["code"])
            time.sleep(0.5)
        for runner, collected in beside:
            runner.join()
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

    def test_one_call_resent_for_ever_ends_a_plain_service_twice_at_most(self):
        """Calls that may be repeated and calls that may not."""
        process = self.fleet.processes["desk-service"]
        for path in ("/services/look", "/services/desk"):
            ended = 0
            codes = []
            for number in range(5):
                if not process.is_running():
                    ended += 1
                    process.start()
                    self.wait_called()
                reply = self.fleet.request(
                    f"host-{number % 3 + 1}",
                    "POST",
                    path,
                    key=self.key,
                    body=CRASH_MARK.encode(),
                    headers={"Idempotency-Key": f"{path}-{number}"},
                )
                codes.append(reply.json()["error"]["code"])
            ended += not process.is_running()
            self.assertLessEqual(ended, 2, codes)
            self.assertEqual(codes[-1], "quarantined", codes)
        if not process.is_running():
            process.start()
        self.wait_called()


class ControlFaultTests(FleetCase):
    def revision(self):
        return json.loads(self.fleet.operate("config", "show", "--json"))["revision"]

    def change(self, name):
        self.fleet.operate(
            *("config", "set-workspace", name, "--share", "1"),
            *("--rate", "10", "--burst", "10"),
        )

    def wait_whole(self):
        def whole():
            status = json.loads(
                self.fleet.operate("config", "status", "--json", check=False) or "{}"
            )
            rows = status.get("control_hosts", [])
            return (
                len(rows) == 3
                and all(row[2] == "yes" for row in rows)
                and all(row[5] == 3 for row in rows)
            )

        wait_for(whole, 30.0, "a whole group")

    def lose_disk(self, name):
        self.fleet.processes[name].kill()
        shutil.rmtree(self.fleet.folder / f"data-{name}" / "group")
        self.fleet.processes[name].start()

    def test_a_second_disk_lost_right_after_a_repair_loses_no_change(self):
        """Each host in turn starts again with an empty folder."""
        for name in ("host-1", "host-2", "host-3"):
            self.change(f"before-{name}")
            accepted = self.revision()
            self.lose_disk(name)
            self.wait_whole()
            self.assertEqual(self.revision(), accepted)
        rows = json.loads(self.fleet.operate("config", "show", "workspace", "--json"))
        names = {row[1] for row in rows["rows"]}
        expected = {"before-host-1", "before-host-2", "before-host-3", WORKSPACE}
        self.assertLessEqual(expected, names)
        self.fleet.wait_ready()

    def test_the_configuration_survives_a_restart_of_every_host(self):
        """Killed all at once after many changes."""
        for number in range(20):
            self.change(f"many-{number % 5}")
        accepted = self.revision()
        for name in ("host-1", "host-2", "host-3"):
            self.fleet.processes[name].kill()
        for name in ("host-1", "host-2", "host-3"):
            self.fleet.processes[name].start()
        self.wait_whole()
        self.assertEqual(self.revision(), accepted)
        self.fleet.wait_ready()

    def test_a_frozen_leader_does_not_stop_changes_nor_come_back_as_one(self):
        """A change is accepted meanwhile and is in force everywhere after."""
        leader = self.fleet.leader()
        process = self.fleet.processes[leader]
        process.signal(signal.SIGSTOP)
        try:
            self.change("while-frozen")
        finally:
            process.signal(signal.SIGCONT)
        accepted = self.revision()
        self.wait_whole()
        self.assertEqual(self.revision(), accepted)
        self.fleet.wait_ready()

    def test_a_withdrawn_key_dies_on_an_entry_host_that_is_cut_off(self):
        """Its lease lapses; open routes are still served."""
        key, digest = self.fleet.grant_key(WORKSPACE)
        with relaying(self.fleet.control_hosts[0]) as relay:
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
            self.fleet.operate("key", "withdraw", digest)

            def refused():
                reply = self.fleet.complete("edge", key, "ink:1", 1)
                return reply if reply.status != 200 else None

            reply = wait_for(refused, 8.0, "a refusal")
            self.assertLess(time.monotonic() - cut_at_s, 5.0)
            self.assertEqual(reply.status, 503)
            self.assertEqual(reply.json()["error"]["ran"], "not-run")
            opened = self.fleet.request("edge", "POST", "/services/open", body=b"o")
            self.assertEqual(opened.status, 200)
            relay.mend()
            wait_for(
                lambda: self.fleet.complete("edge", key, "ink:1", 1).status == 401,
                8.0,
                "the withdrawal to arrive",
            )
            self.fleet.processes["edge"].kill()
            del self.fleet.entries["edge"]

    def test_a_change_is_in_force_everywhere_within_eleven_seconds(self):
        """Also while a control host is down."""
        self.fleet.processes["host-3"].kill()
        try:
            started_s = time.monotonic()
            output = self.fleet.operate(
                *("config", "set-workspace", "quick", "--share", "1"),
                *("--rate", "10", "--burst", "10", "--wait"),
            )
            self.assertLess(time.monotonic() - started_s, 11.0)
            self.assertIn("in force everywhere", output)
        finally:
            self.fleet.processes["host-3"].start()
        self.wait_whole()
        self.fleet.wait_ready()


class OnceFaultTests(FleetCase):
    def run_loans(self, count, disturb):
        """Send loans, each again until it has a final answer, while disturbed."""
        answers = {}
        lies = []
        lock = threading.Lock()

        def send(number):
            name = f"loan-{number}"
            give_up_s = time.monotonic() + 25
            entry = number
            while time.monotonic() < give_up_s:
                entry += 1
                try:
                    reply = self.loan(f"host-{entry % 3 + 1}", name, timeout_s=12.0)
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
                disturb()
        for thread in threads:
            thread.join()
        return answers, lies

    def check_runs(self, answers, count):
        runs = self.fleet.standin("desk", "runs")
        own = {name: times for name, times in runs.items() if name.startswith("loan-")}
        doubled = {name: times for name, times in own.items() if times > 1}
        self.assertEqual(doubled, {})
        for name, found in answers.items():
            self.assertLessEqual(len(found), 1, name)
            if found:
                self.assertEqual(own.get(name), 1, name)
        answered = sum(1 for found in answers.values() if found)
        self.assertGreater(answered, count // 2)

    def test_a_killed_leading_host_doubles_no_loan(self):
        """It is both the leader and an entry host with loans under way."""
        leader = self.fleet.leader()

        def disturb():
            self.fleet.standin("desk", "faults", {"delay_s": 0.2})
            self.fleet.processes[leader].kill()
            self.fleet.processes[leader].start()

        answers, _ = self.run_loans(40, disturb)
        self.fleet.standin("desk", "faults", {"delay_s": 0})
        self.check_runs(answers, 40)
        self.fleet.wait_ready()

    def test_a_killed_agent_doubles_no_loan(self):
        """Loans that it was running end as unknown, others are answered."""

        def disturb():
            self.fleet.standin("desk", "faults", {"delay_s": 0.2})
            self.fleet.processes["desk"].kill()
            self.fleet.processes["desk"].start()

        answers, _ = self.run_loans(40, disturb)
        self.fleet.standin("desk", "faults", {"delay_s": 0})
        self.check_runs(answers, 40)

    def test_deferred_work_survives_a_killed_leading_host(self):
        """Every job that was accepted is answered with the right text."""
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
        """Send until the job is accepted; the same key is the same job."""
        body = {"model": "ink:1", "prompt": f"tape {number}", "max_tokens": 30}
        give_up_s = time.monotonic() + 20
        while time.monotonic() < give_up_s:
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

    def test_a_terminated_host_cuts_off_no_request(self):
        """Streams and loans under way end whole; the exit code is 0."""
        self.fleet.standin("desk", "faults", {"delay_s": 1.0})
        streams = [self.stream("host-2", 500) for _ in range(4)]
        replies = []
        sender = threading.Thread(
            target=lambda: replies.append(self.loan("host-2", "last-loan"))
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
        self.fleet.standin("desk", "faults", {"delay_s": 0})
        process.start()
        self.fleet.wait_ready()


class RateTests(FleetCase):
    rate = "400"
    burst = "800"
    engine_options = ("--token-s", "0.001", "--slots", "8")

    def test_three_hosts_together_admit_no_more_than_rate_and_burst(self):
        """Ten callers at several times the rate, while the leader is killed."""
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
