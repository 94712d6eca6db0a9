"""Admits requests to backend servers that have stated a request limit.

A request to a limited backend server needs a grant of the leader. The claims of a host
that wait at the same time are sent in one call, and one call is sent at a time. Without
a leader there are no grants: hosts that cannot agree send nothing to a server in need.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from typing import Any

from damaskvalve_core import ChannelError, DecisionLog, boot_clock_s
from damaskvalve_core.messages import (
    SendGrantAsk,
    SendGrantReturn,
    SendGrantsReply,
)
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._grant_store import GRANT_LIFETIME_S, GrantStore
from damaskvalve_gateway._incarnations import Incarnation
from damaskvalve_gateway._lending import ELECTION_RETRY_AFTER_S
from damaskvalve_gateway._limit_statements import NO_STATEMENT
from damaskvalve_gateway._notices import to_limit_notice

# After a call that failed, nothing is asked for this long.
LEADER_BACKOFF_S = 0.5
# Why a request was not admitted.
NO_TOKEN = "limit"
NO_LEADER = "no_leader"

#: Sends claims and unused grants to the leader; raises ChannelError if that fails.
RequestGrants = Callable[
    [Sequence[SendGrantAsk], Sequence[SendGrantReturn]], Awaitable[SendGrantsReply]
]
#: Counts a request that was not admitted, by the reason.
CountRefusal = Callable[[str], None]
#: Priority and workspace of a request.
ClaimKey = tuple[int, str]


class SendGrant:
    """The right to send one request to one backend server."""

    __slots__ = ("_store", "_backend", "_expires_s")

    def __init__(
        self, store: GrantStore, backend: Backend, expires_s: float | None
    ) -> None:
        self._store = store
        self._backend = backend
        # None if the backend server had no limit, or the grant is used up.
        self._expires_s = expires_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether the request may be sent without another grant."""
        if self._backend.allowed_per_s(now_s) is None:
            return True
        return self._expires_s is not None and now_s < self._expires_s

    def spend(self, now_s: float) -> bool:
        """Use the grant for a send at this moment; return False if there is none.

        The backend server may have stated a limit since the grant was made, or the
        grant may have expired. Then one that this host holds is used.
        """
        if self._backend.allowed_per_s(now_s) is None:
            return True
        if not self.is_valid(now_s):
            self.release(now_s)
            self._expires_s = self._store.take(self._backend.incarnation(), now_s)
        if self._expires_s is None:
            return False
        self._expires_s = None
        self._store.note_sent(self._backend.incarnation(), now_s)
        return True

    def renew(self, other: "SendGrant", now_s: float) -> None:
        """Take over another grant for the same backend server."""
        self.release(now_s)
        self._expires_s, other._expires_s = other._expires_s, None

    def release(self, now_s: float) -> None:
        """Leave an unused grant to the other requests of this host."""
        if self._expires_s is not None:
            self._store.put_back(self._backend.incarnation(), self._expires_s, now_s)
            self._expires_s = None


class _Ask:
    """Requests of one workspace and priority that wait for grants."""

    __slots__ = ("backend", "waiters")

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        # Each result is the time at which a grant expires, or None.
        self.waiters: list[asyncio.Future[float | None]] = []


