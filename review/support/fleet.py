"""A small deployment on loopback: the project's hosts and agents, and stand-ins.

Standard library only. Each host, agent and backend server has a loopback address of its
own, as on separate machines, and all use the same ports.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, PLAIN, ENGINE = 8221, 8224, 8229, 8301, 8305
FIRST_PORT = 7600
METRICS = 9464
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
START_TIMEOUT_S = 25.0
HOST_NAME = "desk.example"
API_KEY = "k3v9q7x2m5t8r1w6"


class CannotRunError(Exception):
    """The case could not be run; nothing is known about the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def line(self, text):
        print(f"{self.now_s():8.3f}  {text}", file=self._file, flush=True)


class Reply:
    """A reply; ``complete`` is False if the connection ended within it."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body = status, headers, body
        self.complete = complete


async def read_message_body(reader, headers):
    """Return the body of a message and whether it is complete."""
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        length = int(headers.get("content-length", 0))
        return await reader.readexactly(length), True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return body, False


def parse_head(head):
    """Return the first line and the headers, with names in lower case."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def call(ip, port, method, path, headers=None, body=b"", timeout_s=10.0):
    """Make one HTTP call on a new connection; raise OSError without a reply head."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            fields = {"Host": f"{ip}:{port}", **(headers or {})}
            fields["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await writer.drain()
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError as error:
                raise ConnectionError("closed without a reply") from error
            line, reply_headers = parse_head(head)
            reply_body, complete = await read_message_body(reader, reply_headers)
            return Reply(int(line.split()[1]), reply_headers, reply_body, complete)
        finally:
            writer.close()


class PlainServer:
    """A sound replica of a plain service, which announces itself to the hosts."""

    def __init__(self, fleet, ip, service, zone, name):
        self.fleet, self.ip, self.service, self.zone = fleet, ip, service, zone
        self.instance_id = name
        self.port = PLAIN
        self.born_ms = int(time.time() * 1000)
        self.call_seq = 0
        self.leaving = False
        self.announcing = True
        self.work_s = 0.02
        # Request id and time of arrival of each request that ran here.
        self.runs = []

    async def serve(self):
        server = await asyncio.start_server(self._connection, self.ip, self.port)
        self.fleet.tasks.append(asyncio.create_task(self._announce()))
        return server

    async def _announce(self):
        while True:
            if self.announcing:
                await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def heartbeat(self):
        """Send one heartbeat, to one host after the other until one accepts it."""
        for ip in random.sample(self.fleet.host_ips, len(self.fleet.host_ips)):
            self.call_seq += 1
            document = {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_left_ms": 0,
                "call_seq": self.call_seq,
                "born": self.born_ms,
            }
            path = f"/api/instances/{self.instance_id}"
            with contextlib.suppress(OSError, TimeoutError):
                reply = await call(
                    ip,
                    CONTROL,
                    "PUT",
                    path,
                    {"Content-Type": "application/json"},
                    json.dumps(document).encode(),
                    CALL_TIMEOUT_S,
                )
                if reply.status == 200:
                    return

    async def _connection(self, reader, writer):
        self.fleet.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, headers = parse_head(head)
                body, complete = await read_message_body(reader, headers)
                if not complete:
                    break
                writer.write(await self._answer(line, headers, body))
                await writer.drain()
        self.fleet.writers.discard(writer)
        writer.close()

    async def _answer(self, line, headers, body):
        request_id = headers.get("request-id", "")
        expected = headers.get("expect-instance", self.instance_id)
        fields = [f"Request-Id: {request_id}"]
        if self.leaving:
            fields.append("Server-Leaving: 1")
        if expected != self.instance_id:
            return self._message("421 Misdirected", [*fields, "Not-Executed: 1"], b"")
        self.runs.append((request_id, self.fleet.record.now_s()))
        self.fleet.record.line(f"{self.instance_id} runs {request_id}: {line}")
        await asyncio.sleep(self.work_s)
        seal = f"Response-Seal: {self.instance_id}.{len(self.runs)}"
        return self._message("200 OK", [*fields, seal], b"done " + request_id.encode())

    @staticmethod
    def _message(status, fields, body):
        lines = [f"HTTP/1.1 {status}", *fields, f"Content-Length: {len(body)}"]
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def free_network():
    """Return the first three numbers of loopback addresses with free ports."""
    for _ in range(50):
        network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READY, CONTROL, METRICS, FIRST_PORT, PLAIN, ENGINE):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise CannotRunError("no free ports")


class Fleet:
    """Hosts with and without a disk, agents and stand-ins, as separate processes."""

    ZONES = ("a", "b", "c")

    def __init__(self, record, disk_hosts=3, other_hosts=2):
        self.record = record
        self.network = free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.disk_ips = [f"{self.network}.{n + 1}" for n in range(disk_hosts)]
        self.other_ips = [f"{self.network}.{n + 11}" for n in range(other_hosts)]
        self.host_ips = [*self.disk_ips, *self.other_ips]
        # The platform names three machines at most in each settings file.
        self.seed_ips = list(self.disk_ips)
        self.processes = {}
        self.tasks = []
        self.servers = []
        # Open connections to the stand-ins.
        self.writers = set()
        self.sent_count = 0

    # ---- processes ----

    def zone_of(self, ip):
        return self.ZONES[int(ip.rpartition(".")[2]) % 3]

    def settings(self, ip, role, bootstrap):
        """Return the text of a settings file, as the platform writes it."""
        has_disk = ip in self.disk_ips
        seeds = json.dumps([f"{seed}:{CONTROL}" for seed in self.seed_ips])
        serves = ["front", "control"] if role == "host" else ["side"]
        lines = [
            f'node_name = "{role}-{ip}"',
            f'role = "{role}"',
            f'machine_class = "{"front" if role == "host" else "side"}"',
            f"serves = {json.dumps(serves)}",
            f'ip = "{ip}"',
            f'zone = "{self.zone_of(ip)}"',
            'region = "r"',
            f"port_range = [{FIRST_PORT}, {FIRST_PORT + 15}]",
            f"seeds = {seeds}",
            f"bootstrap = {str(bootstrap).lower()}",
            f"loss_counts = {str(has_disk).lower()}",
            'discovery = "registry"',
            'entry = "vip"',
            f"heartbeat_ms = {int(HEARTBEAT_S * 1000)}",
            'config_mode = "highest"',
        ]
        if has_disk:
            lines.append(f'data_dir = "{self.folder}/{ip}"')
        if role == "agent":
            lines.append(f'app = "{ip}:{ENGINE}"')
        lines += ["[zones]", *(f'{zone} = "r"' for zone in self.ZONES), "[listen]"]
        if role == "host":
            lines += [f'front = "{ip}:{FRONT}"', f'ready = "{ip}:{READY}"']
            lines.append(f'control = "{ip}:{CONTROL}"')
        lines += [
            "[limits]",
            "memory_mb = 300",
            "max_fds = 4100",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            "seed_lag_s = 3",
            "reuse_after_s = 2",
            "contact_ms = 3000",
            "ack_ms = 4000",
            "catch_up_s = 4",
            "drain_ms = 2000",
            "grace_s = 8",
            "loss_slack_ms = 200",
            "config_apply_ms = 2000",
            "rollback_slack_ms = 250",
            "skew_max_ms = 5000",
            "budget_ratio = 0.2",
            "budget_window_s = 10",
            "budget_slack = 62",
            "quota_window_s = 8",
            "quota_excess = 0.1",
            "quota_slack = 11000",
            "recovery_s = 12",
            "lease_ms = 3000",
            "version_ms = 5000",
            "require_fence = false",
        ]
        return "\n".join(lines) + "\n"

    def start(self, ip, role="host", bootstrap=False):
        """Start a process with the command of the deploy file."""
        path = self.folder / f"{role}-{ip}.toml"
        path.write_text(self.settings(ip, role, bootstrap), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["DAMASKVALVE_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        # Bytecode is not written into the build.
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.folder / f"{role}-{ip}.log").open("ab")
        process = _popen(
            ["python3", "-m", "damaskvalve_platform", role], environment, log
        )
        self.processes[ip, role] = process
        self.record.line(f"{role} {ip} started")

    def signal(self, ip, number, role="host"):
        self.processes[ip, role].send_signal(number)
        self.record.line(f"{role} {ip} receives {signal.Signals(number).name}")

    def kill(self, ip, role="host"):
        self.signal(ip, signal.SIGKILL, role)
        self.processes[ip, role].wait()

    def log_rows(self, ip, kind, role="host"):
        """Return the lines of one kind in the log of a process."""
        rows = []
        path = self.folder / f"{role}-{ip}.log"
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if isinstance(row, dict) and row.get("kind") == kind:
                    rows.append(row)
        return rows

    def leader(self):
        """Return the address of the host that became leader last."""
        newest = max(
            (
                (row["time_s"], ip)
                for ip in self.disk_ips
                for row in self.log_rows(ip, "leading")
            ),
            default=(0.0, ""),
        )
        return newest[1]

    # ---- the platform's and the operator's part ----

    async def put_configuration(self, document):
        body = json.dumps(document).encode()
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            for ip in self.host_ips:
                with contextlib.suppress(OSError, TimeoutError):
                    reply = await call(
                        ip, CONTROL, "PUT", "/api/config", body=body, timeout_s=2.0
                    )
                    if reply.status == 200:
                        version = document["version"]
                        self.record.line(f"{ip} acknowledges configuration {version}")
                        return
            await asyncio.sleep(0.1)
        raise CannotRunError("no host acknowledged the configuration")

    async def await_ready(self, ips=()):
        until_s = time.monotonic() + START_TIMEOUT_S
        for ip in ips or self.host_ips:
            while True:
                with contextlib.suppress(OSError, TimeoutError):
                    reply = await call(ip, READY, "GET", "/api/ready", timeout_s=1.0)
                    if reply.status == 200:
                        break
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{ip} is not ready")
                await asyncio.sleep(0.1)

    # ---- clients ----

    async def send(self, ip, path, headers=None, method="POST", timeout_s=3.0):
        """Send one request of a client to a host; return its id and the reply."""
        self.sent_count += 1
        request_id = f"{self.sent_count:016x}"
        fields = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": "1500",
            "Authorization": f"Bearer {API_KEY}",
            **(headers or {}),
        }
        self.record.line(f"client sends {request_id} to {ip}: {method} {path}")
        try:
            reply = await call(ip, FRONT, method, path, fields, b"x" * 64, timeout_s)
        except (OSError, TimeoutError) as error:
            self.record.line(f"client gets no answer to {request_id}: {error!r}")
            return request_id, None
        self.record.line(f"client gets {reply.status} for {request_id}")
        return request_id, reply

    # ---- end ----

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            server.close()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for writer in list(self.writers):
            writer.close()
        await asyncio.sleep(0.1)
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _popen(words, environment, log):
    import subprocess

    return subprocess.Popen(
        words,
        cwd=REPOSITORY,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=log,
    )


async def _until_stopped(case):
    """Run a case; a SIGTERM cancels it, so that it ends what it has started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await case


def run_case(folder, case):
    """Run ``case(fleet_record, trouble)``, which returns whether the rule held."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"disruption: {'yes' if trouble else 'no'}")
    try:
        held = asyncio.run(_until_stopped(case(record, trouble)))
    except asyncio.CancelledError:
        record.line("stopped by a signal; what was started has been ended")
        return 2
    except CannotRunError as error:
        record.line(f"could not run: {error}")
        return 2
    except Exception as error:
        record.line(f"could not run: {error!r}")
        return 2
    record.line("the rule held" if held else "the rule was broken")
    return 0 if held else 1
