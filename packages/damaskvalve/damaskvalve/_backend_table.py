"""The backend servers that announced themselves, as one control host sees them.

Soft state: it is rebuilt from the agents' reports and never replicated. Every
change that matters for routing raises the version, so that subscribers get only
what changed.
"""

import copy
import threading
from collections.abc import Callable, Mapping, Sequence

from damaskvalve_core.messages import BackendReport

BACKEND_LEASE_S = 2.5
# One that came back so often within the window gets no new work for a while, unless
# no other one can take it.
FLAP_WINDOW_S = 60.0
FLAP_LIMIT = 4
HOLD_BACK_S = 20.0


class TableChanges:
    """What changed in the table since a version."""

    __slots__ = ("version", "changed", "removed")

    def __init__(
        self, version: int, changed: Sequence[BackendReport], removed: Sequence[str]
    ) -> None:
        self.version = version
        self.changed = changed
        self.removed = removed


class _Known:
    """A backend server with when it was heard and when it came back."""

    __slots__ = (
        "report",
        "heard_at_s",
        "returns_s",
        "held_until_s",
        "expired",
        "usable",
        "version",
    )

    def __init__(self, report: BackendReport, now_s: float) -> None:
        self.report = report
        self.heard_at_s = now_s
        self.returns_s: list[float] = []
        self.held_until_s = 0.0
        self.expired = False
        self.usable = False
        self.version = 0


class BackendTable:
    """Leases of backend servers; ``on_urgent`` runs when one comes or goes."""

    def __init__(self, on_urgent: Callable[[], None]) -> None:
        self._on_urgent = on_urgent
        self._lock = threading.Lock()
        self._known: dict[str, _Known] = {}
        self._version = 1
        # Service that the whole fleet has delivered, by workspace.
        self._served: dict[str, float] = {}

    def update(self, report: BackendReport, now_s: float) -> None:
        """Take a report; reports of an older incarnation or order are dropped."""
        with self._lock:
            known = self._known.get(report.backend_server)
            if known is not None and not _is_newer(report, known.report):
                return
            self._count_served(report, known)
            if known is None:
                known = self._known[report.backend_server] = _Known(report, now_s)
                differs = True
            else:
                differs = _differs(known.report, report)
                _renew(known, report, now_s)
            urgent = self._update_usable(known, now_s)
            if differs or urgent:
                self._raise_version(known)
        if urgent:
            self._on_urgent()

    def _count_served(self, report: BackendReport, known: _Known | None) -> None:
        """Add what was delivered since the last full report to the total."""
        before = known.report.served if known is not None else {}
        if report.served is None:
            report.served = before
            report.counters = known.report.counters if known is not None else {}
            return
        if known is not None and report.incarnation != known.report.incarnation:
            before = {}
        for workspace, units in report.served.items():
            gained = max(0.0, units - before.get(workspace, 0.0))
            self._served[workspace] = self._served.get(workspace, 0.0) + gained

    def expire(self, now_s: float) -> None:
        """Note the backend servers whose lease has ended."""
        urgent = False
        with self._lock:
            for known in self._known.values():
                if now_s - known.heard_at_s > BACKEND_LEASE_S:
                    known.expired = True
                if self._update_usable(known, now_s):
                    self._raise_version(known)
                    urgent = True
        if urgent:
            self._on_urgent()

    def _raise_version(self, known: _Known) -> None:
        self._version += 1
        known.version = self._version

    def _update_usable(self, known: _Known, now_s: float) -> bool:
        held_back = now_s < known.held_until_s and self._has_steady_other(known, now_s)
        usable = not (known.expired or known.report.leaving or held_back)
        changed = usable != known.usable
        known.usable = usable
        return changed

    def _has_steady_other(self, known: _Known, now_s: float) -> bool:
        """Return whether another one can take the work of one that is held back.

        If not, one that comes and goes is better for callers than none.
        """
        terms = (known.report.kind, known.report.serves)
        return any(
            not (other.expired or other.report.leaving)
            and now_s >= other.held_until_s
            and (other.report.kind, other.report.serves) == terms
            for other in self._known.values()
            if other is not known
        )

    def changes_since(self, version: int) -> TableChanges:
        """Return what changed after a version; all of it for version 0."""
        with self._lock:
            news = [item for item in self._known.values() if item.version > version]
            return TableChanges(
                self._version,
                [_without_totals(item.report) for item in news if item.usable],
                [item.report.backend_server for item in news if not item.usable],
            )

    def usable(self) -> Sequence[BackendReport]:
        """Return the backend servers that may get new work."""
        return self.changes_since(0).changed

    def served_elsewhere(self, backend_server: str) -> Mapping[str, float]:
        """Return the service that all other backend servers have delivered."""
        with self._lock:
            known = self._known.get(backend_server)
            own = known.report.served if known is not None else {}
            return {
                workspace: units - own.get(workspace, 0.0)
                for workspace, units in self._served.items()
            }

    def counters(self) -> Mapping[str, Mapping[str, float]]:
        """Return the totals that each live agent reported."""
        with self._lock:
            return {
                name: dict(known.report.counters or {})
                for name, known in self._known.items()
                if not known.expired
            }


def _without_totals(report: BackendReport) -> BackendReport:
    """Return what routing needs of a report."""
    light = copy.copy(report)
    light.served = None
    light.counters = None
    return light


def _is_newer(report: BackendReport, known: BackendReport) -> bool:
    if report.incarnation != known.incarnation:
        return True
    return bool(report.sequence > known.sequence)


def _differs(old: BackendReport, new: BackendReport) -> bool:
    """Return whether routing would care about the difference."""
    if old.incarnation != new.incarnation or old.leaving != new.leaving:
        return True
    if set(old.resident) != set(new.resident):
        return True
    return _load_step(old) != _load_step(new)


def _load_step(report: BackendReport) -> tuple[int, int]:
    """Return the load rounded so that small changes are not sent."""
    return report.queued.bit_length(), report.running * 4 // max(1, report.max_running)


def _renew(known: _Known, report: BackendReport, now_s: float) -> None:
    restarted = report.incarnation != known.report.incarnation
    if (known.expired or restarted) and not known.report.leaving:
        recent = [at for at in known.returns_s if now_s - at < FLAP_WINDOW_S]
        known.returns_s = [*recent, now_s]
        if len(known.returns_s) >= FLAP_LIMIT:
            known.held_until_s = now_s + HOLD_BACK_S
    known.report = report
    known.heard_at_s = now_s
    known.expired = False
