"""Fleet-wide rate and burst: the leader's token buckets.

The leader hands entry hosts credit that is already debited. Each bucket keeps
``level + outstanding <= burst``, where ``outstanding`` is at least the credit
that entry hosts can still spend. Hence over every interval the tokens admitted
on all hosts are at most ``rate * length + burst``.

Credit is granted only out of a reservation that was committed before: the
record says how low the level is and how much can be outstanding at most, so a
later leader continues from it without asking anybody.
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

# How long an entry host may spend a grant, from when it asked.
GRANT_LIFETIME_S = 3.0
# Clocks of two hosts run at rates that differ by at most this factor.
CLOCK_DRIFT = 1.1
# The part of a second's tokens that one reservation covers at least.
RESERVATION_S = 0.5
# A request's unused tokens are refunded only within this time.
REFUND_WINDOW_S = 60
# The longest time that a credit message travels.
MESSAGE_DELAY_S = 2.0
# A grant this small is not worth a message.
LEAST_GRANT_TOKENS = 1.0


class Limit:
    """The rate and burst of one workspace."""

    __slots__ = ("rate_tokens_per_s", "burst_tokens")

    def __init__(self, rate_tokens_per_s: float, burst_tokens: float) -> None:
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens


class _Outstanding:
    """A grant that its entry host may still spend."""

    __slots__ = ("entry_id", "left_tokens", "expires_at_s")

    def __init__(self, entry_id: str, left_tokens: float, expires_at_s: float) -> None:
        self.entry_id = entry_id
        self.left_tokens = left_tokens
        self.expires_at_s = expires_at_s


class Bucket:
    """One workspace's tokens, as the leader knows them."""

    def __init__(self, limit: Limit, record: CreditRecord | None, now_s: float) -> None:
        self.limit = limit
        self.level_tokens = limit.burst_tokens
        self.reserved_tokens = 0.0
        self._updated_at_s = now_s
        self._started_at_s = now_s
        self._grants: OrderedDict[int, _Outstanding] = OrderedDict()
        self._unknown_tokens = 0.0
        self._unknown_until_s = now_s + GRANT_LIFETIME_S * CLOCK_DRIFT
        # The highest level plus outstanding of each recent second.
        self._peaks: deque[tuple[int, float]] = deque()
        if record is not None:
            self.level_tokens = min(record.level_tokens, limit.burst_tokens)
            self._unknown_tokens = record.outstanding_tokens

    @property
    def outstanding_tokens(self) -> float:
        """Return at least what entry hosts can still spend."""
        known = sum(grant.left_tokens for grant in self._grants.values())
        return known + self._unknown_tokens

    def set_limit(self, limit: Limit) -> None:
        """Put a changed rate and burst in force."""
        self.limit = limit
        room = limit.burst_tokens - self.outstanding_tokens
        self.level_tokens = max(0.0, min(self.level_tokens, room))

    def advance(self, now_s: float) -> None:
        """Refill up to now, then let expired grants go."""
        added = self.limit.rate_tokens_per_s * max(0.0, now_s - self._updated_at_s)
        room = self.limit.burst_tokens - self.outstanding_tokens
        self.level_tokens = max(0.0, min(self.level_tokens + added, room))
        self._updated_at_s = max(self._updated_at_s, now_s)
        self._note_peak(now_s)
        if now_s > self._unknown_until_s:
            self._unknown_tokens = 0.0
        expired = [
            grant_id
            for grant_id, grant in self._grants.items()
            if grant.expires_at_s < now_s
        ]
        for grant_id in expired:
            del self._grants[grant_id]

    def _note_peak(self, now_s: float) -> None:
        second = int(now_s)
        height = self.level_tokens + self.outstanding_tokens
        if self._peaks and self._peaks[-1][0] == second:
            height = max(height, self._peaks.pop()[1])
        self._peaks.append((second, height))
        while self._peaks[0][0] < second - REFUND_WINDOW_S:
            self._peaks.popleft()

    def report(self, entry_id: str, report: CreditReport) -> None:
        """Take note of what an entry host spent of a grant or gives back."""
        grant = self._grants.get(report.grant_id)
        if grant is None or grant.entry_id != entry_id:
            return
        grant.left_tokens -= min(grant.left_tokens, report.spent_tokens)
        returned = min(grant.left_tokens, report.returned_tokens)
        grant.left_tokens -= returned
        self.level_tokens += returned
        if grant.left_tokens <= 0:
            del self._grants[report.grant_id]

    def refund(self, refund: CreditRefund, now_s: float) -> None:
        """Give back tokens that a finished request was charged but did not use.

        The level becomes what it would be had they never been charged: refill
        that was lost to a full bucket since the charge is not handed out again.
        """
        charged_at_s = now_s - refund.charge_age_s - MESSAGE_DELAY_S
        oldest_s = max(self._started_at_s, now_s - REFUND_WINDOW_S)
        if charged_at_s < oldest_s:
            return
        since = int(charged_at_s)
        peak = max(height for second, height in self._peaks if second >= since)
        allowed = max(0.0, min(refund.tokens, self.limit.burst_tokens - peak))
        self.level_tokens += allowed
        self._peaks = deque(
            (second, height + allowed if second >= since else height)
            for second, height in self._peaks
        )

    def reservation(self, wanted_tokens: float) -> CreditRecord | None:
        """Return the record to commit before ``wanted_tokens`` can be granted."""
        if min(wanted_tokens, self.level_tokens) <= self.reserved_tokens:
            return None
        step = self.limit.rate_tokens_per_s * RESERVATION_S
        reserved_tokens = min(self.level_tokens, max(step, wanted_tokens))
        level = self.level_tokens - reserved_tokens
        return CreditRecord("", level, self.outstanding_tokens + reserved_tokens)

    def apply_reservation(self, record: CreditRecord) -> None:
        """Allow grants down to the level of a record that is now committed."""
        self.reserved_tokens = max(0.0, self.level_tokens - record.level_tokens)

    def grant(self, grant_id: int, entry_id: str, wanted: float, now_s: float) -> float:
        """Debit and return what can be granted now."""
        tokens = min(wanted, self.level_tokens, self.reserved_tokens)
        if tokens < min(wanted, LEAST_GRANT_TOKENS):
            return 0.0
        self.level_tokens -= tokens
        self.reserved_tokens -= tokens
        expires_at_s = now_s + GRANT_LIFETIME_S * CLOCK_DRIFT
        self._grants[grant_id] = _Outstanding(entry_id, tokens, expires_at_s)
        return tokens

    def retry_after_s(self, wanted_tokens: float) -> float:
        """Return when ``wanted_tokens`` are there if nobody else asks."""
        missing = max(0.0, wanted_tokens - self.level_tokens)
        return missing / max(self.limit.rate_tokens_per_s, 1e-9)


