"""RPC service of a host: synchronization as the leader, and lending of tokens."""

import asyncio
import time
from collections.abc import Mapping

from damaskvalve_core import (
    DecisionLog,
    EncodingError,
    ProtocolError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    ConfirmReply,
    ConfirmRequest,
    Problem,
    ProposeReply,
    ProposeRequest,
    SendGrant,
    SendGrantAsk,
    SendGrantsReply,
    SendGrantsRequest,
    SyncReply,
    SyncRequest,
    TokensReply,
    TokensRequest,
)
from damaskvalve_core.rpc import RpcCall
from damaskvalve_gateway._announcement_check import RefusedAnnouncements
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._cold import lower_limit, started_by_own_clock_s
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._grant_ledger import GrantClaim, GrantLedger
from damaskvalve_gateway._grant_replies import GrantReplies
from damaskvalve_gateway._incarnations import Incarnation
from damaskvalve_gateway._limits import (
    apply_limit_notice,
    log_limit_change,
    log_limit_use,
)
from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._notices import (
    encodable_notices,
    from_limit_notice,
    from_notice,
    to_notice,
)
from damaskvalve_gateway._quota import (
    SHARE_LEASE_S,
    SMALL_BURST_LOCAL_FRACTION,
    HostCount,
    HostQuota,
    LeaderQuota,
)
from damaskvalve_gateway._settings import GatewaySettings
from damaskvalve_gateway._state_client import StateClient
from damaskvalve_state import check_command

# If only the resident adapters of an engine change, the change is sent to hosts at most
# once in this interval times the number of hosts. The leader's traffic then grows with
# the number of engines, not with engines times hosts.
RESIDENT_INTERVAL_S_PER_HOST = 0.05
# Maximum number of notices in one message: some 80 kB with 20 adapters each. A link of
# 5 Mbit/s carries them well within the time-out.
MAX_NOTICES = 200
# A host that has not synced for this long is no longer counted.
HOST_TIMEOUT_S = SHARE_LEASE_S
# The overdue ages are computed at most once in this time. Hosts that sync meanwhile
# receive the cached ages.
OVERDUE_CACHE_S = 0.2
# What was granted for each limited backend server is logged at this interval.
GRANT_LOG_INTERVAL_S = 4.0
# Retry-After for a workspace that this host does not know yet: the next configuration
# contains it.
UNKNOWN_WORKSPACE_RETRY_S = 0.4


