"""Settings of the host program and of the operators' commands."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from damaskvalve_core import DEFAULT_GRACE_S, MAX_GRACE_S, MIN_GRACE_S, Identity
from damaskvalve_core.settings import (
    Document,
    Field,
    LogSettings,
    address,
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

ENTRY = "entry"
CONTROL = "control"


_HOST_FIELDS = {
    "name": Field(text, required=True, help="the name of this host"),
    "data_centre": Field(text, required=True, help="the data centre of this host"),
    "data_folder": Field(
        text, required=True, help="the only folder that this host writes to"
    ),
    "roles": Field(
        list_of(one_of(ENTRY, CONTROL), min_items=1, max_items=2),
        required=True,
        help="entry, control or both",
    ),
    "control_hosts": Field(
        list_of(address, min_items=1, max_items=9),
        required=True,
        help="every control address, the nearest first",
    ),
    "identity": Field(settings_table, required=True, help="certificate files"),
    "entry": Field(settings_table, default={}, help="the entry role"),
    "control": Field(settings_table, default={}, help="the control role"),
    "log": Field(settings_table, default={}, help="level, style, destination"),
    "grace_s": Field(
        number(MIN_GRACE_S, MAX_GRACE_S),
        default=DEFAULT_GRACE_S,
        help="longest planned stop, counted from SIGTERM",
    ),
}
_ENTRY_FIELDS = {
    "listen": Field(address, default="127.0.0.1:8080", help="callers' IP:port"),
    "threads": Field(integer(2, 2000), default=96, help="requests at a time"),
    "max_body_bytes": Field(
        integer(1024, 64 * 1024 * 1024), default=4 * 1024 * 1024, help="largest body"
    ),
    "max_header_bytes": Field(
        integer(1024, 1024 * 1024), default=32 * 1024, help="largest headers"
    ),
    "caller_timeout_s": Field(
        number(0.5, 600), default=20.0, help="idle timeout for callers"
    ),
    "max_output_tokens": Field(
        integer(1, 1_000_000), default=512, help="output limit if a caller sets none"
    ),
    "job_runners": Field(integer(0, 64), default=2, help="deferred jobs at a time"),
}
_CONTROL_FIELDS = {
    "listen": Field(address, default="127.0.0.1:7000", help="this control IP:port"),
    "election_timeout_s": Field(
        number(0.3, 30), default=1.0, help="time without a leader before an election"
    ),
    "heartbeat_s": Field(number(0.02, 5), default=0.15, help="leader's heartbeat"),
    "load_rate_per_s": Field(
        number(0.01, 10_000), default=2.0, help="load rate that the store allows"
    ),
    "load_burst": Field(number(1, 1000), default=2.0, help="loads at once"),
    "max_loads_in_flight": Field(integer(1, 1000), default=8, help="loads at a time"),
    "retention_s": Field(
        number(60, 31_536_000), default=86_400.0, help="how long answers are kept"
    ),
}


class EntrySettings:
    """Settings of the entry role."""

    __slots__ = tuple(_ENTRY_FIELDS)

    listen: str
    threads: int
    max_body_bytes: int
    max_header_bytes: int
    caller_timeout_s: float
    max_output_tokens: int
    job_runners: int

    def __init__(self, **values: Any) -> None:
        for name in self.__slots__:
            setattr(self, name, values[name])


class ControlSettings:
    """Settings of the control role."""

    __slots__ = tuple(_CONTROL_FIELDS)

    listen: str
    election_timeout_s: float
    heartbeat_s: float
    load_rate_per_s: float
    load_burst: float
    max_loads_in_flight: int
    retention_s: float

    def __init__(self, **values: Any) -> None:
        for name in self.__slots__:
            setattr(self, name, values[name])


class HostSettings:
    """Settings of a host."""

    __slots__ = (
        "name",
        "data_centre",
        "data_folder",
        "roles",
        "control_hosts",
        "identity",
        "entry",
        "control",
        "log",
        "grace_s",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        data_folder: Path,
        roles: Sequence[str],
        control_hosts: Sequence[str],
        identity: Identity,
        entry: EntrySettings,
        control: ControlSettings,
        log: LogSettings,
        grace_s: float,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.data_folder = data_folder
        self.roles = tuple(roles)
        self.control_hosts = tuple(control_hosts)
        self.identity = identity
        self.entry = entry
        self.control = control
        self.log = log
        self.grace_s = grace_s


def check_settings(document: Document) -> HostSettings:
    """Return the settings of a parsed file, or raise one error with all findings."""
    top = document.check_table(_HOST_FIELDS, document.value)
    identity = check_identity(document, top["identity"])
    entry = document.check_table(_ENTRY_FIELDS, top["entry"], "entry")
    control = document.check_table(_CONTROL_FIELDS, top["control"], "control")
    log = check_log(document, top["log"])
    _check_control(document, top, control)
    document.finish()
    assert identity is not None
    folder = Path(document.path).parent
    return HostSettings(
        top["name"],
        top["data_centre"],
        folder / top["data_folder"],
        top["roles"],
        top["control_hosts"],
        identity,
        EntrySettings(**entry),
        ControlSettings(**control),
        log,
        top["grace_s"],
    )


def _check_control(document: Document, top: Any, control: Any) -> None:
    roles = top["roles"] or ()
    hosts = top["control_hosts"] or ()
    if CONTROL in roles and control["listen"] not in hosts:
        document.report("listen: must be one of control_hosts", "control", "listen")
    if control["heartbeat_s"] * 3 > control["election_timeout_s"]:
        document.report(
            "heartbeat_s: must be at most a third of election_timeout_s",
            "control",
            "heartbeat_s",
        )


def read_settings(path: Path) -> HostSettings:
    """Read and check a settings file."""
    return check_settings(read_document(path))


class OperatorSettings:
    """Settings of the operators' commands: addresses, identity and a name."""

    __slots__ = ("name", "control_hosts", "identity")

    def __init__(
        self, name: str, control_hosts: Sequence[str], identity: Identity
    ) -> None:
        self.name = name
        self.control_hosts = tuple(control_hosts)
        self.identity = identity


_OPERATOR_FIELDS = {
    "name": _HOST_FIELDS["name"],
    "control_hosts": _HOST_FIELDS["control_hosts"],
    "identity": _HOST_FIELDS["identity"],
}


def read_operator_settings(path: Path) -> OperatorSettings:
    """Read and check an operator's settings file."""
    document = read_document(path)
    top = document.check_table(_OPERATOR_FIELDS, document.value)
    identity = check_identity(document, top["identity"])
    document.finish()
    assert identity is not None
    return OperatorSettings(
        top["name"],
        top["control_hosts"],
        identity,
    )
