"""Start-up settings of a gateway host."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from damaskvalve_core import Identity, split_address
from damaskvalve_core.http import ConnectionLimits
from damaskvalve_gateway._cold import ColdBound
from damaskvalve_gateway._quota import QuotaSlack
from damaskvalve_state import LossTolerance

# Time within which an acknowledged configuration has to be in force on every host.
CONFIGURATION_APPLY_S = 11.0


class RetryBudgetSettings:
    """The retry budget of each service, shared by all hosts."""

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class GatewaySettings:
    """Addresses, data folder, peers and limits of one host."""

    __slots__ = (
        "name",
        "data_centre",
        "front_address",
        "ready_address",
        "control_address",
        "metrics_address",
        "group_address",
        "rpc_port",
        "agent_port",
        "seeds",
        "folder",
        "may_bootstrap",
        "identity",
        "quota_slack",
        "retries",
        "grace_s",
        "bind_ip",
        "tolerance",
        "configuration_apply_s",
        "regions",
        "cold_bound",
        "connection_limits",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        front_address: str,
        ready_address: str,
        control_address: str,
        metrics_address: str,
        group_address: str,
        rpc_port: int,
        agent_port: int,
        seeds: Sequence[str],
        folder: Path | None,
        quota_slack: QuotaSlack,
        retries: RetryBudgetSettings,
        grace_s: float,
        *,
        may_bootstrap: bool,
        identity: Identity | None = None,
        bind_ip: str = "",
        tolerance: LossTolerance | None = None,
        configuration_apply_s: float = CONFIGURATION_APPLY_S,
        regions: Mapping[str, str] | None = None,
        cold_bound: ColdBound | None = None,
        connection_limits: ConnectionLimits | None = None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.front_address = front_address
        self.ready_address = ready_address
        self.control_address = control_address
        self.metrics_address = metrics_address
        # Where this host talks to the other members of its group.
        self.group_address = group_address
        # Port for RPC calls of other hosts and of agents; the same on all hosts.
        self.rpc_port = rpc_port
        # Port for permits; the same on all agents.
        self.agent_port = agent_port
        # Group addresses used to discover other members.
        self.seeds = tuple(seeds)
        # None on a host without a disk.
        self.folder = folder
        self.quota_slack = quota_slack
        self.retries = retries
        # Time from the stop signal until the process is killed.
        self.grace_s = grace_s
        self.may_bootstrap = may_bootstrap
        # None where the network between the system's processes is trusted.
        self.identity = identity
        # Local IP address if others reach this host under a different one; empty if
        # they are the same.
        self.bind_ip = bind_ip
        # The losses that the group of hosts has to outlive.
        self.tolerance = tolerance or LossTolerance()
        self.configuration_apply_s = configuration_apply_s
        # The region of each data centre of the deployment.
        self.regions = dict(regions or {})
        # How many requests cold backend servers may get.
        self.cold_bound = cold_bound or ColdBound()
        # What the connections of callers, operators and backend servers may hold.
        self.connection_limits = connection_limits or ConnectionLimits()

    def bind_address(self, address: str) -> str:
        """Return the local address to listen on for a published address."""
        ip, port = split_address(address)
        return f"{self.bind_ip or ip}:{port}"

    def group_address_of(self, address: str) -> str:
        """Return the group address of the host that has the given address."""
        ip, _ = split_address(address)
        _, port = split_address(self.group_address)
        return f"{ip}:{port}"

    def rpc_address(self, address: str) -> str:
        """Return the RPC address of the host that has the given address."""
        ip, _ = split_address(address)
        return f"{ip}:{self.rpc_port}"
