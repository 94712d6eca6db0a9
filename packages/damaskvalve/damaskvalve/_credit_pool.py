"""An entry host's credit: spends what the leader granted and asks for more."""

from collections.abc import Mapping, Sequence

from damaskvalve_core.messages import (
    CreditAsk,
    CreditGrant,
    CreditRefund,
    CreditReport,
)

# How far ahead credit is kept, in seconds of the recent demand.
AHEAD_S = 2.0
# One entry host holds at most this part of the burst ahead.
AHEAD_BURST_SHARE = 0.25
DEMAND_HALF_LIFE_S = 1.0
# Idle credit is returned when this much of its life is left.
RETURN_BEFORE_S = 0.6


class _Held:
    """What is left of one grant, and what of it was not reported yet."""

    __slots__ = ("grant_id", "left_tokens", "spent_tokens", "expires_at_s")

    def __init__(self, grant_id: int, left_tokens: float, expires_at_s: float) -> None:
        self.grant_id = grant_id
        self.left_tokens = left_tokens
        self.spent_tokens = 0.0
        self.expires_at_s = expires_at_s


class _Account:
    """One workspace's credit at this entry host."""

    def __init__(self) -> None:
        self.held: list[_Held] = []
        self.refunds: list[tuple[float, float]] = []
        self.short_tokens = 0.0
        # What ended requests used beyond their charge; paid with the next one.
        self.owed_tokens = 0.0
        # Credit held ahead counts against the burst, so it is bounded by it.
        self.most_ahead_tokens = 0.0
        self.demand_tokens_per_s = 0.0
        self.demand_at_s = 0.0
        # When the leader expects what it could not grant; 0 if it granted all.
        self.retry_after_s = 0.0

    def usable_tokens(self, now_s: float) -> float:
        return sum(held.left_tokens for held in self.held if held.expires_at_s > now_s)

    def note_demand(self, tokens: float, now_s: float) -> None:
        self.decay_demand(now_s)
        self.demand_tokens_per_s += tokens * 0.693 / DEMAND_HALF_LIFE_S

    def decay_demand(self, now_s: float) -> None:
        age_s = max(0.0, now_s - self.demand_at_s)
        self.demand_tokens_per_s *= 0.5 ** (age_s / DEMAND_HALF_LIFE_S)
        self.demand_at_s = now_s


class CreditPool:
    """Pure bookkeeping; the ledger around it talks to the leader.

    Spends only credit whose life has not ended on this host's own clock, counted
    from when the request for it was sent.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def _account(self, workspace: str) -> _Account:
        return self._accounts.setdefault(workspace, _Account())

    def spend(
        self, workspace: str, tokens: float, burst_tokens: float, now_s: float
    ) -> bool:
        """Spend tokens if there is enough credit; else remember the shortage."""
        account = self._account(workspace)
        account.most_ahead_tokens = burst_tokens * AHEAD_BURST_SHARE
        account.note_demand(tokens, now_s)
        return self._take(account, tokens, now_s)

    def retry_spend(self, workspace: str, tokens: float, now_s: float) -> bool:
        """Try again to spend for a request whose demand was counted."""
        return self._take(self._account(workspace), tokens, now_s)

    def _take(self, account: _Account, tokens: float, now_s: float) -> bool:
        needed = tokens + account.owed_tokens
        if account.usable_tokens(now_s) < needed:
            account.short_tokens += needed
            return False
        account.owed_tokens = 0.0
        left = needed
        for held in account.held:
            if held.expires_at_s <= now_s:
                continue
            taken = min(left, held.left_tokens)
            held.left_tokens -= taken
            held.spent_tokens += taken
            left -= taken
            if left <= 0:
                break
        return True

    def refund(self, workspace: str, tokens: float, charged_at_s: float) -> None:
        """Remember tokens that were charged but not used; less than 0 is owed."""
        account = self._account(workspace)
        if tokens > 0:
            account.refunds.append((tokens, charged_at_s))
        else:
            account.owed_tokens -= tokens

    def retry_after_s(self, workspace: str) -> float:
        """Return when the leader expects the tokens that were asked for last."""
        return self._account(workspace).retry_after_s

    def usable_tokens(self, now_s: float) -> Mapping[str, float]:
        """Return the credit of each workspace that can be spent now."""
        return {
            workspace: account.usable_tokens(now_s)
            for workspace, account in self._accounts.items()
        }

    def build_asks(self, now_s: float) -> Sequence[CreditAsk]:
        """Return what to report, return and ask for; empty if nothing is to say."""
        asks = []
        for workspace, account in self._accounts.items():
            ask = self._build_ask(workspace, account, now_s)
            if ask.wanted_tokens > 0 or ask.reports or ask.refunds:
                asks.append(ask)
        return asks

    def _build_ask(self, workspace: str, account: _Account, now_s: float) -> CreditAsk:
        account.decay_demand(now_s)
        wished = account.demand_tokens_per_s * AHEAD_S
        target = min(wished, account.most_ahead_tokens)
        surplus = account.usable_tokens(now_s) - target - account.short_tokens
        reports = []
        for held in account.held:
            returned = self._returned(held, surplus, now_s)
            surplus -= returned
            if held.spent_tokens > 0 or returned > 0:
                reports.append(CreditReport(held.grant_id, held.spent_tokens, returned))
            held.left_tokens -= returned
            held.spent_tokens = 0.0
        account.held = [
            held
            for held in account.held
            if held.left_tokens > 0 and held.expires_at_s > now_s
        ]
        refunds = [
            CreditRefund(tokens, now_s - charged_at_s)
            for tokens, charged_at_s in account.refunds
        ]
        account.refunds = []
        usable = account.usable_tokens(now_s)
        missing = target - usable if usable < target / 2 else 0.0
        wanted = max(missing, account.short_tokens - usable, 0.0)
        account.short_tokens = 0.0
        return CreditAsk(workspace, wanted, reports, refunds)

    @staticmethod
    def _returned(held: _Held, surplus: float, now_s: float) -> float:
        """Return how much of a grant goes back: soon expiring or not needed."""
        life_left_s = held.expires_at_s - now_s
        if life_left_s <= 0:
            return 0.0
        if life_left_s < RETURN_BEFORE_S:
            return held.left_tokens
        return max(0.0, min(held.left_tokens, surplus)) if surplus > 1 else 0.0

    def add_grants(
        self, grants: Sequence[CreditGrant], lifetime_s: float, sent_at_s: float
    ) -> None:
        """Add what the leader granted to a request sent at ``sent_at_s``."""
        for grant in grants:
            account = self._account(grant.workspace)
            account.retry_after_s = grant.retry_after_s
            if grant.tokens > 0:
                expires_at_s = sent_at_s + lifetime_s
                held = _Held(grant.grant_id, grant.tokens, expires_at_s)
                account.held.append(held)
