"""Stand-ins for clients, backend servers and the platform, by the users' pages.

Everything here uses the standard library only. The programs under test are started as
separate processes with the commands of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MODEL = "m0"
HOST_NAME = "h.example"
HEARTBEAT_S = 0.4
START_TIMEOUT_S = 25.0


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def line(self, text):
        row = f"{self.now_s():8.3f}  {text}"
        self._file.write(row + "\n")
        self._file.flush()
        print(row, flush=True)


# ---- HTTP ----


async def read_head(reader):
    """Return the first line and the headers, in lower case; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:]]
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers, gap_s=None):
    """Return the whole body; raise IncompleteReadError if it is cut.

    Raise TimeoutError if no chunk comes for ``gap_s``.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            async with asyncio.timeout(gap_s):
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


class Answer:
    """What a client got; ``complete`` is False if the connection ended before."""

    def __init__(self, status=0, headers=None, body=b"", complete=False, reason=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.reason = complete, reason


async def call(
    ip, port, method, path, headers=(), body=b"", timeout_s=10.0, gap_s=None
):
    """Make one call on a new connection and return its answer.

    It is given up if nothing comes for ``gap_s``.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in dict(headers).items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            async with asyncio.timeout(gap_s):
                head = await read_head(reader)
            if head is None:
                return Answer(reason="closed without an answer")
            status = int(head[0].split(" ")[1])
            try:
                data = await read_body(reader, head[1], gap_s)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer(status, head[1], reason="cut in the answer")
            return Answer(status, head[1], data, complete=True)
    except TimeoutError:
        return Answer(reason="no answer in time")
    except (OSError, ValueError) as error:
        return Answer(reason=f"connection failed: {error}")
    finally:
        if writer is not None:
            writer.close()


def reply(status, headers=(), body=b""):
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def json_reply(status, document):
    body = json.dumps(document).encode()
    return reply(status, {"Content-Type": "application/json"}, body)


# ---- backend servers ----


class Server:
    """A replica of a plain service; serves one request at a time on a connection."""

    engine = False

    def __init__(self, fleet, name, ip, port, service, slots):
        self.fleet, self.name, self.ip, self.port = fleet, name, ip, port
        self.service, self.slots = service, slots
        self.record = fleet.record
        self.state = "ready"
        self.up = False
        self.starts = 0
        self.tasks = set()
        self.server = None
        self.begin()

    def begin(self):
        """Begin a new incarnation, which knows nothing of the one before."""
        self.starts += 1
        self.instance_id = f"i-{self.name}-{self.starts}"
        self.born_ms = int(time.time() * 1000)
        self.beat_seq = 0

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=2**20
        )
        self.up = True

    async def crash(self, down_s):
        """End at once, reset all connections, and come back as a new incarnation."""
        self.up = False
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(down_s)
        self.begin()
        await self.open()
        self.record.line(f"{self.name} is back as {self.instance_id}")

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        aborted = True
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, path, _ = head[0].split(" ")
                await self.answer(method, path, head[1], body, reader, writer)
                await writer.drain()
            aborted = False
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            if aborted:
                writer.transport.abort()
            else:
                writer.close()

    def not_executed(self, status, headers):
        request_id = headers.get("request-id", "")
        return reply(status, {"Request-Id": request_id, "Not-Executed": "1"})

    async def answer(self, method, path, headers, body, reader, writer):
        if headers.get("expect-instance", self.instance_id) != self.instance_id:
            writer.write(self.not_executed(421, headers))
            return
        await self.run(method, path, headers, body, reader, writer)

    async def run(self, method, path, headers, body, reader, writer):
        request_id = headers.get("request-id", "")
        self.record.line(f"{self.instance_id} runs {request_id} {method} {path}")
        await asyncio.sleep(0.03)
        sealed = {"Request-Id": request_id, "Response-Seal": f"seal-{request_id}"}
        writer.write(reply(200, sealed, b"plain answer"))

    def heartbeat(self):
        self.beat_seq += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "z-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "call_seq": self.beat_seq,
            "born": self.born_ms,
        }

    async def announce(self):
        """Send one heartbeat, to the hosts in turn until one acknowledges it."""
        await self.send_beat(self.instance_id, self.heartbeat())

    async def send_beat(self, instance_id, beat):
        path = f"/api/instances/{instance_id}"
        body = json.dumps(beat).encode()
        hosts = list(self.fleet.hosts)
        random.shuffle(hosts)
        for host in hosts:
            answer = await call(
                host.bound_ip, self.fleet.ports["control"], "PUT", path,
                {"Host": host.ip, "Content-Type": "application/json"}, body, 1.0,
            )
            if 200 <= answer.status < 300:
                return True
        return False

    async def announce_always(self):
        while True:
            if self.up:
                await self.announce()
            await asyncio.sleep(HEARTBEAT_S)


