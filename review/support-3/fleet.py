"""Stand-ins for the platform, its replicas, clients and operator, on loopback addresses.

Written for the cases of the third review, with the standard library only. The hosts and
agents are the project's own processes, started with the commands of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
API_KEY = "k7w2m9"
TENANT = "hule930"
HOST_NAME = "ficu95.example"
MODEL = "daka510000"

# A script runs for two minutes at most.
MAX_CASE_S = 110.0
# The deploy file names this port of all processes.
METRICS_PORT = 9464

# Bounds of the small deployments of the users' sheet.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "skew_max_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 62,
    "quota_window_s": 8,
    "quota_excess": 0.1,
    "quota_slack": 11000,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "require_fence": False,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_excess": 1.1,
    "version_ms": 5000,
}


def trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to the file of a case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def line(self, kind, **fields):
        row = {"at_s": round(self.now_s(), 3), "what": kind, **fields}
        self._file.write(json.dumps(row) + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


# ---- HTTP/1.1 on asyncio streams ----


async def read_head(reader):
    """Return the first line and the headers, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body, and whether it is complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            try:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return body, False
            if not size:
                return body, True
            body += data[:-2]
    try:
        return await reader.readexactly(int(headers.get("content-length", 0))), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False


def encode_head(first, headers):
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Answer:
    """The answer to a call; ``status`` is None if there was none."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete


async def call(
    address, method, path, headers=(), body=b"", timeout_s=10.0, source_ip=None
):
    """Make one HTTP call on a new connection."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                ip, int(port), local_addr=(source_ip, 0) if source_ip else None
            )
            fields = list(headers)
            if not any(name.lower() == "host" for name, _ in fields):
                fields.insert(0, ("Host", address))
            fields.append(("Content-Length", str(len(body))))
            writer.write(encode_head(f"{method} {path} HTTP/1.1", fields) + body)
            first, reply_headers = await read_head(reader)
            status = int(first.split()[1])
            data, complete = await read_body(reader, reply_headers)
            return Answer(status, reply_headers, data, complete)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(None, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


# ---- replicas ----


class Replica:
    """A sound replica of a service: it answers as the users' pages say."""

    slots = 6

    def __init__(self, fleet, service, ip, port):
        self.fleet, self.service, self.ip, self.port = fleet, service, ip, port
        self.address = f"{ip}:{port}"
        self.instance_id = f"i-{random.randrange(16**8):08x}"
        self.born_ms = int(time.time() * 1000)
        self.call_seq = 0
        self.state = "ready"
        self.zone = fleet.zone_of(ip)
        self.is_up = True
        self._server = None
        self._beating = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self._beating = asyncio.ensure_future(self._beat())

    async def stop(self):
        """End at once, as a crash does."""
        self.is_up = False
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body, complete = await read_body(reader, headers)
                if not complete or not await self.answer(
                    method, path, headers, body, writer
                ):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            # Only as the event loop ends; there is nothing left to answer.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, path, headers, body, writer):
        """Answer one request; return whether the connection is kept."""
        if path == "/health":
            self.reply(writer, 200, headers, b"", seal=False)
        elif headers.get("expect-instance", self.instance_id) != self.instance_id:
            self.reply(writer, 421, headers, b"", seal=False)
        else:
            return await self.run(method, path, headers, body, writer)
        return True

    async def run(self, method, path, headers, body, writer):
        self.note_run(headers)
        self.reply(writer, 200, headers, b"done")
        return True

    def note_run(self, headers):
        self.fleet.record.line(
            "run",
            replica=self.instance_id,
            service=self.service,
            request=headers.get("request-id"),
            tenant=headers.get("tenant"),
            model=headers.get("model"),
        )

    def reply(self, writer, status, headers, body, *, seal=True, extra=()):
        fields = [("Content-Length", len(body)), ("Keep-Alive", "timeout=15")]
        if "request-id" in headers:
            fields.append(("Request-Id", headers["request-id"]))
        if seal:
            fields.append(("Response-Seal", "3e1b.07"))
        fields.extend(extra)
        writer.write(encode_head(f"HTTP/1.1 {status} X", fields) + body)

    async def reply_json(self, writer, status, document):
        body = json.dumps(document).encode()
        fields = [("Content-Type", "application/json"), ("Content-Length", len(body))]
        writer.write(encode_head(f"HTTP/1.1 {status} X", fields) + body)

    def description(self):
        self.call_seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "born": self.born_ms,
            "call_seq": self.call_seq,
        }

    async def _beat(self):
        """Send heartbeats; the next host is called if one does not acknowledge."""
        hosts = list(self.fleet.hosts)
        random.shuffle(hosts)
        while True:
            for host in list(hosts):
                answer = await call(
                    host.control,
                    "PUT",
                    f"/api/instances/{self.instance_id}",
                    [("Content-Type", "application/json")],
                    json.dumps(self.description()).encode(),
                    1.0,
                )
                if answer.status == 200:
                    break
                hosts.append(hosts.pop(0))
            await asyncio.sleep(1.2)


