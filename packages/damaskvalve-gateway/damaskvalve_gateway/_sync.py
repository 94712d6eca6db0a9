"""What hosts tell each other through the leader, and the leader's side of it.

Each host calls the leader a few times a second with what backend servers told it, and
gets what the others heard: one message for each host and period, however many hosts
there are.
"""

import asyncio
import itertools
from collections.abc import Mapping, Sequence

from damaskvalve_core import ChannelError, DecisionLog, RetryLaterError, boot_clock_s
from damaskvalve_core.calls import Call
from damaskvalve_core.messages import (
    BackendNotice,
    ConfirmReply,
    ConfirmRequest,
    CrashNotice,
    Problem,
    ProposeReply,
    ProposeRequest,
    SyncReply,
    SyncRequest,
    TokensReply,
    TokensRequest,
)
from damaskvalve_gateway._backends import VOUCHED_S, Backend
from damaskvalve_gateway._knowledge import Knowledge
from damaskvalve_gateway._model import LEAVING, Announcement, Workspace
from damaskvalve_gateway._quota import SHARE_LEASE_S, HostQuota, LeaderQuota
from damaskvalve_gateway._settings import GatewaySettings
from damaskvalve_gateway._state_link import StateLink

# A fifth of the shortest bound within which all hosts have to stop using a backend
# server that leaves.
SYNC_S = 0.4
# The same while no leader answers; as long as none is known nothing is sent.
LEADERLESS_S = 0.1
SYNC_TIMEOUT_S = 0.8
TOKENS_TIMEOUT_S = 0.3
# Hosts are told which adapters an engine holds at most once in this for each host:
# what the leader sends then grows with the engines, not with engines times hosts.
RESIDENT_S_PER_HOST = 0.05
# Notices in one message: at most some 80 kB with 20 adapters each, which a link of
# 5 Mbit/s carries well within the time-out.
MAX_NOTICES = 200
# Crashes are repeated in replies for this long, so that each host hears of them over
# a few lost calls.
REPEAT_CRASHES_S = 3.0
# A host that has not called for so long is not counted any more.
HOST_SILENT_S = SHARE_LEASE_S


def to_notice(backend: Backend, now_s: float, *, brief: bool = False) -> BackendNotice:
    """Return the message for what is known of a backend server.

    A ``brief`` one leaves its adapters out.
    """
    held = backend.announcement
    return BackendNotice(
        held.instance_id,
        held.service,
        held.address,
        held.data_centre,
        held.state,
        held.started_at_ms,
        held.sequence,
        now_s - backend.heard_s,
        None if brief else list(held.resident),
        held.slots,
    )


def from_notice(notice: BackendNotice, known: Backend | None) -> Announcement:
    """Return the announcement that a message carries."""
    resident = notice.resident
    if resident is None:
        resident = known.announcement.resident if known is not None else ()
    return Announcement(
        notice.instance_id,
        notice.service_name,
        notice.address,
        notice.data_centre,
        notice.state,
        notice.started_at_ms,
        notice.sequence,
        notice.slots,
        resident,
    )


