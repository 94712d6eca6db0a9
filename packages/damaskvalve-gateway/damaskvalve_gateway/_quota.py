"""Rate and burst of a workspace over all hosts together.

A fraction of each rate is leased to hosts and spent locally. One part of this fraction
is split evenly between all hosts. With it, a small fleet continues to serve during the
seconds in which none of the hosts that vote is available. A larger part is split
between the lenders. These are the hosts that vote; any host borrows from them the
tokens that a request lacks. The rest of the rate stays with the leader. So while one
lender or the leader is suspended, lost or newly elected, the others continue to lend,
and the tokens that idle hosts do not use remain available. The decisive case is a
suspended leader while seventy hosts with a few requests a second each need tokens.

Of workspaces whose burst is only a few requests, the leader keeps more and is asked
first, and the parts of the others are left for times without a leader. A request that
exceeds each single part is put together from several.

Each share is a token bucket with a fraction of the rate and burst of the workspace, and
the fractions never add up to more than 1: the leader grants a share to another host
only after its lease has ended. The users allow the sum of all hosts to exceed rate and
burst by a slack. The slack is extra rate and depth of the same buckets and is divided
in the same way.
"""

import math
from collections.abc import Mapping

from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._token_bucket import TokenBucket
from damaskvalve_gateway._unproven import UnprovenCredit

# The fraction of every rate that hosts spend and lenders lend without the leader.
LOCAL_FRACTION = 0.8
# The fraction of the rate that is split evenly between all hosts; the lenders have the
# rest of LOCAL_FRACTION. It is the sum of the two constants for up to SMALL_FLEET_HOSTS
# hosts, and declines towards MIN_HOSTS_FRACTION with more hosts. Other hosts cannot use
# what an idle host leaves of its own share, and with many hosts a share is less than
# one request.
MIN_HOSTS_FRACTION = 0.1
SMALL_FLEET_FRACTION = 0.2
SMALL_FLEET_HOSTS = 12
# Replaces LOCAL_FRACTION for workspaces with a burst below SMALL_BURST_TOKENS, which is
# only a few requests, so that the leader's bucket has room for most requests.
SMALL_BURST_LOCAL_FRACTION = 0.5
# The same fraction where the leader does not state it, as in earlier releases.
UNSTATED_SMALL_FRACTION = 0.1
SMALL_BURST_TOKENS = 20_000.0
# The fraction of the slack that is used. The rest covers clock drift and late counting.
SLACK_FRACTION = 0.8
# The fraction of the used slack that raises the rate. With it, a workspace whose
# callers constantly need slightly more than its rate is served within the slack. The
# rest of the used slack is depth for bursts.
SLACK_RATE_FRACTION = 0.5
# The lease of a share is longer than usual network partitions, so that a host that is
# cut off goes on serving.
SHARE_LEASE_S = 10.0
# When a host without a share is granted one, tokens for at most this time before the
# grant have accrued in its new buckets: until its restart the host had a share.
STARTUP_CREDIT_S = 2.0
# Clocks of two hosts drift apart by less than this fraction.
CLOCK_DRIFT = 0.1
# The number of hosts that is assumed if fewer are known, so that the first hosts to ask
# are not granted everything.
MIN_ASSUMED_HOSTS = 4
# The shortest Retry-After of a refused workspace.
MIN_RETRY_AFTER_S = 0.05
# Callers retry within a third of their deadline, and most deadlines are 15 s.
MAX_RETRY_AFTER_S = 5.0
# Tokens are reserved only for a wait of at most this time. A request that is retried
# within this time can still be answered on time. A longer reservation would make
# another request late in favour of one that is already late.
MAX_RESERVED_WAIT_S = 0.5
# A reservation is kept for this long after it was due: callers retry slightly late.
RESERVATION_GRACE_S = 0.5
# The time constant of the exponential average of refused tokens per second.
REFUSED_AVERAGING_S = 2.0
# Refused tokens per second, as a fraction of the rate. Above it, only requests with a
# reservation get a Retry-After shorter than MAX_RETRY_AFTER_S.
HEAVY_OVERLOAD = 0.5
# Tokens reserved for requests that are due within this time are not given to others.
RESERVATION_LOOKAHEAD_S = 0.15