class Engine(Replica):
    """A model replica with adapters."""

    slots = 64
    # What the configuration says of the replicas of the service.
    weights_mb = 66600.0
    model_mb = 65100.0
    adapter_mb = 12.0
    adapter_slots = 20
    load_s = 0.25
    # Loads of a model: from the store, and from the replica's own disk.
    model_load_s = 2.9
    disk_load_s = 1.2
    event_s = 0.02
    events = 20

    def __init__(self, fleet, service, ip, port):
        super().__init__(fleet, service, ip, port)
        # The version of each model's weights, and of each adapter of it.
        self.models = {name: 1 for name in fleet.model_names}
        self.adapters = {}
        self.newest = {}
        self.pending = {}
        self.loading = None
        self.order_count = 0
        self.on_disk = list(self.models)

    def settle(self):
        now_s = time.monotonic()
        for name, (ready_s, version) in list(self.pending.items()):
            if now_s >= ready_s:
                del self.pending[name]
                self.adapters[name] = version
        if self.loading is not None and now_s >= self.loading[1]:
            model = self.loading[0]
            self.models[model] = self.newest.get(model, 1)
            if model not in self.on_disk:
                self.on_disk.append(model)
            self.loading = None

    def model_list(self):
        self.settle()
        return [
            {
                "name": model,
                "version": version,
                "adapters": [
                    f"{name.partition('/')[2]}@{number}"
                    for name, number in self.adapters.items()
                    if name.startswith(model + "/")
                ],
            }
            for model, version in self.models.items()
        ]

    def description(self):
        return {**super().description(), "models": self.model_list()}

    def report(self):
        return {
            "stage": "unified",
            "models": self.model_list(),
            "active": self.loading is not None,
            "call_seq": self.order_count,
            "queued": 0,
            "inflight": 0,
            "kv_used": 0,
            "kv_total": 142340,
            "handles": 0,
            "born": self.born_ms,
            "pending": [f"{name}@{item[1]}" for name, item in self.pending.items()],
            "resident": {"in_memory": list(self.models), "on_disk": self.on_disk},
        }

    async def answer(self, method, path, headers, body, writer):
        if path.startswith("/api/report"):
            await self.reply_json(writer, 200, self.report())
            return True
        if path.startswith("/api/order"):
            document = json.loads(body)
            status = self.order(document)
            self.fleet.record.line(
                "order", replica=self.instance_id, status=status, **document
            )
            await self.reply_json(writer, status, {})
            return True
        return await super().answer(method, path, headers, body, writer)

    def order(self, document):
        self.settle()
        if not document.get("holder") or "fencing_token" not in document:
            return 400
        if document.get("expected", self.order_count) != self.order_count:
            return 409
        model, adapter = document.get("model"), document.get("adapter")
        operation = document.get("operation")
        if operation not in ("load", "unload") or model not in self.fleet.model_names:
            return 400
        if not adapter:
            if self.loading is not None:
                return 409
            if operation == "load":
                if self.models.get(model) == self.newest.get(model, 1):
                    return 200
                self.order_count += 1
                is_on_disk = model in self.on_disk
                load_s = self.disk_load_s if is_on_disk else self.model_load_s
                self.loading = model, time.monotonic() + load_s
                return 202
            self.order_count += 1
            self.models.pop(model, None)
            return 200
        if model not in self.models:
            return 421
        name = f"{model}/{adapter}"
        self.order_count += 1
        if operation == "unload":
            self.adapters.pop(name, None)
            return 200
        version = document.get("version") or self.newest.get(name, 1)
        self.pending[name] = time.monotonic() + self.load_s, version
        self.check_room()
        return 202

    def check_room(self):
        """Note what the replica was ordered to hold beyond its room."""
        names = self.adapters.keys() | self.pending.keys()
        used_mb = self.model_mb * len(self.models) + self.adapter_mb * len(names)
        if used_mb > self.weights_mb or len(names) > self.adapter_slots:
            self.overloaded(len(names), used_mb)

    def overloaded(self, adapters, used_mb):
        """Crash, as a replica does that is ordered to load more than it can hold."""
        self.fleet.record.line(
            "replica ordered to load more than it can hold",
            replica=self.instance_id,
            adapters=adapters,
            adapter_slots=self.adapter_slots,
            used_mb=used_mb,
            weights_mb=self.weights_mb,
        )
        self.fleet.overloads += 1
        asyncio.ensure_future(self.crash(3.0))

    async def crash(self, down_s):
        """End at once and start again after a time."""
        self.fleet.record.line("replica crashed", replica=self.instance_id)
        await self.stop()
        await asyncio.sleep(down_s)
        await self.restart()

    async def restart(self):
        """Start again, empty but for the disk."""
        self.instance_id = f"i-{random.randrange(16**8):08x}"
        self.born_ms = int(time.time() * 1000)
        self.call_seq = self.order_count = 0
        self.models, self.adapters, self.pending = {}, {}, {}
        self.loading = None
        self.is_up = True
        await self.start()

    def held_version(self, headers):
        """Return the version that a request would run on; None if it is not held."""
        self.settle()
        model, _, adapter = headers.get("model", "").partition("/")
        name = f"{model}/{adapter}"
        held = self.adapters.get(name) if adapter else self.models.get(model)
        expected = headers.get("expect-version")
        is_other = expected is not None and expected != str(held)
        return None if is_other else held

    def holds(self, headers):
        return self.held_version(headers) is not None

    async def run(self, method, path, headers, body, writer):
        held = self.held_version(headers)
        if held is None:
            self.reply(writer, 421, headers, b"", seal=False)
            return True
        self.note_run(headers)
        fields = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("Request-Id", headers.get("request-id", "")),
            ("Response-Seal", "3e1b.07"),
            ("Weight-Versions", str(held)),
        ]
        writer.write(encode_head("HTTP/1.1 200 OK", fields))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            data = b"id: %d\ndata: t%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


