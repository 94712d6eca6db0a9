"""Requests of callers, on a fleet of real processes."""

import http.client
import json
import threading
import time
import unittest

import openai
from hypothesis import given, settings, strategies as st

from damaskvalve_standins.fleet import wait_for
from damaskvalve_standins.tests.fleet_case import (
    WORKSPACE,
    FleetTestCase,
    expected_text,
    stream_text,
)

# The time within which a withdrawn key stops working everywhere.
WITHDRAWAL_S = 5.0
TEXT = st.text("abcXYZ019-_ %/:{}[]\"'\\", max_size=30)


class CallerTests(FleetTestCase):
    def test_request_runs_on_the_requested_adapter_version(self):
        """Every entry host routes mixed adapters and versions correctly."""
        for entry in self.fleet.entries:
            for adapter in ("ink:1", "jade:2", "ink:2"):
                reply = self.fleet.complete(entry, self.key, adapter, 4)
                self.assertEqual(reply.status, 200, reply.data)
                text = reply.json()["choices"][0]["text"]
                self.assertEqual(text, expected_text(adapter.replace(":", "@"), 4))

    def test_openai_client_library_works_unchanged(self):
        """The unchanged client lists models, completes, chats and streams."""
        url = f"http://{self.fleet.entries['host-1']}/v1"
        client = openai.OpenAI(api_key=self.key, base_url=url, max_retries=0)
        names = {model.id for model in client.models.list()}
        self.assertLessEqual({"ink:1", "ink:2", "jade:1"}, names)
        whole = client.completions.create(model="ink:1", prompt="x", max_tokens=3)
        self.assertEqual(whole.choices[0].text, expected_text("ink@1", 3))
        messages = [{"role": "user", "content": "hello"}]
        chat = client.chat.completions.create(
            model="ink:1", messages=messages, max_tokens=3
        )
        self.assertEqual(chat.choices[0].message.content, expected_text("ink@1", 3))
        stream = client.chat.completions.create(
            model="ink:1", messages=messages, max_tokens=5, stream=True
        )
        parts = [
            choice.delta.content or "" for part in stream for choice in part.choices
        ]
        self.assertEqual("".join(parts), expected_text("ink@1", 5))
        with self.assertRaises(openai.NotFoundError):
            client.completions.create(model="unknown", prompt="x")

    def test_adapter_of_another_workspace_is_not_found(self):
        """The workspace is determined by the API key alone."""
        self.fleet.run_operator_command(
            *("config", "set-workspace", "other", "--share", "1"),
            *("--rate", "100", "--burst", "1000"),
        )
        key, _ = self.fleet.grant_key("other")
        reply = self.fleet.complete("host-1", key, "ink:1")
        self.assertEqual(reply.status, 404)
        self.assertEqual(reply.json()["error"]["ran"], "not-run")

    def test_only_open_routes_work_without_a_key(self):
        """Other routes refuse a request without an API key as not run."""
        opened = self.fleet.request("host-1", "POST", "/services/open", body=b"open")
        self.assertEqual(opened.status, 200)
        for path in ("/services/look", "/services/desk", "/v1/completions"):
            refused = self.fleet.request("host-1", "POST", path, body=b"{}")
            self.assertEqual(refused.status, 401)
            self.assertEqual(refused.json()["error"]["ran"], "not-run")

    def test_faulty_backend_answers_never_reach_a_caller(self):
        """Answers with another id, adapter or a truncated body are retried."""
        for fault in (
            {"cross_ids": 1},
            {"wrong_adapter": "jade@1"},
            {"truncate_at": 2},
        ):
            with self.subTest(fault=fault):
                for name in self.engines:
                    self.fleet.call_standin(name, "faults", fault)
                self.fleet.call_standin(self.engines[1], "faults", dict.fromkeys(fault))
                reply = self.fleet.complete("host-2", self.key, "ink:1", 6)
                self.assertEqual(reply.status, 200, reply.data)
                text = reply.json()["choices"][0]["text"]
                self.assertEqual(text, expected_text("ink@1", 6))
                for name in self.engines:
                    self.fleet.call_standin(name, "faults", dict.fromkeys(fault))

    def test_api_key_is_never_forwarded_logged_or_stored(self):
        """Search all requests to stand-ins and all files of the fleet for the key."""
        for path in ("/services/look", "/services/desk", "/v1/completions"):
            self.fleet.request(
                "host-1",
                "POST",
                path,
                key=self.key,
                body={"model": "ink:1", "prompt": "x", "max_tokens": 2},
                headers={"Idempotency-Key": "canary", "X-Extra": "kept here"},
            )
        for place in (f"/services/look?k={self.key}", f"/services/{self.key}"):
            leaked = self.fleet.request("host-1", "GET", place, key=self.key)
            self.assertIn(leaked.status, (400, 404))
        leaked = self.fleet.request(
            "host-1", "POST", "/services/look", key=self.key, body=self.key.encode()
        )
        self.assertEqual(leaked.json()["error"]["code"], "key_in_request")
        seen = [
            json.dumps(self.fleet.call_standin(n, "seen")) for n in self.fleet.backends
        ]
        self.assertIn("/services/look", "".join(seen))
        self.assertFalse(self.key in "".join(seen))
        self.assertFalse("X-Extra" in "".join(seen))
        for path in self.fleet.folder.rglob("*"):
            if path.is_file():
                contains_key = self.key.encode() in path.read_bytes()
                self.assertFalse(contains_key, path)

    def test_withdrawn_key_ends_open_connections_and_running_streams(self):
        """Within five seconds a running stream ends and all hosts answer 401."""
        key, digest = self.fleet.grant_key(WORKSPACE)
        host, _, port = self.fleet.entries["host-3"].partition(":")
        open_connection = http.client.HTTPConnection(host, int(port), timeout=10)
        self.assertEqual(self.send_on_connection(open_connection, key), 200)
        thread, collected = self.start_stream("host-2", 4000, key=key)
        time.sleep(0.5)
        self.fleet.run_operator_command("key", "withdraw", digest)
        withdrawn_s = time.monotonic()
        thread.join()
        self.assertLess(time.monotonic() - withdrawn_s, WITHDRAWAL_S)
        self.assertIn("key_withdrawn", collected[0])
        self.assertNotIn("[DONE]", collected[0])
        # The stream ends as soon as its own host knows of the withdrawal.
        time.sleep(max(0.0, withdrawn_s + WITHDRAWAL_S - time.monotonic()))
        for entry in self.fleet.entries:
            self.assertEqual(self.fleet.complete(entry, key, "ink:1").status, 401)
        self.assertEqual(self.send_on_connection(open_connection, key), 401)
        open_connection.close()

    @staticmethod
    def send_on_connection(connection, key):
        headers = {"Authorization": f"Bearer {key}"}
        body = json.dumps({"model": "ink:1", "prompt": "x", "max_tokens": 1})
        connection.request("POST", "/v1/completions", body, headers)
        response = connection.getresponse()
        response.read()
        return response.status

    def test_request_over_the_rate_is_refused_at_once_with_retry_after(self):
        """A request over the rate is not queued until close to its deadline."""
        self.fleet.run_operator_command(
            *("config", "set-workspace", "slow", "--share", "1"),
            *("--rate", "10", "--burst", "100", "--wait"),
        )
        self.fleet.run_operator_command(
            *("config", "set-adapter", "slow", "ink", "--model", "base"),
            *("--version", "1"),
        )
        key, _ = self.fleet.grant_key("slow")
        statuses = []
        for _ in range(6):
            started_s = time.monotonic()
            reply = self.fleet.complete("host-1", key, "ink:1", 40)
            statuses.append(reply.status)
        self.assertEqual(statuses[0], 200)
        self.assertEqual(statuses[-1], 429)
        self.assertLess(time.monotonic() - started_s, 1.0)
        self.assertGreaterEqual(int(reply.headers["Retry-After"]), 1)
        self.assertEqual(reply.json()["error"]["ran"], "not-run")

    def test_concurrent_resends_run_once_and_get_the_same_answer(self):
        """Twelve resends through three hosts at once, and one afterwards."""
        answers = []

        def send(entry):
            answers.append(self.send_once_request(entry, "tape-1").data)

        threads = [
            threading.Thread(target=send, args=(entry,))
            for entry in self.fleet.entries
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        answers.append(self.send_once_request("host-2", "tape-1").data)
        self.assertEqual(len(set(answers)), 1)
        self.assertEqual(self.fleet.call_standin("desk", "runs")["tape-1"], 1)

    def test_once_request_without_key_or_with_another_body_is_refused(self):
        """Nothing runs without Idempotency-Key, or with another body for a used key."""
        bare = self.fleet.request(
            "host-1", "POST", "/services/desk", key=self.key, body=b"bare"
        )
        self.assertEqual((bare.status, bare.json()["error"]["ran"]), (400, "not-run"))
        self.send_once_request("host-1", "tape-2")
        other = self.fleet.request(
            "host-1",
            "POST",
            "/services/desk",
            key=self.key,
            body=b"another body",
            headers={"Idempotency-Key": "tape-2"},
        )
        self.assertEqual(other.status, 422)
        runs = self.fleet.call_standin("desk", "runs")
        self.assertNotIn("bare", runs)
        self.assertNotIn("another body", runs)

    def test_request_with_a_lost_answer_is_unknown_and_not_run_again(self):
        """The service runs the request, its answer is lost, and a resend is refused."""
        self.fleet.call_standin("desk", "faults", {"lose_answer": 1})
        first = self.send_once_request("host-1", "tape-3")
        self.assertEqual(first.json()["error"]["ran"], "unknown")
        again = self.send_once_request("host-2", "tape-3")
        self.assertEqual(again.status, 409)
        self.assertEqual(again.json()["error"]["ran"], "unknown")
        self.assertEqual(self.fleet.call_standin("desk", "runs")["tape-3"], 1)
        self.assertNotEqual(
            self.fleet.run_operator_command("work", "claims").count("\n"), 1
        )

    def test_one_broken_connection_does_not_mark_a_service_down(self):
        """Later requests are served at once while the service is up."""
        self.fleet.call_standin("desk", "faults", {"lose_answer": 1})
        self.send_once_request("host-1", "tape-4")
        for number in range(6):
            entry = f"host-{number % 3 + 1}"
            reply = self.send_once_request(entry, f"tape-after-{number}")
            self.assertEqual(reply.status, 200, reply.data)

    def test_deferred_job_is_accepted_run_and_kept_until_deleted(self):
        """Resends get 202 with the same job id; any host returns the answer."""
        body = {"model": "ink:1", "prompt": "tape", "max_tokens": 4}
        headers = {"Idempotency-Key": "field-7"}
        ids = set()
        for entry in ("host-1", "host-2"):
            accepted = self.fleet.request(
                entry,
                "POST",
                "/v1/transcriptions",
                key=self.key,
                body=body,
                headers=headers,
            )
            self.assertEqual(accepted.status, 202, accepted.data)
            ids.add(accepted.json()["job_id"])
        self.assertEqual(len(ids), 1)
        path = f"/v1/jobs/{ids.pop()}"

        def fetch():
            reply = self.fleet.request("host-3", "GET", path, key=self.key)
            return reply if reply.status == 200 else None

        reply = wait_for(fetch, 15.0, "the deferred answer")
        text = reply.json()["choices"][0]["text"]
        self.assertEqual(text, expected_text("ink@1", 4))
        dropped = self.fleet.request("host-1", "DELETE", path, key=self.key)
        self.assertEqual(dropped.status, 204)
        gone = self.fleet.request("host-1", "GET", path, key=self.key)
        self.assertEqual(gone.status, 404)

    def test_failed_adapter_load_is_refused_as_not_run(self):
        """The refusal has a Retry-After; other adapters are served."""
        for name in self.engines:
            self.fleet.call_standin(name, "faults", {"fail_load": "jade@1"})
        reply = self.fleet.complete("host-1", self.key, "jade:1", 2)
        self.assertEqual(reply.status, 503, reply.data)
        self.assertEqual(reply.json()["error"]["code"], "adapter_held_back")
        self.assertEqual(reply.json()["error"]["ran"], "not-run")
        self.assertIn("Retry-After", reply.headers)
        self.assertEqual(self.fleet.complete("host-1", self.key, "ink:1").status, 200)
        for name in self.engines:
            self.fleet.call_standin(name, "faults", {"fail_load": None})

    def test_cold_restart_of_the_engines_fails_no_request(self):
        """Hosts forget the adapters of a restarted engine and load them again."""
        for name in self.engines:
            self.fleet.call_standin(name, "restart", {})
        for adapter in ("ink:1", "ink:2", "jade:2"):
            reply = self.fleet.complete("host-1", self.key, adapter, 2)
            self.assertEqual(reply.status, 200, reply.data)

    def test_one_racing_operator_wins_and_a_resend_is_idempotent(self):
        """Three changes expect the same revision; one operation id is sent twice."""
        status = json.loads(self.fleet.run_operator_command("config", "show", "--json"))
        expected = str(status["revision"])
        words = ("--share", "1", "--rate", "10", "--burst", "10")
        outputs = []

        def race(name):
            outputs.append(
                self.fleet.run_operator_command(
                    *("config", "set-workspace", name, *words),
                    *("--expected-revision", expected, "--operation-id", f"op-{name}"),
                    check=False,
                )
            )

        threads = [threading.Thread(target=race, args=(n,)) for n in ("ra", "rb", "rc")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [output for output in outputs if output.startswith("revision")]
        self.assertEqual(len(won), 1, outputs)
        again = self.fleet.run_operator_command(
            *("config", "set-workspace", "again", *words, "--operation-id", "op-again")
        )
        resent = self.fleet.run_operator_command(
            *("config", "set-workspace", "again", *words, "--operation-id", "op-again")
        )
        self.assertEqual(again, resent)

    @settings(max_examples=1000)
    @given(
        method=st.sampled_from(["GET", "POST", "PUT", "DELETE"]),
        path=st.sampled_from(
            ["/v1/completions", "/v1/chat/completions", "/v1/jobs/", "/services/look"]
        ),
        tail=TEXT,
        body=st.one_of(
            st.binary(max_size=60),
            st.dictionaries(
                st.sampled_from(
                    ["model", "prompt", "messages", "max_tokens", "stream", "n"]
                ),
                st.one_of(
                    st.none(),
                    st.integers(-5, 5),
                    TEXT,
                    st.lists(TEXT, max_size=2),
                    st.just("ink:1"),
                ),
            ).map(lambda value: json.dumps(value).encode()),
        ),
        with_key=st.booleans(),
    )
    def test_malformed_request_never_gets_a_500_or_hangs(
        self, method, path, tail, body, with_key
    ):
        """Malformed requests get a specific error, not an internal one."""
        host, _, port = self.fleet.entries["host-1"].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        headers = {"Authorization": f"Bearer {self.key}"} if with_key else {}
        target = path + "".join(c for c in tail if c.isalnum() or c in "%/-_")
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        data = response.read()
        connection.close()
        self.assertNotIn(response.status, (500, 502), data)
        self.assertNotIn(b'"internal"', data)


class StreamTests(FleetTestCase):
    def test_streams_on_all_hosts_are_complete_with_mixed_adapters(self):
        """Forty concurrent streams over four adapters evict none that is in use."""
        runs = []
        for number in range(40):
            entry = f"host-{number % 3 + 1}"
            adapter = ("ink:1", "ink:2", "jade:1", "jade:2")[number % 4]
            runs.append((adapter, *self.start_stream(entry, 20, adapter=adapter)))
        for adapter, thread, collected in runs:
            thread.join()
            text = expected_text(adapter.replace(":", "@"), 20)
            self.assertEqual(stream_text(collected[0]), text, collected[0][-300:])
            self.assertIn("[DONE]", collected[0])
        for name in self.engines:
            self.assertEqual(
                self.fleet.call_standin(name, "figures")["bad_evictions"], 0
            )


if __name__ == "__main__":
    unittest.main()