def is_small(workspace: Workspace) -> bool:
    """Return whether a workspace's burst is only a few requests."""
    return workspace.by_tokens and workspace.burst < SMALL_BURST_TOKENS


def local_fraction(
    workspace: Workspace, small_fraction: float = SMALL_BURST_LOCAL_FRACTION
) -> float:
    """Return the fraction of a workspace's rate that is spent without the leader."""
    if is_small(workspace):
        return small_fraction
    return LOCAL_FRACTION


class QuotaSlack:
    """How far the sum over all hosts may exceed rate and burst."""

    __slots__ = ("tokens", "excess", "window_s")

    def __init__(self, tokens: float, excess: float, window_s: float) -> None:
        # Tokens per window by which the sum may exceed rate and burst.
        self.tokens = tokens
        # The same in addition, as a fraction of rate times window plus burst.
        self.excess = excess
        self.window_s = window_s

    def depth(self, workspace: Workspace) -> float:
        """Return the depth that all buckets of a workspace may have together."""
        return workspace.burst + (1 - SLACK_RATE_FRACTION) * self._extra(workspace)

    def rate_per_s(self, workspace: Workspace) -> float:
        """Return the rate that all buckets of a workspace may have together.

        Over a window, the tokens of this rate and the depth add up to those of the
        workspace's rate, its burst and the used slack.
        """
        extra = SLACK_RATE_FRACTION * self._extra(workspace)
        return workspace.rate_per_s + extra / self.window_s

    def _extra(self, workspace: Workspace) -> float:
        window_tokens = workspace.rate_per_s * self.window_s + workspace.burst
        return SLACK_FRACTION * (self.tokens + self.excess * window_tokens)


class RecentTokens:
    """Average of tokens per second, with exponentially decaying weights."""

    __slots__ = ("_tokens", "_at_s")

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._at_s = now_s

    def add(self, tokens: float, now_s: float) -> float:
        """Count tokens; return the average per second."""
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._tokens = self._tokens * math.exp(-passed_s / REFUSED_AVERAGING_S) + tokens
        return self._tokens / REFUSED_AVERAGING_S


class TokenReservations:
    """Tokens reserved for refused requests that were given a Retry-After.

    Without reservations, new requests would take the tokens for which a refused request
    was told to wait.
    """

    __slots__ = ("_reserved",)

    def __init__(self) -> None:
        # Due time and tokens by fingerprint, in the order of reservation.
        self._reserved: dict[str, tuple[float, float]] = {}

    def redeem(self, fingerprint: str, now_s: float) -> bool:
        """Remove a retried request's reservation, and overdue ones of other requests.

        Return False if the request has none.
        """
        for oldest, (due_s, _) in list(self._reserved.items()):
            if now_s <= due_s + RESERVATION_GRACE_S:
                break
            del self._reserved[oldest]
        return self._reserved.pop(fingerprint, None) is not None

    def tokens(self, until_s: float) -> float:
        """Return the tokens reserved for requests that are due by a time."""
        return sum(
            tokens for due_s, tokens in self._reserved.values() if due_s <= until_s
        )

    def reserve(self, fingerprint: str, tokens: float, due_s: float) -> None:
        """Reserve tokens for a request that is to be retried."""
        self._reserved[fingerprint] = (due_s, tokens)


class HostCount:
    """The number of hosts, as the leader knows it."""

    __slots__ = ("hosts", "lenders", "unsynced_hosts", "unsynced_lenders")

    def __init__(
        self,
        hosts: int,
        lenders: int,
        unsynced_hosts: int = 0,
        unsynced_lenders: int = 0,
    ) -> None:
        # Includes the lenders.
        self.hosts = hosts
        self.lenders = lenders
        # Hosts, and lenders among them, that may hold a share unknown to this leader.
        self.unsynced_hosts = unsynced_hosts
        self.unsynced_lenders = unsynced_lenders

    def host_share(self, *, lends: bool) -> float:
        """Return the fraction of every rate that one host is due."""
        small_fleet = min(1.0, SMALL_FLEET_HOSTS / max(1, self.hosts))
        hosts_fraction = MIN_HOSTS_FRACTION + SMALL_FLEET_FRACTION * small_fleet
        own = hosts_fraction / max(MIN_ASSUMED_HOSTS, self.hosts)
        lent = (LOCAL_FRACTION - hosts_fraction) / max(1, self.lenders)
        return own + lent if lends else own

    def unsynced_share(self) -> float:
        """Return the fraction of every rate that unsynced hosts may hold together."""
        non_lending = self.unsynced_hosts - self.unsynced_lenders
        lending = self.unsynced_lenders * self.host_share(lends=True)
        return lending + non_lending * self.host_share(lends=False)


