"""The leader's side of request limits: grants to send to limited backend servers.

The leader is the only one that grants, so that the limit of a backend server holds for
all hosts together, however few requests it allows. It keeps a token bucket for each
limited backend server. A new leader does not know what its predecessor granted, so its
buckets start empty, and nothing accrues in them before it took over.

Of several claims to a scarce token the more urgent one comes first, and among equals
the workspace that was granted less recently. There is no queue: a claim that has to
wait is refused, and a token is kept for a short while for a better claim that was
refused before.

For a cold backend server, each WINDOW_S has a bound besides. A grant may be used for
some time, so the grants of a time that is longer by their lifetime stay within the
bound, whether they are used or not. A new leader grants nothing for that long.
"""

import collections
import math

from damaskvalve_gateway._cold import WINDOW_S
from damaskvalve_gateway._grant_store import GRANT_LIFETIME_S
from damaskvalve_gateway._incarnations import Incarnation

# Grants a second to a backend server that allows fewer. Their replies show whether the
# limit still holds. With the depth below, a window of four seconds has at most four.
MIN_RATE_PER_S = 0.5
# The depth of a bucket: a fixed number, and what accrues in some time. A depth below
# two tokens leaves none to keep for a better claim.
MIN_DEPTH = 2.0
DEPTH_S = 0.25
# Refused claims are remembered for this long, but at least for the time in which
# MEMORY_TOKENS tokens accrue.
REFUSAL_MEMORY_S = 1.0
MEMORY_TOKENS = 2.0
MAX_REFUSED_CLAIMS = 128
# Of the equal claims that were refused, this share is assumed to be granted first.
EQUAL_SHARE = 0.25
# Time constant of the decaying count of the grants of a workspace.
SERVED_DECAY_S = 4.0
# A workspace comes before another one if it was granted this much less.
FAIR_MARGIN = 1.0
# Bounds of the time after which a refused claim may be made again.
MIN_WAIT_S = 0.02
MAX_WAIT_S = 1.0
# In a bucket first used within this time after the leader took over, tokens have
# accrued since then. Later, a bucket is new because its limit has just begun.
TAKEOVER_S = 2.0
# The grants of so long a time may be used in one window of a cold backend server.
COLD_SPAN_S = WINDOW_S + GRANT_LIFETIME_S
# A bucket that has not been used for this long is forgotten.
BUCKET_RETENTION_S = 60.0


class GrantClaim:
    """A host's claim to send requests to a limited backend server."""

    __slots__ = ("host", "priority", "workspace", "wanted")

    def __init__(self, host: str, priority: int, workspace: str, wanted: int) -> None:
        if wanted < 1:
            raise ValueError(f"wanted is {wanted}, not at least 1")
        self.host = host
        # 0 is the most urgent.
        self.priority = priority
        self.workspace = workspace
        # The number of requests; fewer may be granted.
        self.wanted = wanted


class GrantUse:
    """What was granted and refused for one backend server in an interval."""

    __slots__ = ("granted", "refused", "returned", "since_s")

    def __init__(self, since_s: float) -> None:
        self.granted = 0
        self.refused = 0
        self.returned = 0
        self.since_s = since_s


class _Rank:
    """How many refused claims come before a claim, and how many are equal to it."""

    __slots__ = ("better", "equal")

    def __init__(self, better: int, equal: int) -> None:
        self.better = better
        self.equal = equal


