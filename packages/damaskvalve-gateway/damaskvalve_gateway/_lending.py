"""Borrowing of the tokens that a request lacks from other hosts.

:class:`LenderTracker` decides which hosts to ask, :class:`TokenSearch` holds the result
for one request, and :class:`TokenBorrower` makes the calls.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import xxhash

from damaskvalve_core import ChannelError, DecisionLog, RefusedError
from damaskvalve_core.messages import TokensReply, TokensRequest
from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._quota import (
    MAX_RETRY_AFTER_S,
    QuotaSlack,
    is_small,
    local_fraction,
)

# Time-out of a call to a lender. Lenders reply within some milliseconds; one that does
# not reply within this time is suspended, cut off or overloaded.
TOKENS_TIMEOUT_S = 0.25
# An unresponsive lender is skipped for this long, so that not every request waits for
# it.
LENDER_BACKOFF_S = 1.0
# After a request could not collect its tokens from several lenders, no other request of
# its workspace tries for this long.
COLLECT_BACKOFF_S = 0.5
# Retry-After if no lender and no leader could decide: within this time another host is
# elected leader.
ELECTION_RETRY_AFTER_S = 1.0

#: Sends a request for tokens to an address, with a time-out in seconds; raises
#: ChannelError if no reply arrives.
SendTokensRequest = Callable[[str, TokensRequest, float], Awaitable[TokensReply]]
#: Takes tokens of the leader's bucket if this host leads; returns whether it had them.
TakeOwn = Callable[[float], bool]
#: The address of a lender, and the tokens that it lent.
Loan = tuple[str, float]


def needs_lenders(workspace: Workspace, tokens: float, slack: QuotaSlack) -> bool:
    """Return whether tokens exceed what a leader's full bucket has of a workspace.

    What exceeds all full buckets together is not for lenders either.
    """
    depth = slack.depth(workspace)
    return (1 - local_fraction(workspace)) * depth < tokens <= depth


class LenderTracker:
    """Which lenders are unresponsive or have no tokens, as far as this host knows."""

    __slots__ = ("_unresponsive_until_s", "_empty_until_s")

    def __init__(self) -> None:
        self._unresponsive_until_s: dict[str, float] = {}
        # The time until which a lender has no tokens, by lender and workspace.
        self._empty_until_s: dict[tuple[str, str], float] = {}

    def order(
        self, host: str, lenders: Sequence[str], workspace: str, now_s: float
    ) -> Sequence[str]:
        """Return the lenders to ask, without unresponsive and empty ones.

        The order depends on the host, so that the load is spread over the lenders.
        """
        return [
            lender
            for lender in self.responsive(host, lenders, now_s)
            if now_s >= self._empty_until_s.get((lender, workspace), 0.0)
        ]

    def responsive(
        self, host: str, lenders: Sequence[str], now_s: float
    ) -> Sequence[str]:
        """Return the other lenders that reply, whatever they have left."""
        return sorted(
            (
                lender
                for lender in lenders
                if lender != host and not self.is_unresponsive(lender, now_s)
            ),
            key=lambda item: xxhash.xxh32_intdigest(f"{host}|{item}".encode()),
        )

    def is_unresponsive(self, lender: str, now_s: float) -> bool:
        """Return whether a lender recently failed to reply.

        After the backoff, the first request that checks the lender tries it again. The
        others skip it for another TOKENS_TIMEOUT_S, or until the call has a result.
        """
        until_s = self._unresponsive_until_s.get(lender)
        if until_s is None:
            return False
        if now_s >= until_s:
            self._unresponsive_until_s[lender] = now_s + TOKENS_TIMEOUT_S
            return False
        return True

    def silent(self, lenders: Sequence[str], now_s: float) -> Sequence[str]:
        """Return the lenders that are skipped because they did not reply."""
        return [
            item for item in lenders if now_s < self._unresponsive_until_s.get(item, 0)
        ]

    def note_unresponsive(self, lender: str, now_s: float) -> None:
        """For LENDER_BACKOFF_S, skip a lender that did not reply."""
        self._unresponsive_until_s[lender] = now_s + LENDER_BACKOFF_S

    def note_responsive(self, lender: str) -> None:
        """Use a lender again that has replied."""
        self._unresponsive_until_s.pop(lender, None)

    def note_empty(
        self, lender: str, workspace: str, wait_s: float, now_s: float
    ) -> None:
        """Skip a lender until it may have tokens of a workspace again."""
        self._empty_until_s[(lender, workspace)] = now_s + wait_s


class TokenSearch:
    """One request's search for the tokens that it lacks."""

    def __init__(
        self,
        workspace: Workspace,
        tokens: float,
        fingerprint: str,
        host: str,
        *,
        needs_lenders: bool = False,
    ) -> None:
        self.workspace = workspace
        self.tokens = tokens
        # The hosts that lent tokens, and how many; empty while not all are found.
        self.loans: Sequence[Loan] = ()
        # Retry-After of the leader's refusal in seconds; 0 if the leader has not
        # refused.
        self.leader_wait_s = 0.0
        # Whether the leader's refusal may follow only from a recent restart.
        self.unproven = False
        # The hosts that did not reply, or no longer led when they did.
        self.unresponsive: list[str] = []
        # Whether the leader cannot have as many tokens; its refusal then shows nothing
        # about the lenders that did not reply.
        self._needs_lenders = needs_lenders
        self._fingerprint = fingerprint
        self._host = host

    def request(self) -> TokensRequest:
        """Return the message to send to a lender."""
        return TokensRequest(
            self._host, self.workspace.name, self.tokens, self._fingerprint
        )

    def partial_request(self, tokens: float, *, partial: bool) -> TokensRequest:
        """Return the message that asks for the tokens that are still lacking."""
        return TokensRequest(self._host, self.workspace.name, tokens, "", partial)

    def refusal(self) -> RefusedError:
        """Return the error of a request that found no tokens."""
        name = self.workspace.name
        if self.leader_wait_s > 0 and self.unproven:
            return RefusedError(
                503,
                "rate_unproven",
                f"what workspace {name} spent before the restart is not known",
                retry_after_s=self.leader_wait_s,
            )
        if self.leader_wait_s > 0 and not (self._needs_lenders and self.unresponsive):
            return RefusedError(
                429,
                "over_rate",
                f"workspace {name} is over its rate",
                retry_after_s=self.leader_wait_s,
            )
        who = ", ".join(self.unresponsive) or "the leader, which is unknown"
        return RefusedError(
            503,
            "lender_silent",
            f"no host could confirm that workspace {name} is within its rate: no "
            f"reply from {who}",
            retry_after_s=ELECTION_RETRY_AFTER_S,
        )


