"""Tracking of requests that crash the backend servers that run them.

Callers send such a request again under another id, so its fingerprint is computed from
workspace, method, target, model, adapter and body. A part of its prompt may crash
backend servers too, whatever else the request holds, so runs are counted by two kinds
of key: the fingerprint, and one key for each part. A run is one transmission of a
request to one incarnation of a backend server. A run whose connection broke counts
against the request until the backend server is known to have outlived the run. A run
that was cancelled or answered with a failure counts if the backend server ends while it
may still be running the request, or once its announcements stop. A successful run
clears the request. A request that was only running while another one crashed a backend
server is not blamed.
"""

import collections
import hashlib
import itertools
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence

from damaskvalve_gateway._incarnations import Incarnation
from damaskvalve_gateway._model import CallerRequest
from damaskvalve_gateway._part_blame import PartEvidence, blamed_parts

# What is known about an incarnation after a run on it that did not complete: the
# incarnation has ended, it was still running after the run, or neither is known.
ENDED = "ended"
OUTLIVED = "outlived"
UNKNOWN = "unknown"

#: Returns ENDED, OUTLIVED or UNKNOWN for an incarnation since a time.
StatusOf = Callable[[Incarnation, float], str]

# A request is refused after broken runs on this many incarnations. Fewer may be
# accidents.
REFUSED_AT = 3
# The same limit for a request that succeeded within RECENTLY_SERVED_S before its first
# broken run. Many callers send such a request, so it is often running when another
# request crashes a backend server.
REFUSED_AT_IF_SERVED = 6
RECENTLY_SERVED_S = 60.0
# If other requests that ran at the same time may be to blame, a request is allowed at
# most this many runs beyond its limit. The platform allows three runs more.
EXCUSED_RUNS = 2
# The leader receives an announcement of each running backend server within this time:
# announcements are sent about every 1.2 s and arrive 0.4 s later.
PENDING_TIMEOUT_S = 2.5
# The most requests that a backend server runs at the same time.
MAX_CONCURRENT_RUNS = 64
# An announcement may arrive this late. One that arrives sooner after a run broke may
# have been sent before.
MAX_ANNOUNCEMENT_LATENESS_S = 4.0
# Records of requests with this many broken runs are replicated to all hosts and survive
# restarts. Most requests have one broken run only.
SUSPECTED_AT = 2
# Broken runs are kept for this long. This is longer than a quarantine, so that the
# first run after a quarantine is not counted as the first of three.
RUN_RETENTION_S = 3600.0
# Maximum number of keys with counted runs, and of those with pending runs.
MAX_FINGERPRINTS = 4_000
# Maximum number of parts of which the last proof is kept.
MAX_PROVED_PARTS = 8_000
# A broken run counts for this many parts of its prompt.
MAX_PARTS_PER_RUN = 32
# Maximum number of requests that are told apart for one part; more are only counted.
MAX_REQUESTS_PER_PART = 32
# Maximum number of requests whose last success is kept.
MAX_SERVED = 4_000
# The time of the last success of a request that has not succeeded.
NEVER_S = float("-inf")


# Prefix of the keys of parts; fingerprints are hexadecimal.
_PARTS_PREFIX = "parts/"
_PARTS_SEPARATOR = "+"


def parts_key(parts: Iterable[str]) -> str:
    """Return the key of one part, or of a group of parts that occur together."""
    return _PARTS_PREFIX + _PARTS_SEPARATOR.join(sorted(parts))


def parts_of_key(key: str) -> Sequence[str]:
    """Return the parts that a key names; none if it is the key of a request."""
    if not key.startswith(_PARTS_PREFIX):
        return ()
    return key[len(_PARTS_PREFIX) :].split(_PARTS_SEPARATOR)


def request_fingerprint(workspace: str, request: CallerRequest) -> str:
    """Return a digest that is the same if a request is repeated under another id."""
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


class _PendingRun:
    """A run that does not count yet."""

    __slots__ = ("at_s", "until_s", "parts")

    def __init__(self, at_s: float, until_s: float, parts: Sequence[str]) -> None:
        # When the run was given up.
        self.at_s = at_s
        self.parts = tuple(parts)
        # Until when the backend server may still be running the request.
        self.until_s = until_s