class HostQuota:
    """The share that one host may spend, or lend to others, by itself."""

    def __init__(self, slack: QuotaSlack, began_s: float) -> None:
        self._slack = slack
        self._began_s = began_s
        self._buckets: dict[str, TokenBucket] = {}
        # The settings of each workspace at the last use of its bucket.
        self._workspaces: dict[str, Workspace] = {}
        # The fraction of every rate last granted, and the end of its lease.
        self.share = 0.0
        self._small_fraction = UNSTATED_SMALL_FRACTION
        self._share_until_s = 0.0

    def renew(
        self,
        share: float,
        until_s: float,
        now_s: float,
        small_fraction: float = SMALL_BURST_LOCAL_FRACTION,
    ) -> None:
        """Apply the share that the leader granted.

        ``small_fraction`` replaces LOCAL_FRACTION for workspaces with a small burst, as
        that leader counts. Tokens do not accrue while this host has no share: others
        may have had it.
        """
        if self.current_share(now_s) <= 0:
            self._began_s = max(self._began_s, now_s - STARTUP_CREDIT_S)
            for bucket in self._buckets.values():
                bucket.skip_to(now_s)
        # Until now, tokens have accrued with the previous share.
        for name, bucket in self._buckets.items():
            rate_per_s, depth = self._rate_and_depth(self._workspaces[name], now_s)
            bucket.refill(rate_per_s, depth, now_s)
        self.share = share
        self._small_fraction = small_fraction
        self._share_until_s = until_s

    def current_share(self, now_s: float) -> float:
        """Return this host's share, 0 after its lease has ended."""
        return self.share if now_s < self._share_until_s else 0.0

    def _workspace_share(self, workspace: Workspace, now_s: float) -> float:
        fraction = local_fraction(workspace, self._small_fraction)
        return self.current_share(now_s) / LOCAL_FRACTION * fraction

    def _rate_and_depth(
        self, workspace: Workspace, now_s: float
    ) -> tuple[float, float]:
        """Return the rate and the depth of this host's bucket of a workspace."""
        fraction = self._workspace_share(workspace, now_s)
        depth = fraction * self._slack.depth(workspace)
        return fraction * self._slack.rate_per_s(workspace), depth

    def take(self, workspace: Workspace, tokens: float, now_s: float) -> float:
        """Take up to a number of tokens of this host's share; return how many."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            # The bucket starts empty, because this host may have spent its tokens just
            # before it restarted.
            bucket = TokenBucket(0.0, self._began_s)
            self._buckets[workspace.name] = bucket
        self._workspaces[workspace.name] = workspace
        rate_per_s, depth = self._rate_and_depth(workspace, now_s)
        return bucket.take_up_to(tokens, rate_per_s, depth, now_s)

    def wait_s(self, workspace: Workspace, tokens: float, now_s: float) -> float:
        """Return how long a number of tokens takes to accrue in an empty bucket.

        The result is between MIN_RETRY_AFTER_S and MAX_RETRY_AFTER_S.
        """
        rate_per_s, _ = self._rate_and_depth(workspace, now_s)
        if rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, tokens / rate_per_s))

    def refund(self, workspace: Workspace, tokens: float, now_s: float) -> None:
        """Return tokens of a request that did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.refund(tokens, self._rate_and_depth(workspace, now_s)[1])