class SendGate:
    """Obtains grants for requests to limited backend servers."""

    def __init__(
        self,
        request_grants: RequestGrants,
        count_refusal: CountRefusal,
        log: DecisionLog,
    ) -> None:
        self._request_grants = request_grants
        self._count_refusal = count_refusal
        self._log = log
        self._store = GrantStore()
        self._asks: dict[tuple[Incarnation, ClaimKey], _Ask] = {}
        self._flushing: asyncio.Task[None] | None = None
        self._leader_backoff_until_s = 0.0

    @contextlib.asynccontextmanager
    async def reserving(
        self, backend: Backend, exchange: Exchange
    ) -> AsyncIterator[SendGrant | None]:
        """Yield a grant, or None if the backend server's limit allows no request now.

        A grant that is not used is released at the end.
        """
        grant = await self._reserve(backend, exchange)
        try:
            yield grant
        finally:
            if grant is not None:
                grant.release(boot_clock_s())

    async def renew(
        self, grant: SendGrant, backend: Backend, exchange: Exchange
    ) -> bool:
        """Renew a grant that expired during a wait; return whether it is valid."""
        if grant.is_valid(boot_clock_s()):
            return True
        other = await self._reserve(backend, exchange)
        if other is not None:
            grant.renew(other, boot_clock_s())
        return other is not None

    async def _reserve(self, backend: Backend, exchange: Exchange) -> SendGrant | None:
        now_s = boot_clock_s()
        limit_per_s = backend.allowed_per_s(now_s)
        if limit_per_s is None:
            return SendGrant(self._store, backend, None)
        incarnation = backend.incarnation()
        self._store.set_limit(incarnation, limit_per_s)
        claim = _claim_key(exchange)
        expires_s = self._store.take(incarnation, now_s)
        reason = NO_TOKEN
        if expires_s is None:
            if now_s < self._leader_backoff_until_s:
                reason = NO_LEADER
            elif now_s >= self._store.empty_until_s(incarnation, claim):
                expires_s = await self._ask(backend, claim)
                if boot_clock_s() < self._leader_backoff_until_s:
                    reason = NO_LEADER
        if expires_s is not None:
            return SendGrant(self._store, backend, expires_s)
        if backend.allowed_per_s(boot_clock_s()) is None:
            # The limit has ended meanwhile.
            return SendGrant(self._store, backend, None)
        self._note_not_admitted(backend, exchange, reason)
        return None

    def _note_not_admitted(
        self, backend: Backend, exchange: Exchange, reason: str
    ) -> None:
        now_s = boot_clock_s()
        until_s = now_s + ELECTION_RETRY_AFTER_S
        if reason == NO_TOKEN:
            claim = _claim_key(exchange)
            until_s = self._store.empty_until_s(backend.incarnation(), claim)
        backend.next_grant_s = until_s
        self._count_refusal(reason)
        self._log.line(
            "not_sent_for_limit",
            request=exchange.request.request_id,
            backend=backend.announcement.instance_id,
            limit_per_s=backend.allowed_per_s(now_s),
            reason=reason,
            wait_s=round(max(0.0, until_s - now_s), 3),
        )

    # ---- claims to the leader ----

    async def _ask(self, backend: Backend, claim: ClaimKey) -> float | None:
        """Ask the leader for a grant; return when it expires, or None."""
        key = backend.incarnation(), claim
        ask = self._asks.setdefault(key, _Ask(backend))
        waiter: asyncio.Future[float | None] = (
            asyncio.get_running_loop().create_future()
        )
        ask.waiters.append(waiter)
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.ensure_future(self._flush())
        try:
            return await waiter
        except asyncio.CancelledError:
            expires_s = None if waiter.cancelled() else waiter.result()
            if expires_s is not None:
                self._store.put_back(key[0], expires_s, boot_clock_s())
            raise

    async def _flush(self) -> None:
        """Send the waiting claims until none is left."""
        while self._asks:
            asks, self._asks = self._asks, {}
            try:
                await self._send_asks(asks)
            except ChannelError as error:
                self._leader_backoff_until_s = boot_clock_s() + LEADER_BACKOFF_S
                self._log.line("grants_unknown", reason=str(error))
            finally:
                for ask in asks.values():
                    _resolve(ask.waiters, [])

    async def _send_asks(
        self, asks: Mapping[tuple[Incarnation, ClaimKey], _Ask]
    ) -> None:
        asked_s = boot_clock_s()
        claims = []
        for (incarnation, (priority, workspace)), ask in asks.items():
            backend = ask.backend
            ask.waiters = [item for item in ask.waiters if not item.done()]
            if backend.allowed_per_s(asked_s) is None or not ask.waiters:
                continue
            wanted = self._store.wanted(incarnation, asked_s) - 1 + len(ask.waiters)
            notice = to_limit_notice(backend.limit_statement or NO_STATEMENT, asked_s)
            cold_per_s = backend.cold.per_s(asked_s)
            claims.append(
                SendGrantAsk(
                    *incarnation, notice, wanted, priority, workspace, cold_per_s
                )
            )
        returned = [
            SendGrantReturn(*incarnation, count)
            for incarnation, count in self._store.take_unused(asked_s).items()
        ]
        reply = await self._request_grants(claims, returned)
        for claim, granted in zip(claims, reply.grants):
            incarnation = claim.instance_id, claim.started_at_ms
            key = claim.priority, claim.workspace
            ask = asks[incarnation, key]
            self._apply_grant(ask, incarnation, key, granted, asked_s)

    def _apply_grant(
        self,
        ask: _Ask,
        incarnation: Incarnation,
        key: ClaimKey,
        granted: Any,
        asked_s: float,
    ) -> None:
        now_s = boot_clock_s()
        expires_s = asked_s + GRANT_LIFETIME_S
        limit_per_s = ask.backend.allowed_per_s(now_s)
        used = _resolve(
            ask.waiters, [expires_s] * (granted.count if now_s < expires_s else 0)
        )
        if limit_per_s is not None:
            self._store.add(
                incarnation, limit_per_s, granted.count - used, asked_s, now_s
            )
        if not granted.count:
            self._store.note_refused(incarnation, key, now_s + granted.wait_s)


def _resolve(
    waiters: Sequence["asyncio.Future[float | None]"], grants: Sequence[float]
) -> int:
    """Give grants to those that still wait, None to the rest; return how many."""
    used = 0
    for waiter in waiters:
        if waiter.done():
            continue
        waiter.set_result(grants[used] if used < len(grants) else None)
        used += used < len(grants)
    return used


def _claim_key(exchange: Exchange) -> ClaimKey:
    workspace = exchange.workspace
    priority = exchange.route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return priority, workspace.name if workspace is not None else ""


__all__ = ["SendGate", "SendGrant"]
