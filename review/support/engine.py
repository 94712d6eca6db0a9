"""A sound model replica with adapters, as the platform's pages describe it."""

import asyncio
import json
import time

from fleet import ENGINE, PlainServer, parse_head, read_message_body

MODEL = "m1"
LOAD_S = 0.25
# Loads over all replicas beyond this number slow each other down.
FULL_SPEED_LOADS = 8
MAX_IN_TRANSIT = 4
RESTART_S = 3.0


class Engine(PlainServer):
    """Runs streams and orders; crashes when ordered to load beyond its places."""

    def __init__(self, fleet, ip, service, zone, name, adapter_slots=20):
        super().__init__(fleet, ip, service, zone, name)
        self.port = ENGINE
        self.adapter_slots = adapter_slots
        # Orders that were accepted although they exceed the places for adapters.
        self.excess = []
        self.events = 20
        self.event_s = 0.015
        self.up = True
        self.connections = set()
        self.clear()

    def clear(self):
        self.adapters = {}
        self.pending = {}
        self.order_count = 0
        self.running = {}
        # Adapters whose unload waits for their runs.
        self.unloading = set()

    async def heartbeat(self):
        if self.up:
            await super().heartbeat()

    # ---- connections ----

    async def _connection(self, reader, writer):
        self.fleet.writers.add(writer)
        self.connections.add(writer)
        # What the stand-in keeps for this connection; see the cases.
        state = {"late": None}
        try:
            while self.up:
                head = await reader.readuntil(b"\r\n\r\n")
                line, headers = parse_head(head)
                body, complete = await read_message_body(reader, headers)
                if not complete or not self.up:
                    break
                await self.handle(line, headers, body, writer, state)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            self.fleet.writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, body, writer, state):
        method, target, _ = line.split(" ", 2)
        if target == "/api/report":
            writer.write(self.json_message("200 OK", self.report()))
        elif target == "/api/order" and method == "POST":
            status = self.order(headers, json.loads(body))
            writer.write(self.json_message(status, {}))
        else:
            await self.stream(line, headers, writer)

    def json_message(self, status, document):
        body = json.dumps(document).encode()
        return self._message(status, ["Content-Type: application/json"], body)

    # ---- reports and orders ----

    def report(self):
        self.settle()
        names = [f"{name}@{version}" for name, version in self.adapters.items()]
        return {
            "stage": "unified",
            "models": [{"name": MODEL, "version": 1, "adapters": names}],
            "active": False,
            "call_seq": self.order_count,
            "born": self.born_ms,
            "queued": 0,
            "inflight": sum(self.running.values()),
            "kv_used": 0,
            "kv_total": 140_000,
            "handles": 0,
            "pending": [f"{MODEL}/{name}@1" for name in self.pending],
            "resident": {"in_memory": [MODEL], "on_disk": [MODEL]},
        }

    def settle(self):
        """Complete the loads whose time has come."""
        now_s = time.monotonic()
        for name, ready_s in list(self.pending.items()):
            if now_s >= ready_s:
                del self.pending[name]
                self.adapters[name] = 1

    def order(self, headers, document):
        """Carry out an order; return the status."""
        self.settle()
        if headers.get("expect-instance", self.instance_id) != self.instance_id:
            return "421 Misdirected"
        if "holder" not in document or "fencing_token" not in document:
            return "400 Bad Request"
        if document.get("expected", self.order_count) != self.order_count:
            return "409 Conflict"
        name = document.get("adapter")
        if not name:
            return "200 OK"
        if name in self.unloading:
            return "409 Conflict"
        if document["operation"] == "load":
            if name in self.adapters or name in self.pending:
                return "200 OK"
            if len(self.pending) >= MAX_IN_TRANSIT:
                return "409 Conflict"
            self.order_count += 1
            self.load(name)
            return "202 Accepted"
        if name not in self.adapters:
            return "200 OK"
        self.order_count += 1
        if self.running.get(name):
            self.unloading.add(name)
            return "202 Accepted"
        del self.adapters[name]
        return "200 OK"

    def load(self, name):
        held = len(self.adapters) + len(self.pending)
        if held + 1 > self.adapter_slots:
            text = (
                f"{self.instance_id} is ordered to load {name} beside "
                f"{len(self.adapters)} adapters and {len(self.pending)} on their way; "
                f"it has {self.adapter_slots} places and crashes"
            )
            self.excess.append(text)
            self.fleet.record.line(f"BROKEN: {text}")
            self.crash()
            return
        in_transit = 1 + sum(
            len(server.pending) for server in self.fleet.engines if server.up
        )
        took_s = LOAD_S * max(1.0, in_transit / FULL_SPEED_LOADS)
        self.pending[name] = time.monotonic() + took_s

    def crash(self):
        self.up = False
        for writer in list(self.connections):
            writer.transport.abort()
        self.fleet.tasks.append(asyncio.create_task(self.restart()))

    async def restart(self):
        await asyncio.sleep(RESTART_S)
        self.clear()
        self.born_ms = int(time.time() * 1000)
        self.call_seq = 0
        self.up = True
        self.fleet.record.line(f"{self.instance_id} is back, empty")

    # ---- streams ----

    async def stream(self, line, headers, writer):
        self.settle()
        request_id = headers.get("request-id", "")
        fields = [f"Request-Id: {request_id}"]
        name = headers.get("model", "").partition("/")[2]
        expected = headers.get("expect-instance", self.instance_id)
        if expected != self.instance_id or (name and name not in self.adapters):
            fields.append("Not-Executed: 1")
            writer.write(self._message("421 Misdirected", fields, b""))
            return
        if name in self.unloading:
            fields.append("Not-Executed: 1")
            writer.write(self._message("503 Service Unavailable", fields, b""))
            return
        self.runs.append((request_id, self.fleet.record.now_s()))
        self.running[name] = self.running.get(name, 0) + 1
        born_ms = self.born_ms
        try:
            lines = [
                "HTTP/1.1 200 OK",
                *fields,
                f"Response-Seal: {self.instance_id}.{len(self.runs)}",
                "Weight-Versions: 1",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            if self.born_ms == born_ms and self.running.get(name):
                self.running[name] -= 1
                if not self.running[name] and name in self.unloading:
                    self.unloading.remove(name)
                    self.adapters.pop(name, None)


def engine_service(name, adapter_slots=20):
    """Return the entry of a service of model replicas in the configuration."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 390,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 64,
            "kv_capacity": 142_252,
            "kv_token_bytes": 327_680,
            "link_mbps": 180_000.0,
            "moves": False,
            "backups": False,
            "stride": 3,
            "upper_bound": 12,
            "models": [
                {
                    "name": MODEL,
                    "weights_mb": 65_100.0,
                    "load_s": 2.9,
                    "adapters": 3000,
                    "adapter_mb": 12.0,
                    "warm_s": 0.57,
                    "disk_s": 1.2,
                }
            ],
            "weights_mb": 66_600.0,
            "adapter_slots": adapter_slots,
            "loads_per_s": 2.2,
        },
    }


def stream_route(name, prefix, service, *, resumable=True, attempts=2):
    """Return the entry of a streaming route in the configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": prefix,
        "kind": "streaming",
        "timeout_ms": 15_000,
        "aim_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "sticky": True,
        "resumable": resumable,
        "gap_target_ms": 250,
    }


__all__ = ["MODEL", "Engine", "engine_service", "stream_route"]