class LeaderQuota:
    """The leader's own buckets, and the shares that it has granted."""

    def __init__(self, slack: QuotaSlack, began_s: float) -> None:
        self._slack = slack
        self._began_s = began_s
        self._buckets: dict[str, TokenBucket] = {}
        # Share, and the end of its lease by the leader's clock, by host.
        self._granted: dict[str, tuple[float, float]] = {}
        self._reservations: dict[str, TokenReservations] = {}
        # Recently refused tokens by workspace.
        self._refused: dict[str, RecentTokens] = {}
        self._unproven = UnprovenCredit(began_s, slack.window_s)
        # Whether the last refusal may follow only from buckets that started empty.
        self.refusal_unproven = False

    def grant_share(
        self,
        host: str,
        reported_share: float,
        counts: HostCount,
        now_s: float,
        *,
        lends: bool,
    ) -> tuple[float, float]:
        """Return a host's share and its lease in seconds; a lender's share is larger.

        A new leader does not know the shares granted before. Until their leases have
        ended, it reserves a share for each host that has not synced yet, and accepts
        the shares that the other hosts report.
        """
        lease_s = SHARE_LEASE_S * (1 + CLOCK_DRIFT)
        self._granted = {
            name: grant for name, grant in self._granted.items() if grant[1] > now_s
        }
        others = sum(
            fraction for name, (fraction, _) in self._granted.items() if name != host
        )
        wanted = counts.host_share(lends=lends)
        if now_s - self._began_s < lease_s:
            others += counts.unsynced_share()
        fraction = max(0.0, min(wanted, LOCAL_FRACTION - others))
        # A host that does not receive this reply continues with the share that it
        # holds.
        assumed = max(fraction, min(reported_share, LOCAL_FRACTION))
        self._granted[host] = (assumed, now_s + lease_s)
        return fraction, SHARE_LEASE_S

    def take(
        self,
        workspace: Workspace,
        tokens: float,
        fingerprint: str,
        now_s: float,
        *,
        first: bool = True,
    ) -> float:
        """Take tokens of the leader's bucket; return 0, or the Retry-After in seconds.

        A new leader's bucket starts empty: its predecessor may just have spent it.
        ``first`` is false if this leader has already been asked for the same request.
        """
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._buckets[workspace.name] = TokenBucket(0.0, self._began_s)
        reservations = self._reservations.setdefault(
            workspace.name, TokenReservations()
        )
        fraction = 1 - local_fraction(workspace)
        rate_per_s = fraction * self._slack.rate_per_s(workspace)
        depth = fraction * self._slack.depth(workspace)
        bucket.refill(rate_per_s, depth, now_s)
        self.refusal_unproven = self._unproven.covers(
            workspace,
            tokens if first else 0.0,
            rate_per_s,
            self._slack.depth(workspace),
            now_s,
        )
        has_reservation = bool(fingerprint) and reservations.redeem(fingerprint, now_s)
        reserved = (
            0.0
            if has_reservation
            else reservations.tokens(now_s + RESERVATION_LOOKAHEAD_S)
        )
        if bucket.level - reserved >= tokens:
            bucket.level -= tokens
            return 0.0
        refused = self._refused.setdefault(workspace.name, RecentTokens(now_s))
        overload = refused.add(tokens, now_s) / workspace.rate_per_s
        if rate_per_s <= 0 or tokens > depth:
            return MAX_RETRY_AFTER_S
        reserved_ahead = reservations.tokens(now_s + MAX_RETRY_AFTER_S)
        wait_s = max(
            MIN_RETRY_AFTER_S, (tokens + reserved_ahead - bucket.level) / rate_per_s
        )
        if wait_s >= MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        if fingerprint and wait_s <= MAX_RESERVED_WAIT_S:
            reservations.reserve(fingerprint, tokens, now_s + wait_s)
        elif overload > HEAVY_OVERLOAD:
            # So many requests arrive that others would take the tokens before a retry.
            return MAX_RETRY_AFTER_S
        return wait_s

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Return tokens of a request that did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            fraction = 1 - local_fraction(workspace)
            bucket.refund(tokens, fraction * self._slack.depth(workspace))

    def forget(self, workspaces: Mapping[str, Workspace]) -> None:
        """Remove the buckets of workspaces that are no longer configured."""
        for name in [name for name in self._buckets if name not in workspaces]:
            del self._buckets[name]
            self._reservations.pop(name, None)
