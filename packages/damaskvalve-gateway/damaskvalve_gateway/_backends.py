"""The backend servers that a host knows, and the newest announcement of each."""

import collections
import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence

from damaskvalve_core.messages import DepartureRecord
from damaskvalve_gateway._backend import ANNOUNCEMENT_TIMEOUT_S, NEVER_S, Backend
from damaskvalve_gateway._backend_order import newest_by_address, routing_differs
from damaskvalve_gateway._cold import ColdRules, ColdTime
from damaskvalve_gateway._crashes import ENDED, OUTLIVED, UNKNOWN, Incarnation
from damaskvalve_gateway._evacuations import Evacuations
from damaskvalve_gateway._limit_statements import LimitStatement, newest_statement
from damaskvalve_gateway._model import GONE, LEAVING, READY, Announcement

# The leader reports a backend server to the hosts as overdue once it has not announced
# itself for this long. Two late announcements in a row are not reported.
ANNOUNCEMENT_OVERDUE_S = 3.0
# An instance stays in the table for this long after it was last seen, so that late
# announcements do not bring back one that has ended.
INSTANCE_RETENTION_S = 60.0
# An announcement that arrives within this time after a run broke may have been sent
# before the run broke, so it does not show that the backend server outlived the run.
MAX_ANNOUNCEMENT_DELAY_S = 0.5


