"""Requests that end the backend servers that run them.

Such a request comes again under another id, so it is known by workspace, target, model
and body. A run whose connection broke counts against it for as long as the backend
server is not known to have outlived that run; one that was given up, or answered with a
failure, counts once the backend server is missed. A run that ends well takes all of it
back, and a request that was only there when another one ended a backend server is not
blamed.
"""

import collections
import hashlib
import itertools
from collections.abc import Callable, Iterable, Iterator, Sequence

from damaskvalve_gateway._model import CallerRequest

#: One start of a backend server: its id and when it started, in milliseconds.
Start = tuple[str, int]

# What is known of a backend server after a run on it did not end.
ENDED = "ended"
OUTLIVED = "outlived"
UNKNOWN = "unknown"

#: Returns the fate of a start since a time.
FateOf = Callable[[Start, float], str]

# A run that does not end may be an accident; so many on different starts are not.
REFUSED_AT = 3
# The same for a request that ended well a short while before: many callers send it, so
# it runs wherever another request ends a backend server.
REFUSED_AT_IF_SERVED = 6
SERVED_S = 60.0
# Company is no excuse beyond so many more: the platform allows three runs more.
EXCUSED_RUNS = 2
# A leader hears of each backend server that lives within this: announcements come about
# every 1.2 s, and 0.4 s later to it.
MISSED_S = 2.5
# The most requests that a backend server runs at once.
MAX_COMPANY = 64
# So many are told to all hosts and survive restarts; most broken runs stay alone.
WATCHED_AT = 2
# A run is forgotten after this. Longer than a quarantine, so that the first run after
# it is not the first of three.
REMEMBER_S = 3600.0
MAX_FINGERPRINTS = 4_000
MAX_SERVED = 4_000
NEVER_S = float("-inf")


