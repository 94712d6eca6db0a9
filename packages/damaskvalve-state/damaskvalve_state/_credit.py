"""Fleet-wide rate limits: the leader's token buckets.

The leader debits credit from a bucket before it grants the credit to an entry host.
Each bucket keeps ``level + outstanding <= burst``, where ``outstanding`` is an upper
bound of the credit that entry hosts can still spend. Hence all hosts together admit
at most ``rate * length + burst`` tokens in any interval.

Credit is granted only from a reservation that is committed to the replicated log.
Its record holds a lower bound of the level and an upper bound of the outstanding
credit, so a new leader can continue from it without contacting entry hosts.
"""

from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence

from damaskvalve_core.messages import (
    CreditAsk,
    CreditGrant,
    CreditRecord,
    CreditRefund,
    CreditReport,
)

# How long an entry host may spend a grant, counted from its request.
GRANT_LIFETIME_S = 3.0
# The greatest ratio between the clock rates of two hosts.
CLOCK_DRIFT = 1.1
# A reservation covers at least the refill of this time, if the level allows.
MIN_RESERVATION_S = 0.5
# Unused tokens of a request are refunded only within this time after the charge, less
# ``MESSAGE_DELAY_S``.
REFUND_WINDOW_S = 60
# The greatest delivery delay of a credit message.
MESSAGE_DELAY_S = 2.0
# Smaller grants are not worth a message, unless less was requested.
MIN_GRANT_TOKENS = 1.0


class Limit:
    """The rate and burst of one workspace."""

    __slots__ = ("rate_tokens_per_s", "burst_tokens")

    def __init__(self, rate_tokens_per_s: float, burst_tokens: float) -> None:
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens


class _OutstandingGrant:
    """A grant that its entry host can still spend."""

    __slots__ = ("entry_id", "remaining_tokens", "expires_at_s")

    def __init__(
        self, entry_id: str, remaining_tokens: float, expires_at_s: float
    ) -> None:
        self.entry_id = entry_id
        self.remaining_tokens = remaining_tokens
        self.expires_at_s = expires_at_s


class Bucket:
    """The token bucket of one workspace on the leader."""

    def __init__(self, limit: Limit, record: CreditRecord | None, now_s: float) -> None:
        self.limit = limit
        self.level_tokens = limit.burst_tokens
        self.reserved_tokens = 0.0
        self._updated_at_s = now_s
        self._started_at_s = now_s
        self._grants: OrderedDict[int, _OutstandingGrant] = OrderedDict()
        # Tokens granted by the previous leader, which entry hosts may still spend.
        self._inherited_tokens = 0.0
        self._inherited_until_s = now_s + GRANT_LIFETIME_S * CLOCK_DRIFT
        # The peak of level plus outstanding tokens in each recent second.
        self._peaks: deque[tuple[int, float]] = deque()
        if record is not None:
            self.level_tokens = min(record.level_tokens, limit.burst_tokens)
            self._inherited_tokens = record.outstanding_tokens

    @property
    def outstanding_tokens(self) -> float:
        """Return an upper bound of the tokens that entry hosts can still spend."""
        granted = sum(grant.remaining_tokens for grant in self._grants.values())
        return granted + self._inherited_tokens

    def set_limit(self, limit: Limit) -> None:
        """Apply a changed rate and burst."""
        self.limit = limit
        free_tokens = limit.burst_tokens - self.outstanding_tokens
        self.level_tokens = max(0.0, min(self.level_tokens, free_tokens))

    def advance(self, now_s: float) -> None:
        """Refill the bucket up to now, then drop expired grants."""
        added = self.limit.rate_tokens_per_s * max(0.0, now_s - self._updated_at_s)
        free_tokens = self.limit.burst_tokens - self.outstanding_tokens
        self.level_tokens = max(0.0, min(self.level_tokens + added, free_tokens))
        self._updated_at_s = max(self._updated_at_s, now_s)
        self._record_peak(now_s)
        if now_s > self._inherited_until_s:
            self._inherited_tokens = 0.0
        expired = [
            grant_id
            for grant_id, grant in self._grants.items()
            if grant.expires_at_s < now_s
        ]
        for grant_id in expired:
            del self._grants[grant_id]

    def _record_peak(self, now_s: float) -> None:
        second = int(now_s)
        total_tokens = self.level_tokens + self.outstanding_tokens
        if self._peaks and self._peaks[-1][0] == second:
            total_tokens = max(total_tokens, self._peaks.pop()[1])
        self._peaks.append((second, total_tokens))
        while self._peaks[0][0] < second - REFUND_WINDOW_S:
            self._peaks.popleft()

    def report(self, entry_id: str, report: CreditReport) -> None:
        """Record the tokens of a grant that an entry host spent or returned.

        A report on an unknown grant or on the grant of another host is ignored.
        """
        grant = self._grants.get(report.grant_id)
        if grant is None or grant.entry_id != entry_id:
            return
        grant.remaining_tokens -= min(grant.remaining_tokens, report.spent_tokens)
        returned = min(grant.remaining_tokens, report.returned_tokens)
        grant.remaining_tokens -= returned
        self.level_tokens += returned
        if grant.remaining_tokens <= 0:
            del self._grants[report.grant_id]

    def refund(self, refund: CreditRefund, now_s: float) -> None:
        """Refund tokens that a finished request was charged but did not use.

        The level becomes what it would be without the charge: refill that a full
        bucket has lost since the charge is not granted again. Nothing is refunded if
        the charge may be older than this bucket or than the refund window.
        """
        charged_at_s = now_s - refund.charge_age_s - MESSAGE_DELAY_S
        oldest_s = max(self._started_at_s, now_s - REFUND_WINDOW_S)
        if charged_at_s < oldest_s:
            return
        since = int(charged_at_s)
        peak = max(
            total_tokens for second, total_tokens in self._peaks if second >= since
        )
        refunded = max(0.0, min(refund.tokens, self.limit.burst_tokens - peak))
        self.level_tokens += refunded
        self._peaks = deque(
            (second, total_tokens + refunded if second >= since else total_tokens)
            for second, total_tokens in self._peaks
        )

    def reservation(self, wanted_tokens: float) -> CreditRecord | None:
        """Return the record to commit before granting ``wanted_tokens``.

        Return None if the committed reservation covers all that can be granted.
        """
        if min(wanted_tokens, self.level_tokens) <= self.reserved_tokens:
            return None
        minimum = self.limit.rate_tokens_per_s * MIN_RESERVATION_S
        amount = min(self.level_tokens, max(minimum, wanted_tokens))
        level = self.level_tokens - amount
        return CreditRecord("", level, self.outstanding_tokens + amount)

    def apply_reservation(self, record: CreditRecord) -> None:
        """Allow grants down to the level of a committed record."""
        self.reserved_tokens = max(0.0, self.level_tokens - record.level_tokens)

    def grant(
        self, grant_id: int, entry_id: str, wanted_tokens: float, now_s: float
    ) -> float:
        """Debit and return the tokens that can be granted now; 0 if too few."""
        tokens = min(wanted_tokens, self.level_tokens, self.reserved_tokens)
        if tokens < min(wanted_tokens, MIN_GRANT_TOKENS):
            return 0.0
        self.level_tokens -= tokens
        self.reserved_tokens -= tokens
        expires_at_s = now_s + GRANT_LIFETIME_S * CLOCK_DRIFT
        self._grants[grant_id] = _OutstandingGrant(entry_id, tokens, expires_at_s)
        return tokens

    def retry_after_s(self, wanted_tokens: float) -> float:
        """Return the seconds until ``wanted_tokens`` are available.

        Grants to other requests in the meantime are not considered.
        """
        missing = max(0.0, wanted_tokens - self.level_tokens)
        return missing / max(self.limit.rate_tokens_per_s, 1e-9)


