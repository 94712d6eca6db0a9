"""The backend servers whose agents report to one control host.

The table is soft state: it is rebuilt from the agents' reports and never
replicated. Every change that affects routing raises the version, so that
subscribers receive only what changed.
"""

import copy
import threading
from collections.abc import Callable, Mapping, Sequence

from damaskvalve_core.messages import BackendReport

# A backend server without a report for longer than this gets no new work.
BACKEND_LEASE_S = 2.5
# A backend server that returns FLAP_LIMIT times within the window gets no new work
# for FLAP_SUPPRESSION_S, unless no other one can take the work.
FLAP_WINDOW_S = 60.0
FLAP_LIMIT = 4
FLAP_SUPPRESSION_S = 20.0


class TableChanges:
    """The changes of the table since a version."""

    __slots__ = ("version", "changed", "removed")

    def __init__(
        self, version: int, changed: Sequence[BackendReport], removed: Sequence[str]
    ) -> None:
        self.version = version
        self.changed = changed
        self.removed = removed


class _Entry:
    """A backend server's last report, its lease and the times of its returns."""

    __slots__ = (
        "report",
        "reported_at_s",
        "return_times_s",
        "suppressed_until_s",
        "expired",
        "usable",
        "version",
    )

    def __init__(self, report: BackendReport, now_s: float) -> None:
        self.report = report
        self.reported_at_s = now_s
        self.return_times_s: list[float] = []
        self.suppressed_until_s = 0.0
        self.expired = False
        self.usable = False
        self.version = 0


class BackendTable:
    """Leases of backend servers.

    ``on_usability_change`` is called when a backend server becomes usable or unusable.
    """

    def __init__(self, on_usability_change: Callable[[], None]) -> None:
        self._on_usability_change = on_usability_change
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}
        self._version = 1
        # Service that all backend servers have delivered, by workspace.
        self._served: dict[str, float] = {}

    def update(self, report: BackendReport, now_s: float) -> None:
        """Apply a report; drop one of the same incarnation that is out of order."""
        with self._lock:
            entry = self._entries.get(report.backend_server)
            if entry is not None and not _is_newer(report, entry.report):
                return
            self._count_served(report, entry)
            if entry is None:
                entry = self._entries[report.backend_server] = _Entry(report, now_s)
                routing_changed = True
            else:
                routing_changed = _affects_routing(entry.report, report)
                _renew(entry, report, now_s)
            usability_changed = self._update_usable(entry, now_s)
            if routing_changed or usability_changed:
                self._bump_version(entry)
        if usability_changed:
            self._on_usability_change()

    def _count_served(self, report: BackendReport, entry: _Entry | None) -> None:
        """Add the service delivered since the last full report to the totals.

        A report without totals takes over those of the last full one.
        """
        before = entry.report.served if entry is not None else {}
        if report.served is None:
            report.served = before
            report.counters = entry.report.counters if entry is not None else {}
            return
        if entry is not None and report.incarnation != entry.report.incarnation:
            before = {}
        for workspace, units in report.served.items():
            gained = max(0.0, units - before.get(workspace, 0.0))
            self._served[workspace] = self._served.get(workspace, 0.0) + gained

    def expire(self, now_s: float) -> None:
        """Mark backend servers whose lease has ended as unusable.

        This also updates the flapping ones, whose suppression may have ended.
        """
        usability_changed = False
        with self._lock:
            for entry in self._entries.values():
                if now_s - entry.reported_at_s > BACKEND_LEASE_S:
                    entry.expired = True
                if self._update_usable(entry, now_s):
                    self._bump_version(entry)
                    usability_changed = True
        if usability_changed:
            self._on_usability_change()

    def _bump_version(self, entry: _Entry) -> None:
        self._version += 1
        entry.version = self._version

    def _update_usable(self, entry: _Entry, now_s: float) -> bool:
        suppressed = now_s < entry.suppressed_until_s and self._has_stable_alternative(
            entry, now_s
        )
        usable = not (entry.expired or entry.report.leaving or suppressed)
        changed = usable != entry.usable
        entry.usable = usable
        return changed

    def _has_stable_alternative(self, entry: _Entry, now_s: float) -> bool:
        """Return whether another backend server can take the work of a flapping one.

        If none can, a flapping backend server serves callers better than none.
        """
        service = (entry.report.kind, entry.report.serves)
        return any(
            not (other.expired or other.report.leaving)
            and now_s >= other.suppressed_until_s
            and (other.report.kind, other.report.serves) == service
            for other in self._entries.values()
            if other is not entry
        )

    def changes_since(self, version: int) -> TableChanges:
        """Return the changes after a version; the whole table for version 0."""
        with self._lock:
            changed_entries = [
                item for item in self._entries.values() if item.version > version
            ]
            return TableChanges(
                self._version,
                [
                    _without_totals(item.report)
                    for item in changed_entries
                    if item.usable
                ],
                [
                    item.report.backend_server
                    for item in changed_entries
                    if not item.usable
                ],
            )

    def usable(self) -> Sequence[BackendReport]:
        """Return the backend servers that may receive new work."""
        return self.changes_since(0).changed

    def served_elsewhere(self, backend_server: str) -> Mapping[str, float]:
        """Return the service delivered by all other backend servers, by workspace."""
        with self._lock:
            entry = self._entries.get(backend_server)
            own = entry.report.served if entry is not None else {}
            return {
                workspace: units - own.get(workspace, 0.0)
                for workspace, units in self._served.items()
            }

    def counters(self) -> Mapping[str, Mapping[str, float]]:
        """Return the totals that each agent with a valid lease has reported."""
        with self._lock:
            return {
                name: dict(entry.report.counters or {})
                for name, entry in self._entries.items()
                if not entry.expired
            }


def _without_totals(report: BackendReport) -> BackendReport:
    """Return a copy of a report without the totals that routing does not need."""
    trimmed = copy.copy(report)
    trimmed.served = None
    trimmed.counters = None
    return trimmed


def _is_newer(report: BackendReport, latest: BackendReport) -> bool:
    if report.incarnation != latest.incarnation:
        return True
    return bool(report.sequence > latest.sequence)


def _affects_routing(old: BackendReport, new: BackendReport) -> bool:
    """Return whether the difference between two reports affects routing."""
    if old.incarnation != new.incarnation or old.leaving != new.leaving:
        return True
    if set(old.resident) != set(new.resident):
        return True
    return _load_bucket(old) != _load_bucket(new)


def _load_bucket(report: BackendReport) -> tuple[int, int]:
    """Return the load in coarse steps, so that small changes are not sent."""
    return report.queued.bit_length(), report.running * 4 // max(1, report.max_running)


def _renew(entry: _Entry, report: BackendReport, now_s: float) -> None:
    restarted = report.incarnation != entry.report.incarnation
    if (entry.expired or restarted) and not entry.report.leaving:
        recent = [at for at in entry.return_times_s if now_s - at < FLAP_WINDOW_S]
        entry.return_times_s = [*recent, now_s]
        if len(entry.return_times_s) >= FLAP_LIMIT:
            entry.suppressed_until_s = now_s + FLAP_SUPPRESSION_S
    entry.report = report
    entry.reported_at_s = now_s
    entry.expired = False