class CreditLedger:
    """Every bucket of a leader, from its election on."""

    def __init__(self, records: Mapping[str, CreditRecord], now_s: float) -> None:
        self._records = dict(records)
        self._buckets: dict[str, Bucket] = {}
        self._sequences: dict[str, int] = {}
        self._next_grant_id = 1
        self._started_at_s = now_s

    def bucket(self, workspace: str, limit: Limit, now_s: float) -> Bucket:
        """Return the bucket of a workspace, with its limit in force."""
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
        """Return whether a request is not a repeat or overtaken by a later one."""
        if sequence <= self._sequences.get(entry_id, 0):
            return False
        self._sequences[entry_id] = sequence
        return True

    def settle(self, entry_id: str, ask: CreditAsk, limit: Limit, now_s: float) -> None:
        """Apply the reports and refunds of one ask."""
        bucket = self.bucket(ask.workspace, limit, now_s)
        for report in ask.reports or ():
            bucket.report(entry_id, report)
        for refund in ask.refunds or ():
            bucket.refund(refund, now_s)

    def reservations(
        self, asks: Sequence[CreditAsk], limits: Mapping[str, Limit], now_s: float
    ) -> Sequence[CreditRecord]:
        """Return the records that must be committed before granting."""
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
        """Take note that these records are committed."""
        for record in records:
            bucket = self._buckets.get(record.workspace)
            if bucket is not None:
                bucket.apply_reservation(record)

    def grant(
        self, entry_id: str, ask: CreditAsk, limit: Limit, now_s: float
    ) -> CreditGrant:
        """Grant as much of one ask as the bucket holds."""
        bucket = self.bucket(ask.workspace, limit, now_s)
        grant_id = self._next_grant_id
        self._next_grant_id += 1
        tokens = 0.0
        if ask.wanted_tokens > 0:
            tokens = bucket.grant(grant_id, entry_id, ask.wanted_tokens, now_s)
        retry_after_s = bucket.retry_after_s(ask.wanted_tokens - tokens)
        return CreditGrant(ask.workspace, grant_id, tokens, retry_after_s)
