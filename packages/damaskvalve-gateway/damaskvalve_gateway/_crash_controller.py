"""Keeps what is known of requests that end backend servers level on all hosts.

Each host tells the leader of runs that did not end. The leader puts together what all
hosts saw, and commits what is known of a request once two backend servers have ended
under it: that reaches every host and survives restarts. Runs that break once, which are
nearly all, cost one notice to the leader and nothing else.
"""

import asyncio
import math
from collections.abc import Mapping, Sequence

from damaskvalve_core import DecisionLog, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import (
    Command,
    CrashNotice,
    RecordSuspects,
    SuspectRecord,
)
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crashes import (
    MAX_FINGERPRINTS,
    MISSED_S,
    NEVER_S,
    REFUSED_AT,
    WATCHED_AT,
    Start,
)
from damaskvalve_gateway._state_client import StateClient

# How often the leader looks whether a verdict changes, and the least time between two
# looks when there is news.
SETTLE_S = 0.4
URGENT_SETTLE_S = 0.1
# In one command: some 15 kB, which all hosts get.
MAX_RECORDS = 100
# In one call to the leader.
MAX_NOTICES = 200


class _Run:
    """A run that the leader has not heard of."""

    __slots__ = ("at_s", "pending")

    def __init__(self, at_s: float, pending: bool) -> None:
        self.at_s = at_s
        self.pending = pending