class TokenBorrower:
    """Finds a lender that has the tokens of a request; asks the leader last."""

    def __init__(self, host: str, send: SendTokensRequest, log: DecisionLog) -> None:
        self._host = host
        self._send = send
        self._log = log
        self._tracker = LenderTracker()
        # When requests of a workspace may collect tokens again, by workspace.
        self._collect_from_s: dict[str, float] = {}

    async def borrow(
        self,
        search: TokenSearch,
        lenders: Sequence[str],
        leader: str,
        clock: Callable[[], float],
        take_own: TakeOwn | None = None,
    ) -> None:
        """Ask the lenders and the leader until one grants the tokens.

        If none has as many, the tokens are collected from all of them. ``search``
        receives the result. ``leader`` is empty if it is unknown, or if this host
        leads; then ``take_own`` gives access to the leader's bucket.
        """
        await self._ask_for_all(search, lenders, leader, clock)
        name = search.workspace.name
        if not search.loans and clock() >= self._collect_from_s.get(name, 0.0):
            await self._collect(search, lenders, leader, clock, take_own)
            if not search.loans:
                self._pause_collecting(name, clock())
        if not search.loans:
            skipped = self._tracker.silent(lenders, clock())
            search.unresponsive += [
                item for item in skipped if item not in search.unresponsive
            ]

    def _pause_collecting(self, workspace: str, now_s: float) -> None:
        self._collect_from_s = {
            name: from_s
            for name, from_s in self._collect_from_s.items()
            if now_s < from_s
        }
        self._collect_from_s[workspace] = now_s + COLLECT_BACKOFF_S

    async def _collect(
        self,
        search: TokenSearch,
        lenders: Sequence[str],
        leader: str,
        clock: Callable[[], float],
        take_own: TakeOwn | None,
    ) -> None:
        """Put the tokens together from what the lenders and the leader have left.

        Each of them has a part of the rate, which a long prompt may exceed.
        """
        loans: list[Loan] = []
        lacking = search.tokens
        others = [lender for lender in lenders if lender != leader]
        asked = self._tracker.responsive(self._host, others, clock())
        if leader and not self._tracker.is_unresponsive(leader, clock()):
            asked = [*asked, leader]
        for lender in asked:
            request = search.partial_request(lacking, partial=lender != leader)
            try:
                reply = await self._send(lender, request, TOKENS_TIMEOUT_S)
            except ChannelError as error:
                self._note_silent(lender, search, error, clock())
                continue
            self._tracker.note_responsive(lender)
            lent = lacking if reply.granted else min(lacking, reply.lent or 0.0)
            if lent > 0:
                loans.append((lender, lent))
                lacking -= lent
            if lacking <= 0:
                search.loans = loans
                return
        if take_own is not None and take_own(lacking):
            search.loans = [*loans, (self._host, lacking)]
            return
        returns = (self.refund(item, search.workspace, lent) for item, lent in loans)
        await asyncio.gather(*returns)

    async def _ask_for_all(
        self,
        search: TokenSearch,
        lenders: Sequence[str],
        leader: str,
        clock: Callable[[], float],
    ) -> None:
        # The parts of a small rate that lenders hold are kept for times without a
        # leader; few requests would fit into one of them.
        leader_first = is_small(search.workspace)
        if leader_first:
            await self._ask_leader(search, leader, clock)
        others = [lender for lender in lenders if lender != leader]
        name = search.workspace.name
        for lender in self._tracker.order(self._host, others, name, clock()):
            if search.loans:
                return
            await self._ask_lender(search, lender, clock, leads=False)
        if not search.loans and not leader_first:
            await self._ask_leader(search, leader, clock)

    async def _ask_leader(
        self, search: TokenSearch, leader: str, clock: Callable[[], float]
    ) -> None:
        if not leader:
            return
        if self._tracker.is_unresponsive(leader, clock()):
            search.unresponsive.append(leader)
            return
        await self._ask_lender(search, leader, clock, leads=True)

    async def refund(self, lender: str, workspace: Workspace, tokens: float) -> None:
        """Return borrowed, unused tokens to the lender; they are lost if that fails."""
        request = TokensRequest(self._host, workspace.name, -tokens, "")
        try:
            await self._send(lender, request, TOKENS_TIMEOUT_S)
        except ChannelError as error:
            self._log.line("tokens_not_returned", lender=lender, reason=str(error))

    def _note_silent(
        self, lender: str, search: TokenSearch, error: ChannelError, now_s: float
    ) -> None:
        self._tracker.note_unresponsive(lender, now_s)
        search.unresponsive.append(lender)
        self._log.line("lender_silent", lender=lender, reason=str(error))

    async def _ask_lender(
        self,
        search: TokenSearch,
        lender: str,
        clock: Callable[[], float],
        *,
        leads: bool,
    ) -> None:
        try:
            reply = await self._send(lender, search.request(), TOKENS_TIMEOUT_S)
        except ChannelError as error:
            self._note_silent(lender, search, error, clock())
            return
        self._tracker.note_responsive(lender)
        if reply.granted:
            search.loans = [(lender, search.tokens)]
            return
        wait_s = reply.retry_after_s or MAX_RETRY_AFTER_S
        if leads and reply.leader_address:
            search.leader_wait_s = wait_s
            search.unproven = bool(reply.unproven)
        elif leads:
            # The host no longer leads. A refusal from its own share does not show that
            # the whole rate is used up.
            search.unresponsive.append(lender)
        else:
            self._tracker.note_empty(lender, search.workspace.name, wait_s, clock())
