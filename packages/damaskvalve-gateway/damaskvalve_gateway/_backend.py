"""One backend server: its announcement, health, backoff, request limit and adapters."""

import collections

from damaskvalve_gateway._cold import ColdTime, lower_limit
from damaskvalve_gateway._evacuations import Evacuations
from damaskvalve_gateway._incarnations import Incarnation
from damaskvalve_gateway._limit_statements import LimitStatement
from damaskvalve_gateway._model import READY, Announcement

# Backend servers announce themselves about every second, and an announcement may be
# seconds late. After four missed ones a backend server gets no new work.
ANNOUNCEMENT_TIMEOUT_S = 6.0
# A backend server is chosen last for FIRST_PAUSE_S after a failed connection. The pause
# doubles with each further failure in a row, up to MAX_PAUSE_S.
FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 5.0
# An overloaded backend server may request a backoff of any length. It is tried again
# after at most this time, so that one absurd value does not exclude it for ever.
MAX_BACKOFF_S = 3600.0
# Weight of the newest outcome in the moving averages. A backend server with a share of
# failures above the maximum is chosen last.
OUTCOME_WEIGHT = 0.15
MAX_FAILURE_SHARE = 0.35
# An adapter counts as resident for this long after a request with it has started. After
# that, the announcements of the backend server decide.
MIN_RESIDENT_S = 3.0
# Engines keep copies of about this many adapters that were resident recently. Loading
# such a copy takes a tenth of the time of another load.
MAX_CACHED_ADAPTERS = 100
# Whether an engine has an adapter loaded, has a copy of it, or neither; in order of the
# cost of using it.
RESIDENT, CACHED, ABSENT = 0, 1, 2
# Stands for a time before all others.
NEVER_S = -1e9
# After its request limit or its cold time has ended, a backend server gets its share
# of the requests back over this time.
LIMIT_RAMP_S = 2.0


