"""Exchange of a host's state with other hosts through the leader.

Each host calls the leader a few times a second with the announcements that it received
and gets those of the other hosts: one message for each host and period, whatever the
number of hosts.
"""

import asyncio
import itertools
import time
import uuid
from collections.abc import Sequence

from damaskvalve_core import (
    ChannelError,
    DecisionLog,
    EncodingError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    SendGrantAsk,
    SendGrantReturn,
    SendGrantsReply,
    SendGrantsRequest,
    SyncReply,
    SyncRequest,
)
from damaskvalve_gateway._announcement_check import RefusedAnnouncements
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backends import ANNOUNCEMENT_OVERDUE_S
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._cold import started_by_own_clock_s
from damaskvalve_gateway._cold_log import ColdLog
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._leader_clock import LeaderClock
from damaskvalve_gateway._leader_service import MAX_NOTICES, LeaderService
from damaskvalve_gateway._lending import Loan, TokenBorrower, TokenSearch, needs_lenders
from damaskvalve_gateway._limit_statements import LimitStatement
from damaskvalve_gateway._limits import apply_limit_notice, log_limit_change
from damaskvalve_gateway._model import LEAVING, Announcement, Workspace
from damaskvalve_gateway._notices import (
    encodable_notices,
    from_notice,
    to_notice,
)
from damaskvalve_gateway._quota import UNSTATED_SMALL_FRACTION, HostQuota
from damaskvalve_gateway._settings import GatewaySettings
from damaskvalve_gateway._state_client import StateClient

# Period of the calls to the leader. This is a fifth of the shortest time within which
# all hosts have to stop using a backend server that leaves.
SYNC_S = 0.4
# The shortest time between two calls; it applies if there are urgent reports.
URGENT_SYNC_S = 0.1
# Time between two attempts while no leader replies. Nothing is sent while no leader is
# known.
NO_LEADER_RETRY_S = 0.1
# Time-out of one call to the leader.
SYNC_TIMEOUT_S = 0.8
# Time-out of a call for grants. Callers wait for it.
GRANTS_TIMEOUT_S = 0.25