class SyncController:
    """A host's side: keeps what it knows level with the leader."""

    def __init__(
        self,
        settings: GatewaySettings,
        link: StateLink,
        knowledge: Knowledge,
        quota: HostQuota,
        desk: "LeaderDesk",
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._link = link
        self._knowledge = knowledge
        self._quota = quota
        self._desk = desk
        self._log = log
        self._leader_id = ""
        self._seen = 0
        # What the leader has not taken yet, by instance.
        self._outbox: dict[str, Backend] = {}
        self._crashes: list[tuple[str, str, float]] = []
        self._lock = asyncio.Lock()
        # Whether the leader has more to tell, or this host to send.
        self._more = False

    def announce(self, announcement: Announcement, now_s: float) -> None:
        """Take what a backend server told this host."""
        backends = self._knowledge.backends
        if backends.take(announcement, now_s):
            self._queue(announcement.instance_id)
        backend = backends.find(announcement.instance_id)
        if backend is not None:
            backend.direct_s = now_s

    def end(self, instance_id: str, now_s: float) -> None:
        """Take the end of a backend server."""
        self._knowledge.backends.end(instance_id, now_s)
        self._queue(instance_id)

    def note_leaving(self, backend: Backend) -> None:
        """Take a backend server out of choice that said in a reply that it leaves."""
        held = backend.announcement
        if self._knowledge.backends.note_leaving(backend, boot_clock_s()):
            self._queue(held.instance_id)
            self._log.line(
                "backend_leaving",
                backend=held.instance_id,
                state=LEAVING,
                sequence=held.sequence,
                said_in="reply",
            )

    def _queue(self, instance_id: str) -> None:
        backend = self._knowledge.backends.find(instance_id)
        if backend is not None:
            self._outbox[instance_id] = backend

    def tell_crash(self, mark: str, instance_id: str) -> None:
        """Queue a broken run for the other hosts."""
        self._crashes.append((mark, instance_id, boot_clock_s()))

    async def run(self) -> None:
        """Call the leader again and again."""
        connected = False
        while True:
            try:
                await self.sync_now()
                if not connected:
                    self._log.line("leader_regained", leader=self._leader_id)
                connected = True
            except RetryLaterError as error:
                if connected:
                    self._log.line("leader_lost", reason=str(error))
                connected = False
            if not connected:
                await asyncio.sleep(LEADERLESS_S)
            elif not self._more:
                await asyncio.sleep(SYNC_S)

    async def sync_now(self) -> None:
        """Exchange with the leader once; raises :class:`RetryLaterError`."""
        async with self._lock:
            now_s = boot_clock_s()
            self._knowledge.backends.expire(now_s)
            if self._link.leads(now_s):
                self._lead(now_s)
                return
            await self._follow(now_s)

    def _lead(self, now_s: float) -> None:
        self._more = False
        self._outbox.clear()
        for mark, instance_id, at_s in self._crashes:
            self._desk.note_crash(mark, instance_id, at_s)
        self._crashes.clear()
        self._leader_id = self._link.status().leader_id
        address = self._settings.call_address(self._settings.group_address)
        share, lease_s = self._desk.grant_share(
            address, self._quota.share_now(now_s), now_s
        )
        self._quota.renew(share, now_s + lease_s, now_s)
        self._knowledge.hosts = self._desk.hosts(now_s)
        self._knowledge.contact_s = now_s

    async def _follow(self, now_s: float) -> None:
        leader_id = self._link.status().leader_id
        if leader_id != self._leader_id:
            # A new leader may lack what the one before was told.
            for backend in self._knowledge.backends.worth_repeating(now_s):
                self._outbox[backend.announcement.instance_id] = backend
            for mark, instance_id, at_s in self._knowledge.crashes.recent(now_s):
                self._crashes.append((mark, instance_id, at_s))
        sent = dict(itertools.islice(self._outbox.items(), MAX_NOTICES))
        told = {key: backend.announcement for key, backend in sent.items()}
        if now_s - self._knowledge.contact_s > VOUCHED_S:
            # What was vouched for meanwhile was not heard here.
            self._seen = 0
        crashes = list(self._crashes)
        request = SyncRequest(
            self._settings.call_address(self._settings.group_address),
            self._leader_id,
            self._seen,
            [to_notice(backend, now_s) for backend in sent.values()],
            [CrashNotice(mark, name, now_s - at_s) for mark, name, at_s in crashes],
            self._quota.share_now(now_s),
        )
        reply = await self._link.ask_leader(request, SYNC_TIMEOUT_S)
        if not reply.leader_id:
            raise ChannelError("the host that was asked does not lead")
        for key, announcement in told.items():
            held = self._outbox.get(key)
            if held is not None and held.announcement is announcement:
                del self._outbox[key]
        del self._crashes[: len(crashes)]
        self._take_reply(reply, now_s)
        self._more = bool(reply.more or len(self._outbox) >= MAX_NOTICES)

    def _take_reply(self, reply: SyncReply, asked_s: float) -> None:
        self._leader_id = reply.leader_id
        self._seen = reply.seen
        now_s = boot_clock_s()
        backends = self._knowledge.backends
        for notice in reply.notices:
            announcement = from_notice(notice, backends.find(notice.instance_id))
            backends.take(announcement, now_s - notice.age_s)
        backends.vouch(reply.silent or {}, now_s)
        for crash in reply.crashes:
            at_s = now_s - crash.age_s
            self._knowledge.crashes.note(crash.fingerprint, crash.instance_id, at_s)
        # The lease counts from before the leader granted it.
        self._quota.renew(reply.share, asked_s + reply.share_s, now_s)
        self._knowledge.hosts = reply.hosts
        self._knowledge.contact_s = asked_s

    async def ask_tokens(self, workspace: Workspace, tokens: float, mark: str) -> float:
        """Ask the leader for tokens; return 0 or how long until they are there."""
        if self._link.leads(boot_clock_s()):
            return self._desk.take_tokens(workspace, tokens, mark, boot_clock_s())
        address = self._settings.call_address(self._settings.group_address)
        request = TokensRequest(address, workspace.name, tokens, mark)
        try:
            reply = await self._link.ask_leader(request, TOKENS_TIMEOUT_S)
        except ChannelError as error:
            self._log.line("tokens_unasked", reason=str(error))
            return SYNC_S
        if reply.granted:
            return 0.0
        retry_after_s: float = reply.retry_after_s or SYNC_S
        return retry_after_s


class LeaderDesk:
    """The leader's side: takes calls of hosts and agents."""

    def __init__(
        self,
        settings: GatewaySettings,
        link: StateLink,
        knowledge: Knowledge,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._link = link
        self._knowledge = knowledge
        self._log = log
        self._leader_id = ""
        self._quota = LeaderQuota(settings.quota_slack, 0.0)
        self._heard_s: dict[str, float] = {}
        self._began_s = 0.0
        self._registering: asyncio.Future[None] | None = None
        self._silent_ids: Mapping[str, float] = {}
        self._silent_at_s = 0.0

    def _standing(self, now_s: float) -> None:
        """Start anew when this host has become leader since the last call."""
        leader_id = self._link.status().leader_id
        if leader_id != self._leader_id:
            self._leader_id = leader_id
            self._quota = LeaderQuota(self._settings.quota_slack, now_s)
            self._heard_s = {}
            self._began_s = now_s
            self._log.line("leading", leader=leader_id)

    def _recent_hosts(self, now_s: float) -> set[str]:
        own = self._settings.call_address(self._settings.group_address)
        recent = {
            name for name, at_s in self._heard_s.items() if now_s - at_s < HOST_SILENT_S
        }
        return recent | {own}

    def hosts(self, now_s: float) -> int:
        """Return how many hosts have called of late, this one included."""
        return len(self._recent_hosts(now_s))

    def grant_share(self, host: str, held: float, now_s: float) -> tuple[float, float]:
        """Return a host's part of every rate and the lease of it.

        A host has to be registered first, so that a later leader counts with it.
        """
        self._standing(now_s)
        self._heard_s[host] = now_s
        registered = self._knowledge.registered_hosts
        if host not in registered:
            self._register(now_s)
            return 0.0, SHARE_LEASE_S
        recent = self._recent_hosts(now_s)
        count = len(recent | registered)
        unheard = len(registered - recent)
        return self._quota.grant_share(host, held, count, unheard, now_s)

    def _register(self, now_s: float) -> None:
        """Commit the list of hosts, unless that is under way."""
        if self._registering is not None and not self._registering.done():
            return
        hosts = self._recent_hosts(now_s)
        if now_s - self._began_s < HOST_SILENT_S:
            hosts |= self._knowledge.registered_hosts
        self._registering = asyncio.ensure_future(self._commit_hosts(hosts))

    async def _commit_hosts(self, hosts: set[str]) -> None:
        try:
            await self._link.register_hosts(hosts)
        except RetryLaterError as error:
            self._log.line("hosts_not_registered", reason=str(error))

    def take_tokens(
        self, workspace: Workspace, tokens: float, mark: str, now_s: float
    ) -> float:
        """Take tokens of the leader's part; return 0 or how long to wait."""
        self._standing(now_s)
        return self._quota.take(workspace, tokens, mark, now_s)

    def note_crash(self, mark: str, instance_id: str, at_s: float) -> None:
        """Count a broken run."""
        self._knowledge.crashes.note(mark, instance_id, at_s)

    async def answer(self, request: object, call: Call) -> None:
        """Answer one call of a host or an agent."""
        if isinstance(request, SyncRequest):
            call.send(self._sync(request))
        elif isinstance(request, TokensRequest):
            call.send(self._tokens(request))
        elif isinstance(request, ConfirmRequest):
            call.send(self._confirm())
        elif isinstance(request, ProposeRequest):
            call.send(await self._propose(request))
        else:
            call.send(Problem("unknown", f"no answer to {type(request).__name__}"))

    def _sync(self, request: SyncRequest) -> SyncReply:
        now_s = boot_clock_s()
        if not self._link.leads(now_s):
            return SyncReply(self._link.leader_address(), "", 0, [], [], 0.0, 0.0, 0)
        self._standing(now_s)
        backends = self._knowledge.backends
        backends.resident_every_s = RESIDENT_S_PER_HOST * self.hosts(now_s)
        for notice in request.notices:
            announcement = from_notice(notice, backends.find(notice.instance_id))
            backends.take(announcement, now_s - notice.age_s)
        for crash in request.crashes:
            self.note_crash(crash.fingerprint, crash.instance_id, now_s - crash.age_s)
        share, lease_s = self.grant_share(request.host_address, request.share, now_s)
        seen = request.seen if request.leader_id == self._leader_id else 0
        news = backends.changed_since(seen)
        told = news[:MAX_NOTICES]
        more = len(told) < len(news)
        return SyncReply(
            self._link.leader_address(),
            self._leader_id,
            told[-1].changed if told else backends.number,
            [to_notice(item, now_s, brief=more or not seen) for item in told],
            self._recent_crashes(now_s),
            share,
            lease_s,
            self.hosts(now_s),
            self._silent(now_s),
            more,
        )

    def _silent(self, now_s: float) -> Mapping[str, float]:
        """Return what is missed; hosts that call at the same time get the same."""
        if now_s - self._silent_at_s > SYNC_S / 2:
            self._silent_ids = self._knowledge.backends.silent(now_s)
            self._silent_at_s = now_s
        return self._silent_ids

    def _recent_crashes(self, now_s: float) -> Sequence[CrashNotice]:
        return [
            CrashNotice(mark, instance_id, now_s - at_s)
            for mark, instance_id, at_s in self._knowledge.crashes.recent(now_s)
            if now_s - at_s < REPEAT_CRASHES_S
        ]

    def _tokens(self, request: TokensRequest) -> TokensReply:
        now_s = boot_clock_s()
        address = self._link.leader_address()
        configuration = self._knowledge.configuration
        if not self._link.leads(now_s) or configuration is None:
            return TokensReply(address, False, SYNC_S)
        workspace = configuration.workspaces.get(request.workspace)
        if workspace is None:
            return TokensReply(address, False, SYNC_S)
        wait_s = self.take_tokens(
            workspace, request.tokens, request.fingerprint or "", now_s
        )
        return TokensReply(address, wait_s <= 0, wait_s)

    def _confirm(self) -> ConfirmReply:
        leads = self._link.leads(boot_clock_s())
        index = self._link.status().applied_index
        return ConfirmReply(leads, index, self._link.leader_address())

    async def _propose(self, request: ProposeRequest) -> ProposeReply:
        address = self._link.leader_address()
        if not self._link.leads(boot_clock_s()):
            return ProposeReply(False, address, None, "this host does not lead")
        try:
            result = await self._link.commit(request.command)
        except RetryLaterError as error:
            return ProposeReply(False, address, None, str(error))
        return ProposeReply(True, address, result, "")
