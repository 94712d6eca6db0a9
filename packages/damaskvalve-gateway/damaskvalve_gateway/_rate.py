"""Admits requests within the rate of their workspace."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

from damaskvalve_core import RefusedError, boot_clock_s
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._lending import Loan
from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._quota import HostQuota

#: Borrows tokens and returns which hosts lent how many; raises RefusedError.
BorrowTokens = Callable[[Workspace, float, str], Awaitable[Sequence[Loan]]]
#: Returns tokens to their lender.
ReturnTokens = Callable[[str, Workspace, float], Awaitable[None]]


# A request that resumes a stream waits this long for tokens, but not longer than a
# share of its remaining time. Its stream is partly delivered, and after a restart of
# all hosts many callers return at once while the buckets are still empty.
MAX_RESUME_WAIT_S = 2.5
MAX_RESUME_WAIT_SHARE = 0.3
RESUME_POLL_INTERVAL_S = 0.2


class RateFilter:
    """Charges requests to this host's share first, then to tokens of lenders."""

    def __init__(
        self, quota: HostQuota, borrow_tokens: BorrowTokens, return_tokens: ReturnTokens
    ) -> None:
        self._quota = quota
        self._borrow_tokens = borrow_tokens
        self._return_tokens = return_tokens
        # Refunds to lenders that run in the background.
        self._returning: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def spending(self, exchange: Exchange) -> AsyncIterator[None]:
        """Charge a request before its attempts; refund the tokens if it did not run.

        Raise :class:`RefusedError` if its workspace has too few tokens left.
        """
        workspace = exchange.workspace
        if workspace is None or workspace.rate_per_s <= 0:
            yield
            return
        tokens = workspace.cost(exchange.request)
        own = self._quota.take(workspace, tokens, boot_clock_s())
        loans: Sequence[Loan] = ()
        try:
            if own < tokens:
                loans = await self._borrow(exchange, workspace, tokens - own)
            yield
        finally:
            if not exchange.runs:
                self._quota.refund(workspace, own, boot_clock_s())
                for lender, lent in loans:
                    self._refund(lender, workspace, lent)

    async def _borrow(
        self, exchange: Exchange, workspace: Workspace, tokens: float
    ) -> Sequence[Loan]:
        """Borrow tokens; a request that resumes a stream tries for a while."""
        now_s = boot_clock_s()
        until_s = now_s
        if exchange.request.last_event_id is not None:
            left_s = MAX_RESUME_WAIT_SHARE * exchange.left_s(now_s)
            until_s += min(MAX_RESUME_WAIT_S, left_s)
        while True:
            try:
                return await self._borrow_tokens(
                    workspace, tokens, exchange.fingerprint
                )
            except RefusedError:
                if boot_clock_s() + RESUME_POLL_INTERVAL_S > until_s:
                    raise
            await asyncio.sleep(RESUME_POLL_INTERVAL_S)

    def _refund(self, lender: str, workspace: Workspace, tokens: float) -> None:
        """Return borrowed tokens in the background, without delaying the caller."""
        returning = self._return_tokens(lender, workspace, tokens)
        task = asyncio.ensure_future(returning)
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)