class BackendTable:
    """Keeps the newest announcement of each instance, in any order of arrival."""

    def __init__(self) -> None:
        # By instance id. The backend server whose change was stored last is at the end.
        self._backends: collections.OrderedDict[str, Backend] = (
            collections.OrderedDict()
        )
        # Start time of the newest incarnation announced at each address, in
        # milliseconds.
        self._newest_started_at_ms: dict[str, int] = {}
        # The committed departures, by instance id.
        self.departures: Mapping[str, DepartureRecord] = {}
        # What is configured about cold backend servers, by service.
        self._cold_rules: ColdRules = {}
        self.evacuations = Evacuations()
        self.revision = 0
        # The shortest time between two published changes of one backend server if only
        # its resident adapters differ. Resident adapters change all the time.
        self.resident_interval_s = 0.0

    def set_cold_rules(self, rules: ColdRules) -> None:
        """Apply what is configured about the cold backend servers of each service."""
        self._cold_rules = rules
        for backend in self._backends.values():
            backend.cold.rule = rules.get(backend.announcement.service)

    def update(
        self,
        announcement: Announcement,
        announced_s: float,
        started_s: float = NEVER_S,
    ) -> bool:
        """Apply an announcement; return False if it is not newer than the known one.

        ``started_s`` is when the incarnation started, by this host's clock.
        """
        announcement = self._with_departure(announcement)
        known = self._backends.get(announcement.instance_id)
        if known is None:
            self._store(self._incarnation(announcement, announced_s, started_s))
            return True
        current = known.announcement
        if announcement.started_at_ms < current.started_at_ms:
            return False
        if announcement.started_at_ms > current.started_at_ms:
            self._store(self._incarnation(announcement, announced_s, started_s))
            return True
        if _rank(announcement) <= _rank(current):
            if announcement.sequence > current.sequence:
                # The backend server is still running, but its higher-ranked state
                # stands.
                known.last_seen_s = max(known.last_seen_s, announced_s)
            return False
        was_overdue = announced_s - known.last_seen_s > ANNOUNCEMENT_OVERDUE_S
        known.announcement = announcement
        known.cold.rule = self._cold_rules.get(announcement.service)
        is_cold_changed = known.cold.note_stated(announcement.cold_left_s, announced_s)
        known.note_announced_adapters()
        known.last_seen_s = max(known.last_seen_s, announced_s)
        if (
            was_overdue
            or is_cold_changed
            or routing_differs(current, announcement)
            or self._resident_due(known)
        ):
            self._store(known)
        return True

    def _incarnation(
        self, announcement: Announcement, announced_s: float, started_s: float
    ) -> Backend:
        rule = self._cold_rules.get(announcement.service)
        return Backend(announcement, announced_s, ColdTime(rule, started_s))

    def _with_departure(self, announcement: Announcement) -> Announcement:
        """Return an announcement with the state that is committed for its sender.

        A late announcement, or one that another host knows, may be from before.
        """
        record = self.departures.get(announcement.instance_id)
        if record is None or announcement.started_at_ms > record.started_at_ms:
            return announcement
        state = GONE if record.gone else LEAVING
        if _STATE_ORDER[announcement.state] >= _STATE_ORDER[state]:
            return announcement
        return announcement.with_state(state, announcement.resident)

    def is_departed(self, announcement: Announcement) -> bool:
        """Return whether the state of an announcement, not READY, is committed."""
        record = self.departures.get(announcement.instance_id)
        if record is None or record.started_at_ms != announcement.started_at_ms:
            return False
        return bool(record.gone) or announcement.state == LEAVING

    def apply_departure(self, record: DepartureRecord) -> None:
        """Apply a committed departure to the incarnation that it names."""
        known = self._backends.get(record.instance_id)
        if known is None:
            return
        current = known.announcement
        updated = self._with_departure(current)
        if updated is not current:
            known.announcement = updated
            self._store(known)

    def note_leaving(self, backend: Backend, now_s: float) -> bool:
        """Record that a backend server stated in a reply that it is leaving.

        Return False if it was already known to be leaving or gone.
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

    def note_limit(
        self, backend: Backend, statement: LimitStatement, now_s: float
    ) -> bool:
        """Apply what a backend server stated about its request limit.

        Return whether its limit has changed. Changes are published to other hosts.
        """
        previous = backend.limit_per_s()
        backend.limit_statement = newest_statement(backend.limit_statement, statement)
        current = backend.limit_per_s()
        if current == previous:
            return False
        backend.has_stated_limit = True
        backend.limit_ended_s = now_s if current is None else NEVER_S
        backend.next_grant_s = 0.0
        if self._backends.get(backend.announcement.instance_id) is backend:
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

    def note_listed(self, instance_ids: Iterable[str], leader_id: str) -> None:
        """Record that the table of a leader lists instances."""
        for instance_id in instance_ids:
            backend = self._backends.get(instance_id)
            if backend is not None:
                backend.listed_by = leader_id

    def confirm_live(
        self, overdue_ages: Mapping[str, float], leader_id: str, now_s: float
    ) -> None:
        """Refresh the instances that the leader lists and does not report as overdue.

        A leader that has just started lists only what has been announced or reported to
        it since. An instance that has already timed out on this host becomes live again
        only by an announcement.
        """
        for instance_id, backend in self._backends.items():
            if backend.listed_by != leader_id:
                continue
            age_s = overdue_ages.get(instance_id, ANNOUNCEMENT_OVERDUE_S)
            if now_s - backend.last_seen_s < ANNOUNCEMENT_TIMEOUT_S:
                backend.last_seen_s = max(backend.last_seen_s, now_s - age_s)

    def _store(self, backend: Backend) -> None:
        self.revision += 1
        backend.evacuations = self.evacuations
        backend.changed_revision = self.revision
        backend.note_announced_adapters()
        backend.published_resident = backend.announcement.resident
        backend.published_s = backend.last_seen_s
        current = backend.announcement
        newest_ms = self._newest_started_at_ms.get(
            current.address, current.started_at_ms
        )
        self._newest_started_at_ms[current.address] = max(
            newest_ms, current.started_at_ms
        )
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
        """Return the newest ready backend server of a service at each address.

        ``stale`` includes backend servers whose announcements have timed out: a host
        that is cut off receives no announcements. Backoffs are not considered.
        """
        found = [
            backend
            for backend in self._backends.values()
            if backend.announcement.service == service
            and backend.announcement.state == READY
            and (stale or now_s - backend.last_seen_s < ANNOUNCEMENT_TIMEOUT_S)
        ]
        return newest_by_address(found)

    def services(self) -> Collection[str]:
        """Return the services of the known backend servers."""
        names = {item.announcement.service for item in self._backends.values()}
        return sorted(names - {""})

    def data_centres(self) -> Collection[str]:
        """Return the data centres of the known backend servers."""
        names = {item.announcement.data_centre for item in self._backends.values()}
        return sorted(names - {""})

    def versions(
        self, service: str, now_s: float = 0.0, max_age_s: float = math.inf
    ) -> Sequence[str]:
        """Return the software version of each backend server of a service.

        Servers that were not seen within ``max_age_s``, or are gone, are left out; by
        default all that are remembered count.
        """
        return [
            item.announcement.software_version
            for item in self._backends.values()
            if item.announcement.service == service
            and (
                math.isinf(max_age_s)
                or (
                    item.announcement.state != GONE
                    and now_s - item.last_seen_s < max_age_s
                )
            )
        ]

    def count_limited(self) -> int:
        """Return the number of ready backend servers that have a request limit."""
        return sum(
            item.announcement.state == READY and item.limit_per_s() is not None
            for item in self._backends.values()
        )

    def cold(self, now_s: float) -> Sequence[Backend]:
        """Return the ready backend servers that are cold."""
        return [
            item
            for item in self._backends.values()
            if item.announcement.state == READY and item.cold.per_s(now_s) is not None
        ]

    def count_ready(self) -> int:
        """Return the number of backend servers whose state is ready."""
        return sum(item.announcement.state == READY for item in self._backends.values())

    def changed_since(self, revision: int) -> Sequence[Backend]:
        """Return the backend servers changed after a revision, oldest change first."""
        newest_first = reversed(self._backends.values())
        changed = itertools.takewhile(
            lambda item: item.changed_revision > revision, newest_first
        )
        return list(changed)[::-1]

    def resend_candidates(self, now_s: float) -> Sequence[Backend]:
        """Return the backend servers that this host reports to a new leader.

        These are the ones that are leaving or gone, those that have stated a request
        limit or are cold, and those that recently announced themselves directly to this
        host.
        """
        return [
            item
            for item in self._backends.values()
            if item.announcement.state != READY
            or item.has_stated_limit
            or item.cold.per_s(now_s) is not None
            or now_s - item.last_direct_s < ANNOUNCEMENT_TIMEOUT_S
        ]

    def expire(self, now_s: float) -> Sequence[str]:
        """Remove instances not seen for INSTANCE_RETENTION_S; return their ids."""
        old = [
            instance_id
            for instance_id, backend in self._backends.items()
            if now_s - backend.last_seen_s > INSTANCE_RETENTION_S
        ]
        for instance_id in old:
            current = self._backends.pop(instance_id).announcement
            if self._newest_started_at_ms.get(current.address) == current.started_at_ms:
                del self._newest_started_at_ms[current.address]
        return old

    def incarnation_status(
        self, incarnation: Incarnation, since_s: float, now_s: float
    ) -> str:
        """Return whether an incarnation ended or was still running after ``since_s``.

        The result is ENDED, OUTLIVED, or UNKNOWN while neither is known. An incarnation
        that leaves by plan returns OUTLIVED: no request is to blame for the connections
        that it closes.
        """
        instance_id, started_at_ms = incarnation
        known = self._backends.get(instance_id)
        if known is None:
            # The instance has not been announced to this host yet, as after a restart
            # of this host, or its entry has already expired.
            return ENDED if now_s - since_s > ANNOUNCEMENT_TIMEOUT_S else UNKNOWN
        current = known.announcement
        if current.started_at_ms > started_at_ms:
            return ENDED
        if current.state != READY:
            return OUTLIVED
        # A newer incarnation, perhaps of another service, was announced at its address.
        if (
            self._newest_started_at_ms.get(current.address, started_at_ms)
            > started_at_ms
        ):
            return ENDED
        if known.last_seen_s > since_s + MAX_ANNOUNCEMENT_DELAY_S:
            return OUTLIVED
        is_overdue = now_s - max(known.last_seen_s, since_s) > ANNOUNCEMENT_TIMEOUT_S
        return ENDED if is_overdue else UNKNOWN


_STATE_ORDER = {READY: 0, LEAVING: 1, GONE: 2}


def _rank(announcement: Announcement) -> tuple[int, int]:
    """Return a sort key; of two announcements of one incarnation the higher one holds.

    An incarnation only moves from ready to leaving to gone. A reply, which has no
    sequence, may state that it is leaving before any announcement does.
    """
    return _STATE_ORDER[announcement.state], announcement.sequence


__all__ = ["GONE", "LEAVING", "READY", "BackendTable"]
