"""What an operator does, by the documented commands alone."""

import json
import subprocess
import unittest
from pathlib import Path

from damaskvalve_standins.fleet import wait_for
from damaskvalve_standins.tests.fleet_case import WORKSPACE, FleetCase

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"


class OperatorTests(FleetCase):
    engines = ("engine-1",)

    def run_command(self, *words):
        """Run a command without an operator's settings."""
        return subprocess.run(
            self.fleet.python("damaskvalve", *words), capture_output=True, text=True
        )

    def test_a_questionnaire_is_put_in_force_and_applied_twice_changes_nothing(self):
        """The diff is shown; the second time there is none."""
        answers = str(EXAMPLES / "cantares-unidos.yaml")
        first = self.fleet.operate("questionnaire", "apply", answers, "--yes", "--wait")
        self.assertIn("+ workspace cantares-norte", first)
        self.assertIn("in force everywhere", first)
        second = self.fleet.operate("questionnaire", "apply", answers, "--yes")
        self.assertEqual(second, "nothing changes\n")

    def test_broken_answers_and_settings_are_reported_with_their_place(self):
        """Exit code 3 and one line for each finding."""
        broken = self.fleet.folder / "broken.yaml"
        broken.write_text("team: x\nshare: -1\n")
        for words in (("questionnaire", "generate"), ("check-settings", "--settings")):
            done = self.run_command(*words, str(broken))
            self.assertEqual(done.returncode, 3, done)
            self.assertIn(f"{broken}:", done.stderr)
        good = self.fleet.folder / "host-1.yaml"
        done = self.run_command("check-settings", "--settings", str(good))
        self.assertEqual(done.returncode, 0, done)

    def test_a_lost_race_has_an_exit_code_of_its_own_and_names_the_winner(self):
        """The loser learns who came first and what to do."""
        words = ("--share", "1", "--rate", "1", "--burst", "1")
        done = subprocess.run(
            self.fleet.python(
                *("damaskvalve", "config", "set-workspace", "late", *words),
                *("--expected-revision", "0"),
                *("--operator", str(self.fleet.folder / "operator.yaml")),
            ),
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, 4)
        self.assertIn("operator made revision", done.stderr)

    def test_a_drained_backend_server_gets_nothing_until_it_is_returned(self):
        """With its only engine drained a model has no backend server."""
        self.fleet.operate("backend", "drain", "engine-1", "--wait")
        reply = self.fleet.complete("host-1", self.key, "ink:1", 1)
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.json()["error"]["code"], "no_backend")
        self.fleet.operate("backend", "return", "engine-1", "--wait")
        self.assertEqual(self.fleet.complete("host-1", self.key, "ink:1").status, 200)

    def test_an_unknown_claim_is_listed_and_settled(self):
        """Settled as not run, the same key runs again; as ran, it does not."""
        for outcome, runs in (("not-run", 2), ("ran", 1)):
            name = f"claim-{outcome}"
            self.fleet.standin("desk", "faults", {"lose_answer": 1})
            self.assertEqual(
                self.loan("host-1", name).json()["error"]["ran"], "unknown"
            )
            listed = self.fleet.operate("work", "claims").splitlines()
            self.assertEqual(len(listed), 2, listed)
            claim = listed[1].split()[0]
            settled = self.fleet.operate("work", "resolve", claim, outcome)
            self.assertEqual(settled, "settled\n")
            self.assertEqual(self.loan("host-2", name).status, 200)
            self.assertEqual(self.fleet.standin("desk", "runs")[name], runs)

    def test_the_time_line_explains_a_request_over_all_processes(self):
        """Host and agent events come in one order; a page can be written."""
        reply = self.fleet.complete("host-1", self.key, "ink:1", 2)
        request = reply.headers["X-Request-Id"]
        folder = str(self.fleet.folder)
        done = self.run_command("timeline", folder, "--request", request)
        order = ["request-start", "dispatch", "work-start", "work-end", "request-end"]
        places = [done.stdout.index(name) for name in order]
        self.assertEqual(places, sorted(places))
        page = self.fleet.folder / "page.html"
        written = self.run_command(
            "timeline", folder, "--workspace", WORKSPACE, "--page", str(page)
        )
        self.assertEqual(written.returncode, 0, written)
        self.assertIn(request, page.read_text())

    def test_the_administration_api_reads_and_changes_by_role(self):
        """A reader may not change; changes are audited by name."""
        changer = self.operator_key("ana", "change")
        reader = self.operator_key("rui", "read")
        value = {
            "share": 1,
            "rate_tokens_per_s": 5,
            "burst_tokens": 5,
            "service_unit": "tokens",
            "max_concurrent": 1,
            "max_jobs": 1,
        }
        revision = self.admin("GET", "rows", reader).json()["revision"]
        body = {
            "operation_id": "api-1",
            "expected_revision": revision,
            "rows": [{"table": "workspace", "key": "api", "value": value}],
        }
        self.assertEqual(self.admin("POST", "changes", reader, body).status, 403)
        changed = self.admin("POST", "changes", changer, body)
        self.assertEqual(changed.json()["revision"], revision + 1)
        again = self.admin("POST", "changes", changer, body)
        self.assertEqual(again.json()["reason"], "repeated")
        body["operation_id"] = "api-2"
        self.assertEqual(self.admin("POST", "changes", changer, body).status, 409)
        self.assertEqual(self.admin("GET", "audit", self.key).status, 401)
        self.assertIn("ana", self.fleet.operate("config", "audit"))

    def operator_key(self, name, role):
        output = self.fleet.operate(
            "key", "grant-operator", name, "--role", role, "--wait"
        )
        return output.split()[2]

    def admin(self, method, what, key, body=None):
        return self.fleet.request(
            "host-1", method, f"/admin/v1/{what}", key=key, body=body
        )

    def test_metrics_and_health_are_served(self):
        """Names that an operator's dashboards use."""
        self.fleet.complete("host-1", self.key, "ink:1", 1)
        self.fleet.complete("host-1", "bad", "ink:1", 1)
        text = self.fleet.request("host-1", "GET", "/metrics").data.decode()
        names = ["request_seconds", "first_token_seconds", "refusals"]
        names += ["credit_tokens", "in_flight", "log_lag_entries", "agent_stall_s"]
        for name in names:
            self.assertIn(f"damaskvalve_{name}", text)
        self.assertEqual(self.fleet.request("host-1", "GET", "/health").status, 200)

    def test_suspects_can_be_listed_and_released(self):
        """An empty list has a heading only; releasing nobody fails clearly."""
        listed = self.fleet.operate("work", "suspects")
        self.assertEqual(listed.split(), ["fingerprint", "crashes", "quarantined"])
        output = self.fleet.operate("work", "release", "nobody", check=False)
        self.assertEqual(output, "not found\n")

    def test_status_tells_who_leads_and_who_has_the_revision(self):
        """All three control hosts are fresh and every entry host is up to date."""

        def level():
            status = json.loads(self.fleet.operate("config", "status", "--json"))
            revisions = {row[3] for row in status["control_hosts"]}
            held = {row[2] for row in status["subscribers"]}
            return status if len(revisions | held) == 1 else None

        status = wait_for(level, 10.0, "one revision everywhere")
        roles = sorted(row[1] for row in status["control_hosts"])
        self.assertEqual(roles, ["follower", "follower", "leader"])
        self.assertEqual(len(status["subscribers"]), 3)


if __name__ == "__main__":
    unittest.main()
