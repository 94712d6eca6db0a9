"""Starts a whole fleet of processes on loopback, for tests, demo and benchmarks."""

import contextlib
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import urllib3
import yaml

from damaskvalve_standins.process import Process

START_TIMEOUT_S = 20.0
FIRST_PORT = 12_000
LAST_PORT = 32_000
# Spread by process id, so that two test runs rarely try the same ports.
_START = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)
_PORTS = itertools.cycle([*range(_START, LAST_PORT), *range(FIRST_PORT, _START)])


def free_address() -> str:
    """Return a loopback address whose port is free and stays so.

    Ports below the ephemeral range are not taken by outgoing connections while
    the process behind them is restarted.
    """
    while True:
        port = next(_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


def wait_for(check: Callable[[], Any], timeout_s: float, what: str) -> Any:
    """Return the first true result of a check, or fail."""
    give_up_s = time.monotonic() + timeout_s
    while time.monotonic() < give_up_s:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for {what}")


class Fleet:
    """Control and entry hosts, agents and their stand-ins."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.control_hosts: list[str] = []
        self.entries: dict[str, str] = {}
        self.backends: dict[str, str] = {}
        self.http = urllib3.PoolManager(maxsize=128, retries=False)
        self._identity_names: set[str] = set()

    # ---- files ----

    @staticmethod
    def python(module: str, *arguments: str) -> list[str]:
        """Return the command line that runs a module."""
        return [sys.executable, "-m", module, *arguments]

    def make_identities(self, names: Sequence[str]) -> None:
        """Make certificates for processes that have none yet."""
        fresh = [name for name in names if name not in self._identity_names]
        if not fresh:
            return
        command = self.python(
            "damaskvalve", "make-identity", "--folder", str(self._identities), *fresh
        )
        subprocess.run(command, check=True, capture_output=True)
        self._identity_names.update(fresh)

    @property
    def _identities(self) -> Path:
        return self.folder / "identity"

    def identity(self, name: str) -> dict[str, str]:
        """Return the identity settings of a process."""
        return {
            "certificate": str(self._identities / f"{name}.pem"),
            "key": str(self._identities / f"{name}.key"),
            "authority": str(self._identities / "authority.pem"),
        }

    def write_settings(self, name: str, document: Mapping[str, Any]) -> Path:
        """Write a settings file."""
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(dict(document), sort_keys=False))
        return path

    # ---- starting ----

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start a process under a name."""
        process = Process(name, arguments, self.folder)
        process.start()
        self.processes[name] = process
        return process

    def start_hosts(
        self,
        count: int,
        *,
        entry: bool = True,
        control: Mapping[str, Any] | None = None,
        entry_settings: Mapping[str, Any] | None = None,
    ) -> None:
        """Start control hosts that are entry hosts too, if asked."""
        names = [f"host-{number}" for number in range(1, count + 1)]
        self.make_identities([*names, "operator"])
        addresses = [free_address() for _ in names]
        self.control_hosts = addresses
        for position, name in enumerate(names):
            near_first = addresses[position:] + addresses[:position]
            document: dict[str, Any] = {
                "name": name,
                "data_centre": f"dc-{position % 3 + 1}",
                "data_folder": f"data-{name}",
                "roles": ["control", "entry"] if entry else ["control"],
                "control_hosts": near_first,
                "identity": self.identity(name),
                "control": {"listen": addresses[position], **(control or {})},
                "log": {"level": "debug"},
            }
            if entry:
                self.entries[name] = free_address()
                document["entry"] = {
                    "listen": self.entries[name],
                    **(entry_settings or {}),
                }
            path = self.write_settings(name, document)
            self.start(
                name, self.python("damaskvalve", "serve", "--settings", str(path))
            )
        self.write_settings(
            "operator",
            {
                "name": "operator",
                "control_hosts": addresses,
                "identity": self.identity("operator"),
            },
        )

    def start_entry(self, name: str, **entry_settings: Any) -> None:
        """Start a host with the entry role alone."""
        self.make_identities([name])
        self.entries[name] = free_address()
        document = {
            "name": name,
            "data_centre": "dc-1",
            "data_folder": f"data-{name}",
            "roles": ["entry"],
            "control_hosts": self.control_hosts,
            "identity": self.identity(name),
            "entry": {"listen": self.entries[name], **entry_settings},
            "log": {"level": "info"},
        }
        path = self.write_settings(name, document)
        self.start(name, self.python("damaskvalve", "serve", "--settings", str(path)))

    def start_engine(self, name: str, *options: str, **agent: Any) -> None:
        """Start a stand-in engine and its agent."""
        self.backends[name] = free_address()
        self.start(
            f"{name}-engine",
            self.python(
                "damaskvalve_standins.engine", "--listen", self.backends[name], *options
            ),
        )
        slots = (
            int(options[options.index("--slots") + 1]) if "--slots" in options else 4
        )
        backend = {"kind": "engine", "serves": "base", "slots": slots}
        self.start_agent(name, name, {**backend, **agent})

    def start_service(self, name: str, **agent: Any) -> None:
        """Start a stand-in service and its agent."""
        self.backends[name] = free_address()
        self.start(
            f"{name}-service",
            self.python(
                "damaskvalve_standins.service", "--listen", self.backends[name]
            ),
        )
        self.start_agent(name, name, {"kind": "service", "serves": name, **agent})

    def start_agent(self, process: str, name: str, backend: Mapping[str, Any]) -> None:
        """Start an agent process for the backend server of a name."""
        self.make_identities([process])
        document = {
            "name": name,
            "data_centre": "dc-1",
            "data_folder": f"data-{process}",
            "listen": free_address(),
            "control_hosts": self.control_hosts,
            "identity": self.identity(process),
            "backend": {"address": self.backends[name], **backend},
            "log": {"level": "debug"},
        }
        path = self.write_settings(f"agent-{process}", document)
        self.start(process, self.python("damaskvalve_agent", "--settings", str(path)))

    # ---- using ----

    def operate(self, *arguments: str, check: bool = True) -> str:
        """Run an operator's command and return what it prints."""
        position = 2
        operator = ["--operator", str(self.folder / "operator.yaml")]
        words = [*arguments[:position], *operator, *arguments[position:]]
        done = subprocess.run(
            self.python("damaskvalve", *words),
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and done.returncode != 0:
            raise AssertionError(f"{arguments}: {done.stdout}{done.stderr}")
        return done.stdout

    def grant_key(self, workspace: str) -> tuple[str, str]:
        """Grant a key and return it with its digest."""
        granted = json.loads(
            self.operate("key", "grant", workspace, "--json", "--wait")
        )
        return granted["key"], granted["digest"]

    def request(
        self,
        entry: str,
        method: str,
        path: str,
        *,
        key: str | None = None,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 40.0,
    ) -> urllib3.BaseHTTPResponse:
        """Send one request to an entry host."""
        sent = dict(headers or {})
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
        return self.http.request(
            method,
            f"http://{self.entries[entry]}{path}",
            body=data,
            headers=sent,
            timeout=timeout_s,
        )

    def complete(
        self, entry: str, key: str, adapter: str, max_tokens: int = 8, **more: Any
    ) -> urllib3.BaseHTTPResponse:
        """Ask for a whole completion."""
        body = {
            "model": adapter,
            "prompt": "the scroll",
            "max_tokens": max_tokens,
            **more,
        }
        return self.request(entry, "POST", "/v1/completions", key=key, body=body)

    def standin(self, name: str, path: str, body: Any = None) -> Any:
        """Call a stand-in's own control path."""
        response = self.http.request(
            "GET" if body is None else "POST",
            f"http://{self.backends[name]}/standin/{path}",
            body=None if body is None else json.dumps(body),
            timeout=5.0,
        )
        return response.json()

    def wait_ready(self, entries: Sequence[str] | None = None) -> None:
        """Wait until entry hosts hold the configuration under a lease."""
        for name in entries or list(self.entries):
            wait_for(
                lambda: self._is_ready(name), START_TIMEOUT_S, f"{name} to be ready"
            )

    def _is_ready(self, name: str) -> bool:
        try:
            return self.request(name, "GET", "/ready", timeout_s=2.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_serving(self, entry: str, key: str, adapter: str) -> None:
        """Wait until a completion works."""
        wait_for(
            lambda: self.complete(entry, key, adapter, 1).status == 200,
            START_TIMEOUT_S,
            "a completion",
        )

    def leader(self) -> str:
        """Return the name of the host that leads the group."""
        status = json.loads(self.operate("config", "status", "--json"))
        for row in status["control_hosts"]:
            if row[1] == "leader":
                position = self.control_hosts.index(row[0])
                return f"host-{position + 1}"
        raise AssertionError("there is no leader")

    def stop(self) -> None:
        """End every process that this fleet started; tell which had ended."""
        for process in self.processes.values():
            if process.has_failed():
                print(f"{process.name} had ended by itself: {process.log_tail()}")
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired, AssertionError):
                process.wait(5.0)


@contextlib.contextmanager
def running_fleet(folder: Path) -> Iterator[Fleet]:
    """Yield an empty fleet; whatever it started is ended at the end."""
    fleet = Fleet(folder)
    try:
        yield fleet
    finally:
        fleet.stop()
