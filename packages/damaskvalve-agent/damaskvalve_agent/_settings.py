"""Settings of the agent, and their validation."""

from collections.abc import Sequence
from pathlib import Path

from damaskvalve_core import DEFAULT_GRACE_S, MAX_GRACE_S, MIN_GRACE_S, Identity
from damaskvalve_core.settings import (
    Document,
    Field,
    LogSettings,
    address,
    boolean,
    check_identity,
    check_log,
    integer,
    list_of,
    number,
    one_of,
    read_document,
    settings_table,
    text,
)

_TOP = {
    "name": Field(text, required=True, help="the name of this backend server"),
    "data_centre": Field(text, required=True, help="where it stands"),
    "data_folder": Field(text, required=True, help="the only folder for files"),
    "listen": Field(address, required=True, help="the agent's IP:port"),
    "control_hosts": Field(
        list_of(address, min_items=1, max_items=9),
        required=True,
        help="control addresses",
    ),
    "identity": Field(settings_table, required=True, help="certificate files"),
    "backend": Field(settings_table, required=True, help="the backend server"),
    "queue": Field(settings_table, default={}, help="bounds of the queue"),
    "log": Field(settings_table, default={}, help="level, style, destination"),
    "grace_s": Field(
        number(MIN_GRACE_S, MAX_GRACE_S),
        default=DEFAULT_GRACE_S,
        help="longest planned stop, counted from SIGTERM",
    ),
}
_BACKEND = {
    "address": Field(address, required=True, help="the backend server's IP:port"),
    "kind": Field(one_of("engine", "service"), required=True, help="engine or service"),
    "serves": Field(text, required=True, help="the base model or service name"),
    "slots": Field(integer(1, 4096), default=8, help="adapter slots"),
    "max_running": Field(integer(1, 4096), default=32, help="requests at a time"),
    "checks_fencing": Field(boolean, default=False, help="does it check the number"),
    "request_timeout_s": Field(number(0.1, 3600), default=60.0, help="longest silence"),
}
_QUEUE = {
    "max_waiting": Field(integer(1, 100_000), default=256, help="waiting requests"),
    "max_debt_units": Field(number(0, 1e9), default=2000.0, help="batching debt"),
    "max_loads": Field(integer(1, 64), default=2, help="loads at a time"),
}


class BackendSettings:
    """Address, kind and limits of the backend server."""

    __slots__ = (
        "address",
        "kind",
        "serves",
        "slots",
        "max_running",
        "checks_fencing",
        "request_timeout_s",
    )

    def __init__(
        self,
        address: str,
        kind: str,
        serves: str,
        slots: int,
        max_running: int,
        checks_fencing: bool,
        request_timeout_s: float,
    ) -> None:
        self.address = address
        self.kind = kind
        self.serves = serves
        self.slots = slots
        self.max_running = max_running
        self.checks_fencing = checks_fencing
        self.request_timeout_s = request_timeout_s


class AgentSettings:
    """All settings of one agent."""

    __slots__ = (
        "name",
        "data_centre",
        "data_folder",
        "listen",
        "control_hosts",
        "identity",
        "backend",
        "max_waiting",
        "max_debt_units",
        "max_loads",
        "log",
        "grace_s",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        data_folder: Path,
        listen: str,
        control_hosts: Sequence[str],
        identity: Identity,
        backend: BackendSettings,
        max_waiting: int,
        max_debt_units: float,
        max_loads: int,
        log: LogSettings,
        grace_s: float,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.data_folder = data_folder
        self.listen = listen
        self.control_hosts = tuple(control_hosts)
        self.identity = identity
        self.backend = backend
        self.max_waiting = max_waiting
        self.max_debt_units = max_debt_units
        self.max_loads = max_loads
        self.log = log
        self.grace_s = grace_s


def check_settings(document: Document) -> AgentSettings:
    """Validate a parsed file and return its settings; raise with all findings."""
    top = document.check_table(_TOP, document.value)
    identity = check_identity(document, top["identity"])
    backend = document.check_table(_BACKEND, top["backend"], "backend")
    queue = document.check_table(_QUEUE, top["queue"], "queue")
    log = check_log(document, top["log"])
    document.finish()
    assert identity is not None
    folder = Path(document.path).parent
    return AgentSettings(
        top["name"],
        top["data_centre"],
        folder / top["data_folder"],
        top["listen"],
        top["control_hosts"],
        identity,
        BackendSettings(**backend),
        queue["max_waiting"],
        queue["max_debt_units"],
        queue["max_loads"],
        log,
        top["grace_s"],
    )


def read_settings(path: Path) -> AgentSettings:
    """Read and validate a settings file."""
    return check_settings(read_document(path))
