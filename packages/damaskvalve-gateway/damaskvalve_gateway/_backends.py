"""The backend servers that a host knows: announced, spread, tried and given up."""

import collections
import itertools
from collections.abc import Mapping, Sequence

from damaskvalve_gateway._crashes import ENDED, OUTLIVED, UNKNOWN, Start
from damaskvalve_gateway._model import GONE, LEAVING, READY, Announcement

# An announcement comes about every second and may be seconds late; after four of them
# a silent backend server is not sent new work.
SILENT_S = 6.0
# A leader that has heard a backend server within this says nothing; two announcements
# may be late before it names the silence.
VOUCHED_S = 3.0
# How long an end is remembered, so that late announcements do not bring it back.
REMEMBER_GONE_S = 60.0
# A backend server that broke a connection is tried again after this, then twice as
# long after each further failure in a row, up to the longest pause.
FIRST_PAUSE_S = 0.4
LONGEST_PAUSE_S = 5.0
# An overloaded backend server may ask to be left alone for any time; beyond this it
# is tried again, so that one absurd value does not take it away for ever.
LONGEST_KEPT_OFF_S = 3600.0
# Outcomes are counted with this weight; a share of failures above the bound over at
# least so many outcomes makes a backend server the last choice.
OUTCOME_WEIGHT = 0.15
BAD_SHARE = 0.35
# An adapter with which a request has started stays for at least this long; after it
# the engine's own announcement tells.
STARTED_HERE_S = 3.0
# Engines keep copies of about so many adapters that they held lately, and load those
# in a tenth of the time.
MAX_COPIES = 100
# How near an adapter is to an engine.
HOLDS, HELD_LATELY, ELSEWHERE = 0, 1, 2
NEVER_S = -1e9
# An announcement that arrives so soon after a run broke may have been sent before.
ON_ITS_WAY_S = 0.5


class Backend:
    """One start of a backend server and what this host has seen of it."""

    __slots__ = (
        "announcement",
        "heard_s",
        "changed",
        "told_resident",
        "told_s",
        "direct_s",
        "active",
        "failures",
        "paused_until_s",
        "kept_off_until_s",
        "bad_share",
        "service_s",
        "_lately_s",
    )

    def __init__(self, announcement: Announcement, heard_s: float) -> None:
        self.announcement = announcement
        # When the newest announcement was made, by this host's clock.
        self.heard_s = heard_s
        # The number of this host's table at the newest change that others are told.
        self.changed = 0
        # The adapters that others were told, and when.
        self.told_resident = announcement.resident
        self.told_s = heard_s
        # When it last announced itself to this host.
        self.direct_s = NEVER_S
        # Requests that this host has running there.
        self.active = 0
        self.failures = 0
        self.paused_until_s = 0.0
        # An overloaded backend server asked for nothing from this host until then.
        self.kept_off_until_s = 0.0
        # Share of failed outcomes, newest weighted most.
        self.bad_share = 0.0
        # Recent time to the head of a reply.
        self.service_s = 0.0
        # When this host last knew of each adapter there, the newest at the end.
        self._lately_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def is_live(self, now_s: float) -> bool:
        """Return whether new work may go there by what it announced."""
        fresh = now_s - self.heard_s < SILENT_S
        return fresh and self.announcement.state == READY

    def takes_work(self, now_s: float) -> bool:
        """Return whether this host may send a request there now.

        Asked again right before a send: it may have changed during any wait.
        """
        return self.announcement.state == READY and now_s >= self.kept_off_until_s

    def keep_off(self, for_s: float, now_s: float) -> None:
        """Send nothing there for a time; a shorter one does not end a longer one."""
        until_s = now_s + min(for_s, LONGEST_KEPT_OFF_S)
        self.kept_off_until_s = max(self.kept_off_until_s, until_s)

    def note_adapter(self, adapter: str, now_s: float) -> None:
        """Remember that a request has started there with an adapter."""
        self._lately_s[adapter] = now_s
        self._lately_s.move_to_end(adapter)
        if len(self._lately_s) > MAX_COPIES:
            self._lately_s.popitem(last=False)

    def note_announced(self) -> None:
        """Remember the adapters that the engine has announced."""
        for name in self.announcement.resident:
            adapter = name.partition("@")[0]
            self.note_adapter(adapter, self._lately_s.get(adapter, NEVER_S))

    def holds(self, adapter: str, version: int) -> bool:
        """Return whether an engine announced that it holds an adapter.

        ``adapter`` is ``model/adapter``; a ``version`` of 0 means any.
        """
        for name in self.announcement.resident:
            held, _, held_version = name.partition("@")
            if held == adapter:
                return not version or held_version == str(version)
        return False

    def distance(self, adapter: str, now_s: float) -> int:
        """Return how near an adapter is, as far as this host knows."""
        at_s = self._lately_s.get(adapter)
        if at_s is None:
            return ELSEWHERE
        if now_s - at_s < STARTED_HERE_S or self.holds(adapter, 0):
            return HOLDS
        return HELD_LATELY

    def note_success(self, took_s: float) -> None:
        """Count an answer that was the backend server's own."""
        self.failures = 0
        self.paused_until_s = 0.0
        self.bad_share *= 1 - OUTCOME_WEIGHT
        self.service_s += OUTCOME_WEIGHT * (took_s - self.service_s)

    def note_error(self) -> None:
        """Count an answer that was a failure."""
        self.bad_share += OUTCOME_WEIGHT * (1 - self.bad_share)

    def note_broken(self, now_s: float) -> None:
        """Count a connection that failed, and pause sending there."""
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self.failures)
        self.failures += 1
        self.paused_until_s = now_s + pause_s
        self.note_error()


