"""Rate and burst of a workspace over all hosts together.

A part of each rate is split evenly between all hosts and spent without asking; it
carries a small fleet over the seconds in which no host that votes is there. A larger
one is split between the lenders: the hosts that vote, which any host asks for
what a request lacks. The rest stays with the leader. So while one lender or the leader
is frozen, lost or newly elected, the others go on lending, and what quiet hosts do not
use is not stranded: the load that this answers is a leader that freezes while seventy
hosts with a few requests a second each need tokens.

Each part is a token bucket whose rate and burst are a part of the workspace's, and
the parts never add up to more than the whole: a host's part is a lease that the
leader gives again only after it has ended. What the users let the sum exceed by is
extra rate and depth of the same buckets, divided in the same way.
"""

import math
from collections.abc import Mapping

from damaskvalve_gateway._model import Workspace

# The part of every rate that hosts and lenders may spend and lend while nobody leads.
LOCAL_PART = 0.8
# What all hosts have together of it; the lenders have the rest. What a quiet host does
# not use of its own is lost to the others, and on many hosts it is less than a request:
# so a few hosts have more of it than many.
LEAST_HOST_PART = 0.1
FEW_HOSTS_PART = 0.2
FEW_HOSTS = 12
# The same for workspaces whose burst is below some requests, so that the leader's part
# has room for a whole one.
SMALL_LOCAL_PART = 0.1
SMALL_BURST_TOKENS = 20_000.0
# The part of the users' slack that is used; the rest covers clocks and late counting.
SLACK_PART = 0.8
# The part of that which is spent as a higher rate, so that a workspace whose callers
# ask for a little more than its rate all the time is served within the slack; the rest
# is depth for those that come together.
SLACK_RATE_PART = 0.5
# A host's part outlives the longest cut that is usual, so that a host that is cut off
# goes on serving within it.
SHARE_LEASE_S = 10.0
# What a host may have grown before its first grant: the part that it had before it
# restarted was its own for that long.
START_CREDIT_S = 2.0
# Clocks of two hosts drift apart by less than this.
CLOCK_DRIFT = 0.1
# Fewer hosts than this are never assumed, so that the first to ask do not get all.
MIN_HOSTS = 4
# A workspace that is refused comes back no sooner than this.
MIN_RETRY_S = 0.05
# Callers come back within a third of their deadline, and most deadlines are 15 s.
MAX_RETRY_S = 5.0
# A request that comes back sooner than this can still be answered on time; a promise
# beyond it would make another late for one that is late already.
LONGEST_PROMISE_S = 0.5
# A promise is kept for this long after it was due: callers come a little late.
PROMISE_KEPT_S = 0.5
# Refused tokens are averaged over about this long.
PRESSURE_S = 2.0
# Refused tokens a second, as a part of the rate, from which on a workspace is so far
# over its rate that only those with a promise are told to come back soon.
HEAVY_PRESSURE = 0.5
# Tokens for requests that are due within this are not given to others.
PROMISE_AHEAD_S = 0.15


def local_part(workspace: Workspace) -> float:
    """Return the part of a workspace's rate that its hosts spend without asking."""
    if workspace.by_tokens and workspace.burst < SMALL_BURST_TOKENS:
        return SMALL_LOCAL_PART
    return LOCAL_PART


class QuotaSlack:
    """How far beyond rate and burst the users let the sum over all hosts go."""

    __slots__ = ("tokens", "excess", "window_s")

    def __init__(self, tokens: float, excess: float, window_s: float) -> None:
        self.tokens = tokens
        # A share of rate times window plus burst.
        self.excess = excess
        self.window_s = window_s

    def depth(self, workspace: Workspace) -> float:
        """Return the depth that all buckets of a workspace may have together."""
        return workspace.burst + (1 - SLACK_RATE_PART) * self._extra(workspace)

    def rate_per_s(self, workspace: Workspace) -> float:
        """Return the rate that all buckets of a workspace may have together.

        Over a window it adds up with the depth to rate, burst and slack.
        """
        extra = SLACK_RATE_PART * self._extra(workspace)
        return workspace.rate_per_s + extra / self.window_s

    def _extra(self, workspace: Workspace) -> float:
        whole = workspace.rate_per_s * self.window_s + workspace.burst
        return SLACK_PART * (self.tokens + self.excess * whole)


