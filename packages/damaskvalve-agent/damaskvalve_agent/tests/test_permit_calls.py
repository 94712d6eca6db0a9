"""Calls for permits that no host sends."""

import asyncio
import contextlib
import types
import unittest

from damaskvalve_agent._permits._run import PermitServer
from damaskvalve_agent.permits import EngineReport, PermitSettings
from damaskvalve_core import ChannelError
from damaskvalve_core.messages import (
    AdmitEnd,
    AdmitRequest,
    EngineLimits,
    ModelSize,
    Problem,
)

SOUND = {
    "request_id": "r",
    "workspace": "w",
    "model": "m",
    "adapter": "a",
    "version": 0,
    "prompt_tokens": 10,
    "output_tokens": 10,
    "priority": 1,
    "deadline_s": 5.0,
    "wait_s": 1.0,
    "instance_id": "i",
    "limits": EngineLimits(4, 4, 1_000),
}


class PermitCallTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_incomplete_request_is_refused_and_not_queued(self):
        """In the queue, it would fail each later comparison with the others."""
        log = types.SimpleNamespace(line=lambda kind, **fields: None, dropped_total=0)
        settings = PermitSettings("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        server = PermitServer(settings, None, None, log)
        odd = [{name: None} for name in SOUND if name != "workspace"]
        for changes in [*odd, {"limits": EngineLimits()}, dict.fromkeys(SOUND)]:
            replies = []
            call = types.SimpleNamespace(send=replies.append, peer="p")
            with self.subTest(changes):
                await server.handle_call(AdmitRequest(**{**SOUND, **changes}), call)
                self.assertEqual([type(reply) for reply in replies], [Problem])
                self.assertEqual(len(server._admission.waiting()), 0)

    async def test_the_memory_that_a_host_states_bounds_the_orders(self):
        """Guards against LIMIT, review case 12; the request is rejected at once."""
        log = types.SimpleNamespace(line=lambda kind, **fields: None, dropped_total=0)
        settings = PermitSettings("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        server = PermitServer(settings, None, None, log)
        server._admission.apply_report(EngineReport(1, 0, {"m": {}}, (), 0, 0), 0.0)
        sizes = [ModelSize("m", 600.0, 500.0)]
        limits = EngineLimits(4, 4, 1_000, None, 1_000.0, sizes)
        replies = []
        call = types.SimpleNamespace(send=replies.append, peer="p")
        await server.handle_call(AdmitRequest(**{**SOUND, "limits": limits}), call)
        self.assertEqual([reply.reason for reply in replies], ["busy"])
        self.assertIsNone(server._admission.next_order(0.0))

    async def test_every_reply_tells_the_state_of_the_engine(self):
        """Hosts that ask choose by it; the engine has sent no report yet."""
        log = types.SimpleNamespace(line=lambda kind, **fields: None, dropped_total=0)
        settings = PermitSettings("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        server = PermitServer(settings, None, None, log)
        replies = []
        gone = asyncio.get_running_loop().create_future()
        gone.set_exception(ChannelError("gone"))
        call = types.SimpleNamespace(
            send=replies.append, peer="p", receive=lambda: gone
        )
        for wait_s in (0.0, 9.0):
            request = AdmitRequest(**{**SOUND, "wait_s": wait_s})
            with contextlib.suppress(ChannelError):
                await server.handle_call(request, call)
        self.assertEqual([reply.reason for reply in replies], ["busy", "queued"])
        for reply in replies:
            self.assertGreaterEqual(reply.backlog_s, 0.0)
            self.assertEqual(reply.running, 0)

    async def test_a_version_named_meanwhile_reaches_a_waiting_request(self):
        """Its place in the queue is kept, and a late notice ends no run."""
        log = types.SimpleNamespace(line=lambda kind, **fields: None, dropped_total=0)
        settings = PermitSettings("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        server = PermitServer(settings, None, None, log)
        admission = server._admission
        admission.apply_report(EngineReport(1, 0, {"m": {"a": 1}}, (), 0, 0), 0.0)
        limits = EngineLimits(1, 4, 1_000)
        notices = {name: asyncio.Queue() for name in ("r1", "r2")}
        replies = {name: [] for name in notices}
        tasks = []
        for name, queue in notices.items():
            call = types.SimpleNamespace(
                send=replies[name].append, peer="p", receive=queue.get
            )
            fields = {
                "version": 1,
                "limits": limits,
                "wait_s": 30.0,
                "deadline_s": 60.0,
            }
            request = AdmitRequest(**{**SOUND, **fields, "request_id": name})
            tasks.append(asyncio.create_task(server.handle_call(request, call)))
            self.addCleanup(tasks[-1].cancel)
            await asyncio.sleep(0.01)
        self.assertEqual([item.granted for item in replies["r1"]], [True])
        notices["r1"].put_nowait(AdmitEnd("r1", "version", None, 2))
        notices["r2"].put_nowait(AdmitEnd("r2", "version", None, 2))
        await asyncio.sleep(0.01)
        self.assertFalse(tasks[0].done())
        (waiting,) = admission.waiting()
        self.assertEqual((waiting.request_id, waiting.version), ("r2", 2))
        notices["r1"].put_nowait(AdmitEnd("r1", "released"))
        await asyncio.sleep(0.01)
        self.assertEqual([item.reason for item in replies["r2"]], ["queued"])
        admission.apply_report(EngineReport(1, 1, {"m": {"a": 2}}, (), 0, 0), 1.0)
        server._dispatch_grants(1.0)
        await asyncio.sleep(0.01)
        self.assertEqual(replies["r2"][-1].version, 2)

    async def test_the_first_granted_streams_are_watched_until_they_end(self):
        """A few show the speed of the engine; their intervals reach its model."""
        log = types.SimpleNamespace(line=lambda kind, **fields: None, dropped_total=0)
        settings = PermitSettings("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        server = PermitServer(settings, None, None, log)
        report = EngineReport(1, 0, {"m": {}}, (), 0, 0)
        server._admission.apply_report(report, 0.0)
        watched = []
        ended = asyncio.get_running_loop().create_future()
        for number in range(4):
            notices = [
                AdmitEnd("r", "started"),
                *(AdmitEnd("r", "started", 0.03) for _ in range(8)),
            ]

            async def receive(notices=notices):
                # The intervals are told after the prompt has been read.
                await asyncio.sleep(0.05 if len(notices) == 8 else 0.0)
                return notices.pop(0) if notices else await asyncio.shield(ended)

            request = AdmitRequest(
                **{**SOUND, "adapter": "", "request_id": f"r{number}"}
            )
            replies = []
            call = types.SimpleNamespace(send=replies.append, peer="p", receive=receive)
            task = asyncio.create_task(server.handle_call(request, call))
            self.addCleanup(task.cancel)
            await asyncio.sleep(0.08)
            watched.append([reply.watched for reply in replies if reply.granted])
        self.assertEqual(watched, [[True], [True], [True], [False]])
        self.assertAlmostEqual(server._admission.model.event_s, 0.03)
        ended.set_result(AdmitEnd("r", "released"))


if __name__ == "__main__":
    unittest.main()
