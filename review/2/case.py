"""Endless bytes from one replica keep a host from answering anybody."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from engine import MODEL, Engine, engine_service, stream_route  # noqa: E402
from fleet import (  # noqa: E402
    API_KEY,
    HOST_NAME,
    CannotRunError,
    Fleet,
    PlainServer,
    run_case,
)

CALM_S = 4.0
GARBLE_S = 5.0
AFTER_S = 2.0
# One answer in so many of the replica in trouble is none.
GARBLED_ONE_IN = 20
# A body that never ends, in small chunks.
CHUNK_BYTES = int(os.environ.get("CHUNK_BYTES", "16"))
STREAMS_PER_S = 18.0
# Requests a second to each host that the replica in trouble has no part in.
RECORDS_PER_S = 8.0
TIMEOUT_S = 0.8
DEADLINE_S = 1.5
LATE_S = 0.5
MIN_UNANSWERED = 8

CONFIGURATION = {
    "version": 7,
    "routes": [
        stream_route("summary", "/summary/", "llm", resumable=False, attempts=1),
        {
            "name": "records",
            "host": HOST_NAME,
            "path_prefix": "/records/",
            "kind": "unsafe",
            "timeout_ms": int(TIMEOUT_S * 1000),
            "aim_ms": 200,
            "priority": 2,
            "service": "desk",
            "max_attempts": 1,
            "public": False,
        },
    ],
    "services": [
        engine_service("llm"),
        {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 130,
            "protocol": "h1",
            "tls": False,
        },
    ],
    "limits": {
        "header_bytes": 16384,
        "body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "w1",
            "api_keys": [API_KEY],
            "priority": 1,
            "unit": "token_stream",
            "plain_tokens": 200,
            "rate_per_s": 400000,
            "burst": 400000,
        }
    ],
}


class EndlessEngine(Engine):
    """In trouble, sends bytes that are no answer until the caller closes."""

    in_trouble = False
    answers = 0

    async def stream(self, line, headers, writer):
        self.answers += self.in_trouble
        if not self.in_trouble or self.answers % GARBLED_ONE_IN != 0:
            await super().stream(line, headers, writer)
            return
        request_id = headers.get("request-id", "")
        self.fleet.record.line(f"{self.instance_id} answers {request_id} without end")
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Seal: {self.instance_id}.x",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"#" * CHUNK_BYTES)
        began_s = self.fleet.record.now_s()
        try:
            while True:
                writer.write(chunk * 500)
                await writer.drain()
        finally:
            took_s = self.fleet.record.now_s() - began_s
            self.fleet.record.line(
                f"the caller of {request_id} closed after {took_s:.2f} s"
            )


async def case(record, trouble):
    fleet = Fleet(record, other_hosts=0)
    try:
        return await play(fleet, record, trouble)
    finally:
        await fleet.close()


async def play(fleet, record, trouble):
    fleet.engines = [
        EndlessEngine(fleet, f"{fleet.network}.{101 + n}", "llm", zone, f"i-llm-{n}")
        for n, zone in enumerate(fleet.ZONES[:2])
    ]
    desks = [
        PlainServer(fleet, f"{fleet.network}.{201 + n}", "desk", zone, f"i-desk-{n}")
        for n, zone in enumerate(fleet.ZONES)
    ]
    for server in (*fleet.engines, *desks):
        fleet.servers.append(await server.serve())
    for engine in fleet.engines:
        fleet.start(engine.ip, "agent")
    for ip in fleet.host_ips:
        fleet.start(ip, bootstrap=True)
    await fleet.put_configuration(CONFIGURATION)
    await fleet.await_ready()
    await asyncio.sleep(2.0)
    until_s = record.now_s() + CALM_S + GARBLE_S + AFTER_S
    tasks = []
    # When each request of the desk was sent, and how long its answer took.
    took_s = {}

    async def stream(ip, adapter):
        await fleet.send(
            ip,
            "/summary/x",
            {
                "Model": f"{MODEL}/{adapter}",
                "Token-Usage": "600,60",
                "Prefix-Hash": f"{random.randrange(1 << 30):x}:600",
                "Deadline-Ms": "15000",
            },
            timeout_s=16.0,
        )

    async def record_entry(ip):
        sent_s = record.now_s()
        request_id, reply = await fleet.send(ip, "/records/a", timeout_s=DEADLINE_S)
        took = record.now_s() - sent_s if reply else None
        took_s[request_id] = sent_s, took, ip

    async def at_rate(per_s, make):
        while record.now_s() < until_s:
            tasks.append(asyncio.create_task(make()))
            await asyncio.sleep(1 / per_s)

    def any_stream():
        return stream(random.choice(fleet.host_ips), f"a{random.randrange(12)}")

    loads = [asyncio.create_task(at_rate(STREAMS_PER_S, any_stream))]
    for ip in fleet.host_ips:
        loads.append(
            asyncio.create_task(at_rate(RECORDS_PER_S, lambda ip=ip: record_entry(ip)))
        )
    await asyncio.sleep(CALM_S)
    slow = [item for item in took_s.values() if item[1] is None or item[1] > TIMEOUT_S]
    if slow or not took_s:
        raise CannotRunError(f"{len(slow)} of {len(took_s)} late while all was calm")
    began_s = record.now_s()
    if trouble:
        fleet.engines[0].in_trouble = True
        record.line(f"{fleet.engines[0].instance_id} is in trouble from now on")
    await asyncio.sleep(GARBLE_S)
    fleet.engines[0].in_trouble = False
    record.line(f"{fleet.engines[0].instance_id} is sound again")
    await asyncio.gather(*loads)
    await asyncio.gather(*tasks)

    entries = [item for item in took_s.values() if item[0] >= began_s]
    open_at_timeout = [
        item for item in entries if item[1] is None or item[1] > TIMEOUT_S
    ]
    unanswered = [
        item
        for item in open_at_timeout
        if item[1] is None or item[1] > TIMEOUT_S + LATE_S
    ]
    record.line(
        f"of {len(entries)} record entries {len(open_at_timeout)} were unanswered "
        f"after {TIMEOUT_S} s, and {len(unanswered)} half a second later"
    )
    return not (
        len(open_at_timeout) >= MIN_UNANSWERED
        and len(unanswered) > len(open_at_timeout) / 2
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