class _Bucket:
    """The tokens of one backend server, and its recent claims."""

    def __init__(self, now_s: float) -> None:
        self.level = 0.0
        self.at_s = now_s
        self.use = GrantUse(now_s)
        # When grants were made in the last COLD_SPAN_S, and how many.
        self._made: collections.deque[tuple[float, int]] = collections.deque()
        self._served: dict[str, float] = {}
        self._served_at_s = now_s
        # When each host's claim, as (priority, workspace), was last refused, the oldest
        # first.
        self._refused_s: collections.OrderedDict[tuple[str, int, str], float] = (
            collections.OrderedDict()
        )

    def refill(self, rate_per_s: float, now_s: float) -> None:
        """Add what accrued since the last call, up to the depth."""
        depth = MIN_DEPTH + DEPTH_S * rate_per_s
        passed_s = max(0.0, now_s - self.at_s)
        self.at_s = max(self.at_s, now_s)
        self.level = min(depth, self.level + rate_per_s * passed_s)

    def note_granted(self, claim: GrantClaim, count: int, now_s: float) -> None:
        self.level -= count
        self.use.granted += count
        self._made.append((now_s, count))
        self._decay_served(now_s)
        served = self._served.get(claim.workspace, 0.0)
        self._served[claim.workspace] = served + count
        self._refused_s.pop((claim.host, claim.priority, claim.workspace), None)

    def recent(self, now_s: float) -> int:
        """Return the number of grants made in the last COLD_SPAN_S."""
        while self._made and self._made[0][0] < now_s - COLD_SPAN_S:
            self._made.popleft()
        return sum(count for _, count in self._made)

    def oldest_ends_s(self, now_s: float) -> float:
        """Return when the oldest recent grant no longer counts."""
        return (self._made[0][0] if self._made else now_s) + COLD_SPAN_S

    def note_refused(self, claim: GrantClaim, now_s: float) -> None:
        self.use.refused += 1
        key = claim.host, claim.priority, claim.workspace
        self._refused_s[key] = now_s
        self._refused_s.move_to_end(key)
        if len(self._refused_s) > MAX_REFUSED_CLAIMS:
            self._refused_s.popitem(last=False)

    def rank(self, claim: GrantClaim, rate_per_s: float, now_s: float) -> _Rank:
        """Return how many claims that were refused recently come before a claim."""
        self._decay_served(now_s)
        memory_s = max(REFUSAL_MEMORY_S, MEMORY_TOKENS / rate_per_s)
        while self._refused_s:
            oldest = next(iter(self._refused_s))
            if now_s - self._refused_s[oldest] < memory_s:
                break
            del self._refused_s[oldest]
        own_served = self._served.get(claim.workspace, 0.0)
        better = equal = 0
        for host, priority, workspace in self._refused_s:
            served = self._served.get(workspace, 0.0)
            if (priority, served) < (claim.priority, own_served - FAIR_MARGIN):
                better += 1
            elif priority == claim.priority and served <= own_served + FAIR_MARGIN:
                equal += host != claim.host
        return _Rank(better, equal)

    def _decay_served(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._served_at_s) / SERVED_DECAY_S)
        self._served_at_s = now_s
        self._served = {
            workspace: count * factor
            for workspace, count in self._served.items()
            if count * factor > 0.01
        }


class GrantLedger:
    """Grants sends to limited backend servers, as the leader."""

    def __init__(self, began_s: float) -> None:
        # When the leader took over.
        self._began_s = began_s
        self._buckets: dict[Incarnation, _Bucket] = {}

    def take(
        self,
        incarnation: Incarnation,
        limit_per_s: float,
        claim: GrantClaim,
        now_s: float,
        cold_most: int | None = None,
    ) -> tuple[int, float]:
        """Return the number of granted sends, and the wait in seconds if it is 0.

        ``cold_most`` is the most that may arrive in WINDOW_S at a cold backend server;
        None if it is not cold.
        """
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            has_taken_over = now_s - self._began_s < TAKEOVER_S
            bucket = _Bucket(self._began_s if has_taken_over else now_s)
            self._buckets[incarnation] = bucket
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        bucket.refill(rate_per_s, now_s)
        rank = bucket.rank(claim, rate_per_s, now_s)
        kept = 1.0 if rank.better else 0.0
        available = math.floor(bucket.level - kept)
        recent = bucket.recent(now_s)
        cold_wait_s = 0.0
        if cold_most is not None and now_s < self._began_s + COLD_SPAN_S:
            # The predecessor's grants may still be used.
            available, cold_wait_s = 0, self._began_s + COLD_SPAN_S - now_s
        elif cold_most is not None and cold_most - recent < available:
            available = cold_most - recent
            cold_wait_s = bucket.oldest_ends_s(now_s) - now_s
        if available >= 1:
            count = min(claim.wanted, available)
            bucket.note_granted(claim, count, now_s)
            return count, 0.0
        bucket.note_refused(claim, now_s)
        ahead = rank.better + EQUAL_SHARE * rank.equal
        wait_s = (1.0 + ahead - bucket.level) / rate_per_s
        return 0, max(MIN_WAIT_S, min(MAX_WAIT_S, max(wait_s, cold_wait_s)))

    def give_back(self, incarnation: Incarnation, count: int) -> None:
        """Add grants that a host did not use; the depth still bounds them."""
        bucket = self._buckets.get(incarnation)
        if bucket is not None and count > 0:
            bucket.level += count
            bucket.use.returned += count

    def take_use(
        self, incarnation: Incarnation, interval_s: float, now_s: float
    ) -> GrantUse | None:
        """Return what was granted since the last call, at most once in an interval."""
        bucket = self._buckets.get(incarnation)
        if bucket is None or now_s - bucket.use.since_s < interval_s:
            return None
        use, bucket.use = bucket.use, GrantUse(now_s)
        return use

    def expire(self, now_s: float) -> None:
        """Forget the buckets that have not been used for BUCKET_RETENTION_S."""
        self._buckets = {
            incarnation: bucket
            for incarnation, bucket in self._buckets.items()
            if now_s - bucket.at_s < BUCKET_RETENTION_S
        }


__all__ = ["GrantClaim", "GrantLedger", "GrantUse"]