# ---- the system's processes ----


class Machine:
    """One machine with one process of the system."""

    def __init__(self, fleet, role, ip, zone, folder=None):
        self.fleet, self.role, self.ip, self.zone = fleet, role, ip, zone
        self.folder = folder
        self.name = f"{role}-{ip.replace('.', '-')}"
        self.front = f"{ip}:{fleet.ports[0]}"
        self.ready = f"{ip}:{fleet.ports[1]}"
        self.control = f"{ip}:{fleet.ports[2]}"
        self.app = f"{ip}:{fleet.ports[3]}"
        self.process = None
        self.starts = 0

    def settings(self):
        fleet = self.fleet
        seeds = [host.control for host in fleet.seeds]
        front = self.role == "host"
        lines = [
            f'node_name = "{self.name}"',
            f'role = "{self.role}"',
            f'machine_class = "{"front" if front else "side"}"',
            f"serves = {json.dumps(['front', 'control'] if front else ['side'])}",
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "tw-north"',
            f"port_range = [{fleet.first_port}, {fleet.first_port + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(fleet.bootstrap)}",
            f"loss_counts = {json.dumps(bool(self.folder))}",
            'discovery = "registry"',
            'entry = "vip"',
            "heartbeat_ms = 1200",
            'config_mode = "highest"',
        ]
        if front and self.folder:
            lines.append(f'data_dir = "{self.folder}"')
        if not front:
            lines.append(f'app = "{self.app}"')
        lines += ["[zones]", *(f'{name} = "tw-north"' for name in fleet.zones)]
        lines.append("[listen]")
        if front:
            lines += [f'front = "{self.front}"', f'control = "{self.control}"']
        lines.append(f'ready = "{self.ready}"')
        lines += ["[limits]", "cpu_share = 0.968", "cores = 2", "memory_mb = 300"]
        lines += ["max_fds = 4100", "link_mbps = 1000.0", "disk_mb = 64"]
        lines += ["[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0"]
        lines.append("[bounds]")
        lines += [f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items()]
        return "\n".join(lines) + "\n"

    def start(self):
        fleet = self.fleet
        path = fleet.scratch / f"{self.name}.toml"
        path.write_text(self.settings(), encoding="utf-8")
        words = fleet.commands[self.role].split()
        if words[0] == "python3":
            words[0] = sys.executable
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["DAMASKVALVE_CONFIG"] = str(path)
        self.starts += 1
        with open(fleet.scratch / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        fleet.record.line("process started", machine=self.name, pid=self.process.pid)

    def signal(self, number):
        self.fleet.record.line(
            "signal", machine=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    def log_text(self):
        path = self.fleet.scratch / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def processor_s(self):
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def free_ports(ip, count):
    """Return ports that are free on an address, below those of outgoing calls."""
    found = []
    candidates = [port for port in range(7000, 29000) if port != METRICS_PORT]
    random.shuffle(candidates)
    for port in candidates:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ip, port))
            found.append(port)
        if len(found) == count:
            return found
    raise CaseError("no free ports")