class Engine(Server):
    """A model replica with places for adapters, which takes orders."""

    engine = True

    def __init__(self, *arguments, adapter_slots, load_s=0.25, disk_load_s=1.2):
        self.adapter_slots, self.load_s = adapter_slots, load_s
        self.disk_load_s = disk_load_s
        self.on_disk = [MODEL]
        # The newest version of each adapter in the store.
        self.store_versions = {}
        self.event_s = 0.1
        self.ordered = lambda document, headers: None
        self.crashed = lambda: None
        super().__init__(*arguments)
        # At the first start, the model is in place.
        self.models = {MODEL}

    def begin(self):
        super().begin()
        self.models = set()
        self.adapters = {}
        self.pending = {}
        self.order_count = 0
        self.loading_model = False
        self.running = {}
        self.runs = 0

    # ---- orders ----

    def held(self):
        return set(self.adapters) | set(self.pending)

    def report(self):
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return {
            "stage": "unified",
            "models": [
                {"name": model, "version": 1, "adapters": adapters}
                for model in self.models
            ],
            "active": self.loading_model,
            "call_seq": self.order_count,
            "queued": 0,
            "inflight": self.runs,
            "kv_used": 0,
            "kv_total": 142_340,
            "handles": 0,
            "pending": [f"{MODEL}/{n}@{v}" for n, v in self.pending.items()],
            "resident": {"in_memory": [], "on_disk": self.on_disk},
            "born": self.born_ms,
        }

    def heartbeat(self):
        beat = super().heartbeat()
        beat.update(stage="unified", models=self.report()["models"])
        return beat

    def apply_order(self, document):
        """Carry out an order and return its status."""
        adapter = document.get("adapter", "")
        status = self._apply(document, adapter)
        held = len(self.held())
        self.record.line(
            f"{self.instance_id} order {document['operation']} {adapter or MODEL} "
            f"expected={document.get('expected')} fence={document['fencing_token']} "
            f"-> {status}; count={self.order_count} held={held}/{self.adapter_slots}"
        )
        if held > self.adapter_slots:
            self.crashed()
        return status

    def _apply(self, document, adapter):
        if document.get("expected", self.order_count) != self.order_count:
            return 409
        if self.loading_model:
            return 409
        loop = asyncio.get_running_loop()
        if document["operation"] == "unload":
            if self.running.get(adapter):
                return 409
            self.order_count += 1
            self.adapters.pop(adapter, None)
            return 200
        if not adapter:
            if MODEL in self.models:
                return 200
            self.order_count += 1
            self.loading_model = True
            loop.call_later(self.disk_load_s, self._end_model_load, self.starts)
            return 202
        if MODEL not in self.models:
            return 400
        newest = self.store_versions.get(adapter, 1)
        version = document.get("version", newest)
        if self.adapters.get(adapter) == version:
            return 200
        self.order_count += 1
        self.pending[adapter] = version
        loop.call_later(self.load_s, self._end_load, self.starts, adapter, version)
        return 202

    def _end_model_load(self, start):
        if start == self.starts:
            self.loading_model = False
            self.models.add(MODEL)

    def _end_load(self, start, adapter, version):
        if start == self.starts:
            self.pending.pop(adapter, None)
            self.adapters[adapter] = version

    # ---- requests ----

    async def answer(self, method, path, headers, body, reader, writer):
        if path == "/api/report":
            writer.write(json_reply(200, self.report()))
            return
        if headers.get("expect-instance", self.instance_id) != self.instance_id:
            writer.write(self.not_executed(421, headers))
            return
        if path == "/api/order":
            document = json.loads(body)
            if self.ordered(document, headers):
                # No answer: the call stays open until its caller gives up.
                await reader.read(1)
                raise ConnectionResetError
            writer.write(json_reply(self.apply_order(document), {}))
            return
        adapter = headers.get("model", "").partition("/")[2]
        version = self.adapters.get(adapter)
        expected = headers.get("expect-version")
        if version is None or (expected and int(expected) != version):
            writer.write(self.not_executed(421, headers))
            return
        if self.runs >= self.slots:
            writer.write(self.not_executed(503, headers))
            return
        await self.stream(adapter, version, headers, reader, writer)

    async def stream(self, adapter, version, headers, reader, writer):
        request_id = headers.get("request-id", "")
        events = max(1, int(headers.get("token-usage", "1,30").split(",")[1]) // 3)
        first = int(headers.get("last-event-id", 0)) + 1
        self.record.line(
            f"{self.instance_id} runs {request_id} on {adapter}@{version} "
            f"expect-version={headers.get('expect-version')} events={events}"
        )
        self.note_run(request_id, adapter, version)
        self.runs += 1
        self.running[adapter] = self.running.get(adapter, 0) + 1
        gone = asyncio.ensure_future(reader.read(1))
        try:
            writer.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Response-Seal: seal-{request_id}\r\nWeight-Versions: {version}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
                "\r\n\r\n".encode()
            )
            for number in range(first, events + 1):
                await asyncio.wait((gone,), timeout=self.event_s)
                if gone.done():
                    raise ConnectionResetError
                data = b"id: %d\ndata: %s/%d\n\n" % (
                    number, request_id.encode(), number
                )
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            if not gone.done():
                gone.cancel()
                with contextlib.suppress(BaseException):
                    await gone
            self.runs -= 1
            self.running[adapter] -= 1

    def note_run(self, request_id, adapter, version):
        """Called as a request begins to run."""


