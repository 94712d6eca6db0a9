"""Settings of the permit server."""

from collections.abc import Iterable, Sequence

from damaskvalve_core import Identity, split_address


class PermitSettings:
    """Addresses and identity of one permit server."""

    __slots__ = (
        "name",
        "address",
        "engine_address",
        "metrics_address",
        "rpc_hosts",
        "identity",
    )

    def __init__(
        self,
        name: str,
        address: str,
        engine_address: str,
        metrics_address: str,
        rpc_hosts: Sequence[str],
        identity: Identity | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.engine_address = engine_address
        self.metrics_address = metrics_address
        # RPC addresses of the hosts, through which the agent finds the leader.
        self.rpc_hosts = tuple(rpc_hosts)
        self.identity = identity

    def rpc_addresses(self, ips: Iterable[str]) -> Sequence[str]:
        """Return the RPC addresses of hosts; all hosts have the same port."""
        ports = {split_address(address)[1] for address in self.rpc_hosts}
        return [f"{ip}:{port}" for ip in ips for port in ports]
