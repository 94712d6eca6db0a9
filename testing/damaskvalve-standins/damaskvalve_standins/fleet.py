"""Starts hosts, agents and stand-ins on loopback for tests, demo and benchmarks."""

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
# Depends on the process id, so that concurrent test runs rarely try the same ports.
_FIRST_TRIED_PORT = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)
_PORTS = itertools.cycle(
    [*range(_FIRST_TRIED_PORT, LAST_PORT), *range(FIRST_PORT, _FIRST_TRIED_PORT)]
)


def free_address() -> str:
    """Return a loopback address whose port is free.

    Ports below the ephemeral range are not taken by outgoing connections while
    the process that listens on them is restarted.
    """
    while True:
        port = next(_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


# The users' bound until a change is in force everywhere, which takes a leader.
LEADER_TIMEOUT_S = 11.0


def wait_for(check: Callable[[], Any], timeout_s: float, what: str) -> Any:
    """Poll a check and return its first true result; fail after the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for {what}")


class Fleet:
    """A set of control and entry hosts, agents and stand-in backend servers."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        # The longest planned stop of the hosts and agents that are started from now on.
        self.grace_s = 120.0
        self.processes: dict[str, Process] = {}
        self.control_hosts: list[str] = []
        self.entries: dict[str, str] = {}
        self.backends: dict[str, str] = {}
        self.http = urllib3.PoolManager(maxsize=128, retries=False)
        self._identity_names: set[str] = set()

    # ---- files ----

    @staticmethod
    def python_command(module: str, *arguments: str) -> list[str]:
        """Return the command line that runs a Python module."""
        return [sys.executable, "-m", module, *arguments]

    def make_identities(self, names: Sequence[str]) -> None:
        """Make certificates for those processes that have none yet."""
        missing = [name for name in names if name not in self._identity_names]
        if not missing:
            return
        command = self.python_command(
            "damaskvalve", "make-identity", "--folder", str(self._identities), *missing
        )
        subprocess.run(command, check=True, capture_output=True)
        self._identity_names.update(missing)

    @property
    def _identities(self) -> Path:
        return self.folder / "identity"

    def identity_settings(self, name: str) -> dict[str, str]:
        """Return the identity settings of a process."""
        return {
            "certificate": str(self._identities / f"{name}.pem"),
            "key": str(self._identities / f"{name}.key"),
            "authority": str(self._identities / "authority.pem"),
        }

    def write_settings(self, name: str, document: Mapping[str, Any]) -> Path:
        """Write the settings file of a process and return its path."""
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(dict(document), sort_keys=False))
        return path

    # ---- starting ----

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start a process and register it under a name."""
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
        """Start control hosts, by default with the entry role too."""
        names = [f"host-{number}" for number in range(1, count + 1)]
        self.make_identities([*names, "operator"])
        addresses = [free_address() for _ in names]
        self.control_hosts = addresses
        for position, name in enumerate(names):
            local_first = addresses[position:] + addresses[:position]
            document: dict[str, Any] = {
                "name": name,
                "data_centre": f"dc-{position % 3 + 1}",
                "data_folder": f"data-{name}",
                "roles": ["control", "entry"] if entry else ["control"],
                "control_hosts": local_first,
                "identity": self.identity_settings(name),
                "control": {"listen": addresses[position], **(control or {})},
                "log": {"level": "debug"},
                "grace_s": self.grace_s,
            }
            if entry:
                self.entries[name] = free_address()
                document["entry"] = {
                    "listen": self.entries[name],
                    **(entry_settings or {}),
                }
            path = self.write_settings(name, document)
            self.start(
                name,
                self.python_command("damaskvalve", "serve", "--settings", str(path)),
            )
        self.write_settings(
            "operator",
            {
                "name": "operator",
                "control_hosts": addresses,
                "identity": self.identity_settings("operator"),
            },
        )

    def start_entry(self, name: str, **entry_settings: Any) -> None:
        """Start a host that has only the entry role."""
        self.make_identities([name])
        self.entries[name] = free_address()
        document = {
            "name": name,
            "data_centre": "dc-1",
            "data_folder": f"data-{name}",
            "roles": ["entry"],
            "control_hosts": self.control_hosts,
            "identity": self.identity_settings(name),
            "entry": {"listen": self.entries[name], **entry_settings},
            "log": {"level": "info"},
        }
        path = self.write_settings(name, document)
        self.start(
            name, self.python_command("damaskvalve", "serve", "--settings", str(path))
        )

    def start_engine(self, name: str, *options: str, **agent: Any) -> None:
        """Start a stand-in engine with command-line options, and its agent.

        The agent's process has the name of the engine.
        """
        self.backends[name] = free_address()
        self.start(
            f"{name}-engine",
            self.python_command(
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
            self.python_command(
                "damaskvalve_standins.service", "--listen", self.backends[name]
            ),
        )
        self.start_agent(name, name, {"kind": "service", "serves": name, **agent})

    def start_agent(self, process: str, name: str, backend: Mapping[str, Any]) -> None:
        """Start an agent process for a backend server that runs already.

        ``process`` is the name of the agent's process, ``name`` that of the backend
        server.
        """
        self.make_identities([process])
        document = {
            "name": name,
            "data_centre": "dc-1",
            "data_folder": f"data-{process}",
            "listen": free_address(),
            "control_hosts": self.control_hosts,
            "identity": self.identity_settings(process),
            "backend": {"address": self.backends[name], **backend},
            "log": {"level": "debug"},
            "grace_s": self.grace_s,
        }
        path = self.write_settings(f"agent-{process}", document)
        self.start(
            process, self.python_command("damaskvalve_agent", "--settings", str(path))
        )

    # ---- requests and commands ----

    def run_operator_command(self, *arguments: str, check: bool = True) -> str:
        """Run an operator's command and return its standard output."""
        options_start = 2
        operator = ["--operator", str(self.folder / "operator.yaml")]
        operator_command = [
            *arguments[:options_start],
            *operator,
            *arguments[options_start:],
        ]
        completed = subprocess.run(
            self.python_command("damaskvalve", *operator_command),
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and completed.returncode != 0:
            raise AssertionError(f"{arguments}: {completed.stdout}{completed.stderr}")
        return completed.stdout

    def grant_key(self, workspace: str) -> tuple[str, str]:
        """Grant an API key for a workspace; return the key and its digest."""
        granted = json.loads(
            self.run_operator_command("key", "grant", workspace, "--json", "--wait")
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
        all_headers = dict(headers or {})
        if key is not None:
            all_headers["Authorization"] = f"Bearer {key}"
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
        return self.http.request(
            method,
            f"http://{self.entries[entry]}{path}",
            body=data,
            headers=all_headers,
            timeout=timeout_s,
        )

    def complete(
        self, entry: str, key: str, adapter: str, max_tokens: int = 8, **fields: Any
    ) -> urllib3.BaseHTTPResponse:
        """Request an unstreamed completion."""
        body = {
            "model": adapter,
            "prompt": "the scroll",
            "max_tokens": max_tokens,
            **fields,
        }
        return self.request(entry, "POST", "/v1/completions", key=key, body=body)

    def call_standin(self, name: str, path: str, body: Any = None) -> Any:
        """Call a test-control path of a stand-in and return the JSON reply."""
        response = self.http.request(
            "GET" if body is None else "POST",
            f"http://{self.backends[name]}/standin/{path}",
            body=None if body is None else json.dumps(body),
            timeout=5.0,
        )
        return response.json()

    def wait_ready(self, entries: Sequence[str] | None = None) -> None:
        """Wait until the entry hosts, by default all, hold a leased configuration."""
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
        """Wait until a completion through an entry host succeeds."""
        wait_for(
            lambda: self.complete(entry, key, adapter, 1).status == 200,
            START_TIMEOUT_S,
            "a completion",
        )

    def leader(self) -> str:
        """Return the name of the host that is the leader, after an election if need be.

        A group may be without one for a moment, as after its leader was not scheduled.
        """
        name: str = wait_for(self._leader, LEADER_TIMEOUT_S, "a leader")
        return name

    def _leader(self) -> str | None:
        status = json.loads(self.run_operator_command("config", "status", "--json"))
        for row in status["control_hosts"]:
            if row[1] == "leader":
                position = self.control_hosts.index(row[0])
                return f"host-{position + 1}"
        return None

    def stop(self) -> None:
        """Kill every process of this fleet; print those that had failed before."""
        for process in self.processes.values():
            if process.has_failed():
                print(f"{process.name} had exited with an error: {process.log_tail()}")
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired, AssertionError):
                process.wait(5.0)


@contextlib.contextmanager
def running_fleet(folder: Path) -> Iterator[Fleet]:
    """Yield an empty fleet and kill all its processes on exit."""
    fleet = Fleet(folder)
    try:
        yield fleet
    finally:
        fleet.stop()
