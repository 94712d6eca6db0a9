"""What a host knows of configuration, versions and backend servers."""

from collections.abc import Mapping

from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._crashes import CrashTracker
from damaskvalve_gateway._model import GatewayConfiguration
from damaskvalve_gateway._quarantine import SuspectStatus

# Hosts that are assumed until the leader has said how many there are.
ASSUMED_HOST_COUNT = 8


class ClusterView:
    """Replaced or filled by the controllers, read by the request path."""

    def __init__(self) -> None:
        # None until the first configuration has arrived.
        self.configuration: GatewayConfiguration | None = None
        # The same as the operators sent it.
        self.configuration_body = b""
        # Newest versions by adapter, as far as operators have named one.
        self.adapter_versions: Mapping[str, int] = {}
        self.backends = BackendTable()
        # What this host has seen itself, and as the leader what all have.
        self.crashes = CrashTracker()
        # What was committed about requests that end backend servers.
        self.suspect_statuses: Mapping[str, SuspectStatus] = {}
        self.host_count = ASSUMED_HOST_COUNT
        # Every host that may hold a part of the rates, as it was committed.
        self.registered_hosts: frozenset[str] = frozenset()
        # When the leader was last heard.
        self.leader_contact_s = 0.0