# ---- the platform ----


class Machine:
    """A machine of the system with one process."""

    def __init__(self, fleet, name, ip, role):
        self.fleet, self.name, self.ip, self.role = fleet, name, ip, role
        # The address at which the process listens; behind a link, it is another one.
        self.bound_ip = ip
        self.durable = role == "host"
        self.process = None
        self.extra = {}
        self.first_start = True

    def settings(self):
        fleet, ports = self.fleet, self.fleet.ports
        is_host = self.role == "host"
        seeds = [f"{host.ip}:{ports['control']}" for host in fleet.hosts[:3]]
        lines = [
            f'node_name = "{self.name}"',
            f'role = "{self.role}"',
            f'machine_class = "{"front" if is_host else "side"}"',
            f'serves = {json.dumps(["front", "control"] if is_host else ["side"])}',
            f'ip = "{self.ip}"',
            'zone = "z-a"',
            'region = "z"',
            f"port_range = [{ports['first']}, {ports['first'] + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {str(is_host and self.first_start).lower()}",
            f"loss_counts = {str(self.durable).lower()}",
            'discovery = "registry"',
            'entry = "vip"',
            "heartbeat_ms = 1200",
            'config_mode = "highest"',
        ]
        if is_host:
            if self.durable:
                lines.append(f'data_dir = "{fleet.folder}/{self.name}"')
            if self.bound_ip != self.ip:
                lines.append(f'bind_ip = "{self.bound_ip}"')
        else:
            lines.append(f'app = "{self.extra["app"]}"')
        lines += ["[zones]", 'z-a = "z"', "[listen]"]
        names = ("front", "ready", "control") if is_host else ()
        lines += [f'{name} = "{self.bound_ip}:{ports[name]}"' for name in names]
        lines += ["[limits]", f"memory_mb = {fleet.memory_mb}", "max_fds = 4100"]
        lines += ["cores = 2", "cpu_share = 0.968", "link_mbps = 1000.0"]
        lines += ["disk_mb = 64", "[fault_tolerance]", "machines = 1"]
        lines += ["zones = 0", "regions = 0", "[bounds]"]
        lines += [f"{name} = {json.dumps(v)}" for name, v in fleet.bounds.items()]
        return "\n".join(lines) + "\n"

    def start(self):
        path = Path(self.fleet.folder) / f"{self.name}.toml"
        path.write_text(self.settings(), encoding="utf-8")
        (Path(self.fleet.folder) / self.name).mkdir(exist_ok=True)
        self.first_start = False
        words = self.fleet.commands[self.role].split()
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["DAMASKVALVE_CONFIG"] = str(path)
        with open(Path(self.fleet.folder) / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.signal(signal.SIGCONT)
            self.process.wait()

    def rss_bytes(self):
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def log_text(self):
        path = Path(self.fleet.folder) / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")


class Link:
    """The link of one machine: forwards connections at its bandwidth."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at_s = 0.0
        self._servers = []

    async def open(self, ip, bound_ip, port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Links have small windows.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        sock.bind((ip, port))
        sock.listen(100)

        async def serve(reader, writer):
            try:
                to_reader, to_writer = await asyncio.open_connection(bound_ip, port)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self.forward(reader, to_writer, slow=True),
                self.forward(to_reader, writer, slow=False),
            )

        self._servers.append(
            await asyncio.start_server(serve, sock=sock, limit=16 * 1024)
        )

    async def forward(self, reader, writer, *, slow):
        try:
            while data := await reader.read(8 * 1024):
                if slow:
                    now_s = time.monotonic()
                    self.free_at_s = max(self.free_at_s, now_s)
                    self.free_at_s += len(data) / self.bytes_per_s
                    await asyncio.sleep(self.free_at_s - now_s)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    def close(self):
        for server in self._servers:
            server.close()


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "skew_max_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 62, "quota_window_s": 8,
    "quota_excess": 0.1, "quota_slack": 11000, "recovery_s": 12, "pass_ms": 120,
    "retry_after_s": 0, "require_fence": False, "lease_ms": 3000,
    "thaw_slack_ms": 300, "ceiling_window_s": 5, "ceiling_excess": 1.1,
    "version_ms": 5000,
}


def commands():
    """Return the command of each role in the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"] for name, role in roles.items()}


def free_ports(ips, count):
    """Return ports that are free at all of some addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 30_000)
        try:
            for ip in ips:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Fleet:
    """Hosts, agents and backend servers on loopback addresses."""

    def __init__(self, record, hosts=3, memory_mb=300, bounds=None):
        self.record = record
        self.memory_mb = memory_mb
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.commands = commands()
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.net = net
        ips = [f"{net}.{number}" for number in range(1, 12)]
        control, front, ready, app = free_ports(ips, 4)
        while True:
            (first,) = free_ports(ips, 1)
            with contextlib.suppress(OSError):
                for offset in (1, 2):
                    for ip in ips:
                        with socket.socket() as sock:
                            sock.bind((ip, first + offset))
                break
        self.ports = {
            "control": control, "front": front, "ready": ready, "app": app,
            "first": first,
        }
        self.hosts = []
        for number in range(hosts):
            self.hosts.append(Machine(self, f"front-{number + 1}", ips[number], "host"))
        self.agents = []
        self.servers = []
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = self._temporary.name
        self._tasks = []

    def add_diskless_host(self):
        """Add a host without a disk, whose peers reach it through a link."""
        number = len(self.hosts) + 1
        host = Machine(self, f"front-{number}", f"{self.net}.{number}", "host")
        host.bound_ip = f"{self.net}.{number + 100}"
        host.durable = False
        self.hosts.append(host)
        return host

    def background(self, coroutine):
        """Run a coroutine until the end of the case."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    def add_engine(self, kind=Engine, **arguments):
        ip = f"{self.net}.{len(self.agents) + 6}"
        slots = arguments.pop("slots", 64)
        engine = kind(
            self, f"e{len(self.agents) + 1}", ip, self.ports["app"], "llm", slots,
            **arguments,
        )
        agent = Machine(self, f"side-{len(self.agents) + 1}", ip, "agent")
        agent.extra["app"] = f"{ip}:{self.ports['app']}"
        self.agents.append(agent)
        self.servers.append(engine)
        return engine

    def add_plain(self, kind=Server, slots=6):
        count = sum(not item.engine for item in self.servers)
        ip = f"{self.net}.{count + 10}"
        server = kind(self, f"p{count + 1}", ip, self.ports["app"], "web", slots)
        self.servers.append(server)
        return server

    @contextlib.asynccontextmanager
    async def running(self, configuration):
        """Start everything, put the configuration, and end everything."""
        try:
            for server in self.servers:
                await server.open()
                self._tasks.append(asyncio.ensure_future(server.announce_always()))
            for machine in [*self.hosts, *self.agents]:
                machine.start()
            await self.put_configuration(configuration)
            await self.await_ready()
            yield self
        finally:
            for task in self._tasks:
                task.cancel()
            for machine in [*self.hosts, *self.agents]:
                machine.kill()
            for server in self.servers:
                server.server.close()
                for task in list(server.tasks):
                    task.cancel()
            self._temporary.cleanup()

    async def operator(self, method, path, document, attempts=40):
        """Make an operator's call, at any host, until it is acknowledged."""
        body = json.dumps(document).encode()
        for number in range(attempts):
            host = self.hosts[number % len(self.hosts)]
            answer = await call(
                host.bound_ip, self.ports["control"], method, path,
                {"Host": host.ip, "Content-Type": "application/json"}, body, 1.0,
            )
            if 200 <= answer.status < 300:
                return host
            if answer.status in (400, 409, 412, 413, 422):
                raise RuntimeError(f"{path} refused: {answer.status} {answer.body!r}")
            await asyncio.sleep(min(1.0, 0.1 * (number + 1)))
        raise RuntimeError(f"{path} was not acknowledged")

    async def put_configuration(self, document):
        await self.operator("PUT", "/api/config", document)
        self.record.line(f"configuration {document['version']} acknowledged")

    async def await_ready(self):
        until_s = time.monotonic() + START_TIMEOUT_S
        for host in self.hosts:
            while True:
                answer = await call(
                    host.bound_ip, self.ports["ready"], "GET", "/api/ready",
                    {"Host": host.ip}, timeout_s=1.0,
                )
                if answer.status == 200:
                    break
                if time.monotonic() > until_s:
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        # Backend servers become known to all hosts.
        await asyncio.sleep(3.0)

    async def request(
        self, host, method, path, request_id, deadline_ms, headers=(), body=b"",
        gap_s=None,
    ):
        """Send a client's request to a host and return the answer.

        A stream is abandoned if no event comes for ``gap_s``.
        """
        fields = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **dict(headers),
        }
        self.record.line(f"client sends {request_id} {method} {path} to {host.name}")
        answer = await call(
            host.bound_ip, self.ports["front"], method, path, fields, body,
            deadline_ms / 1000 + 0.5, gap_s,
        )
        self.record.line(
            f"client gets {answer.status or answer.reason} for {request_id}, "
            f"{'whole' if answer.complete else answer.reason}"
        )
        return answer


