"""The permit desk as a process: calls of hosts, reports and orders of the engine."""

import asyncio
import contextlib
import signal
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
from damaskvalve_agent._permits._settings import PermitSettings
from damaskvalve_agent._permits._types import (
    CONFLICT,
    NO_ANSWER,
    REJECTED,
    AdmissionRequest,
    EngineCapacity,
    Order,
)
from damaskvalve_core import (
    ChannelError,
    DecisionLog,
    LeaderClient,
    RefusedError,
    RetryLaterError,
    boot_clock_s,
    decision_log,
    dialing,
)
from damaskvalve_core.http import (
    BackendPool,
    Headers,
    IncomingRequest,
    Responder,
    ServerLimits,
    open_backend_pool,
    serving_http,
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
from damaskvalve_core.rpc import RpcCall, serving_rpc

# While a load is on its way the engine is asked often, because a request waits for
# it; otherwise only to notice a restart.
BUSY_REPORT_S = 0.04
CALM_REPORT_S = 0.5
REPORT_TIMEOUT_S = 1.0
# An engine on the same machine answers within some milliseconds. One order is given at
# a time, so an answer that does not come holds up all the others; the report tells
# later whether the order was carried out.
ORDER_TIMEOUT_S = 0.2
# After an order that the engine did not take.
ORDER_PAUSE_S = 0.05
FENCE_RETRY_S = 0.2
FENCE_TIMEOUT_S = 1.0
# Assumed for routes that name no longest pause.
CALM_PAUSE_S = 0.25
QUEUED = "queued"
STARTED = "started"


class PermitServer:
    """Answers hosts, follows the engine's reports and gives it orders."""

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
        self._waiting: dict[str, asyncio.Future[Grant | None]] = {}
        self._changed = asyncio.Event()
        self._holder = f"{settings.name}/{uuid.uuid4().hex[:8]}"
        self._fence_number = 0
        self._instance_id = ""
        self._report_now = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        # Reports that overtake each other would look like a restart.
        self._reporting = asyncio.Lock()

    # ---- calls of hosts ----

    async def answer(self, request: object, call: RpcCall) -> None:
        """Answer one ask; the call stays open until the request has ended."""
        if not isinstance(request, AdmitRequest):
            call.send(Problem("unknown", f"no answer to {type(request).__name__}"))
            return
        now_s = boot_clock_s()
        limits = request.limits
        self._admission.set_limits(
            EngineCapacity(limits.slots, limits.adapter_slots, limits.memory_tokens)
        )
        self._instance_id = request.instance_id
        ask = AdmissionRequest(
            request.request_id,
            request.model,
            request.adapter,
            request.version,
            request.prompt_tokens,
            request.output_tokens,
            request.priority,
            now_s + request.deadline_s,
            request.wait_s,
            now_s,
            request.pause_s or CALM_PAUSE_S,
            now_s + (request.aim_s or 0.0),
        )
        wait_s = self._admission.ask(ask, now_s)
        if wait_s > 0:
            self._changed.set()
            self._metrics.note_ask(BUSY, 0.0)
            call.send(AdmitReply(False, 0, wait_s, BUSY, 0.0))
            return
        await self._wait_and_hold(ask, call)

    async def _wait_and_hold(self, ask: AdmissionRequest, call: RpcCall) -> None:
        future: asyncio.Future[Grant | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[ask.request_id] = future
        self._settle(boot_clock_s())
        ends = asyncio.ensure_future(call.receive())
        try:
            if not future.done():
                call.send(AdmitReply(False, 0, 0.0, QUEUED, 0.0))
                await asyncio.wait((future, ends), return_when=asyncio.FIRST_COMPLETED)
            if not future.done():
                # The caller has gone, or sends out of turn.
                await ends
                raise ChannelError(f"{call.peer} spoke out of turn")
            grant = future.result()
            waited_s = boot_clock_s() - ask.arrived_s
            self._metrics.note_ask(GRANTED if grant else EXPIRED, waited_s)
            if grant is None:
                call.send(AdmitReply(False, 0, 1.0, EXPIRED, waited_s))
                return
            call.send(AdmitReply(True, grant.version, 0.0, "", waited_s))
            if waited_s > ask.wait_s:
                self._log.line(
                    "waited_longer",
                    request=ask.request_id,
                    adapter=ask.adapter,
                    waited_s=round(waited_s, 3),
                    accepted_s=round(ask.wait_s, 3),
                    running=self._admission.running(),
                    waiting=len(self._admission.waiting()),
                )
            while True:
                end = await ends
                if not isinstance(end, AdmitEnd) or end.outcome != STARTED:
                    return
                self._admission.started(ask.request_id)
                ends = asyncio.ensure_future(call.receive())
        finally:
            ends.cancel()
            self._waiting.pop(ask.request_id, None)
            self._admission.cancel(ask.request_id)
            self._admission.release(ask.request_id, boot_clock_s())
            self._settle(boot_clock_s())

    def _settle(self, now_s: float) -> None:
        """Hand out what can be granted, and let the order loop look again."""
        for ask in self._admission.expired(now_s):
            self._resolve(ask.request_id, None)
        for grant in self._admission.grants(now_s):
            self._resolve(grant.ask.request_id, grant)
        self._changed.set()
        self._look_again(now_s)

    def _look_again(self, now_s: float) -> None:
        """Come back when the next prompt may be read."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at_s = self._admission.look_again_s
        if at_s:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.001, at_s - now_s), lambda: self._settle(boot_clock_s())
            )

    def _resolve(self, request_id: str, grant: Grant | None) -> None:
        future = self._waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(grant)

    async def show_metrics(
        self, incoming: IncomingRequest, responder: Responder
    ) -> None:
        """Answer with the metrics, whatever was asked."""
        text = await asyncio.to_thread(self._metrics.render)
        headers = [(b"content-type", CONTENT_TYPE.encode())]
        await responder.send(200, headers, text)

    # ---- the engine ----

    async def follow_reports(self) -> None:
        """Fetch reports for ever, often while a load is on its way."""
        heard = True
        while True:
            try:
                await self._fetch_report()
                if not heard:
                    self._log.line("engine_regained")
                heard = True
            except (ChannelError, TimeoutError, ValueError) as error:
                if heard:
                    self._log.line("engine_lost", reason=str(error))
                heard = False
            busy = self._admission.is_busy() and heard
            pause_s = BUSY_REPORT_S if busy else CALM_REPORT_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._report_now.wait(), pause_s)
            self._report_now.clear()

    async def _fetch_report(self) -> None:
        call = self._dialect.report_call()
        async with self._reporting:
            await self._take_report(call)

    async def _take_report(self, call: EngineCall) -> None:
        status, body = await self._engine.call(call, REPORT_TIMEOUT_S)
        if status != 200:
            raise ValueError(f"the report came with status {status}")
        report = self._dialect.read_report(body)
        now_s = boot_clock_s()
        if self._admission.take_report(report, now_s):
            self._log.line("engine_restarted", started_at_ms=report.started_at_ms)
        self._settle(now_s)

    async def give_orders(self) -> None:
        """Give orders for ever, one at a time."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._fence_number:
                order = self._admission.next_order(boot_clock_s())
                if order is None:
                    break
                if not await self._give(order):
                    await asyncio.sleep(ORDER_PAUSE_S)
                    self._changed.set()
                    break

    async def _give(self, order: Order) -> bool:
        """Give one order; return whether the engine's state is known after it."""
        terms = OrderContext(
            self._holder,
            self._fence_number,
            self._admission.order_count,
            self._instance_id,
        )
        try:
            status, _ = await self._engine.call(
                self._dialect.order_call(order, terms), ORDER_TIMEOUT_S
            )
            outcome = self._dialect.read_outcome(status)
        except (ChannelError, TimeoutError):
            status, outcome = 0, NO_ANSWER
        self._admission.order_ended(order, outcome, boot_clock_s())
        self._metrics.note_order(order, outcome)
        self._log.line(
            "order",
            order=order.kind,
            adapter=order.adapter or order.model,
            version=order.version,
            order_count=terms.order_count,
            status=status,
            outcome=outcome,
            running=self._admission.running(),
            waiting=len(self._admission.waiting()),
        )
        # Every accepted order changes the count that the next one has to name.
        try:
            await self._fetch_report()
        except (ChannelError, TimeoutError, ValueError) as error:
            self._log.line("report_failed", reason=str(error))
            return False
        self._report_now.set()
        return outcome not in (CONFLICT, NO_ANSWER, REJECTED)

    async def fetch_fence(self, leader: LeaderClient) -> None:
        """Get this start's fencing number, however long that takes."""
        command = Command(fence=GrantFence(self._settings.engine_address, self._holder))
        while not self._fence_number:
            try:
                result = await asyncio.to_thread(
                    leader.commit, command, FENCE_TIMEOUT_S
                )
                self._fence_number = result.fence.number
                self._log.line("fence", number=self._fence_number, holder=self._holder)
                self._changed.set()
            except RetryLaterError as error:
                self._log.line("fence_unknown", reason=str(error))
                await asyncio.sleep(FENCE_RETRY_S)


def _metrics_limits() -> ServerLimits:
    """Return the bounds for whoever reads the metrics."""
    return ServerLimits(16 * 1024, 0, 5.0, 30.0)


def _plain_refusal(error: RefusedError) -> tuple[Headers, bytes]:
    return [(b"content-type", b"text/plain")], str(error).encode()


async def _serve(
    settings: PermitSettings, dialect: EngineDialect, log: DecisionLog
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.line("reload"))
    async with open_backend_pool() as pool:
        server = PermitServer(settings, dialect, pool, log)
        with dialing(settings.identity) as dialer:
            leader = LeaderClient(settings.call_hosts, dialer)
            async with (
                serving_rpc(settings.address, settings.identity, server.answer),
                serving_http(
                    settings.metrics_address,
                    server.show_metrics,
                    _metrics_limits,
                    _plain_refusal,
                ),
            ):
                tasks = [
                    loop.create_task(server.fetch_fence(leader)),
                    loop.create_task(server.follow_reports()),
                    loop.create_task(server.give_orders()),
                ]
                await stopping.wait()
                for task in tasks:
                    task.cancel()


def run_permits(settings: PermitSettings, dialect: EngineDialect) -> None:
    """Serve permits until SIGTERM.

    Requests with a permit go on without the agent; hosts fall back on what the
    engine is known to hold until it is back.
    """
    with decision_log(settings.name, boot_clock_s) as log:
        log.line("start", engine=settings.engine_address)
        asyncio.run(_serve(settings, dialect, log))
        log.line("stop")


__all__ = ["PermitServer", "run_permits"]