class SyncController:
    """Keeps this host's state and the leader's in sync."""

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
        self._refused = RefusedAnnouncements(log)
        self._address = settings.rpc_address(settings.group_address)
        self._borrower = TokenBorrower(self._address, state_client.ask_host, log)
        self._leader_clock = LeaderClock()
        self._cold_log = ColdLog(log)
        # Identifies this process in its calls for grants.
        self._process = f"{self._address}/{uuid.uuid4().hex[:8]}"
        # Number of calls for grants, and of the last one with a reply.
        self._grant_calls = 0
        self._grant_replies = 0
        # Set if a report is urgent.
        self._urgent = asyncio.Event()
        # The id of the leadership of the last sync; empty before the first.
        self._leader_id = ""
        # Revision of the leader's table that this host has received; 0 requests the
        # whole table.
        self._seen_revision = 0
        # Backend servers to report to the leader, by instance.
        self._outbox: dict[str, Backend] = {}
        self._lock = asyncio.Lock()
        # Whether the leader or this host has more to send, so that the next call
        # follows at once.
        self._more = False

    def announce(self, announcement: Announcement, now_s: float) -> None:
        """Process an announcement that a backend server sent to this host."""
        backends = self._view.backends
        known = backends.find(announcement.instance_id)
        was_cold = known is not None and known.cold.per_s(now_s) is not None
        started_s = started_by_own_clock_s(
            announcement.started_at_ms, time.time(), now_s
        )
        if backends.update(announcement, now_s, started_s):
            self._queue(announcement.instance_id)
        backend = backends.find(announcement.instance_id)
        if backend is not None and not was_cold:
            if backend.cold.per_s(now_s) is not None:
                self._urgent.set()
        if backend is not known:
            self._log.line(
                "backend_started",
                backend=announcement.instance_id,
                address=announcement.address,
                service=announcement.service,
                software_version=announcement.software_version,
                started_at_ms=announcement.started_at_ms,
            )
        if backend is not None:
            backend.last_direct_s = now_s

    def end(self, instance_id: str, now_s: float) -> None:
        """Process a report that a backend server is gone."""
        self._view.backends.end(instance_id, now_s)
        self._queue(instance_id)

    def note_leaving(self, backend: Backend) -> None:
        """Record a leaving backend server, as its reply states, and report it."""
        current = backend.announcement
        if self._view.backends.note_leaving(backend, boot_clock_s()):
            self._queue(current.instance_id)
            self._log.line(
                "backend_leaving",
                backend=current.instance_id,
                state=LEAVING,
                sequence=current.sequence,
                said_in="reply",
            )

    def note_limit(self, backend: Backend, statement: LimitStatement) -> None:
        """Record what a reply states about a request limit; report a change."""
        now_s = boot_clock_s()
        previous_per_s = backend.limit_per_s()
        if self._view.backends.note_limit(backend, statement, now_s):
            self._queue(backend.announcement.instance_id)
            self._urgent.set()
            log_limit_change(self._log, backend, previous_per_s, "reply", now_s)

    def _queue(self, instance_id: str) -> None:
        backend = self._view.backends.find(instance_id)
        if backend is not None:
            self._outbox[instance_id] = backend

    async def run(self) -> None:
        """Sync with the leader periodically."""
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
                await asyncio.sleep(NO_LEADER_RETRY_S)
            elif not self._more:
                await self._pause()

    async def _pause(self) -> None:
        """Wait for the next period, or for urgent reports."""
        await asyncio.sleep(URGENT_SYNC_S)
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self._crashes.urgent, self._urgent)
        ]
        try:
            await asyncio.wait(
                waits,
                timeout=SYNC_S - URGENT_SYNC_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()

    async def sync_now(self) -> None:
        """Exchange state with the leader; raise :class:`RetryLaterError` on failure."""
        async with self._lock:
            now_s = boot_clock_s()
            self._urgent.clear()
            self._view.backends.expire(now_s)
            self._cold_log.note(self._view.backends.cold(now_s), now_s)
            if self._state_client.leads(now_s):
                self._sync_as_leader(now_s)
                return
            await self._sync_as_follower(now_s)

    def _sync_as_leader(self, now_s: float) -> None:
        self._more = False
        self._outbox.clear()
        self._crashes.urgent.clear()
        self._leader_id = self._state_client.status().leader_id
        share, lease_s = self._leader_service.grant_share(
            self._address, self._quota.current_share(now_s), now_s
        )
        self._quota.renew(share, now_s + lease_s, now_s)
        self._view.host_count = self._leader_service.host_count(now_s)
        self._view.leader_contact_s = now_s
        self._note_confirmation(self._state_client.committed_version(), now_s)

    async def _sync_as_follower(self, now_s: float) -> None:
        leader_id = self._state_client.status().leader_id
        if leader_id != self._leader_id:
            # A new leader may lack the reports that its predecessor received.
            for backend in self._view.backends.resend_candidates(now_s):
                self._outbox[backend.announcement.instance_id] = backend
            self._crashes.requeue_recent(now_s)
        sent = dict(itertools.islice(self._outbox.items(), MAX_NOTICES))
        sent_announcements = {
            key: backend.announcement for key, backend in sent.items()
        }
        if now_s - self._view.leader_contact_s > ANNOUNCEMENT_OVERDUE_S:
            # This host has missed confirmations by the leader, so it requests the whole
            # table.
            self._seen_revision = 0
        self._crashes.urgent.clear()
        crashes = self._crashes.notices(now_s)
        served = self._crashes.served_ages_s(now_s)
        request = SyncRequest(
            self._address,
            self._leader_id,
            self._seen_revision,
            [to_notice(backend, now_s) for backend in sent.values()],
            crashes,
            self._quota.current_share(now_s),
            served,
            self._leader_clock.at_least_s(leader_id, now_s),
        )
        try:
            reply = await self._state_client.ask_leader(request, SYNC_TIMEOUT_S)
        except EncodingError:
            # One entry must not keep the others from the leader.
            request.notices = encodable_notices(
                request.notices, self._refused, self._address
            )
            reply = await self._state_client.ask_leader(request, SYNC_TIMEOUT_S)
        if not reply.leader_id:
            raise ChannelError("the host that was asked does not lead")
        for key, announcement in sent_announcements.items():
            queued = self._outbox.get(key)
            if queued is not None and queued.announcement is announcement:
                del self._outbox[key]
        sent_ids = [notice.instance_id for notice in request.notices]
        self._view.backends.note_listed(sent_ids, reply.leader_id)
        unreported = self._crashes.note_reported(crashes, served)
        self._apply_reply(reply, now_s)
        self._more = bool(reply.more or len(self._outbox) >= MAX_NOTICES or unreported)

    def _apply_reply(self, reply: SyncReply, asked_s: float) -> None:
        self._leader_id = reply.leader_id
        self._seen_revision = reply.seen
        now_s = boot_clock_s()
        backends = self._view.backends
        for notice in reply.notices:
            try:
                announcement = from_notice(notice, backends.find(notice.instance_id))
            except ValueError as error:
                self._refused.note(notice.instance_id, str(error), "leader")
                continue
            backends.update(
                announcement,
                now_s - max(0.0, notice.age_s),
                started_by_own_clock_s(announcement.started_at_ms, time.time(), now_s),
            )
            apply_limit_notice(backends, notice, asked_s, now_s, self._log, "leader")
        backends.note_listed(
            (notice.instance_id for notice in reply.notices), reply.leader_id
        )
        self._leader_clock.note(reply.leader_id, reply.clock_s or 0.0, now_s)
        backends.confirm_live(reply.silent or {}, reply.leader_id, now_s)
        # The lease is counted from the time of the request, so that it ends on this
        # host before it ends at the leader.
        self._quota.renew(
            reply.share,
            asked_s + reply.share_s,
            now_s,
            reply.small_fraction or UNSTATED_SMALL_FRACTION,
        )
        self._view.host_count = reply.hosts
        self._view.leader_contact_s = asked_s
        self._note_confirmation(reply.configuration_version, asked_s)

    def _note_confirmation(self, version: int | None, asked_s: float) -> None:
        """Record the version that the leader states, if it does."""
        if version is not None:
            self._view.confirmations.note(version, self._leader_id, asked_s)

    async def borrow_tokens(
        self, workspace: Workspace, tokens: float, fingerprint: str
    ) -> Sequence[Loan]:
        """Borrow tokens and return which hosts lent how many.

        Raise :class:`RefusedError` if no host grants them.
        """
        now_s = boot_clock_s()
        leads = self._state_client.leads(now_s)
        large = needs_lenders(workspace, tokens, self._settings.quota_slack)
        search = TokenSearch(
            workspace, tokens, fingerprint, self._address, needs_lenders=large
        )
        if leads:
            search.leader_wait_s = self._leader_service.take_tokens(
                workspace, tokens, fingerprint, now_s
            )
            if search.leader_wait_s <= 0:
                return [(self._address, tokens)]
            search.unproven = self._leader_service.is_refusal_unproven()
        leader = "" if leads else self._state_client.leader_address()
        lenders = self._state_client.lenders()

        def take_own(lacking: float) -> bool:
            wait_s = self._leader_service.take_tokens(
                workspace, lacking, "", boot_clock_s(), first=False
            )
            return wait_s <= 0

        await self._borrower.borrow(
            search, lenders, leader, boot_clock_s, take_own if leads else None
        )
        if not search.loans:
            raise search.refusal()
        return search.loans

    async def request_grants(
        self, asks: Sequence[SendGrantAsk], returned: Sequence[SendGrantReturn]
    ) -> SendGrantsReply:
        """Return the leader's grants; raise :class:`ChannelError` if there is none."""
        now_s = boot_clock_s()
        leader_id = self._state_client.status().leader_id
        self._grant_calls += 1
        number = self._grant_calls
        request = SendGrantsRequest(
            self._address,
            leader_id,
            list(asks),
            list(returned),
            self._process,
            number,
            self._grant_replies,
            now_s,
        )
        reply: SendGrantsReply
        if self._state_client.leads(now_s):
            reply = self._leader_service.grant_sends(request)
        else:
            request.composed_after_s = self._leader_clock.at_least_s(leader_id, now_s)
            reply = await self._state_client.ask_leader(request, GRANTS_TIMEOUT_S)
        if not reply.leader_id:
            raise ChannelError("the host that was asked does not lead")
        self._grant_replies = number
        self._leader_clock.note(reply.leader_id, reply.clock_s, boot_clock_s())
        return reply

    async def return_tokens(
        self, lender: str, workspace: Workspace, tokens: float
    ) -> None:
        """Return tokens to the lender that they came from."""
        if lender == self._address:
            self._leader_service.refund(workspace, tokens, boot_clock_s())
        else:
            await self._borrower.refund(lender, workspace, tokens)