def engine_service(slots, adapter_slots):
    """Return the configuration of the service of the engines."""
    return {
        "name": "llm", "health_path": "/health", "max_conns": 390, "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": slots, "kv_capacity": 142340, "kv_token_bytes": 327680,
            "link_mbps": 180000.0, "moves": True, "backups": True, "stride": 3,
            "upper_bound": 12, "host_mb": 130000.0, "disk_mb": 400000.0,
            "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
            "models": [
                {"name": MODEL, "weights_mb": 65100.0, "load_s": 2.9,
                 "adapters": 3000, "adapter_mb": 12.0, "warm_s": 0.57, "disk_s": 1.2}
            ],
            "weights_mb": 66600.0, "adapter_slots": adapter_slots,
            "loads_per_s": 2.2,
        },
    }


def plain_service():
    return {"name": "web", "health_path": "/health", "max_conns": 130,
            "protocol": "h1", "tls": False}


def gap_s(aim_ms=1000, pause_ms=250):
    """Return after which time without an event clients abandon a stream."""
    return max(2.0, 4 * aim_ms / 1000, 8 * pause_ms / 1000)


def stream_route(
    timeout_ms=25000, aim_ms=1000, resumable=False, max_attempts=1, pause_ms=250
):
    return {
        "name": "r-stream", "host": HOST_NAME, "path_prefix": "/s/",
        "kind": "streaming", "timeout_ms": timeout_ms, "aim_ms": aim_ms,
        "priority": 1, "service": "llm", "max_attempts": max_attempts,
        "public": False, "sticky": True, "resumable": resumable,
        "gap_target_ms": pause_ms,
    }


def plain_route(kind="unsafe", timeout_ms=1500, name="r-plain", prefix="/u/"):
    return {
        "name": name, "host": HOST_NAME, "path_prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "aim_ms": 200, "priority": 2, "service": "web",
        "max_attempts": 1 if kind == "unsafe" else 2, "public": False,
        "sticky": False, "resumable": False,
    }


def configuration(routes, services, version=7):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"header_bytes": 16384, "body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def run_case(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""
    record = Record(folder)
    # A case that is told to stop ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"start, {'with' if trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except BaseException as error:
        record.line(f"the case could not run: {error!r}")
        os._exit(2)
    record.line("RULE BROKEN" if broken else "rule held")
    os._exit(1 if broken else 0)