class TokenBucket:
    """A part of a workspace's rate and burst."""

    __slots__ = ("level", "_at_s")

    def __init__(self, level: float, now_s: float) -> None:
        self.level = level
        self._at_s = now_s

    def refill(self, rate_per_s: float, depth: float, now_s: float) -> None:
        """Add what has come since the last call."""
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self.level = min(depth, self.level + rate_per_s * passed_s)

    def skip_to(self, now_s: float) -> None:
        """Let nothing have come since the last call."""
        self._at_s = now_s

    def take_part(
        self, tokens: float, rate_per_s: float, depth: float, now_s: float
    ) -> float:
        """Take as many tokens as there are, at most so many; return how many."""
        self.refill(rate_per_s, depth, now_s)
        taken = max(0.0, min(tokens, self.level))
        self.level -= taken
        return taken

    def give_back(self, tokens: float, depth: float) -> None:
        """Return tokens of a request that did not run."""
        self.level = min(depth, self.level + tokens)


class RecentTokens:
    """Tokens a second of late, older ones counting less and less."""

    __slots__ = ("_tokens", "_at_s")

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._at_s = now_s

    def add(self, tokens: float, now_s: float) -> float:
        """Count tokens; return how many came a second."""
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._tokens = self._tokens * math.exp(-passed_s / PRESSURE_S) + tokens
        return self._tokens / PRESSURE_S


class TokenReservations:
    """Requests that were told when to come back, and the tokens kept for them.

    Without these, newcomers would take what a refused request was told to wait for.
    """

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        # Due time and tokens by fingerprint, in the order in which they are due.
        self._kept: dict[str, tuple[float, float]] = {}

    def redeem(self, fingerprint: str, now_s: float) -> bool:
        """Take back the promise of a request that has come; False if it has none."""
        for kept, (due_s, _) in list(self._kept.items()):
            if now_s <= due_s + PROMISE_KEPT_S:
                break
            del self._kept[kept]
        return self._kept.pop(fingerprint, None) is not None

    def tokens(self, until_s: float) -> float:
        """Return the tokens kept for requests that are due by then."""
        return sum(tokens for due_s, tokens in self._kept.values() if due_s <= until_s)

    def make(self, fingerprint: str, tokens: float, due_s: float) -> None:
        """Keep tokens for a request that comes back."""
        self._kept[fingerprint] = (due_s, tokens)


class HostCount:
    """How many hosts there are, as a leader knows them."""

    __slots__ = ("hosts", "lenders", "unheard_hosts", "unheard_lenders")

    def __init__(
        self, hosts: int, lenders: int, unheard_hosts: int = 0, unheard_lenders: int = 0
    ) -> None:
        # Lenders count as hosts too.
        self.hosts = hosts
        self.lenders = lenders
        # Those that may hold a part that this leader does not know of.
        self.unheard_hosts = unheard_hosts
        self.unheard_lenders = unheard_lenders

    def part(self, *, lends: bool) -> float:
        """Return the part of every rate that is due to one host."""
        few = min(1.0, FEW_HOSTS / max(1, self.hosts))
        host_part = LEAST_HOST_PART + FEW_HOSTS_PART * few
        own = host_part / max(MIN_HOSTS, self.hosts)
        lent = (LOCAL_PART - host_part) / max(1, self.lenders)
        return own + lent if lends else own

    def unheard_part(self) -> float:
        """Return what those not heard may hold together."""
        plain = self.unheard_hosts - self.unheard_lenders
        lending = self.unheard_lenders * self.part(lends=True)
        return lending + plain * self.part(lends=False)


class HostQuota:
    """What one host may spend, or lend to others, without asking."""

    def __init__(self, slack: QuotaSlack, began_s: float) -> None:
        self._slack = slack
        self._began_s = began_s
        self._buckets: dict[str, TokenBucket] = {}
        # As they were when their buckets were last used.
        self._workspaces: dict[str, Workspace] = {}
        self.share = 0.0
        self._share_until_s = 0.0

    def renew(self, share: float, until_s: float, now_s: float) -> None:
        """Take the part that the leader granted.

        Nothing has grown while this host had no part: others may have had it.
        """
        if self.share_now(now_s) <= 0:
            self._began_s = max(self._began_s, now_s - START_CREDIT_S)
            for bucket in self._buckets.values():
                bucket.skip_to(now_s)
        # What has grown until now grew with the part until now.
        for name, bucket in self._buckets.items():
            rate_per_s, depth = self._terms(self._workspaces[name], now_s)
            bucket.refill(rate_per_s, depth, now_s)
        self.share = share
        self._share_until_s = until_s

    def share_now(self, now_s: float) -> float:
        """Return this host's part, 0 after its lease has ended."""
        return self.share if now_s < self._share_until_s else 0.0

    def _part_now(self, workspace: Workspace, now_s: float) -> float:
        return self.share_now(now_s) / LOCAL_PART * local_part(workspace)

    def _terms(self, workspace: Workspace, now_s: float) -> tuple[float, float]:
        """Return the rate and the depth of this host's bucket of a workspace."""
        part = self._part_now(workspace, now_s)
        depth = part * self._slack.depth(workspace)
        return part * self._slack.rate_per_s(workspace), depth

    def take(self, workspace: Workspace, tokens: float, now_s: float) -> float:
        """Take up to so many tokens of this host's part; return how many."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            # Empty, because this host may have spent it just before it restarted.
            bucket = TokenBucket(0.0, self._began_s)
            self._buckets[workspace.name] = bucket
        self._workspaces[workspace.name] = workspace
        rate_per_s, depth = self._terms(workspace, now_s)
        return bucket.take_part(tokens, rate_per_s, depth, now_s)

    def wait_s(self, workspace: Workspace, tokens: float, now_s: float) -> float:
        """Return how long until so many tokens have grown here."""
        rate_per_s, _ = self._terms(workspace, now_s)
        if rate_per_s <= 0:
            return MAX_RETRY_S
        return max(MIN_RETRY_S, min(MAX_RETRY_S, tokens / rate_per_s))

    def give_back(self, workspace: Workspace, tokens: float, now_s: float) -> None:
        """Return tokens of a request that did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.give_back(tokens, self._terms(workspace, now_s)[1])