class Fleet:
    """A small deployment; everything is ended at the end."""

    zones = ("tw-north-a", "tw-north-b", "tw-north-c")
    make_engine = Engine
    make_plain = Replica
    model_names = (MODEL,)

    def __init__(self, record, hosts=3, engines=2, plain=2):
        self.record = record
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.scratch = Path(tempfile.mkdtemp(prefix="damaskvalve-review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        if not (ROOT / "target" / "deps").exists():
            raise CaseError("the build of the deploy file is missing")
        self.ports = free_ports(f"{self.network}.1", 6)
        self.first_port = 30000 + 16 * random.randrange(0, 100)
        self.bootstrap = True
        # The hosts that the settings files name; the first three, if not set otherwise.
        self.chosen_seeds = ()
        self.hosts = []
        for number in range(hosts):
            ip = f"{self.network}.{number + 1}"
            folder = self.scratch / f"data-{number + 1}"
            folder.mkdir()
            zone = self.zones[number % len(self.zones)]
            self.hosts.append(Machine(self, "host", ip, zone, folder))
        self.agents = [
            Machine(self, "agent", f"{self.network}.{number + 101}", self.zones[0])
            for number in range(engines)
        ]
        self.engines = [
            self.make_engine(self, "huvo11a", agent.ip, self.ports[3])
            for agent in self.agents
        ]
        self.plain = [
            self.make_plain(self, "wuno96b", f"{self.network}.{201 + n}", self.ports[4])
            for n in range(plain)
        ]
        self.numbers = 0
        # How often a replica was ordered to load more than it can hold.
        self.overloads = 0

    @property
    def seeds(self):
        return self.chosen_seeds or self.hosts[:3]

    def zone_of(self, ip):
        return self.zones[int(ip.rpartition(".")[2]) % len(self.zones)]

    def configuration(self, version=7, **tenant):
        stream = {
            "host": HOST_NAME,
            "kind": "streaming",
            "timeout_ms": 15000,
            "aim_ms": 1000,
            "priority": 1,
            "service": "huvo11a",
            "sticky": True,
            "gap_target_ms": 250,
            "public": False,
        }
        plain = {
            "host": HOST_NAME,
            "timeout_ms": 1500,
            "aim_ms": 200,
            "priority": 2,
            "service": "wuno96b",
            "public": False,
            "sticky": False,
            "resumable": False,
        }
        engine = {
            "slots": 64,
            "kv_capacity": 142340,
            "stride": 3,
            "host_mb": 130000.0,
            "disk_mb": 400000.0,
            "models": [
                {
                    "name": name,
                    "weights_mb": self.make_engine.model_mb,
                    "load_s": 2.9,
                    "adapters": 3000,
                    "adapter_mb": self.make_engine.adapter_mb,
                    "warm_s": 0.57,
                    "disk_s": 1.2,
                }
                for name in self.model_names
            ],
            "weights_mb": self.make_engine.weights_mb,
            "adapter_slots": self.make_engine.adapter_slots,
            "loads_per_s": 2.2,
        }
        return {
            "version": version,
            "routes": [
                dict(
                    stream,
                    name="r-1",
                    path_prefix="/pufi791/",
                    resumable=True,
                    max_attempts=2,
                ),
                dict(
                    stream,
                    name="r-2",
                    path_prefix="/lohu930/",
                    resumable=False,
                    max_attempts=1,
                ),
                dict(
                    plain,
                    name="r-3",
                    path_prefix="/cert/",
                    kind="unsafe",
                    max_attempts=1,
                ),
                dict(
                    plain,
                    name="r-4",
                    path_prefix="/look/",
                    kind="safe",
                    max_attempts=2,
                ),
            ],
            "services": [
                {
                    "name": "huvo11a",
                    "health_path": "/health",
                    "max_conns": 390,
                    "protocol": "h1",
                    "tls": False,
                    "engine": engine,
                },
                {
                    "name": "wuno96b",
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
                    "name": TENANT,
                    "api_keys": [API_KEY],
                    "priority": 1,
                    "unit": "token_stream",
                    "plain_tokens": 200,
                    "rate_per_s": 0,
                    "burst": 0,
                    **tenant,
                }
            ],
        }

    @contextlib.asynccontextmanager
    async def running(self):
        """Start everything; end it at the end, whatever happens."""
        try:
            for replica in [*self.engines, *self.plain]:
                await replica.start()
            for machine in [*self.hosts, *self.agents]:
                machine.start()
            await self.order("PUT", "/api/config", self.configuration())
            self.bootstrap = False
            await self._await_ready()
            yield self
        finally:
            for machine in [*self.hosts, *self.agents]:
                if machine.process is not None and machine.process.poll() is None:
                    machine.process.kill()
                    machine.process.wait()
            for replica in [*self.engines, *self.plain]:
                await replica.stop()
            if os.environ.get("KEEP"):
                print(self.scratch)
            else:
                shutil.rmtree(self.scratch, ignore_errors=True)

    async def _await_ready(self, timeout_s=25.0):
        until_s = time.monotonic() + timeout_s
        for host in self.hosts:
            while (await call(host.ready, "GET", "/api/ready")).status != 200:
                if time.monotonic() > until_s:
                    raise CaseError(f"{host.name} does not become ready")
                await asyncio.sleep(0.1)
        for host in self.hosts:
            while (await self.request(host, "/look/x", quiet=True)).status != 200:
                if time.monotonic() > until_s:
                    raise CaseError(f"{host.name} does not serve")
                await asyncio.sleep(0.1)

    async def order(self, method, path, document, *, hosts=None, timeout_s=20.0):
        """Send an operator's call to one host after the other until it is clear."""
        until_s = time.monotonic() + timeout_s
        pause_s = 0.1
        body = json.dumps(document).encode() if document is not None else b""
        while time.monotonic() < until_s:
            for host in hosts or random.sample(self.hosts, len(self.hosts)):
                answer = await call(host.control, method, path, (), body, 1.0)
                if answer.status is not None and answer.status < 500:
                    self.record.line(
                        "operator",
                        call=f"{method} {path}",
                        host=host.name,
                        status=answer.status,
                    )
                    return answer
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        raise CaseError(f"no host answers {method} {path}")

    async def request(
        self,
        host,
        path,
        *,
        method="GET",
        model=None,
        usage=None,
        body=b"",
        key=API_KEY,
        deadline_ms=1500,
        quiet=False,
        headers=(),
    ):
        """Send a client's request on a new connection."""
        self.numbers += 1
        request_id = f"q{self.numbers:06d}{random.randrange(16**6):06x}"
        fields = [
            ("Host", HOST_NAME),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(deadline_ms)),
        ]
        if key:
            fields.append(("Authorization", f"Bearer {key}"))
        if model:
            fields.append(("Model", model))
        if usage:
            fields.append(("Token-Usage", usage))
        fields += headers
        sent_s = self.record.now_s()
        answer = await call(
            host.front, method, path, fields, body, deadline_ms / 1000 + 1.0
        )
        answer.request_id = request_id
        answer.sent_s, answer.took_s = sent_s, self.record.now_s() - sent_s
        if not quiet:
            self.record.line(
                "request",
                request=request_id,
                host=host.name,
                path=path,
                model=model,
                sent_at_s=round(sent_s, 3),
                status=answer.status,
                complete=answer.complete,
                took_s=round(answer.took_s, 3),
                error=(
                    answer.body[:160].decode("latin-1")
                    if (answer.status or 0) >= 400
                    else None
                ),
            )
        return answer


async def run_case(case, record):
    """Run a case until its end, or until the script is told to stop."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            return await case(record)
    except TimeoutError as error:
        raise CaseError(f"not done after {MAX_CASE_S} s") from error
    except asyncio.CancelledError as error:
        raise CaseError("told to stop") from error


def main(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    try:
        record.line("case", trouble=trouble())
        broken = asyncio.run(run_case(case, record))
    except (CaseError, OSError) as error:
        record.line("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        code = 2
    else:
        record.line("result", rule_broken=broken)
        print("rule broken" if broken else "rule held")
        code = 1 if broken else 0
    finally:
        record.close()
    # Nothing that is left waits for the end of the interpreter.
    sys.stdout.flush()
    os._exit(code)
