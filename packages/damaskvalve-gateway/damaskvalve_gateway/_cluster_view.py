"""A host's local copy of the cluster state that the request path reads."""

from collections.abc import Mapping, Sequence

from damaskvalve_core.messages import StreamRecord
from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._confirmations import Confirmations
from damaskvalve_gateway._crashes import CrashTracker, parts_of_key
from damaskvalve_gateway._model import GatewayConfiguration
from damaskvalve_gateway._quarantine import SuspectStatus

# Number of hosts that is assumed until the first reply of the leader.
ASSUMED_HOST_COUNT = 8


class ClusterView:
    """Configuration, versions and backend servers, updated by the controllers."""

    def __init__(self) -> None:
        # None until the first configuration has been applied.
        self.configuration: GatewayConfiguration | None = None
        # The configuration as operators sent it, uncompressed.
        self.configuration_body = b""
        self.confirmations = Confirmations()
        # Current version by ``model/adapter``, where operators have set one.
        self.adapter_versions: Mapping[str, int] = {}
        # Software version of the streams without a record, by service, and the records
        # of the other streams.
        self.base_versions: Mapping[str, str] = {}
        self.stream_records: Mapping[bytes, StreamRecord] = {}
        self.backends = BackendTable()
        # The region of each data centre; empty if the settings name none.
        self.regions: Mapping[str, str] = {}
        # Crashes that this host has observed; on the leader, those of all hosts.
        self.crashes = CrashTracker()
        # Keys of refused parts of which this host may send one request as a trial.
        self.trial_parts: set[str] = set()
        self._suspect_statuses: Mapping[str, SuspectStatus] = {}
        # The keys of committed records about parts of prompts, by each part they name.
        self._keys_by_part: dict[str, list[str]] = {}
        self.host_count = ASSUMED_HOST_COUNT
        # Committed addresses of every host that may hold a share of the rates.
        self.registered_hosts: frozenset[str] = frozenset()
        # Time of the last successful exchange with the leader.
        self.leader_contact_s = 0.0

    @property
    def suspect_statuses(self) -> Mapping[str, SuspectStatus]:
        """Committed status of requests and parts that crash backend servers, by key."""
        return self._suspect_statuses

    @suspect_statuses.setter
    def suspect_statuses(self, statuses: Mapping[str, SuspectStatus]) -> None:
        self._suspect_statuses = statuses
        self._keys_by_part = {}
        for key in statuses:
            for part in parts_of_key(key):
                self._keys_by_part.setdefault(part, []).append(key)

    def suspect_keys_of(self, part: str) -> Sequence[str]:
        """Return the keys of the committed records that name a part."""
        return self._keys_by_part.get(part, ())