class CreditLedger:
    """The buckets of all workspaces on a leader, since its election."""

    def __init__(self, records: Mapping[str, CreditRecord], now_s: float) -> None:
        self._records = dict(records)
        self._buckets: dict[str, Bucket] = {}
        self._sequences: dict[str, int] = {}
        self._next_grant_id = 1
        self._started_at_s = now_s

    def bucket(self, workspace: str, limit: Limit, now_s: float) -> Bucket:
        """Return the bucket of a workspace, refilled and with the given limit."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            record = self._records.get(workspace)
            bucket = Bucket(limit, record, self._started_at_s)
            self._buckets[workspace] = bucket
        bucket.advance(now_s)
        current = bucket.limit
        if (
            current.rate_tokens_per_s != limit.rate_tokens_per_s
            or current.burst_tokens != limit.burst_tokens
        ):
            bucket.set_limit(limit)
        return bucket

    def record_sequence(self, entry_id: str, sequence: int) -> bool:
        """Record a request's number; return False if it is repeated or out of order."""
        if sequence <= self._sequences.get(entry_id, 0):
            return False
        self._sequences[entry_id] = sequence
        return True

    def settle(self, entry_id: str, ask: CreditAsk, limit: Limit, now_s: float) -> None:
        """Apply the reports and refunds of a :class:`CreditAsk`."""
        bucket = self.bucket(ask.workspace, limit, now_s)
        for report in ask.reports or ():
            bucket.report(entry_id, report)
        for refund in ask.refunds or ():
            bucket.refund(refund, now_s)

    def reservations(
        self, asks: Sequence[CreditAsk], limits: Mapping[str, Limit], now_s: float
    ) -> Sequence[CreditRecord]:
        """Return the records that must be committed before the asks are granted."""
        records = []
        for ask in asks:
            if ask.workspace not in limits or ask.wanted_tokens <= 0:
                continue
            bucket = self.bucket(ask.workspace, limits[ask.workspace], now_s)
            record = bucket.reservation(ask.wanted_tokens)
            if record is not None:
                record.workspace = ask.workspace
                records.append(record)
        return records

    def apply_reservations(self, records: Sequence[CreditRecord]) -> None:
        """Apply committed records to their buckets."""
        for record in records:
            bucket = self._buckets.get(record.workspace)
            if bucket is not None:
                bucket.apply_reservation(record)

    def grant(
        self, entry_id: str, ask: CreditAsk, limit: Limit, now_s: float
    ) -> CreditGrant:
        """Grant as much of an ask as the bucket allows."""
        bucket = self.bucket(ask.workspace, limit, now_s)
        grant_id = self._next_grant_id
        self._next_grant_id += 1
        tokens = 0.0
        if ask.wanted_tokens > 0:
            tokens = bucket.grant(grant_id, entry_id, ask.wanted_tokens, now_s)
        retry_after_s = bucket.retry_after_s(ask.wanted_tokens - tokens)
        return CreditGrant(ask.workspace, grant_id, tokens, retry_after_s)
