"""Lets a request run within its workspace's rate."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from damaskvalve_core import boot_clock_s
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._quota import HostQuota

#: Gets tokens from a host that lends and returns which one; raises RefusedError.
AskTokens = Callable[[Workspace, float, str], Awaitable[str]]
#: Returns tokens to the host that lent them.
ReturnTokens = Callable[[str, Workspace, float], Awaitable[None]]


class RateFilter:
    """Charges requests: first to this host's part, then to what others lend."""

    def __init__(
        self, quota: HostQuota, ask_tokens: AskTokens, return_tokens: ReturnTokens
    ) -> None:
        self._quota = quota
        self._ask_tokens = ask_tokens
        self._return_tokens = return_tokens
        # Returns on their way, which nobody waits for.
        self._returning: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def spending(self, exchange: Exchange) -> AsyncIterator[None]:
        """Charge a request for as long as it is tried; refund one that did not run.

        Raises :class:`RefusedError` if its workspace has no tokens left.
        """
        workspace = exchange.workspace
        if workspace is None or workspace.rate_per_s <= 0:
            yield
            return
        tokens = workspace.cost(exchange.request)
        own = self._quota.take(workspace, tokens, boot_clock_s())
        lender = ""
        try:
            if own < tokens:
                lender = await self._ask_tokens(
                    workspace, tokens - own, exchange.fingerprint
                )
            yield
        finally:
            if not exchange.runs:
                self._quota.give_back(workspace, own, boot_clock_s())
                if lender:
                    self._give_back(lender, workspace, tokens - own)

    def _give_back(self, lender: str, workspace: Workspace, tokens: float) -> None:
        """Return lent tokens without making the caller wait for it."""
        returning = self._return_tokens(lender, workspace, tokens)
        task = asyncio.ensure_future(returning)
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)
