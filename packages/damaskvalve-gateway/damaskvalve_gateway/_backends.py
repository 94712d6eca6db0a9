"""The backend servers that a host knows: announcements, health and backoff."""

import collections
import itertools
from collections.abc import Mapping, Sequence

from damaskvalve_gateway._crashes import ENDED, OUTLIVED, UNKNOWN, Incarnation
from damaskvalve_gateway._model import GONE, LEAVING, READY, Announcement

# Backend servers announce themselves about every second, and an announcement may be
# seconds late. After four missed ones a backend server gets no new work.
ANNOUNCEMENT_TIMEOUT_S = 6.0
# The leader reports only the backend servers that have not announced themselves to it
# for this long, so that two late announcements are not reported.
ANNOUNCEMENT_OVERDUE_S = 3.0
# An instance that has ended is kept in the table for this long, so that late
# announcements do not bring it back.
INSTANCE_RETENTION_S = 60.0
# A backend server is chosen last for this long after a failed connection, and for twice
# as long after each further failure in a row, up to the maximum.
FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 5.0
# An overloaded backend server may ask for a backoff of any length. It is tried again
# after this at the latest, so that one absurd value does not exclude it for ever.
MAX_BACKOFF_S = 3600.0
# Weight of the newest outcome in the moving averages. A backend server with a share of
# failures above the maximum is chosen last.
OUTCOME_WEIGHT = 0.15
MAX_FAILURE_SHARE = 0.35
# An adapter is resident for at least this long after a request has started with it;
# later, the engine's own announcements decide.
MIN_RESIDENT_S = 3.0
# Engines keep copies of about this many adapters that were resident recently, and load
# those in a tenth of the time.
MAX_CACHED_ADAPTERS = 100
# What an engine has of an adapter, by the cost of using it.
RESIDENT, CACHED, ABSENT = 0, 1, 2
NEVER_S = -1e9
# An announcement that arrives within this time after a run broke may have been sent
# before.
MAX_ANNOUNCEMENT_DELAY_S = 0.5


class Backend:
    """One incarnation of a backend server and what this host knows about it."""

    __slots__ = (
        "announcement",
        "last_seen_s",
        "changed_revision",
        "published_resident",
        "published_s",
        "last_direct_s",
        "active",
        "failures",
        "paused_until_s",
        "backoff_until_s",
        "failure_share",
        "service_s",
        "_adapter_seen_s",
    )

    def __init__(self, announcement: Announcement, last_seen_s: float) -> None:
        self.announcement = announcement
        # Time of the newest announcement, by this host's clock.
        self.last_seen_s = last_seen_s
        # Revision of this host's table at the last change that other hosts are sent.
        self.changed_revision = 0
        # The resident adapters last sent to other hosts, and when.
        self.published_resident = announcement.resident
        self.published_s = last_seen_s
        # When it last announced itself directly to this host.
        self.last_direct_s = NEVER_S
        # Requests of this host that are running there.
        self.active = 0
        self.failures = 0
        self.paused_until_s = 0.0
        # The time until which an overloaded backend server wants no request from this
        # host.
        self.backoff_until_s = 0.0
        # Share of failed outcomes, as a moving average.
        self.failure_share = 0.0
        # Time to the head of a reply, as a moving average.
        self.service_s = 0.0
        # When each adapter was last in use or resident there, the newest at the end.
        self._adapter_seen_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def is_live(self, now_s: float) -> bool:
        """Return whether its announcements allow sending it new work."""
        fresh = now_s - self.last_seen_s < ANNOUNCEMENT_TIMEOUT_S
        return fresh and self.announcement.state == READY

    def takes_work(self, now_s: float) -> bool:
        """Return whether this host may send a request there now.

        Callers check again right before a send, because any wait may change the answer.
        """
        return self.announcement.state == READY and now_s >= self.backoff_until_s

    def back_off(self, for_s: float, now_s: float) -> None:
        """Send nothing there for a time; a shorter time does not end a longer one."""
        until_s = now_s + min(for_s, MAX_BACKOFF_S)
        self.backoff_until_s = max(self.backoff_until_s, until_s)

    def note_adapter(self, adapter: str, now_s: float) -> None:
        """Record that a request with an adapter has started there."""
        self._adapter_seen_s[adapter] = now_s
        self._adapter_seen_s.move_to_end(adapter)
        if len(self._adapter_seen_s) > MAX_CACHED_ADAPTERS:
            self._adapter_seen_s.popitem(last=False)

    def note_announced(self) -> None:
        """Record the adapters that the engine has announced as resident."""
        for name in self.announcement.resident:
            adapter = name.partition("@")[0]
            self.note_adapter(adapter, self._adapter_seen_s.get(adapter, NEVER_S))

    def is_resident(self, adapter: str, version: int) -> bool:
        """Return whether the engine announced an adapter as resident.

        ``adapter`` is ``model/adapter``; a ``version`` of 0 matches any.
        """
        for name in self.announcement.resident:
            resident_adapter, _, resident_version = name.partition("@")
            if resident_adapter == adapter:
                return not version or resident_version == str(version)
        return False

    def distance(self, adapter: str, now_s: float) -> int:
        """Return RESIDENT, CACHED or ABSENT, as far as this host knows."""
        at_s = self._adapter_seen_s.get(adapter)
        if at_s is None:
            return ABSENT
        if now_s - at_s < MIN_RESIDENT_S or self.is_resident(adapter, 0):
            return RESIDENT
        return CACHED

    def note_success(self, took_s: float) -> None:
        """Count a reply that was the backend server's own success."""
        self.failures = 0
        self.paused_until_s = 0.0
        self.failure_share *= 1 - OUTCOME_WEIGHT
        self.service_s += OUTCOME_WEIGHT * (took_s - self.service_s)

    def note_error(self) -> None:
        """Count a reply that was a failure."""
        self.failure_share += OUTCOME_WEIGHT * (1 - self.failure_share)

    def note_connection_failure(self, now_s: float) -> None:
        """Count a failed connection and choose this backend server last for a while."""
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.failures)
        self.failures += 1
        self.paused_until_s = now_s + pause_s
        self.note_error()


