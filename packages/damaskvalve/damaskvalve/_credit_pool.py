"""An entry host's credit: spends the tokens that the leader granted."""

from collections.abc import Mapping, Sequence

from damaskvalve_core.messages import (
    CreditAsk,
    CreditGrant,
    CreditRefund,
    CreditReport,
)

# Credit that is held in advance, in seconds of the recent demand.
PREFETCH_S = 2.0
# Largest share of the burst that one entry host holds in advance.
PREFETCH_BURST_SHARE = 0.25
DEMAND_HALF_LIFE_S = 1.0
# Unspent credit is returned when less than this remains of its lifetime.
RETURN_REMAINING_S = 0.6


class _HeldGrant:
    """The unspent tokens of a grant, and the spent ones not yet reported."""

    __slots__ = ("grant_id", "remaining_tokens", "spent_tokens", "expires_at_s")

    def __init__(
        self, grant_id: int, remaining_tokens: float, expires_at_s: float
    ) -> None:
        self.grant_id = grant_id
        self.remaining_tokens = remaining_tokens
        self.spent_tokens = 0.0
        self.expires_at_s = expires_at_s


class _Account:
    """The credit of one workspace at this entry host."""

    def __init__(self) -> None:
        self.held_grants: list[_HeldGrant] = []
        self.refunds: list[tuple[float, float]] = []
        self.shortfall_tokens = 0.0
        # Tokens that finished requests used beyond their charge; the next request
        # is charged for them.
        self.owed_tokens = 0.0
        # Credit held in advance counts against the burst, so the burst bounds it.
        self.max_prefetch_tokens = 0.0
        self.demand_tokens_per_s = 0.0
        self.demand_at_s = 0.0
        # Time after which the leader expects to grant the rest; 0 if it granted all.
        self.retry_after_s = 0.0

    def usable_tokens(self, now_s: float) -> float:
        return sum(
            held_grant.remaining_tokens
            for held_grant in self.held_grants
            if held_grant.expires_at_s > now_s
        )

    def note_demand(self, tokens: float, now_s: float) -> None:
        self.decay_demand(now_s)
        # 0.693 is ln 2: steady demand converges to its rate.
        self.demand_tokens_per_s += tokens * 0.693 / DEMAND_HALF_LIFE_S

    def decay_demand(self, now_s: float) -> None:
        age_s = max(0.0, now_s - self.demand_at_s)
        self.demand_tokens_per_s *= 0.5 ** (age_s / DEMAND_HALF_LIFE_S)
        self.demand_at_s = now_s


class CreditPool:
    """The accounts of all workspaces, without communication with the leader.

    A grant is spent only until its lifetime ends on this host's own clock, counted
    from the time at which the request for it was sent.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def _account(self, workspace: str) -> _Account:
        return self._accounts.setdefault(workspace, _Account())

    def spend(
        self, workspace: str, tokens: float, burst_tokens: float, now_s: float
    ) -> bool:
        """Spend tokens if there is enough credit; else record the shortfall."""
        account = self._account(workspace)
        account.max_prefetch_tokens = burst_tokens * PREFETCH_BURST_SHARE
        account.note_demand(tokens, now_s)
        return self._deduct(account, tokens, now_s)

    def retry_spend(self, workspace: str, tokens: float, now_s: float) -> bool:
        """Spend tokens for a request whose demand was already counted."""
        return self._deduct(self._account(workspace), tokens, now_s)

    def _deduct(self, account: _Account, tokens: float, now_s: float) -> bool:
        needed = tokens + account.owed_tokens
        if account.usable_tokens(now_s) < needed:
            account.shortfall_tokens += needed
            return False
        account.owed_tokens = 0.0
        remaining = needed
        for held_grant in account.held_grants:
            if held_grant.expires_at_s <= now_s:
                continue
            deducted = min(remaining, held_grant.remaining_tokens)
            held_grant.remaining_tokens -= deducted
            held_grant.spent_tokens += deducted
            remaining -= deducted
            if remaining <= 0:
                break
        return True

    def refund(self, workspace: str, tokens: float, charged_at_s: float) -> None:
        """Record tokens that were charged but not used; a negative number is owed."""
        account = self._account(workspace)
        if tokens > 0:
            account.refunds.append((tokens, charged_at_s))
        else:
            account.owed_tokens -= tokens

    def retry_after_s(self, workspace: str) -> float:
        """Return the time after which the leader expects to grant the last request."""
        return self._account(workspace).retry_after_s

    def usable_tokens(self, now_s: float) -> Mapping[str, float]:
        """Return the spendable credit of each workspace."""
        return {
            workspace: account.usable_tokens(now_s)
            for workspace, account in self._accounts.items()
        }

    def build_asks(self, now_s: float) -> Sequence[CreditAsk]:
        """Return the reports, refunds and requests for the leader, if there are any."""
        asks = []
        for workspace, account in self._accounts.items():
            ask = self._build_ask(workspace, account, now_s)
            if ask.wanted_tokens > 0 or ask.reports or ask.refunds:
                asks.append(ask)
        return asks

    def _build_ask(self, workspace: str, account: _Account, now_s: float) -> CreditAsk:
        account.decay_demand(now_s)
        desired_tokens = account.demand_tokens_per_s * PREFETCH_S
        target_tokens = min(desired_tokens, account.max_prefetch_tokens)
        surplus_tokens = (
            account.usable_tokens(now_s) - target_tokens - account.shortfall_tokens
        )
        reports = []
        for held_grant in account.held_grants:
            returned = self._returnable_tokens(held_grant, surplus_tokens, now_s)
            surplus_tokens -= returned
            if held_grant.spent_tokens > 0 or returned > 0:
                reports.append(
                    CreditReport(held_grant.grant_id, held_grant.spent_tokens, returned)
                )
            held_grant.remaining_tokens -= returned
            held_grant.spent_tokens = 0.0
        account.held_grants = [
            held_grant
            for held_grant in account.held_grants
            if held_grant.remaining_tokens > 0 and held_grant.expires_at_s > now_s
        ]
        refunds = [
            CreditRefund(tokens, now_s - charged_at_s)
            for tokens, charged_at_s in account.refunds
        ]
        account.refunds = []
        usable = account.usable_tokens(now_s)
        prefetch_tokens = target_tokens - usable if usable < target_tokens / 2 else 0.0
        wanted = max(prefetch_tokens, account.shortfall_tokens - usable, 0.0)
        account.shortfall_tokens = 0.0
        return CreditAsk(workspace, wanted, reports, refunds)

    @staticmethod
    def _returnable_tokens(
        held_grant: _HeldGrant, surplus_tokens: float, now_s: float
    ) -> float:
        """Return the tokens of a grant to give back: about to expire or surplus.

        A surplus of one token or less is kept.
        """
        remaining_s = held_grant.expires_at_s - now_s
        if remaining_s <= 0:
            return 0.0
        if remaining_s < RETURN_REMAINING_S:
            return held_grant.remaining_tokens
        return (
            max(0.0, min(held_grant.remaining_tokens, surplus_tokens))
            if surplus_tokens > 1
            else 0.0
        )

    def add_grants(
        self, grants: Sequence[CreditGrant], lifetime_s: float, sent_at_s: float
    ) -> None:
        """Add the grants that answer a request sent at ``sent_at_s``."""
        for grant in grants:
            account = self._account(grant.workspace)
            account.retry_after_s = grant.retry_after_s
            if grant.tokens > 0:
                expires_at_s = sent_at_s + lifetime_s
                held_grant = _HeldGrant(grant.grant_id, grant.tokens, expires_at_s)
                account.held_grants.append(held_grant)