class CrashController:
    """This host's side, and the leader's if it leads."""

    def __init__(
        self, state_client: StateClient, view: ClusterView, log: DecisionLog
    ) -> None:
        self._state_client = state_client
        self._view = view
        self._tracker = view.crashes
        self._log = log
        # Set when the leader should hear of a run at once.
        self.urgent = asyncio.Event()
        self._changed = asyncio.Event()
        # What the leader has not taken yet.
        self._runs: dict[tuple[str, Start], _Run] = {}
        self._served: dict[str, float] = {}
        # Requests that ended well while all hosts refuse or watch them.
        self._cleared: set[str] = set()
        self._leader_id = ""

    # ---- what this host sees ----

    def note_broken(self, fingerprint: str, start: Start, at_s: float) -> None:
        """Take a run of a request whose connection broke."""
        if self._tracker.note(fingerprint, start, at_s):
            self._tell(fingerprint, start, at_s, pending=False)

    def note_pending(self, fingerprint: str, start: Start, at_s: float) -> None:
        """Take a run that was given up or answered with a failure."""
        self._tracker.note_pending(fingerprint, start, at_s)
        self._tell(fingerprint, start, at_s, pending=True)

    def _tell(
        self, fingerprint: str, start: Start, at_s: float, *, pending: bool
    ) -> None:
        """Queue a run for the leader, the newest ones if it is away for long."""
        self._runs[fingerprint, start] = _Run(at_s, pending)
        if len(self._runs) > MAX_FINGERPRINTS:
            del self._runs[next(iter(self._runs))]
        if self._is_watched(fingerprint):
            self.urgent.set()
            self._changed.set()

    def note_served(self, fingerprint: str, at_s: float) -> None:
        """Take a run of a request that ended well."""
        suspected = self._tracker.note_served(fingerprint, at_s)
        if suspected or fingerprint in self._view.suspect_statuses:
            self._served[fingerprint] = at_s
            self.urgent.set()

    def _is_watched(self, fingerprint: str) -> bool:
        suspect_statuses = self._view.suspect_statuses
        return (
            fingerprint in suspect_statuses
            or self._tracker.count(fingerprint) >= WATCHED_AT
        )

    # ---- what the leader is told ----

    def notices(self, now_s: float) -> list[CrashNotice]:
        """Return the runs that the leader has to hear of."""
        return [
            CrashNotice(
                fingerprint,
                instance_id,
                now_s - run.at_s,
                started_at_ms,
                self._served_age_s(fingerprint, now_s),
                run.pending,
            )
            for (fingerprint, (instance_id, started_at_ms)), run in self._next_runs()
        ]

    def _next_runs(self) -> list[tuple[tuple[str, Start], "_Run"]]:
        return list(self._runs.items())[:MAX_NOTICES]

    def _served_age_s(self, fingerprint: str, now_s: float) -> float | None:
        served_at_s = self._tracker.served_at_s(fingerprint)
        return None if served_at_s == NEVER_S else now_s - served_at_s

    def served_ages_s(self, now_s: float) -> dict[str, float]:
        """Return how long ago suspected requests ended well."""
        served = list(self._served.items())[:MAX_NOTICES]
        return {fingerprint: now_s - at_s for fingerprint, at_s in served}

    def note_told(
        self, notices: Sequence[CrashNotice], served: Mapping[str, float]
    ) -> bool:
        """Forget what the leader has taken; return whether there is more."""
        for notice in notices:
            start = notice.instance_id, notice.started_at_ms
            self._runs.pop((notice.fingerprint, start), None)
        for fingerprint in served:
            self._served.pop(fingerprint, None)
        return bool(self._runs or self._served)

    def tell_again(self, now_s: float) -> None:
        """Queue all that a new leader may lack."""
        for fingerprint, start, at_s in self._tracker.recent(now_s):
            self._tell(fingerprint, start, at_s, pending=False)

    # ---- the leader's side ----

    def take(
        self,
        notices: Sequence[CrashNotice],
        served: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Take what a host has seen."""
        for notice in notices:
            start = notice.instance_id, notice.started_at_ms
            age_s = notice.served_age_s
            served_at_s = NEVER_S if age_s is None else now_s - age_s
            fingerprint, at_s = notice.fingerprint, now_s - notice.age_s
            if notice.pending:
                self._tracker.note_pending(fingerprint, start, at_s)
            elif self._tracker.note(fingerprint, start, at_s, served_at_s):
                self._log.line(
                    "crash_counted", fingerprint=fingerprint, backend=start[0]
                )
            if self._is_watched(fingerprint):
                self._changed.set()
        for fingerprint, age_s in served.items():
            self._clear(fingerprint, now_s - age_s)

    def _clear(self, fingerprint: str, at_s: float) -> None:
        self._tracker.note_served(fingerprint, at_s)
        suspicion = self._view.suspect_statuses.get(fingerprint)
        if suspicion is not None:
            self._cleared.add(fingerprint)
            self._changed.set()

    def restore(self, now_s: float) -> None:
        """Take over what was committed under earlier leaders."""
        for fingerprint, suspicion in self._view.suspect_statuses.items():
            for name in suspicion.record.starts or ():
                start = read_start(name)
                self._tracker.note(fingerprint, start, now_s)
                if suspicion.record.quarantined:
                    self._tracker.note_ended(fingerprint, start)

    def changes(self, now_s: float) -> Sequence[SuspectRecord]:
        """Return the records that should be committed next, the gravest first."""
        held = self._view.suspect_statuses
        fingerprints = {*held, *self._tracker.watched()}
        changed: list[SuspectRecord] = []
        for fingerprint in sorted(
            fingerprints, key=lambda item: (-self._tracker.count(item), item)
        ):
            record = self._judge(fingerprint, now_s)
            known = held.get(fingerprint)
            if record != (known.record if known else _sound(fingerprint)):
                changed.append(record)
            if len(changed) >= MAX_RECORDS:
                break
        return changed

    def _judge(self, fingerprint: str, now_s: float) -> SuspectRecord:
        known = self._view.suspect_statuses.get(fingerprint)
        if fingerprint in self._cleared:
            return _sound(fingerprint)
        if known is not None and known.record.quarantined:
            if known.left_s(now_s) > 0:
                return known.record
            # One more run, and it is in quarantine again.
            self._tracker.keep(fingerprint, REFUSED_AT - 1)
        count = self._tracker.count(fingerprint)
        if count < WATCHED_AT:
            return _sound(fingerprint)
        names = sorted(start_name(start) for start in self._tracker.starts(fingerprint))
        refused = self._tracker.is_refused(fingerprint)
        return SuspectRecord(
            fingerprint, count, self._tracker.is_proved(fingerprint), names, refused
        )

    # ---- as long as the host runs ----

    async def run(self) -> None:
        """Settle what is open, and as the leader commit what changes."""
        while True:
            now_s = boot_clock_s()
            leads = self._state_client.leads(now_s)
            self._settle(now_s, leads=leads)
            if leads:
                await self._lead(now_s)
            await asyncio.sleep(URGENT_SETTLE_S)
            try:
                async with asyncio.timeout(SETTLE_S - URGENT_SETTLE_S):
                    await self._changed.wait()
            except TimeoutError:
                continue
            self._changed.clear()

    def _settle(self, now_s: float, *, leads: bool) -> None:
        table = self._view.backends
        counted = self._tracker.settle(
            lambda start, since_s: table.fate(start, since_s, now_s),
            now_s,
            # Others hear later than the leader of backend servers that live.
            MISSED_S if leads else math.inf,
        )
        for fingerprint, start, at_s in counted:
            self._log.line("crash_counted", fingerprint=fingerprint, backend=start[0])
            self._tell(fingerprint, start, at_s, pending=False)

    async def _lead(self, now_s: float) -> None:
        leader_id = self._state_client.status().leader_id
        if leader_id != self._leader_id:
            self._leader_id = leader_id
            self.restore(now_s)
        self._runs.clear()
        for fingerprint, at_s in self._served.items():
            self._clear(fingerprint, at_s)
        self._served.clear()
        records = self.changes(now_s)
        if not records:
            self._cleared.clear()
            return
        try:
            command = Command(record_suspects=RecordSuspects(list(records)))
            await self._state_client.commit(command)
        except RetryLaterError as error:
            self._log.line("suspects_not_recorded", reason=str(error))
            return
        self._cleared.difference_update(item.fingerprint for item in records)
        for item in records:
            self._log.line(
                "request_suspected" if item.crashes else "request_cleared",
                fingerprint=item.fingerprint,
                crashes=item.crashes,
                refused=bool(item.refused),
                proved=item.quarantined,
                starts=item.starts or "",
            )


def _sound(fingerprint: str) -> SuspectRecord:
    """Return the record that takes a suspicion away."""
    return SuspectRecord(fingerprint, 0, False)


def start_name(start: Start) -> str:
    """Return a start as it is committed."""
    instance_id, started_at_ms = start
    return f"{started_at_ms}/{instance_id}"


def read_start(name: str) -> Start:
    """Return the start that :func:`start_name` names."""
    started_at_ms, _, instance_id = name.partition("/")
    return instance_id, int(started_at_ms)


__all__ = ["CrashController", "read_start", "start_name"]