class LeaderQuota:
    """The leader's part of every rate, and the parts that it has granted."""

    def __init__(self, slack: QuotaSlack, began_s: float) -> None:
        self._slack = slack
        self._began_s = began_s
        self._buckets: dict[str, TokenBucket] = {}
        self._granted: dict[str, tuple[float, float]] = {}
        self._promises: dict[str, TokenReservations] = {}
        # What was refused of late.
        self._refused: dict[str, RecentTokens] = {}

    def grant_share(
        self, host: str, held: float, count: HostCount, now_s: float, *, lends: bool
    ) -> tuple[float, float]:
        """Return a host's part and its lease; one that ``lends`` has a larger one.

        A new leader does not know what was granted before. Until those leases have
        ended it sets a part aside for each host that it has not heard yet, and takes
        the others at their word.
        """
        lease_s = SHARE_LEASE_S * (1 + CLOCK_DRIFT)
        self._granted = {
            name: grant for name, grant in self._granted.items() if grant[1] > now_s
        }
        others = sum(part for name, (part, _) in self._granted.items() if name != host)
        wanted = count.part(lends=lends)
        if now_s - self._began_s < lease_s:
            others += count.unheard_part()
        part = max(0.0, min(wanted, LOCAL_PART - others))
        # A host that loses this answer goes on with what it holds.
        risk = max(part, min(held, LOCAL_PART))
        self._granted[host] = (risk, now_s + lease_s)
        return part, SHARE_LEASE_S

    def take(
        self, workspace: Workspace, tokens: float, fingerprint: str, now_s: float
    ) -> float:
        """Take tokens of the leader's part and return 0, or return when to come back.

        A new leader's part starts empty: the one before may just have spent it.
        """
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._buckets[workspace.name] = TokenBucket(0.0, self._began_s)
        promises = self._promises.setdefault(workspace.name, TokenReservations())
        part = 1 - local_part(workspace)
        rate_per_s = part * self._slack.rate_per_s(workspace)
        depth = part * self._slack.depth(workspace)
        bucket.refill(rate_per_s, depth, now_s)
        came_back = bool(fingerprint) and promises.redeem(fingerprint, now_s)
        due = 0.0 if came_back else promises.tokens(now_s + PROMISE_AHEAD_S)
        if bucket.level - due >= tokens:
            bucket.level -= tokens
            return 0.0
        refused = self._refused.setdefault(workspace.name, RecentTokens(now_s))
        pressure = refused.add(tokens, now_s) / workspace.rate_per_s
        if rate_per_s <= 0 or tokens > depth:
            return MAX_RETRY_S
        ahead = promises.tokens(now_s + MAX_RETRY_S)
        wait_s = max(MIN_RETRY_S, (tokens + ahead - bucket.level) / rate_per_s)
        if wait_s >= MAX_RETRY_S:
            return MAX_RETRY_S
        if fingerprint and wait_s <= LONGEST_PROMISE_S:
            promises.make(fingerprint, tokens, now_s + wait_s)
        elif pressure > HEAVY_PRESSURE:
            # So many come that one that returns finds others in its place.
            return MAX_RETRY_S
        return wait_s

    def give_back(self, workspace: Workspace, tokens: float) -> None:
        """Take tokens back of a request that did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            part = 1 - local_part(workspace)
            bucket.give_back(tokens, part * self._slack.depth(workspace))

    def forget(self, workspaces: Mapping[str, Workspace]) -> None:
        """Drop the buckets of workspaces that are not configured any more."""
        for name in [name for name in self._buckets if name not in workspaces]:
            del self._buckets[name]
            self._promises.pop(name, None)
