"""What a host tells the others through the leader, and hears from them.

Each host calls the leader a few times a second with what backend servers told it, and
gets what the others heard: one message for each host and period, however many hosts
there are.
"""

import asyncio
import contextlib
import itertools

from damaskvalve_core import ChannelError, DecisionLog, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import SyncReply, SyncRequest
from damaskvalve_gateway._backends import VOUCHED_S, Backend
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._leader_service import MAX_NOTICES, LeaderService
from damaskvalve_gateway._lending import TokenAsk, TokenAsker
from damaskvalve_gateway._model import LEAVING, Announcement, Workspace
from damaskvalve_gateway._notices import from_notice, to_notice
from damaskvalve_gateway._quota import HostQuota
from damaskvalve_gateway._settings import GatewaySettings
from damaskvalve_gateway._state_client import StateClient

# A fifth of the shortest bound within which all hosts have to stop using a backend
# server that leaves.
SYNC_S = 0.4
# The least time between two calls when there is urgent news.
URGENT_SYNC_S = 0.1
# The same while no leader answers; as long as none is known nothing is sent.
LEADERLESS_S = 0.1
SYNC_TIMEOUT_S = 0.8


class SyncController:
    """A host's side: keeps what it knows level with the leader."""

    def __init__(
        self,
        settings: GatewaySettings,
        state_client: StateClient,
        view: ClusterView,
        quota: HostQuota,
        leader_service: LeaderService,
        crashes: CrashController,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._state_client = state_client
        self._view = view
        self._quota = quota
        self._leader_service = leader_service
        self._crashes = crashes
        self._log = log
        self._address = settings.rpc_address(settings.group_address)
        self._asker = TokenAsker(self._address, state_client.ask_host, log)
        self._leader_id = ""
        self._seen = 0
        # What the leader has not taken yet, by instance.
        self._outbox: dict[str, Backend] = {}
        self._lock = asyncio.Lock()
        # Whether the leader has more to tell, or this host to send.
        self._more = False

    def announce(self, announcement: Announcement, now_s: float) -> None:
        """Take what a backend server told this host."""
        backends = self._view.backends
        known = backends.find(announcement.instance_id)
        if backends.take(announcement, now_s):
            self._queue(announcement.instance_id)
        backend = backends.find(announcement.instance_id)
        if backend is not known:
            self._log.line(
                "backend_started",
                backend=announcement.instance_id,
                address=announcement.address,
                service=announcement.service,
                started_at_ms=announcement.started_at_ms,
            )
        if backend is not None:
            backend.direct_s = now_s

    def end(self, instance_id: str, now_s: float) -> None:
        """Take the end of a backend server."""
        self._view.backends.end(instance_id, now_s)
        self._queue(instance_id)

    def note_leaving(self, backend: Backend) -> None:
        """Take a backend server out of choice that said in a reply that it leaves."""
        held = backend.announcement
        if self._view.backends.note_leaving(backend, boot_clock_s()):
            self._queue(held.instance_id)
            self._log.line(
                "backend_leaving",
                backend=held.instance_id,
                state=LEAVING,
                sequence=held.sequence,
                said_in="reply",
            )

    def _queue(self, instance_id: str) -> None:
        backend = self._view.backends.find(instance_id)
        if backend is not None:
            self._outbox[instance_id] = backend

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
                await self._pause()

    async def _pause(self) -> None:
        """Wait for the next call to the leader, or for urgent news."""
        await asyncio.sleep(URGENT_SYNC_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SYNC_S - URGENT_SYNC_S):
                await self._crashes.urgent.wait()

    async def sync_now(self) -> None:
        """Exchange with the leader once; raises :class:`RetryLaterError`."""
        async with self._lock:
            now_s = boot_clock_s()
            self._view.backends.expire(now_s)
            if self._state_client.leads(now_s):
                self._lead(now_s)
                return
            await self._follow(now_s)

    def _lead(self, now_s: float) -> None:
        self._more = False
        self._outbox.clear()
        self._crashes.urgent.clear()
        self._leader_id = self._state_client.status().leader_id
        share, lease_s = self._leader_service.grant_share(
            self._address, self._quota.share_now(now_s), now_s
        )
        self._quota.renew(share, now_s + lease_s, now_s)
        self._view.host_count = self._leader_service.hosts(now_s)
        self._view.leader_contact_s = now_s

    async def _follow(self, now_s: float) -> None:
        leader_id = self._state_client.status().leader_id
        if leader_id != self._leader_id:
            # A new leader may lack what the one before was told.
            for backend in self._view.backends.worth_repeating(now_s):
                self._outbox[backend.announcement.instance_id] = backend
            self._crashes.tell_again(now_s)
        sent = dict(itertools.islice(self._outbox.items(), MAX_NOTICES))
        told = {key: backend.announcement for key, backend in sent.items()}
        if now_s - self._view.leader_contact_s > VOUCHED_S:
            # What was vouched for meanwhile was not heard here.
            self._seen = 0
        self._crashes.urgent.clear()
        crashes = self._crashes.notices(now_s)
        served = self._crashes.served_ages_s(now_s)
        request = SyncRequest(
            self._address,
            self._leader_id,
            self._seen,
            [to_notice(backend, now_s) for backend in sent.values()],
            crashes,
            self._quota.share_now(now_s),
            served,
        )
        reply = await self._state_client.ask_leader(request, SYNC_TIMEOUT_S)
        if not reply.leader_id:
            raise ChannelError("the host that was asked does not lead")
        for key, announcement in told.items():
            held = self._outbox.get(key)
            if held is not None and held.announcement is announcement:
                del self._outbox[key]
        unsaid = self._crashes.note_told(crashes, served)
        self._take_reply(reply, now_s)
        self._more = bool(reply.more or len(self._outbox) >= MAX_NOTICES or unsaid)

    def _take_reply(self, reply: SyncReply, asked_s: float) -> None:
        self._leader_id = reply.leader_id
        self._seen = reply.seen
        now_s = boot_clock_s()
        backends = self._view.backends
        for notice in reply.notices:
            announcement = from_notice(notice, backends.find(notice.instance_id))
            backends.take(announcement, now_s - notice.age_s)
        backends.vouch(reply.silent or {}, now_s)
        # The lease counts from before the leader granted it.
        self._quota.renew(reply.share, asked_s + reply.share_s, now_s)
        self._view.host_count = reply.hosts
        self._view.leader_contact_s = asked_s

    async def ask_tokens(
        self, workspace: Workspace, tokens: float, fingerprint: str
    ) -> str:
        """Get tokens from a lender and return which one has lent them.

        Raises :class:`RefusedError` if none has them.
        """
        now_s = boot_clock_s()
        leads = self._state_client.leads(now_s)
        ask = TokenAsk(workspace, tokens, fingerprint, self._address)
        if leads:
            ask.leader_wait_s = self._leader_service.take_tokens(
                workspace, tokens, fingerprint, now_s
            )
            if ask.leader_wait_s <= 0:
                return self._address
        leader = "" if leads else self._state_client.leader_address()
        lenders = self._state_client.lenders()
        await self._asker.find(ask, lenders, leader, boot_clock_s)
        if not ask.lender:
            raise ask.refusal()
        return ask.lender

    async def return_tokens(
        self, lender: str, workspace: Workspace, tokens: float
    ) -> None:
        """Give tokens back to the lender that they came from."""
        if lender == self._address:
            self._leader_service.give_back(workspace, tokens, boot_clock_s())
        else:
            await self._asker.give_back(lender, workspace, tokens)