def request_fingerprint(workspace: str, request: CallerRequest) -> str:
    """Return what identifies a request that is sent again under another id."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (
        workspace.encode(),
        request.method.encode(),
        request.target.encode(),
        request.model.encode(),
        request.adapter.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class _Record:
    """The runs of one request that did not end."""

    __slots__ = ("runs", "ended", "served_at_s")

    def __init__(self) -> None:
        # When each was noticed, by the start that it ran on.
        self.runs: dict[Start, float] = {}
        # Starts that are proved to have ended.
        self.ended: set[Start] = set()
        # When the request last ended well anywhere.
        self.served_at_s = NEVER_S


class CrashTracker:
    """Counts the runs that did not end, by fingerprint and start."""

    def __init__(self) -> None:
        # In the order of their newest run.
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._by_start: dict[Start, set[str]] = {}
        self._served: collections.OrderedDict[str, float] = collections.OrderedDict()
        # Runs that do not count yet, by fingerprint.
        self._pending: collections.OrderedDict[str, dict[Start, float]] = (
            collections.OrderedDict()
        )

    # ---- what happened ----

    def note(
        self, fingerprint: str, start: Start, at_s: float, served_at_s: float = NEVER_S
    ) -> bool:
        """Count a run that did not end; False if it was counted before.

        ``served_at_s`` is when another host that noticed it last saw the request end
        well.
        """
        record = self._records.setdefault(fingerprint, _Record())
        self._records.move_to_end(fingerprint)
        record.served_at_s = max(
            record.served_at_s, served_at_s, self.served_at_s(fingerprint)
        )
        if start in record.runs:
            return False
        record.runs[start] = at_s
        self._by_start.setdefault(start, set()).add(fingerprint)
        if len(self._records) > MAX_FINGERPRINTS:
            self._drop_oldest()
        return True

    def note_pending(self, fingerprint: str, start: Start, at_s: float) -> None:
        """Note a run that says nothing of its backend server by itself.

        Its caller has left, its time has passed, or it was answered with a failure,
        which may come from whatever stands before the one that ran the request.
        """
        self._pending.setdefault(fingerprint, {})[start] = at_s
        self._pending.move_to_end(fingerprint)
        if len(self._pending) > MAX_FINGERPRINTS:
            self._pending.popitem(last=False)

    def note_ended(self, fingerprint: str, start: Start) -> None:
        """Note that a start is proved to have ended."""
        record = self._records.get(fingerprint)
        if record is not None and start in record.runs:
            record.ended.add(start)

    def note_served(self, fingerprint: str, at_s: float) -> bool:
        """Take back what was counted before a run ended well; False if nothing was."""
        self._served[fingerprint] = max(at_s, self.served_at_s(fingerprint))
        self._served.move_to_end(fingerprint)
        if len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        self._pending.pop(fingerprint, None)
        record = self._records.get(fingerprint)
        if record is None:
            return False
        record.served_at_s = max(record.served_at_s, at_s)
        for start, noticed_s in list(record.runs.items()):
            if noticed_s <= at_s:
                self._drop(fingerprint, start)
        return True

    def forget(self, fingerprint: str) -> None:
        """Take back all that was counted against a request."""
        self.keep(fingerprint, 0)

    def keep(self, fingerprint: str, runs: int) -> None:
        """Keep only the newest runs of a request."""
        starts = self.starts(fingerprint)
        for start in starts[: max(0, len(starts) - runs)]:
            self._drop(fingerprint, start)

    def settle(
        self, fate_of: FateOf, now_s: float, missed_s: float = MISSED_S
    ) -> Sequence[tuple[str, Start, float]]:
        """Take back runs that their backend servers have outlived, and old ones.

        A backend server of which nothing was heard for ``missed_s`` is missed. Return
        the pending runs that count from now on, each with its time.
        """
        for fingerprint, record in list(self._records.items()):
            for start, at_s in list(record.runs.items()):
                if now_s - at_s > REMEMBER_S:
                    self._drop(fingerprint, start)
                    continue
                fate = fate_of(start, at_s)
                if fate == ENDED:
                    record.ended.add(start)
                elif fate == OUTLIVED and start not in record.ended:
                    self._drop(fingerprint, start)
        counted = []
        for fingerprint, starts in list(self._pending.items()):
            for start, at_s in list(starts.items()):
                fate = fate_of(start, at_s)
                if fate == UNKNOWN and now_s - at_s < missed_s:
                    continue
                del starts[start]
                if fate != OUTLIVED and self.note(fingerprint, start, at_s):
                    counted.append((fingerprint, start, at_s))
                if fate == ENDED:
                    self.note_ended(fingerprint, start)
            if not starts:
                del self._pending[fingerprint]
        return counted

    def _drop(self, fingerprint: str, start: Start) -> None:
        record = self._records[fingerprint]
        del record.runs[start]
        record.ended.discard(start)
        fingerprints = self._by_start[start]
        fingerprints.discard(fingerprint)
        if not fingerprints:
            del self._by_start[start]
        if not record.runs:
            del self._records[fingerprint]

    def _drop_oldest(self) -> None:
        """Forget a request; those that are watched go after all others."""
        alone = (
            fingerprint
            for fingerprint, record in self._records.items()
            if len(record.runs) < WATCHED_AT
        )
        self.forget(next(alone, next(iter(self._records))))

    # ---- what follows ----

    def count(self, fingerprint: str) -> int:
        """Return on how many starts a request has not ended."""
        record = self._records.get(fingerprint)
        return len(record.runs) if record is not None else 0

    def starts(self, fingerprint: str) -> Sequence[Start]:
        """Return the starts on which a request has not ended."""
        record = self._records.get(fingerprint)
        return list(record.runs) if record is not None else ()

    def served_at_s(self, fingerprint: str) -> float:
        """Return when a request last ended well at this host."""
        return self._served.get(fingerprint, NEVER_S)

    def watched(self) -> Sequence[str]:
        """Return the requests that all hosts should know of."""
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if len(record.runs) >= WATCHED_AT
        ]

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request is to be blamed, also before that is proved."""
        record = self._records.get(fingerprint)
        return record is not None and self._is_blamed(fingerprint, record, record.runs)

    def is_proved(self, fingerprint: str) -> bool:
        """Return whether a request is to be blamed by proved ends alone."""
        record = self._records.get(fingerprint)
        return record is not None and self._is_blamed(fingerprint, record, record.ended)

    def _is_blamed(
        self, fingerprint: str, record: _Record, starts: Iterable[Start]
    ) -> bool:
        found = list(starts)
        if len(found) < REFUSED_AT:
            return False
        first_s = min(record.runs.values())
        served = first_s - record.served_at_s < SERVED_S
        limit = REFUSED_AT_IF_SERVED if served else REFUSED_AT
        if not limit <= len(found) < limit + EXCUSED_RUNS:
            return len(found) >= limit
        blamed = sum(
            not self._has_excuse(fingerprint, record, start) for start in found
        )
        return blamed >= limit

    def _has_excuse(self, fingerprint: str, record: _Record, start: Start) -> bool:
        """Return whether another request was there that ends them without this one."""
        for other in itertools.islice(self._by_start[start], MAX_COMPANY):
            if other == fingerprint:
                continue
            elsewhere = self._records[other].runs.keys() - record.runs.keys()
            if len(elsewhere) >= REFUSED_AT - 1:
                return True
        return False

    def recent(self, now_s: float) -> Iterator[tuple[str, Start, float]]:
        """Yield the fingerprint, the start and the time of each counted run."""
        for fingerprint, record in self._records.items():
            for start, at_s in record.runs.items():
                if now_s - at_s < REMEMBER_S:
                    yield fingerprint, start, at_s
