"""An entry host's copy of the configuration, held under a lease.

The lease derives from a leader that was confirmed by a quorum. It is measured on
this host's monotonic clock, from the time at which the poll was sent, less the age
of the answer. A host whose lease has expired must not act on the configuration.
"""

import threading
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Any

import logbook

from damaskvalve._configuration import (
    ADAPTER,
    DEFAULT_ROUTES,
    DRAIN,
    EVACUATION,
    KEY,
    OPERATOR,
    ROUTE,
    WORKSPACE,
    AdapterGrant,
    Drain,
    KeyGrant,
    Operator,
    Route,
    Workspace,
    parse_row,
)
from damaskvalve_core.messages import BackendReport, PollReply, Row, SuspectRecord

CONFIGURATION_LEASE_S = 3.0
MAX_CACHED_ADAPTERS = 4_096

_log = logbook.Logger("view")


class ConfigurationView:
    """The configuration rows in force; the revision never decreases."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self.revision = 0
        self.control_id = ""
        self.backends_version = 0
        self.suspects_version = -1
        # Incremented whenever the set of usable backend servers may have changed.
        self.backends_epoch = 0
        self._leased_until_s = float("-inf")
        self._tables: dict[str, dict[str, Any]] = {}
        self._adapters: OrderedDict[str, AdapterGrant | None] = OrderedDict()
        self._backends: dict[str, BackendReport] = {}
        self._suspects: dict[str, SuspectRecord] = {}
        self._routes: Sequence[Route] = DEFAULT_ROUTES

    def apply(self, reply: PollReply, sent_at_s: float) -> bool:
        """Apply the answer to a poll; return False if its revision is older."""
        with self._lock:
            if reply.revision < self.revision:
                return False
            self._apply_rows(reply)
            if reply.backends or reply.removed_backends or reply.rows or reply.full:
                self.backends_epoch += 1
            self.revision = reply.revision
            self._apply_backends(reply)
            if reply.suspects is not None:
                self._suspects = {item.fingerprint: item for item in reply.suspects}
            self.suspects_version = reply.suspects_version
            if reply.fresh:
                leased_until_s = sent_at_s - reply.age_s + CONFIGURATION_LEASE_S
                self._leased_until_s = max(self._leased_until_s, leased_until_s)
            return True

    def _apply_rows(self, reply: PollReply) -> None:
        if reply.full:
            self._tables = {}
            self._adapters.clear()
        for key in reply.evicted_adapters or ():
            self._adapters.pop(key, None)
        for row in reply.rows or ():
            self._apply_row(row)
        if reply.full or any(row.table == ROUTE for row in reply.rows or ()):
            configured = list(self._tables.get(ROUTE, {}).values())
            routes = [*configured, *DEFAULT_ROUTES]
            self._routes = sorted(routes, key=lambda route: -len(route.path))

    def _apply_row(self, row: Row) -> None:
        table = self._tables.setdefault(row.table, {})
        if row.value is None:
            table.pop(row.key, None)
            return
        try:
            table[row.key] = parse_row(row.table, row.key, row.value)
        except ValueError as error:
            _log.error(
                "row {}/{} is invalid and is not in force: {}",
                row.table,
                row.key,
                error,
            )
            table.pop(row.key, None)

    def _apply_backends(self, reply: PollReply) -> None:
        if reply.control_id != self.control_id:
            self._backends = {}
            self.control_id = reply.control_id
        for report in reply.backends or ():
            self._backends[report.backend_server] = report
        for name in reply.removed_backends or ():
            self._backends.pop(name, None)
        self.backends_version = reply.backends_version

    def is_leased(self, now_s: float) -> bool:
        """Return whether the configuration is known to be in force."""
        with self._lock:
            return now_s < self._leased_until_s

    def _get(self, table: str, key: str) -> Any:
        with self._lock:
            return self._tables.get(table, {}).get(key)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by its name, or None if there is none."""
        found: Workspace | None = self._get(WORKSPACE, name)
        return found

    def key(self, digest: str) -> KeyGrant | None:
        """Return the grant of an API key by its digest, or None if there is none."""
        found: KeyGrant | None = self._get(KEY, digest)
        return found

    def operator(self, digest: str) -> Operator | None:
        """Return an operator by the digest of the key, or None if there is none."""
        found: Operator | None = self._get(OPERATOR, digest)
        return found

    def route(self, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        with self._lock:
            routes = self._routes
        for route in routes:
            if path == route.path or path.startswith(f"{route.path}/"):
                return route
        return None

    def cached_adapter(self, key: str) -> tuple[bool, AdapterGrant | None]:
        """Return whether the lookup of a grant is cached, and the grant.

        The grant is None if it is not cached or if the workspace has no such adapter.
        """
        with self._lock:
            if key not in self._adapters:
                return False, None
            self._adapters.move_to_end(key)
            return True, self._adapters[key]

    def cache_adapter(self, key: str, row: Row | None, revision: int) -> None:
        """Cache a looked-up grant, unless it is older than the current revision."""
        with self._lock:
            if revision < self.revision:
                return
            grant = None
            if row is not None:
                grant = parse_row(ADAPTER, key, row.value)
            self._adapters[key] = grant
            while len(self._adapters) > MAX_CACHED_ADAPTERS:
                self._adapters.popitem(last=False)

    def backends(self) -> Sequence[BackendReport]:
        """Return the backend servers that may receive new work."""
        with self._lock:
            drained: Mapping[str, Drain] = self._tables.get(DRAIN, {})
            evacuated = self._tables.get(EVACUATION, {})
            return [
                report
                for report in self._backends.values()
                if report.backend_server not in drained
                and report.data_centre not in evacuated
            ]

    def is_evacuated(self, kind: str, serves: str) -> bool:
        """Return whether evacuations alone leave no backend server of a service."""
        with self._lock:
            evacuated = self._tables.get(EVACUATION, {})
            centres = {
                report.data_centre
                for report in self._backends.values()
                if (report.kind, report.serves) == (kind, serves)
            }
        return bool(centres) and all(item in evacuated for item in centres)

    def suspect(self, fingerprint: str) -> SuspectRecord | None:
        """Return the record of a request suspected of crashes, or None if it is not."""
        with self._lock:
            return self._suspects.get(fingerprint)
