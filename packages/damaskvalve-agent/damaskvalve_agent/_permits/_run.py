"""The permit server: answers hosts, polls the engine's reports and sends it orders."""

import asyncio
import contextlib
import uuid

from damaskvalve_agent._permits._admission import AdmissionController, Grant
from damaskvalve_agent._permits._engine import (
    EngineCall,
    EngineClient,
    EngineDialect,
    OrderContext,
)
from damaskvalve_agent._permits._metrics import (
    BUSY,
    EXPIRED,
    GRANTED,
    PermitMetrics,
)
from damaskvalve_agent._permits._pace import HIGH_LEVEL
from damaskvalve_agent._permits._requests import missing_fields, read_request
from damaskvalve_agent._permits._settings import PermitSettings
from damaskvalve_agent._permits._types import (
    CONFLICT,
    NO_ANSWER,
    NOT_SENT,
    REJECTED,
    AdmissionRequest,
    EngineCapacity,
    Order,
)
from damaskvalve_agent._permits._weight_memory import read_weight_memory
from damaskvalve_core import (
    MAX_LEARNED_ADDRESSES,
    ChannelError,
    DecisionLog,
    LeaderClient,
    NotSentError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.http import (
    BackendPool,
    IncomingRequest,
    Responder,
)
from damaskvalve_core.messages import (
    AdmitEnd,
    AdmitReply,
    AdmitRequest,
    Command,
    GrantFence,
    Problem,
)
from damaskvalve_core.metrics import CONTENT_TYPE
from damaskvalve_core.rpc import RpcCall
from damaskvalve_core.tasks import run_in_thread

# While a load is in transit, the engine is polled often, because a request waits for
# the load; otherwise only to detect a restart.
BUSY_REPORT_INTERVAL_S = 0.04
IDLE_REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0
# An engine on the same machine answers within a few milliseconds. One order is sent at
# a time, so a missing answer delays all the others; the next reports show whether the
# order was carried out.
ORDER_TIMEOUT_S = 0.2
# Pause after an order that the engine did not accept.
ORDER_RETRY_S = 0.05
FENCE_RETRY_S = 0.2
FENCE_TIMEOUT_S = 1.0
# What was learned of the engine is logged after this many more observations.
MODEL_LOG_OBSERVATIONS = 32
QUEUED = "queued"
STARTED = "started"
# Outcome of a notice that the operator has named a version of a request's adapter.
VERSION = "version"


class PermitServer:
    """Answers hosts, polls the engine's reports and sends it orders."""

    def __init__(
        self,
        settings: PermitSettings,
        dialect: EngineDialect,
        pool: BackendPool,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._engine = EngineClient(settings.engine_address, pool)
        self._log = log
        self._admission = AdmissionController()
        self._metrics = PermitMetrics(settings.name, self._admission, log)
        self._grant_futures: dict[str, asyncio.Future[Grant | None]] = {}
        # Wakes up the order loop.
        self._changed = asyncio.Event()
        self._holder = f"{settings.name}/{uuid.uuid4().hex[:8]}"
        self._fence_number = 0
        # The IP addresses of the hosts that asked for permits, the newest last.
        self._host_ips: list[str] = []
        self._instance_id = ""
        self._report_due = asyncio.Event()
        self._logged_observed = 0
        self._timer: asyncio.TimerHandle | None = None
        # Reports are applied in the order in which the engine makes them.
        self._report_lock = asyncio.Lock()

    # ---- calls from hosts ----

    async def handle_call(self, message: object, call: RpcCall) -> None:
        """Answer a permit request; the call stays open until the request has ended."""
        if not isinstance(message, AdmitRequest):
            call.send(
                Problem("unknown", f"unexpected message {type(message).__name__}")
            )
            return
        missing = missing_fields(message)
        if missing:
            call.send(Problem("invalid", f"a request without {', '.join(missing)}"))
            return
        self._note_host(call.peer)
        now_s = boot_clock_s()
        limits = message.limits
        self._admission.set_engine_capacity(
            EngineCapacity(
                limits.slots,
                limits.adapter_slots,
                limits.memory_tokens,
                read_weight_memory(limits),
            )
        )
        if limits.model_load_s:
            self._admission.engine.set_model_load_s(limits.model_load_s)
        self._instance_id = message.instance_id
        request = read_request(message, now_s)
        wait_s = self._admission.submit(request, now_s)
        if wait_s > 0:
            self._changed.set()
            self._metrics.count_request(BUSY, 0.0, request.prompt_tokens)
            call.send(self._reply(False, 0, wait_s, BUSY, 0.0))
            return
        await self._grant_and_await_end(request, call)

    def _reply(
        self,
        granted: bool,
        version: int,
        retry_after_s: float,
        reason: str,
        waited_s: float,
        watched: bool = False,
    ) -> AdmitReply:
        """Return a reply that tells the state of the engine, for the host's choice."""
        return AdmitReply(
            granted,
            version,
            retry_after_s,
            reason,
            waited_s,
            self._admission.backlog_s(boot_clock_s()),
            self._admission.running_count(),
            watched,
            self._admission.engine.started_at_ms,
        )

    async def _grant_and_await_end(
        self, request: AdmissionRequest, call: RpcCall
    ) -> None:
        future: asyncio.Future[Grant | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._grant_futures[request.request_id] = future
        self._dispatch_grants(boot_clock_s())
        end_message = asyncio.ensure_future(call.receive())
        try:
            if not future.done():
                call.send(self._reply(False, 0, 0.0, QUEUED, 0.0))
            while not future.done():
                await asyncio.wait(
                    (future, end_message), return_when=asyncio.FIRST_COMPLETED
                )
                if future.done():
                    break
                # Raises an exception if the host has closed the call.
                notice = await end_message
                if not self._note_version(request, notice):
                    raise ChannelError(
                        f"{call.peer} sent an unexpected message before the grant"
                    )
                end_message = asyncio.ensure_future(call.receive())
            grant = future.result()
            waited_s = boot_clock_s() - request.arrived_at_s
            self._metrics.count_request(
                GRANTED if grant else EXPIRED, waited_s, request.prompt_tokens
            )
            if grant is None:
                backlog_s = self._admission.backlog_s(boot_clock_s())
                call.send(self._reply(False, 0, backlog_s, EXPIRED, waited_s))
                return
            call.send(
                self._reply(True, grant.version, 0.0, "", waited_s, grant.watched)
            )
            if waited_s > request.max_wait_s:
                self._log.line(
                    "waited_longer",
                    request=request.request_id,
                    adapter=request.adapter,
                    prompt_tokens=request.prompt_tokens,
                    waited_s=round(waited_s, 3),
                    accepted_s=round(request.max_wait_s, 3),
                    running=self._admission.running_count(),
                    waiting=len(self._admission.waiting()),
                )
            while True:
                end = await end_message
                if self._note_version(request, end):
                    # It was on its way as the request was granted.
                    end_message = asyncio.ensure_future(call.receive())
                    continue
                if not isinstance(end, AdmitEnd) or end.outcome != STARTED:
                    return
                now_s = boot_clock_s()
                if end.interval_s is None:
                    self._admission.mark_started(request.request_id, now_s)
                else:
                    self._admission.note_interval(
                        request.request_id, end.interval_s, now_s
                    )
                self._log_model(now_s)
                if end.interval_s is None or self._admission.waiting():
                    self._dispatch_grants(now_s)
                end_message = asyncio.ensure_future(call.receive())
        finally:
            end_message.cancel()
            self._grant_futures.pop(request.request_id, None)
            self._admission.cancel(request.request_id)
            self._admission.release(request.request_id, boot_clock_s())
            self._dispatch_grants(boot_clock_s())

    def _note_version(self, request: AdmissionRequest, notice: object) -> bool:
        """Apply a notice that a version was named; return whether it is one."""
        if not isinstance(notice, AdmitEnd) or notice.outcome != VERSION:
            return False
        version = notice.version or 0
        self._log.line(
            "version_named",
            request=request.request_id,
            adapter=request.adapter,
            version=version,
            instead_of=request.version,
            waited_s=round(boot_clock_s() - request.arrived_at_s, 3),
        )
        self._admission.require_version(request, version)
        self._dispatch_grants(boot_clock_s())
        return True

    def _log_model(self, now_s: float) -> None:
        """Log what has been learned of the engine after every few observations."""
        model = self._admission.model
        if model.observed < self._logged_observed + MODEL_LOG_OBSERVATIONS:
            return
        self._logged_observed = model.observed
        self._log.line(
            "engine_model",
            tokens_per_s=round(1.0 / model.s_per_token),
            event_s=round(model.event_s, 4),
            slowdown_now=round(self._admission.pacer.recent_slowdown(now_s), 2),
            slowdown_median=round(model.usual_slowdown(0.5), 2),
            slowdown_high=round(model.usual_slowdown(HIGH_LEVEL), 2),
            observed=model.observed,
            running=self._admission.running_count(),
            waiting=len(self._admission.waiting()),
        )

    def _dispatch_grants(self, now_s: float) -> None:
        """Resolve expired and granted requests, and wake up the order loop."""
        for request in self._admission.take_expired(now_s):
            self._resolve(request.request_id, None)
        for grant in self._admission.take_grants(now_s):
            self._resolve(grant.request.request_id, grant)
        self._changed.set()
        self._schedule_next_check(now_s)

    def _schedule_next_check(self, now_s: float) -> None:
        """Dispatch grants again when the next prompt may be read."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at_s = self._admission.next_check_at_s
        if at_s:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.001, at_s - now_s), lambda: self._dispatch_grants(boot_clock_s())
            )

    def _resolve(self, request_id: str, grant: Grant | None) -> None:
        future = self._grant_futures.get(request_id)
        if future is not None and not future.done():
            future.set_result(grant)

    async def serve_metrics(
        self, incoming: IncomingRequest, responder: Responder
    ) -> None:
        """Answer any HTTP request with the metrics."""
        text = await run_in_thread(self._metrics.render)
        headers = [(b"content-type", CONTENT_TYPE.encode())]
        await responder.send(200, headers, text)

    # ---- the engine ----

    async def poll_reports(self) -> None:
        """Poll the engine's reports for ever, often while an order is pending."""
        is_reachable = True
        while True:
            try:
                await self._fetch_report()
                if not is_reachable:
                    self._log.line("engine_regained")
                is_reachable = True
            except (ChannelError, TimeoutError, ValueError) as error:
                if is_reachable:
                    self._log.line("engine_lost", reason=str(error))
                is_reachable = False
            busy = self._admission.is_busy() and is_reachable
            pause_s = BUSY_REPORT_INTERVAL_S if busy else IDLE_REPORT_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._report_due.wait()
            self._report_due.clear()

    async def _fetch_report(self) -> None:
        call = self._dialect.report_call()
        async with self._report_lock:
            await self._request_and_apply_report(call)

    async def _request_and_apply_report(self, call: EngineCall) -> None:
        status, body = await self._engine.call(call, REPORT_TIMEOUT_S)
        if status != 200:
            raise ValueError(
                f"the engine answered the report call with status {status}"
            )
        report = self._dialect.read_report(body)
        now_s = boot_clock_s()
        if self._admission.is_outdated(report, now_s):
            self._log.line(
                "engine_report_outdated",
                started_at_ms=report.started_at_ms,
                order_count=report.order_count,
                newest_order_count=self._admission.order_count,
            )
            return
        if self._admission.apply_report(report, now_s):
            self._log.line("engine_restarted", started_at_ms=report.started_at_ms)
        self._dispatch_grants(now_s)

    async def send_orders(self) -> None:
        """Send orders for ever, one at a time."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._fence_number:
                order = self._admission.next_order(boot_clock_s())
                if order is None:
                    break
                if not await self._send_order(order):
                    await asyncio.sleep(ORDER_RETRY_S)
                    self._changed.set()
                    break

    async def _send_order(self, order: Order) -> bool:
        """Send one order; return whether the next order can be sent at once."""
        mark = self._admission.engine.mark()
        context = OrderContext(
            self._holder,
            self._fence_number,
            self._admission.order_count,
            self._instance_id,
        )
        try:
            status, _ = await self._engine.order(
                self._dialect.order_call(order, context), ORDER_TIMEOUT_S
            )
            outcome = self._dialect.read_outcome(status)
        except NotSentError:
            status, outcome = 0, NOT_SENT
        except (ChannelError, TimeoutError):
            status, outcome = 0, NO_ANSWER
        self._admission.record_outcome(order, outcome, boot_clock_s(), mark)
        self._metrics.count_order(order, outcome)
        self._log.line(
            "order",
            order=order.kind,
            adapter=order.adapter or order.model,
            version=order.version,
            order_count=context.order_count,
            status=status,
            outcome=outcome,
            held=len(self._admission.slots.occupied()),
            used_mb=round(self._admission.engine.used_mb(), 1),
            running=self._admission.running_count(),
            waiting=len(self._admission.waiting()),
        )
        # Every accepted order changes the order count that the next one has to name.
        try:
            await self._fetch_report()
        except (ChannelError, TimeoutError, ValueError) as error:
            self._log.line("report_failed", reason=str(error))
            return False
        self._report_due.set()
        return outcome not in (CONFLICT, NO_ANSWER, NOT_SENT, REJECTED)

    def _note_host(self, peer: str) -> None:
        """Remember a host that asks for permits, until the fence is known."""
        ip, _, _ = peer.rpartition(":")
        if ip and not self._fence_number and ip not in self._host_ips:
            self._host_ips = [*self._host_ips, ip][-MAX_LEARNED_ADDRESSES:]

    async def fetch_fence(self, leader: LeaderClient) -> None:
        """Request the fencing number of this agent process until it is granted.

        The configured hosts are asked, and those that ask for permits: the others may
        all have been replaced since the settings were written.
        """
        command = Command(fence=GrantFence(self._settings.engine_address, self._holder))
        while not self._fence_number:
            for address in self._settings.rpc_addresses(self._host_ips):
                leader.learn(address)
            try:
                result = await run_in_thread(leader.commit, command, FENCE_TIMEOUT_S)
                self._fence_number = result.fence.number
                self._log.line("fence", number=self._fence_number, holder=self._holder)
                self._changed.set()
            except RetryLaterError as error:
                self._log.line("fence_unknown", reason=str(error))
                await asyncio.sleep(FENCE_RETRY_S)


__all__ = ["PermitServer"]