class BackendTable:
    """Takes announcements in any order and keeps the newest of each instance."""

    def __init__(self) -> None:
        # In the order of their changes.
        self._backends: collections.OrderedDict[str, Backend] = (
            collections.OrderedDict()
        )
        # The newest start that was ever announced at an address, in milliseconds.
        self._newest_at: dict[str, int] = {}
        self.number = 0
        # Adapters come and go all the time; others are told at most this often.
        self.resident_every_s = 0.0

    def take(self, announcement: Announcement, heard_s: float) -> bool:
        """Take an announcement made at ``heard_s``; False if a newer one is known."""
        known = self._backends.get(announcement.instance_id)
        if known is None:
            self._set(Backend(announcement, heard_s))
            return True
        held = known.announcement
        if announcement.started_at_ms < held.started_at_ms:
            return False
        if announcement.started_at_ms > held.started_at_ms:
            self._set(Backend(announcement, heard_s))
            return True
        if _rank(announcement) <= _rank(held):
            if announcement.sequence > held.sequence:
                # It is running still, though what it said before goes on to count.
                known.heard_s = max(known.heard_s, heard_s)
            return False
        was_silent = heard_s - known.heard_s > VOUCHED_S
        known.announcement = announcement
        known.note_announced()
        known.heard_s = max(known.heard_s, heard_s)
        if was_silent or _differ(held, announcement) or self._tells_resident(known):
            self._set(known)
        return True

    def note_leaving(self, backend: Backend, now_s: float) -> bool:
        """Note that a start of a backend server said in a reply that it leaves.

        Return False if that was known.
        """
        held = backend.announcement
        if held.state != READY:
            return False
        backend.announcement = held.with_state(LEAVING, held.resident)
        known = self._backends.get(held.instance_id)
        if known is backend:
            backend.heard_s = max(backend.heard_s, now_s)
            self._set(backend)
        return True

    def _tells_resident(self, backend: Backend) -> bool:
        if backend.announcement.resident == backend.told_resident:
            return False
        return backend.heard_s - backend.told_s >= self.resident_every_s

    def silent(self, now_s: float) -> dict[str, float]:
        """Return the ages of what was heard last of those that are missed."""
        return {
            instance_id: now_s - backend.heard_s
            for instance_id, backend in self._backends.items()
            if now_s - backend.heard_s > VOUCHED_S
        }

    def vouch(self, silent: Mapping[str, float], now_s: float) -> None:
        """Take a leader's word that it hears all but the ``silent`` ones.

        One that is silent here already comes back only with an announcement.
        """
        for instance_id, backend in self._backends.items():
            age_s = silent.get(instance_id, VOUCHED_S)
            if now_s - backend.heard_s < SILENT_S:
                backend.heard_s = max(backend.heard_s, now_s - age_s)

    def _set(self, backend: Backend) -> None:
        self.number += 1
        backend.changed = self.number
        backend.note_announced()
        backend.told_resident = backend.announcement.resident
        backend.told_s = backend.heard_s
        held = backend.announcement
        newest_ms = self._newest_at.get(held.address, held.started_at_ms)
        self._newest_at[held.address] = max(newest_ms, held.started_at_ms)
        self._backends[held.instance_id] = backend
        self._backends.move_to_end(held.instance_id)

    def end(self, instance_id: str, now_s: float) -> None:
        """Note that an instance has said that it is gone."""
        known = self._backends.get(instance_id)
        if known is None:
            held = Announcement(instance_id, "", "", "", GONE, 0, 0, 0, ())
            self._set(Backend(held, now_s))
            return
        held = known.announcement
        known.announcement = held.with_state(GONE, ())
        known.heard_s = now_s
        self._set(known)

    def find(self, instance_id: str) -> Backend | None:
        """Return an instance that is known, whatever its state."""
        return self._backends.get(instance_id)

    def live(self, service: str, now_s: float, *, stale: bool) -> Sequence[Backend]:
        """Return the backend servers of a service that take new work.

        ``stale`` also returns silent ones: a host that is cut off hears nobody.
        """
        found = [
            backend
            for backend in self._backends.values()
            if backend.announcement.service == service
            and backend.announcement.state == READY
            and (stale or now_s - backend.heard_s < SILENT_S)
        ]
        return _newest_by_address(found)

    def count_ready(self) -> int:
        """Return how many backend servers have announced that they take work."""
        return sum(item.announcement.state == READY for item in self._backends.values())

    def changed_since(self, number: int) -> Sequence[Backend]:
        """Return what changed after a number of this table, the oldest change first."""
        newest_first = reversed(self._backends.values())
        changed = itertools.takewhile(lambda item: item.changed > number, newest_first)
        return list(changed)[::-1]

    def worth_repeating(self, now_s: float) -> Sequence[Backend]:
        """Return what a new leader may lack and no other host is sure to tell it."""
        return [
            item
            for item in self._backends.values()
            if item.announcement.state != READY or now_s - item.direct_s < SILENT_S
        ]

    def expire(self, now_s: float) -> Sequence[str]:
        """Forget instances that have not been heard for long; return their ids."""
        old = [
            instance_id
            for instance_id, backend in self._backends.items()
            if now_s - backend.heard_s > REMEMBER_GONE_S
        ]
        for instance_id in old:
            held = self._backends.pop(instance_id).announcement
            if self._newest_at.get(held.address) == held.started_at_ms:
                del self._newest_at[held.address]
        return old

    def fate(self, start: Start, since_s: float, now_s: float) -> str:
        """Return whether a start of a backend server has outlived a time, or ended.

        One that leaves by plan is not counted as ended: what it cuts off on its way out
        is no request's fault.
        """
        instance_id, started_at_ms = start
        known = self._backends.get(instance_id)
        if known is None:
            # Not heard of yet, as after a restart of this host, or not any more.
            return ENDED if now_s - since_s > SILENT_S else UNKNOWN
        held = known.announcement
        if held.started_at_ms > started_at_ms:
            return ENDED
        if held.state != READY:
            return OUTLIVED
        # Another start at its address, perhaps of another service.
        if self._newest_at.get(held.address, started_at_ms) > started_at_ms:
            return ENDED
        if known.heard_s > since_s + ON_ITS_WAY_S:
            return OUTLIVED
        silent = now_s - max(known.heard_s, since_s) > SILENT_S
        return ENDED if silent else UNKNOWN


_STATE_ORDER = {READY: 0, LEAVING: 1, GONE: 2}


def _differ(one: Announcement, other: Announcement) -> bool:
    """Return whether requests would go elsewhere after one than after the other."""
    return any(
        getattr(one, name) != getattr(other, name)
        for name in ("service", "address", "data_centre", "state", "slots")
    )


def _rank(announcement: Announcement) -> tuple[int, int]:
    """Order the announcements of one start.

    A start only ever goes from ready to leaving to gone: leaving may be known from a
    reply, which has no sequence, before any announcement says so.
    """
    return _STATE_ORDER[announcement.state], announcement.sequence


def _newest_by_address(backends: Sequence[Backend]) -> Sequence[Backend]:
    """Keep the newest start at each address: an older one there cannot be running."""
    newest: dict[str, Backend] = {}
    for backend in backends:
        held = newest.get(backend.announcement.address)
        if held is None or _started(held) < _started(backend):
            newest[backend.announcement.address] = backend
    return list(newest.values())


def _started(backend: Backend) -> tuple[int, float]:
    return backend.announcement.started_at_ms, backend.heard_s


__all__ = ["GONE", "LEAVING", "READY", "Backend", "BackendTable"]