class BackendTable:
    """Keeps the newest announcement of each instance, whatever order they arrive in."""

    def __init__(self) -> None:
        # Ordered by the last change.
        self._backends: collections.OrderedDict[str, Backend] = (
            collections.OrderedDict()
        )
        # Start time of the newest incarnation announced at each address, in
        # milliseconds.
        self._newest_at: dict[str, int] = {}
        self.revision = 0
        # Least time between two changes that are published because only the resident
        # adapters differ: these change all the time.
        self.resident_interval_s = 0.0

    def update(self, announcement: Announcement, announced_s: float) -> bool:
        """Apply an announcement; return False if a newer one is known."""
        known = self._backends.get(announcement.instance_id)
        if known is None:
            self._store(Backend(announcement, announced_s))
            return True
        current = known.announcement
        if announcement.started_at_ms < current.started_at_ms:
            return False
        if announcement.started_at_ms > current.started_at_ms:
            self._store(Backend(announcement, announced_s))
            return True
        if _rank(announcement) <= _rank(current):
            if announcement.sequence > current.sequence:
                # The backend server is still running, but its higher-ranked state
                # stands.
                known.last_seen_s = max(known.last_seen_s, announced_s)
            return False
        was_overdue = announced_s - known.last_seen_s > ANNOUNCEMENT_OVERDUE_S
        known.announcement = announcement
        known.note_announced()
        known.last_seen_s = max(known.last_seen_s, announced_s)
        if (
            was_overdue
            or _routing_differs(current, announcement)
            or self._resident_due(known)
        ):
            self._store(known)
        return True

    def note_leaving(self, backend: Backend, now_s: float) -> bool:
        """Record that a backend server stated in a reply that it is leaving.

        Return False if that was known.
        """
        current = backend.announcement
        if current.state != READY:
            return False
        backend.announcement = current.with_state(LEAVING, current.resident)
        known = self._backends.get(current.instance_id)
        if known is backend:
            backend.last_seen_s = max(backend.last_seen_s, now_s)
            self._store(backend)
        return True

    def _resident_due(self, backend: Backend) -> bool:
        if backend.announcement.resident == backend.published_resident:
            return False
        return backend.last_seen_s - backend.published_s >= self.resident_interval_s

    def overdue(self, now_s: float) -> dict[str, float]:
        """Return the age of the last announcement of each overdue instance."""
        return {
            instance_id: now_s - backend.last_seen_s
            for instance_id, backend in self._backends.items()
            if now_s - backend.last_seen_s > ANNOUNCEMENT_OVERDUE_S
        }

    def confirm_live(self, overdue_ages: Mapping[str, float], now_s: float) -> None:
        """Refresh all instances that the leader does not report as overdue.

        An instance that has already timed out here returns only by an announcement.
        """
        for instance_id, backend in self._backends.items():
            age_s = overdue_ages.get(instance_id, ANNOUNCEMENT_OVERDUE_S)
            if now_s - backend.last_seen_s < ANNOUNCEMENT_TIMEOUT_S:
                backend.last_seen_s = max(backend.last_seen_s, now_s - age_s)

    def _store(self, backend: Backend) -> None:
        self.revision += 1
        backend.changed_revision = self.revision
        backend.note_announced()
        backend.published_resident = backend.announcement.resident
        backend.published_s = backend.last_seen_s
        current = backend.announcement
        newest_ms = self._newest_at.get(current.address, current.started_at_ms)
        self._newest_at[current.address] = max(newest_ms, current.started_at_ms)
        self._backends[current.instance_id] = backend
        self._backends.move_to_end(current.instance_id)

    def end(self, instance_id: str, now_s: float) -> None:
        """Record that an instance was reported as gone."""
        known = self._backends.get(instance_id)
        if known is None:
            current = Announcement(instance_id, "", "", "", GONE, 0, 0, 0, ())
            self._store(Backend(current, now_s))
            return
        current = known.announcement
        known.announcement = current.with_state(GONE, ())
        known.last_seen_s = now_s
        self._store(known)

    def find(self, instance_id: str) -> Backend | None:
        """Return a known instance, whatever its state."""
        return self._backends.get(instance_id)

    def live(self, service: str, now_s: float, *, stale: bool) -> Sequence[Backend]:
        """Return the backend servers of a service that take new work.

        ``stale`` includes those whose announcements have timed out: a host that is cut
        off receives none.
        """
        found = [
            backend
            for backend in self._backends.values()
            if backend.announcement.service == service
            and backend.announcement.state == READY
            and (stale or now_s - backend.last_seen_s < ANNOUNCEMENT_TIMEOUT_S)
        ]
        return _newest_by_address(found)

    def count_ready(self) -> int:
        """Return how many backend servers have announced that they take work."""
        return sum(item.announcement.state == READY for item in self._backends.values())

    def changed_since(self, revision: int) -> Sequence[Backend]:
        """Return the backend servers changed after a revision, oldest change first."""
        newest_first = reversed(self._backends.values())
        changed = itertools.takewhile(
            lambda item: item.changed_revision > revision, newest_first
        )
        return list(changed)[::-1]

    def resend_candidates(self, now_s: float) -> Sequence[Backend]:
        """Return what a new leader may lack and other hosts may not report to it."""
        return [
            item
            for item in self._backends.values()
            if item.announcement.state != READY
            or now_s - item.last_direct_s < ANNOUNCEMENT_TIMEOUT_S
        ]

    def expire(self, now_s: float) -> Sequence[str]:
        """Remove instances without a recent announcement; return their ids."""
        old = [
            instance_id
            for instance_id, backend in self._backends.items()
            if now_s - backend.last_seen_s > INSTANCE_RETENTION_S
        ]
        for instance_id in old:
            current = self._backends.pop(instance_id).announcement
            if self._newest_at.get(current.address) == current.started_at_ms:
                del self._newest_at[current.address]
        return old

    def incarnation_status(
        self, incarnation: Incarnation, since_s: float, now_s: float
    ) -> str:
        """Return ENDED or OUTLIVED if an incarnation did so since a time, else UNKNOWN.

        One that leaves by plan does not count as ended: no request is to blame for the
        connections that it closes.
        """
        instance_id, started_at_ms = incarnation
        known = self._backends.get(instance_id)
        if known is None:
            # Not announced yet, as after a restart of this host, or already expired.
            return ENDED if now_s - since_s > ANNOUNCEMENT_TIMEOUT_S else UNKNOWN
        current = known.announcement
        if current.started_at_ms > started_at_ms:
            return ENDED
        if current.state != READY:
            return OUTLIVED
        # A newer incarnation at its address, perhaps of another service.
        if self._newest_at.get(current.address, started_at_ms) > started_at_ms:
            return ENDED
        if known.last_seen_s > since_s + MAX_ANNOUNCEMENT_DELAY_S:
            return OUTLIVED
        is_overdue = now_s - max(known.last_seen_s, since_s) > ANNOUNCEMENT_TIMEOUT_S
        return ENDED if is_overdue else UNKNOWN


_STATE_ORDER = {READY: 0, LEAVING: 1, GONE: 2}


def _routing_differs(one: Announcement, other: Announcement) -> bool:
    """Return whether requests are routed differently after the second announcement."""
    return any(
        getattr(one, name) != getattr(other, name)
        for name in ("service", "address", "data_centre", "state", "slots")
    )


def _rank(announcement: Announcement) -> tuple[int, int]:
    """Return the order among announcements of one incarnation.

    An incarnation only moves from ready to leaving to gone. Leaving may be known from a
    reply, which has no sequence, before any announcement reports it.
    """
    return _STATE_ORDER[announcement.state], announcement.sequence


def _newest_by_address(backends: Sequence[Backend]) -> Sequence[Backend]:
    """Keep the newest incarnation at each address: an older one cannot be running."""
    newest: dict[str, Backend] = {}
    for backend in backends:
        current = newest.get(backend.announcement.address)
        if current is None or _start_order(current) < _start_order(backend):
            newest[backend.announcement.address] = backend
    return list(newest.values())


def _start_order(backend: Backend) -> tuple[int, float]:
    return backend.announcement.started_at_ms, backend.last_seen_s


__all__ = ["GONE", "LEAVING", "READY", "Backend", "BackendTable"]