class _DoubtfulRun:
    """A run that its backend server seems to have outlived."""

    __slots__ = ("at_s", "parts")

    def __init__(self, at_s: float, parts: Sequence[str]) -> None:
        # When the run broke.
        self.at_s = at_s
        self.parts = tuple(parts)


class _RequestRuns:
    """The counted runs of one request, or of the requests with one part."""

    __slots__ = ("runs", "ended", "served_at_s", "parts", "requests", "more_requests")

    def __init__(self) -> None:
        # Time at which each run broke, by the incarnation that it ran on.
        self.runs: dict[Incarnation, float] = {}
        # Those incarnations in ``runs`` that are proved to have ended.
        self.ended: set[Incarnation] = set()
        # When the request last succeeded on any host; NEVER_S if it has not.
        self.served_at_s = NEVER_S
        # The parts of a request's prompt that may be to blame.
        self.parts: tuple[str, ...] = ()
        # Fingerprints of the requests with a part; empty for a request.
        self.requests: set[str] = set()
        # Number of runs by requests that are not told apart.
        self.more_requests = 0


class CrashTracker:
    """Counts broken runs by key and incarnation."""

    def __init__(self) -> None:
        # By key. The one with the newest run is at the end.
        self._records: collections.OrderedDict[str, _RequestRuns] = (
            collections.OrderedDict()
        )
        # The fingerprints of the runs counted on each incarnation.
        self._by_incarnation: dict[Incarnation, set[str]] = {}
        # Time of the last success on this host, by fingerprint.
        self._served: collections.OrderedDict[str, float] = collections.OrderedDict()
        # When the newest answer began that proved a part sound by its success.
        self._proved_parts: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # The runs that do not count yet, by key and incarnation.
        self._pending: collections.OrderedDict[str, dict[Incarnation, _PendingRun]] = (
            collections.OrderedDict()
        )
        # The runs that count again if their backend servers have ended after all.
        self._doubtful: collections.OrderedDict[
            tuple[str, Incarnation], _DoubtfulRun
        ] = collections.OrderedDict()

    # ---- events ----

    def note_run(
        self,
        fingerprint: str,
        incarnation: Incarnation,
        at_s: float,
        served_at_s: float = NEVER_S,
        parts: Sequence[str] = (),
    ) -> bool:
        """Count a broken run; return False if it was already counted.

        ``served_at_s`` is when the request last succeeded on the reporting host;
        NEVER_S if it has not. The run counts for the ``parts`` of the prompt too.
        """
        for part in parts:
            self.note_run_of_part(part, fingerprint, incarnation, at_s)
        record = self._records.setdefault(fingerprint, _RequestRuns())
        self._records.move_to_end(fingerprint)
        record.parts = record.parts or tuple(parts)
        record.served_at_s = max(
            record.served_at_s, served_at_s, self.served_at_s(fingerprint)
        )
        if incarnation in record.runs:
            return False
        record.runs[incarnation] = at_s
        self._by_incarnation.setdefault(incarnation, set()).add(fingerprint)
        if len(self._records) > MAX_FINGERPRINTS:
            self._evict_oldest()
        return True

    def note_run_of_part(
        self, part: str, fingerprint: str, incarnation: Incarnation, at_s: float
    ) -> None:
        """Count a broken run of a request for one part.

        A run that broke before the last answer began that proved the part sound is not
        counted.
        """
        if at_s <= self.proved_at_s(part):
            return
        key = parts_key((part,))
        self.note_run(key, incarnation, at_s)
        record = self._records.get(key)
        if record is None or fingerprint in record.requests:
            return
        if len(record.requests) < MAX_REQUESTS_PER_PART:
            record.requests.add(fingerprint)
        else:
            record.more_requests += 1

    def note_pending(
        self,
        fingerprint: str,
        incarnation: Incarnation,
        at_s: float,
        until_s: float = NEVER_S,
        parts: Sequence[str] = (),
    ) -> None:
        """Record a run that does not by itself show whether its backend server ended.

        Its caller disconnected, its deadline passed, or it was answered with a failure.
        The failure may come from a proxy in front of the backend server. Until
        ``until_s`` the backend server may still be running the request.
        """
        runs = self._pending.setdefault(fingerprint, {})
        runs[incarnation] = _PendingRun(at_s, max(at_s, until_s), parts)
        self._pending.move_to_end(fingerprint)
        if len(self._pending) > MAX_FINGERPRINTS:
            self._pending.popitem(last=False)

    def note_ended(self, fingerprint: str, incarnation: Incarnation) -> None:
        """Record that the incarnation of a counted run is proved to have ended."""
        record = self._records.get(fingerprint)
        if record is not None and incarnation in record.runs:
            record.ended.add(incarnation)

    def note_served(self, fingerprint: str, at_s: float) -> bool:
        """Remove the runs before a success; return False if none were counted."""
        self._served[fingerprint] = max(at_s, self.served_at_s(fingerprint))
        self._served.move_to_end(fingerprint)
        if len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        self._pending.pop(fingerprint, None)
        self._drop_doubtful(fingerprint, at_s)
        record = self._records.get(fingerprint)
        if record is None:
            return False
        record.served_at_s = max(record.served_at_s, at_s)
        for incarnation, noticed_s in list(record.runs.items()):
            if noticed_s <= at_s:
                self._remove_run(fingerprint, incarnation)
        return True

    def note_sound(self, part: str, began_s: float) -> bool:
        """Record that an answer with a part succeeded, and when it began.

        A part that crashes backend servers would have ended this one, so runs that
        broke before do not count any more. Later ones do: backend servers may have
        changed. Return False if no run was removed.
        """
        self._proved_parts[part] = max(began_s, self.proved_at_s(part))
        self._proved_parts.move_to_end(part)
        if len(self._proved_parts) > MAX_PROVED_PARTS:
            self._proved_parts.popitem(last=False)
        key = parts_key((part,))
        record = self._records.get(key)
        outlived = [
            incarnation
            for incarnation, at_s in (record.runs.items() if record else ())
            if at_s <= began_s
        ]
        for incarnation in outlived:
            self._remove_run(key, incarnation)
        return bool(outlived)

    def forget(self, fingerprint: str) -> None:
        """Remove all runs of a request."""
        self.keep_newest(fingerprint, 0)

    def keep_newest(self, fingerprint: str, runs: int) -> None:
        """Remove all but the newest runs of a request."""
        incarnations = self.incarnations(fingerprint)
        for incarnation in incarnations[: max(0, len(incarnations) - runs)]:
            self._remove_run(fingerprint, incarnation)

    def settle(
        self,
        status_of: StatusOf,
        now_s: float,
        pending_timeout_s: float = PENDING_TIMEOUT_S,
        kept: Collection[str] = (),
    ) -> Sequence[tuple[str, Incarnation, float]]:
        """Remove old runs and those that their backend servers have outlived.

        An announcement that shows this may be late. If it turns out that the backend
        server has ended, the run counts again.
        A pending run counts once its backend server is known to have ended, or if it is
        not known to have been running within ``pending_timeout_s`` after the run was
        given up. A backend server that was running then has outlived the run only once
        it can no longer be running the request. The runs of the ``kept`` keys do not
        grow old. Return the pending and doubtful runs that count from now on, each with
        its time.
        """
        for fingerprint, record in list(self._records.items()):
            for incarnation, at_s in list(record.runs.items()):
                if now_s - at_s > RUN_RETENTION_S and fingerprint not in kept:
                    self._remove_run(fingerprint, incarnation)
                    continue
                status = status_of(incarnation, at_s)
                if status == ENDED:
                    record.ended.add(incarnation)
                elif status == OUTLIVED and incarnation not in record.ended:
                    self._note_doubtful(fingerprint, incarnation, status_of)
                    self._remove_run(fingerprint, incarnation)
        counted = self._settle_doubtful(status_of, now_s)
        for fingerprint, incarnations in list(self._pending.items()):
            for incarnation, run in list(incarnations.items()):
                at_s = run.at_s
                status = status_of(incarnation, at_s)
                if status == UNKNOWN and now_s - at_s < pending_timeout_s:
                    continue
                if status == OUTLIVED:
                    status = status_of(incarnation, run.until_s)
                    if status == UNKNOWN:
                        continue
                del incarnations[incarnation]
                if status != OUTLIVED and self.note_run(
                    fingerprint, incarnation, at_s, parts=run.parts
                ):
                    counted.append((fingerprint, incarnation, at_s))
                if status == ENDED:
                    self.note_ended(fingerprint, incarnation)
            if not incarnations:
                del self._pending[fingerprint]
        return counted

    def _note_doubtful(
        self, fingerprint: str, incarnation: Incarnation, status_of: StatusOf
    ) -> None:
        """Keep a run aside if the announcement after it may have been a late one.

        The runs of parts come back with those of their requests.
        """
        record = self._records[fingerprint]
        at_s = record.runs[incarnation]
        certain_s = at_s + MAX_ANNOUNCEMENT_LATENESS_S
        if parts_of_key(fingerprint) or status_of(incarnation, certain_s) == OUTLIVED:
            return
        self._doubtful[fingerprint, incarnation] = _DoubtfulRun(at_s, record.parts)
        if len(self._doubtful) > MAX_FINGERPRINTS:
            self._doubtful.popitem(last=False)

    def _settle_doubtful(
        self, status_of: StatusOf, now_s: float
    ) -> list[tuple[str, Incarnation, float]]:
        """Drop the runs that were outlived; count and return those that were not."""
        counted = []
        for (fingerprint, incarnation), run in list(self._doubtful.items()):
            certain_s = run.at_s + MAX_ANNOUNCEMENT_LATENESS_S
            status = status_of(incarnation, certain_s)
            if status == UNKNOWN and now_s - run.at_s <= RUN_RETENTION_S:
                continue
            del self._doubtful[fingerprint, incarnation]
            if status != ENDED:
                continue
            if self.note_run(fingerprint, incarnation, run.at_s, parts=run.parts):
                counted.append((fingerprint, incarnation, run.at_s))
            self.note_ended(fingerprint, incarnation)
        return counted

    def _drop_doubtful(self, fingerprint: str, until_s: float) -> None:
        """Remove the doubtful runs of a request that broke before a time."""
        for key, run in list(self._doubtful.items()):
            if key[0] == fingerprint and run.at_s <= until_s:
                del self._doubtful[key]

    def _remove_run(self, fingerprint: str, incarnation: Incarnation) -> None:
        record = self._records[fingerprint]
        del record.runs[incarnation]
        record.ended.discard(incarnation)
        fingerprints = self._by_incarnation[incarnation]
        fingerprints.discard(fingerprint)
        if not fingerprints:
            del self._by_incarnation[incarnation]
        if not record.runs:
            del self._records[fingerprint]

    def _evict_oldest(self) -> None:
        """Forget the oldest request with one run, or the oldest if there is none."""
        single_runs = (
            fingerprint
            for fingerprint, record in self._records.items()
            if len(record.runs) < SUSPECTED_AT
        )
        self.forget(next(single_runs, next(iter(self._records))))

    # ---- verdicts on parts ----

    def parts_to_count(self, parts: Sequence[str]) -> Sequence[str]:
        """Return the parts of a prompt for which a broken run counts.

        Of many parts these are the ones with counted runs, then those that have proved
        sound never or the longest time ago.
        """
        if len(parts) <= MAX_PARTS_PER_RUN:
            return parts
        ranked = sorted(
            parts,
            key=lambda part: (
                parts_key((part,)) not in self._records,
                self.proved_at_s(part),
            ),
        )
        return ranked[:MAX_PARTS_PER_RUN]

    def is_proved_sound(self, part: str) -> bool:
        """Return whether an answer with a part is known to have succeeded."""
        return part in self._proved_parts

    def proved_at_s(self, part: str) -> float:
        """Return when the answer began that last proved a part; NEVER_S if none did."""
        return self._proved_parts.get(part, NEVER_S)

    def parts_of(self, fingerprint: str) -> Sequence[str]:
        """Return the parts with which the runs of a request are counted."""
        record = self._records.get(fingerprint)
        return record.parts if record is not None else ()

    def part_evidence(self, *, only_ended: bool) -> Mapping[str, PartEvidence]:
        """Return the counted runs by part; of ``only_ended`` incarnations if set."""
        evidence: dict[str, PartEvidence] = {}
        for key, record in self._records.items():
            for part in parts_of_key(key):
                crashes = {
                    incarnation: at_s
                    for incarnation, at_s in record.runs.items()
                    if not only_ended or incarnation in record.ended
                }
                if len(crashes) >= SUSPECTED_AT:
                    evidence[part] = PartEvidence(
                        crashes,
                        record.requests,
                        record.more_requests,
                        was_sound=self.is_proved_sound(part),
                    )
        return evidence

    def blamed_parts(
        self, *, only_ended: bool, known: Collection[Sequence[str]] = ()
    ) -> Sequence[tuple[str, ...]]:
        """Return the groups of parts that are to blame, by the same runs.

        ``known`` groups are refused already.
        """
        return blamed_parts(self.part_evidence(only_ended=only_ended), known)

    # ---- verdicts on requests ----

    def count(self, fingerprint: str) -> int:
        """Return on how many incarnations a request has a counted run."""
        record = self._records.get(fingerprint)
        return len(record.runs) if record is not None else 0

    def incarnations(self, fingerprint: str) -> Sequence[Incarnation]:
        """Return the incarnations on which a request has a counted run."""
        record = self._records.get(fingerprint)
        return list(record.runs) if record is not None else ()

    def served_at_s(self, fingerprint: str) -> float:
        """Return when a request last succeeded on this host; NEVER_S if unknown."""
        return self._served.get(fingerprint, NEVER_S)

    def suspected(self) -> Sequence[str]:
        """Return the requests whose records have to be replicated to all hosts."""
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if len(record.runs) >= SUSPECTED_AT and not parts_of_key(fingerprint)
        ]

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request is to blame by all its counted runs.

        These include runs whose incarnation is not proved to have ended.
        """
        record = self._records.get(fingerprint)
        return record is not None and self._is_blamed(fingerprint, record, record.runs)

    def is_proved(self, fingerprint: str) -> bool:
        """Return whether a request is to blame by runs with a proved end alone."""
        record = self._records.get(fingerprint)
        return record is not None and self._is_blamed(fingerprint, record, record.ended)

    def is_explained_by_parts(self, fingerprint: str) -> bool:
        """Return whether a request is not to blame because parts of others are."""
        record = self._records.get(fingerprint)
        if record is None or self.is_refused(fingerprint):
            return False
        return bool(self._crashes_of_parts(record) & record.runs.keys())

    def _is_blamed(
        self,
        fingerprint: str,
        record: _RequestRuns,
        incarnations: Iterable[Incarnation],
    ) -> bool:
        found = list(incarnations)
        if len(found) < REFUSED_AT:
            return False
        first_s = min(record.runs.values())
        served = first_s - record.served_at_s < RECENTLY_SERVED_S
        limit = REFUSED_AT_IF_SERVED if served else REFUSED_AT
        if not limit <= len(found) < limit + EXCUSED_RUNS:
            return len(found) >= limit
        explained = self._crashes_of_parts(record)
        blamed = sum(
            incarnation not in explained
            and not self._has_excuse(fingerprint, record, incarnation)
            for incarnation in found
        )
        return blamed >= limit

    def _crashes_of_parts(self, record: _RequestRuns) -> Collection[Incarnation]:
        """Return the incarnations that parts ended which are to blame.

        Requests with a crashing part differ, so each of them has a single run and
        explains nothing. Groups of parts that the request itself holds are left out.
        """
        crashes: set[Incarnation] = set()
        for group in self.blamed_parts(only_ended=False):
            if not set(group) <= set(record.parts):
                part_record = self._records.get(parts_key(group[:1]))
                crashes.update(part_record.runs if part_record is not None else ())
        return crashes

    def _has_excuse(
        self, fingerprint: str, record: _RequestRuns, incarnation: Incarnation
    ) -> bool:
        """Return whether another request may have ended an incarnation.

        The other request has a counted run on it too, and at least REFUSED_AT - 1
        counted runs on incarnations on which this request has none.
        """
        requests = (
            key for key in self._by_incarnation[incarnation] if not parts_of_key(key)
        )
        for other in itertools.islice(requests, MAX_CONCURRENT_RUNS):
            if other == fingerprint:
                continue
            elsewhere = self._records[other].runs.keys() - record.runs.keys()
            if len(elsewhere) >= REFUSED_AT - 1:
                return True
        return False

    def recent(self, now_s: float) -> Iterator[tuple[str, Incarnation, float]]:
        """Yield the fingerprint, the incarnation and the time of each counted run."""
        for fingerprint, record in self._records.items():
            if parts_of_key(fingerprint):
                continue
            for incarnation, at_s in record.runs.items():
                if now_s - at_s < RUN_RETENTION_S:
                    yield fingerprint, incarnation, at_s