class Backend:
    """One incarnation of a backend server and what this host knows about it."""

    __slots__ = (
        "announcement",
        "evacuations",
        "last_seen_s",
        "changed_revision",
        "published_resident",
        "published_s",
        "last_direct_s",
        "listed_by",
        "active",
        "sent_count",
        "failures",
        "paused_until_s",
        "backoff_until_s",
        "limit_statement",
        "has_stated_limit",
        "limit_ended_s",
        "next_grant_s",
        "cold",
        "failure_share",
        "service_s",
        "_adapter_seen_s",
    )

    def __init__(
        self,
        announcement: Announcement,
        last_seen_s: float,
        cold: ColdTime | None = None,
    ) -> None:
        self.announcement = announcement
        # Shared with the table that lists it.
        self.evacuations = Evacuations()
        # The last time for which this host knows that the backend server was present,
        # by this host's clock. Sources are announcements, the leader's confirmations,
        # and reports of leaving or gone.
        self.last_seen_s = last_seen_s
        # Revision of this host's table at the last change that is sent to other hosts.
        self.changed_revision = 0
        # The resident adapters at the last change that is sent to other hosts, and the
        # time of that change.
        self.published_resident = announcement.resident
        self.published_s = last_seen_s
        # When the backend server last announced itself directly to this host; NEVER_S
        # if it has not.
        self.last_direct_s = NEVER_S
        # The id of the leadership whose table lists it, as far as this host knows.
        self.listed_by = ""
        # Number of requests of this host that are running there.
        self.active = 0
        # Number of requests that this host has sent there.
        self.sent_count = 0
        # Number of failed connections since the last reply without a failure.
        self.failures = 0
        # The time until which the backend server is chosen last.
        self.paused_until_s = 0.0
        # The time until which an overloaded backend server wants no request from this
        # host.
        self.backoff_until_s = 0.0
        # What it stated last about its request limit; None if no reply has arrived.
        self.limit_statement: LimitStatement | None = None
        # Whether it has ever stated a limit, as far as this host knows.
        self.has_stated_limit = False
        # When its limit ended.
        self.limit_ended_s = NEVER_S
        # When this host may obtain a grant for it, if it has a limit.
        self.next_grant_s = 0.0
        self.cold = cold or ColdTime(None)
        self.cold.note_stated(announcement.cold_left_s, last_seen_s)
        # Share of failed outcomes, as a moving average.
        self.failure_share = 0.0
        # Time to the first event of a stream, or to the end of another reply, as a
        # moving average.
        self.service_s = 0.0
        # When a request with each adapter last started there; NEVER_S for an adapter
        # that was only announced. The adapter noted last is at the end.
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
        is_ready = self.announcement.state == READY and not self.is_evacuated()
        return is_ready and now_s >= self.backoff_until_s

    def is_evacuated(self) -> bool:
        """Return whether operators have evacuated its data centre."""
        return self.evacuations.is_in_force(self.announcement.data_centre)

    def back_off(self, for_s: float, now_s: float) -> None:
        """Send no requests there for a time; a shorter time does not end a longer."""
        until_s = now_s + min(for_s, MAX_BACKOFF_S)
        self.backoff_until_s = max(self.backoff_until_s, until_s)

    def has_restarted(self, started_at_ms: int | None) -> bool:
        """Return whether a start is newer than the announced one.

        Nothing else that is announced is known of the newer incarnation, such as its
        software version.
        """
        announced_ms = self.announcement.started_at_ms
        return bool(started_at_ms and announced_ms and started_at_ms > announced_ms)

    def incarnation(self) -> Incarnation:
        """Return the instance id and start time that identify this incarnation."""
        return self.announcement.instance_id, self.announcement.started_at_ms

    def limit_per_s(self) -> float | None:
        """Return the requests a second that it states as its limit; None if none."""
        statement = self.limit_statement
        return None if statement is None else statement.limit_per_s

    def allowed_per_s(self, now_s: float) -> float | None:
        """Return the requests a second from all hosts that it allows; None if any.

        It is the lower one of its stated limit and what it tolerates while it is cold.
        """
        return lower_limit(self.limit_per_s(), self.cold.per_s(now_s))

    def accepts_from_s(self) -> float:
        """Return the time from which it may accept a request of this host."""
        granted_s = self.next_grant_s
        if self.limit_per_s() is None:
            # It is limited until it is warm, if at all.
            granted_s = min(granted_s, self.cold.until_s())
        return max(self.backoff_until_s, granted_s)

    def admits_share(self, point: float, now_s: float) -> bool:
        """Return whether a request may go there while its share grows back.

        ``point``, from 0 to 1, is drawn for each request.
        """
        ended_s = self.limit_ended_s
        if self.cold.per_s(now_s) is None:
            ended_s = max(ended_s, self.cold.until_s())
        return point * LIMIT_RAMP_S <= now_s - ended_s

    def note_adapter(self, adapter: str, now_s: float) -> None:
        """Record that a request with an adapter has started there."""
        self._adapter_seen_s[adapter] = now_s
        self._adapter_seen_s.move_to_end(adapter)
        if len(self._adapter_seen_s) > MAX_CACHED_ADAPTERS:
            self._adapter_seen_s.popitem(last=False)

    def note_announced_adapters(self) -> None:
        """Record the announced resident adapters; keep their times of last use."""
        for name in self.announcement.resident:
            adapter = name.partition("@")[0]
            self.note_adapter(adapter, self._adapter_seen_s.get(adapter, NEVER_S))

    def is_resident(self, adapter: str, version: int) -> bool:
        """Return whether the last announcement lists an adapter as resident.

        ``adapter`` is ``model/adapter``; a ``version`` of 0 matches any.
        """
        for name in self.announcement.resident:
            resident_adapter, _, resident_version = name.partition("@")
            if resident_adapter == adapter:
                return not version or resident_version == str(version)
        return False

    def residency(self, adapter: str, now_s: float) -> int:
        """Return RESIDENT, CACHED or ABSENT for ``model/adapter``.

        The result follows from what this host knows about the backend server.
        """
        at_s = self._adapter_seen_s.get(adapter)
        if at_s is None:
            return ABSENT
        if now_s - at_s < MIN_RESIDENT_S or self.is_resident(adapter, 0):
            return RESIDENT
        return CACHED

    def note_success(self, took_s: float) -> None:
        """Count a reply without a server error, which ends a pause.

        ``took_s`` is the time until the first event of a stream, or until the end of
        another reply.
        """
        self.failures = 0
        self.paused_until_s = 0.0
        self.failure_share *= 1 - OUTCOME_WEIGHT
        self.service_s += OUTCOME_WEIGHT * (took_s - self.service_s)

    def note_error(self) -> None:
        """Count a reply with a server error, or a failed connection."""
        self.failure_share += OUTCOME_WEIGHT * (1 - self.failure_share)

    def note_connection_failure(self, now_s: float) -> None:
        """Count a failed connection and choose this backend server last for a while."""
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.failures)
        self.failures += 1
        self.paused_until_s = now_s + pause_s
        self.note_error()