class LeaderService:
    """Serves the RPCs of hosts and agents, most of them as the leader only."""

    def __init__(
        self,
        settings: GatewaySettings,
        state_client: StateClient,
        view: ClusterView,
        own_quota: HostQuota,
        crashes: CrashController,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._state_client = state_client
        self._view = view
        # This host's own share, which it lends whether it leads or not.
        self._own_quota = own_quota
        self._crashes = crashes
        self._log = log
        self._refused = RefusedAnnouncements(log)
        # The id of this host's last leadership; empty if it has not led.
        self._leader_id = ""
        self._quota = LeaderQuota(settings.quota_slack, 0.0)
        self._grants = GrantLedger(0.0)
        self._grant_replies = GrantReplies()
        # Time of the last sync of each host, by its address.
        self._last_sync_s: dict[str, float] = {}
        self._leads_since_s = 0.0
        # The last commit of the list of hosts; None before the first.
        self._registering: asyncio.Future[None] | None = None
        self._cached_overdue: Mapping[str, float] = {}
        self._cached_overdue_s = 0.0

    def _reset_if_elected(self, now_s: float) -> None:
        """Reset the state if this host has become leader since the last call."""
        leader_id = self._state_client.status().leader_id
        if leader_id != self._leader_id:
            self._leader_id = leader_id
            self._quota = LeaderQuota(self._settings.quota_slack, now_s)
            self._grants = GrantLedger(now_s)
            self._grant_replies = GrantReplies()
            self._last_sync_s = {}
            self._leads_since_s = now_s
            self._log.line("leading", leader=leader_id)

    def _recent_hosts(self, now_s: float) -> set[str]:
        own = self._settings.rpc_address(self._settings.group_address)
        recent = {
            name
            for name, at_s in self._last_sync_s.items()
            if now_s - at_s < HOST_TIMEOUT_S
        }
        return recent | {own}

    def host_count(self, now_s: float) -> int:
        """Return the number of hosts that have synced recently, this one included."""
        return len(self._recent_hosts(now_s))

    def grant_share(
        self, host: str, reported_share: float, now_s: float
    ) -> tuple[float, float]:
        """Return a host's share of every rate, and its lease in seconds.

        The share is 0 until the host is registered. Registration lets a later leader
        reserve a share for the host.
        """
        self._reset_if_elected(now_s)
        self._last_sync_s[host] = now_s
        registered = self._view.registered_hosts
        if host not in registered:
            self._register(now_s)
            return 0.0, SHARE_LEASE_S
        recent = self._recent_hosts(now_s)
        lenders = set(self._state_client.lenders())
        lends = host in lenders
        if now_s - self._leads_since_s >= HOST_TIMEOUT_S:
            # The shares of lost lenders go to the others.
            lenders &= recent
        unsynced = registered - recent
        count = HostCount(
            len(recent | registered),
            len(lenders),
            len(unsynced),
            len(unsynced & lenders),
        )
        return self._quota.grant_share(host, reported_share, count, now_s, lends=lends)

    def _register(self, now_s: float) -> None:
        """Start to commit the list of hosts, unless a commit is in progress."""
        if self._registering is not None and not self._registering.done():
            return
        hosts = self._recent_hosts(now_s)
        if now_s - self._leads_since_s < HOST_TIMEOUT_S:
            hosts |= self._view.registered_hosts
        self._registering = asyncio.ensure_future(self._commit_hosts(hosts))

    async def _commit_hosts(self, hosts: set[str]) -> None:
        try:
            await self._state_client.register_hosts(hosts)
        except RetryLaterError as error:
            self._log.line("hosts_not_registered", reason=str(error))

    def take_tokens(
        self,
        workspace: Workspace,
        tokens: float,
        fingerprint: str,
        now_s: float,
        *,
        first: bool = True,
    ) -> float:
        """Take tokens of the leader's bucket; return 0, or the Retry-After in s.

        ``first`` is false if this leader has already been asked for the same request.
        """
        self._reset_if_elected(now_s)
        return self._quota.take(workspace, tokens, fingerprint, now_s, first=first)

    def is_refusal_unproven(self) -> bool:
        """Return whether the last refusal may follow only from a recent restart."""
        return self._quota.refusal_unproven

    def refund(self, workspace: Workspace, tokens: float, now_s: float) -> None:
        """Put unused tokens back, as far as the bucket has room.

        The bucket is the leader's, or that of this host's share if it does not lead.
        """
        if self._state_client.leads(now_s):
            self._reset_if_elected(now_s)
            self._quota.refund(workspace, tokens)
        else:
            self._own_quota.refund(workspace, tokens, now_s)

    async def answer(self, request: object, call: RpcCall) -> None:
        """Answer one RPC of a host or an agent."""
        if isinstance(request, SyncRequest):
            self._send_sync_reply(self._sync(request), call)
        elif isinstance(request, TokensRequest):
            call.send(self._tokens(request))
        elif isinstance(request, SendGrantsRequest):
            call.send(self.grant_sends(request))
        elif isinstance(request, ConfirmRequest):
            call.send(self._confirm())
        elif isinstance(request, ProposeRequest):
            call.send(await self._propose(request))
        else:
            call.send(Problem("unknown", f"no answer to {type(request).__name__}"))

    def _send_sync_reply(self, reply: SyncReply, call: RpcCall) -> None:
        try:
            call.send(reply)
        except EncodingError:
            # One entry must not keep the others from the host.
            own = self._settings.rpc_address(self._settings.group_address)
            reply.notices = encodable_notices(reply.notices, self._refused, own)
            call.send(reply)

    def _sync(self, request: SyncRequest) -> SyncReply:
        now_s = boot_clock_s()
        if not self._state_client.leads(now_s):
            return SyncReply(
                self._state_client.leader_address(), "", 0, [], 0.0, 0.0, 0
            )
        self._reset_if_elected(now_s)
        backends = self._view.backends
        backends.resident_interval_s = RESIDENT_INTERVAL_S_PER_HOST * self.host_count(
            now_s
        )
        for notice in request.notices:
            try:
                announcement = from_notice(notice, backends.find(notice.instance_id))
            except ValueError as error:
                self._refused.note(notice.instance_id, str(error), request.host_address)
                continue
            backends.update(
                announcement,
                now_s - max(0.0, notice.age_s),
                started_by_own_clock_s(announcement.started_at_ms, time.time(), now_s),
            )
            apply_limit_notice(
                backends,
                notice,
                self._composed_after_s(request),
                now_s,
                self._log,
                request.host_address,
            )
        self._crashes.merge_reports(request.crashes, request.served or {}, now_s)
        share, lease_s = self.grant_share(request.host_address, request.share, now_s)
        seen = request.seen if request.leader_id == self._leader_id else 0
        changed = backends.changed_since(seen)
        sent = changed[:MAX_NOTICES]
        more = len(sent) < len(changed)
        return SyncReply(
            self._state_client.leader_address(),
            self._leader_id,
            sent[-1].changed_revision if sent else backends.revision,
            [to_notice(item, now_s, brief=more or not seen) for item in sent],
            share,
            lease_s,
            self.host_count(now_s),
            self._overdue_ages(now_s),
            more,
            now_s,
            self._state_client.committed_version(),
            SMALL_BURST_LOCAL_FRACTION,
        )

    def _composed_after_s(
        self, request: SyncRequest | SendGrantsRequest
    ) -> float | None:
        """Return a time of this leadership before a request was made, if known."""
        if request.leader_id != self._leader_id:
            return None
        after_s: float | None = request.composed_after_s
        return after_s

    def grant_sends(self, request: SendGrantsRequest) -> SendGrantsReply:
        """Grant sends to limited backend servers, if this host leads."""
        now_s = boot_clock_s()
        if not self._state_client.leads(now_s):
            return SendGrantsReply("", [], 0.0)
        self._reset_if_elected(now_s)
        lost = self._grant_replies.begin(
            request.process, request.number, request.received, now_s
        )
        if lost is None:
            return SendGrantsReply("", [], 0.0)
        for incarnation, count in lost.items():
            self._grants.give_back(incarnation, count)
        if request.leader_id == self._leader_id:
            for item in request.returned:
                self._grants.give_back(
                    (item.instance_id, item.started_at_ms), item.count
                )
        self._grants.expire(now_s)
        self._grant_replies.expire(now_s)
        grants = [self._grant_send(request, ask, now_s) for ask in request.asks]
        return SendGrantsReply(self._leader_id, grants, now_s)

    def _grant_send(
        self, request: SendGrantsRequest, ask: SendGrantAsk, now_s: float
    ) -> SendGrant:
        incarnation = ask.instance_id, ask.started_at_ms
        statement = from_limit_notice(ask.limit, self._composed_after_s(request), now_s)
        backend = self._view.backends.find(ask.instance_id)
        limit_per_s = statement.limit_per_s
        cold_per_s: float | None = ask.cold_per_s
        if backend is not None and backend.incarnation() == incarnation:
            previous_per_s = backend.limit_per_s()
            if self._view.backends.note_limit(backend, statement, now_s):
                log_limit_change(
                    self._log, backend, previous_per_s, request.host_address, now_s
                )
            if backend.limit_per_s() is not None:
                limit_per_s = backend.limit_per_s()
            cold_per_s = lower_limit(cold_per_s, backend.cold.per_s(now_s))
        limit_per_s = lower_limit(limit_per_s, cold_per_s)
        cold_most = None
        if cold_per_s is not None:
            cold_most = self._settings.cold_bound.most(cold_per_s)
        claim = GrantClaim(
            request.host_address, ask.priority, ask.workspace, max(1, ask.wanted)
        )
        # A host asks only if it knows a limit.
        count, wait_s = self._grants.take(
            incarnation, limit_per_s or 0.0, claim, now_s, cold_most
        )
        self._grant_replies.note_granted(request.process, incarnation, count)
        self._log_grants(incarnation, limit_per_s, now_s)
        return SendGrant(count, wait_s)

    def _log_grants(
        self, incarnation: Incarnation, limit_per_s: float | None, now_s: float
    ) -> None:
        use = self._grants.take_use(incarnation, GRANT_LOG_INTERVAL_S, now_s)
        if use is not None:
            log_limit_use(self._log, incarnation[0], limit_per_s, use, now_s)

    def _overdue_ages(self, now_s: float) -> Mapping[str, float]:
        """Return the ages of overdue announcements, cached for OVERDUE_CACHE_S."""
        if now_s - self._cached_overdue_s > OVERDUE_CACHE_S:
            self._cached_overdue = self._view.backends.overdue(now_s)
            self._cached_overdue_s = now_s
        return self._cached_overdue

    def _tokens(self, request: TokensRequest) -> TokensReply:
        """Lend from this host's share and, as the leader, from the leader's bucket."""
        now_s = boot_clock_s()
        # Only the leader puts its address into the reply. A refusal by another host
        # does not show that the whole rate is used up.
        leads = self._state_client.leads(now_s)
        address = self._state_client.leader_address() if leads else ""
        configuration = self._view.configuration
        workspace = configuration and configuration.workspaces.get(request.workspace)
        if not workspace:
            return TokensReply(address, False, UNKNOWN_WORKSPACE_RETRY_S)
        if request.tokens < 0:
            self.refund(workspace, -request.tokens, now_s)
            return TokensReply(address, True, 0.0)
        own = self._own_quota.take(workspace, request.tokens, now_s)
        lacking = request.tokens - own
        if lacking <= 0:
            return TokensReply(address, True, 0.0)
        if request.partial:
            return TokensReply(address, False, 0.0, None, own)
        if leads:
            fingerprint = request.fingerprint or ""
            # A host states it only when it asks again, for what others did not lend.
            first = request.partial is None
            wait_s = self.take_tokens(
                workspace, lacking, fingerprint, now_s, first=first
            )
            unproven = wait_s > 0 and self.is_refusal_unproven()
        else:
            unproven = False
            wait_s = self._own_quota.wait_s(workspace, lacking, now_s)
        if wait_s > 0:
            # The tokens taken from this host's share are put back: lent to a request
            # that does not run, they would be lost.
            self._own_quota.refund(workspace, own, now_s)
        return TokensReply(address, wait_s <= 0, wait_s, unproven)

    def _confirm(self) -> ConfirmReply:
        leads = self._state_client.leads(boot_clock_s())
        index = self._state_client.status().applied_index
        return ConfirmReply(leads, index, self._state_client.leader_address())

    async def _propose(self, request: ProposeRequest) -> ProposeReply:
        address = self._state_client.leader_address()
        if not self._state_client.leads(boot_clock_s()):
            return ProposeReply(False, address, None, "this host does not lead")
        try:
            check_command(request.command)
            result = await self._state_client.commit(request.command)
        except (RetryLaterError, ProtocolError) as error:
            return ProposeReply(False, address, None, str(error))
        return ProposeReply(True, address, result, "")
