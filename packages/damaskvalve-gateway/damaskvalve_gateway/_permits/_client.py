"""Client for the permits with which agents let requests start at their engines.

A permit is an RPC call that stays open while the request runs. The end of the call
releases the slot, also if this host crashes.
"""

import asyncio
import contextlib
import math
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)

from damaskvalve_core import (
    ChannelError,
    DecisionLog,
    RefusedError,
    boot_clock_s,
    split_address,
)
from damaskvalve_core.messages import (
    AdmitEnd,
    AdmitReply,
    AdmitRequest,
    EngineLimits,
)
from damaskvalve_core.rpc import RpcCall, RpcClient
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._choice import (
    AdapterDemand,
    EngineOrder,
    ServerLoad,
    ServerLoads,
    plan_engines,
)
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import STREAMING, EngineSpec
from damaskvalve_gateway._permits._permit import Permit
from damaskvalve_gateway._permits._waits import (
    MAX_WAIT_SHARE,
    admission_priority,
    busy_refusal,
    first_event_target_s,
    late_candidates,
    overdue_refusal,
    patience_s,
    timely_candidates,
    timely_wait_s,
)
from damaskvalve_gateway._send_gate import SendGate

# Time-out of an agent's first reply. Agents reply at once, with QUEUED if the request
# has to wait.
AGENT_REPLY_TIMEOUT_S = 0.5
# An agent that did not reply is not asked again for this long.
UNRESPONSIVE_AGENT_S = 2.0
# Interval at which a queued request checks whether it is refused and whether its
# backend server still accepts requests.
LEAVING_POLL_INTERVAL_S = 0.1
# Reason of an agent's first reply if the request has to wait for its turn.
QUEUED = "queued"
# Outcome of a notice to an agent that a version of the request's adapter was named.
VERSION = "version"

#: Counts a request that got a permit, by how its engine was chosen.
CountChoice = Callable[[str], None]


class PermitClient:
    """Obtains permits from the agents of candidate engines."""

    def __init__(
        self,
        rpc_client: RpcClient,
        agent_port: int,
        gate: SendGate,
        count_choice: CountChoice,
        count_hosts: Callable[[], int],
        log: DecisionLog,
    ) -> None:
        self._rpc_client = rpc_client
        self._gate = gate
        self._agent_port = agent_port
        self._count_choice = count_choice
        # Returns the number of hosts that send to the engines.
        self._count_hosts = count_hosts
        self._log = log
        self._loads = ServerLoads()
        self._demand = AdapterDemand()
        # The time until which an agent is not asked again, by agent address.
        self._unresponsive_until_s: dict[str, float] = {}

    def _agent_of(self, backend: Backend) -> str:
        ip, _ = split_address(backend.announcement.address)
        return f"{ip}:{self._agent_port}"

    @contextlib.asynccontextmanager
    async def permit(
        self,
        exchange: Exchange,
        candidates: Sequence[Backend],
        newest_version: Callable[[], int],
        engine: EngineSpec,
        check_refused: Callable[[Backend], None],
        limited_refusal: Callable[[], RefusedError],
    ) -> AsyncIterator[Permit]:
        """Yield a permit; raise :class:`RefusedError` if no engine admits the request.

        ``newest_version`` returns the version of the adapter that the operator named
        last; it may change while the request waits. ``check_refused`` raises
        :class:`RefusedError` if the request has been refused while it waits at an
        engine. ``limited_refusal`` returns the refusal for a
        request that was not admitted because of request limits only.

        First, the first of the candidates that are not known to be too busy are asked
        for a start within the objective. Next, the candidates that predicted a wait are
        asked again, in order of the wait, if the wait leaves time for the reply.
        Finally, the other candidates are asked.
        """
        order = self._order(exchange, candidates)
        predicted_wait_s: dict[str, float] = {}
        limited: set[str] = set()
        async with contextlib.AsyncExitStack() as stack:

            async def request_permit(backend: Backend, wait_s: float) -> Permit | None:
                return await self._request_permit(
                    stack,
                    exchange,
                    backend,
                    newest_version,
                    engine,
                    wait_s,
                    predicted_wait_s,
                    limited,
                    check_refused,
                )

            permit = await self._first_granted(
                exchange, order, predicted_wait_s, request_permit
            )
            if permit is None:
                permit = await self._permit_without_agent(
                    stack, exchange, candidates, newest_version(), limited
                )
            if permit is None and limited and not predicted_wait_s:
                raise limited_refusal()
            if permit is None:
                raise busy_refusal(predicted_wait_s)
            self._note_choice(exchange, order, permit.backend)
            yield permit

    def _order(self, exchange: Exchange, candidates: Sequence[Backend]) -> EngineOrder:
        request, now_s = exchange.request, boot_clock_s()
        adapter = f"{request.model}/{request.adapter}"
        self._demand.note(adapter, now_s)
        homes = self._demand.count_homes(
            adapter,
            self._loads.typical_first_event_s(candidates),
            self._count_hosts(),
            now_s,
        )
        return plan_engines(
            candidates,
            adapter,
            request.request_id,
            self._loads,
            timely_wait_s(exchange, now_s),
            homes,
            now_s,
        )

    def _note_choice(
        self, exchange: Exchange, order: EngineOrder, chosen: Backend
    ) -> None:
        """Count how an engine was chosen; log a choice that follows from the load."""
        usual = order.usual
        if usual is None or chosen is usual:
            self._count_choice("usual")
            return
        follows_load = order.ranked[0] is not usual
        self._count_choice("load" if follows_load else "busy")
        self._log.line(
            "engine_choice",
            request=exchange.request.request_id,
            adapter=exchange.request.adapter,
            backend=_instance_id(chosen),
            usual=_instance_id(usual),
            wait_s=round(order.waits_s[chosen], 3),
            usual_wait_s=round(order.waits_s[usual], 3),
            reason="load" if follows_load else "busy",
        )

    @staticmethod
    async def _first_granted(
        exchange: Exchange,
        order: EngineOrder,
        predicted_wait_s: Mapping[str, float],
        request_permit: Callable[[Backend, float], Awaitable[Permit | None]],
    ) -> Permit | None:
        timely_s = timely_wait_s(exchange, boot_clock_s())
        for backend in timely_candidates(order):
            permit = await request_permit(backend, timely_s)
            if permit is not None:
                return permit
        max_wait_s = MAX_WAIT_SHARE * exchange.left_s(boot_clock_s())
        for backend in late_candidates(order, predicted_wait_s, max_wait_s):
            permit = await request_permit(backend, max_wait_s)
            if permit is not None:
                return permit
        return None

    async def _request_permit(
        self,
        stack: contextlib.AsyncExitStack,
        exchange: Exchange,
        backend: Backend,
        newest_version: Callable[[], int],
        engine: EngineSpec,
        wait_s: float,
        predicted_wait_s: dict[str, float],
        limited: set[str],
        check_refused: Callable[[Backend], None],
    ) -> Permit | None:
        agent = self._agent_of(backend)
        if boot_clock_s() < self._unresponsive_until_s.get(agent, 0.0):
            return None
        call_stack = contextlib.AsyncExitStack()
        grant = await call_stack.enter_async_context(
            self._gate.reserving(backend, exchange)
        )
        if grant is None:
            limited.add(_instance_id(backend))
            return None
        request = exchange.request
        version = newest_version()
        fields = exchange.forwarding_fields(
            _instance_id(backend), version, boot_clock_s()
        )
        admit_request = AdmitRequest(
            request_id=request.request_id,
            workspace=fields.workspace,
            model=request.model,
            adapter=request.adapter,
            version=version,
            prompt_tokens=request.prompt_tokens or 0,
            output_tokens=request.output_tokens,
            priority=admission_priority(exchange, fields.priority),
            deadline_s=exchange.left_s(boot_clock_s()),
            wait_s=wait_s,
            instance_id=_instance_id(backend),
            limits=EngineLimits(
                engine.slots,
                engine.adapter_slots,
                engine.memory_tokens,
                engine.model_load_s.get(request.model),
                engine.weights_mb,
                engine.model_sizes,
            ),
            pause_s=exchange.route.pause_s or 0.0,
            aim_s=first_event_target_s(exchange, boot_clock_s()) - boot_clock_s(),
            streams=exchange.route.kind == STREAMING,
        )
        try:
            call = await call_stack.enter_async_context(
                self._rpc_client.open(agent, admit_request)
            )
            reply = await self._first_reply(call)
            load = self._note_load(backend, reply)
            if reply.reason == QUEUED:
                notify_version = _make_version_notifier(
                    call, request.request_id, version, newest_version
                )

                def check(backend: Backend) -> None:
                    check_refused(backend)
                    notify_version()

                reply = await self._wait_for_turn(
                    call, backend, check, patience_s(exchange, boot_clock_s())
                )
                self._note_load(backend, reply)
            if not backend.takes_work(boot_clock_s()):
                raise ChannelError("the backend server no longer accepts requests")
        except (ChannelError, TimeoutError) as error:
            await _exit_with_error(call_stack, error)
            if backend.takes_work(boot_clock_s()):
                self._unresponsive_until_s[agent] = (
                    boot_clock_s() + UNRESPONSIVE_AGENT_S
                )
            return None
        except BaseException as error:
            await _exit_with_error(call_stack, error)
            raise
        if not reply.granted:
            await call_stack.aclose()
            predicted_wait_s[_instance_id(backend)] = reply.retry_after_s
            return None
        if backend.has_restarted(reply.started_at_ms):
            await call_stack.aclose()
            self._log.line(
                "unannounced_restart",
                request=request.request_id,
                backend=_instance_id(backend),
                announced_at_ms=backend.announcement.started_at_ms,
                started_at_ms=reply.started_at_ms,
            )
            return None
        if not await self._gate.renew(grant, backend, exchange):
            await call_stack.aclose()
            limited.add(_instance_id(backend))
            return None
        stack.push_async_exit(call_stack.__aexit__)
        exchange.waited_s += reply.waited_s
        backend.note_adapter(f"{request.model}/{request.adapter}", boot_clock_s())
        starts = exchange.route.kind == STREAMING and exchange.first_event_s is None
        return Permit(
            backend,
            grant,
            reply.version,
            call,
            request.request_id,
            load if starts else None,
            watched=bool(reply.watched),
        )

    def _note_load(self, backend: Backend, reply: AdmitReply) -> ServerLoad:
        """Record what an agent says about the load of its engine."""
        now_s = boot_clock_s()
        load = self._loads.of(backend, now_s)
        load.note_reply(reply.backlog_s, now_s)
        return load

    @staticmethod
    async def _first_reply(call: RpcCall) -> AdmitReply:
        async with asyncio.timeout(AGENT_REPLY_TIMEOUT_S):
            reply: AdmitReply = await call.receive()
            return reply

    @staticmethod
    async def _wait_for_turn(
        call: RpcCall,
        backend: Backend,
        check_refused: Callable[[Backend], None],
        max_wait_s: float = math.inf,
    ) -> AdmitReply:
        """Wait for the agent's reply while the backend server accepts requests.

        Raise :class:`RefusedError` once the request has waited for too long.
        """
        until_s = boot_clock_s() + max_wait_s
        receiving = asyncio.ensure_future(call.receive())
        try:
            while not receiving.done():
                check_refused(backend)
                if not backend.takes_work(boot_clock_s()):
                    raise ChannelError("the backend server no longer accepts requests")
                if boot_clock_s() >= until_s:
                    raise overdue_refusal(max_wait_s)
                await asyncio.wait((receiving,), timeout=LEAVING_POLL_INTERVAL_S)
            reply: AdmitReply = receiving.result()
            return reply
        finally:
            receiving.cancel()

    async def _permit_without_agent(
        self,
        stack: contextlib.AsyncExitStack,
        exchange: Exchange,
        candidates: Sequence[Backend],
        version: int,
        limited: set[str],
    ) -> Permit | None:
        """Return a permit for an engine whose agent is unresponsive.

        The engine has announced the adapter as resident, unless the request needs none.
        Return None if there is no such engine, and for a stream that goes on: only the
        agent knows whether the engine has started again, with other software, since its
        last announcement.
        """
        if exchange.software_version is not None:
            return None
        request = exchange.request
        wanted = f"{request.model}/{request.adapter}"
        now_s = boot_clock_s()
        for backend in candidates:
            unresponsive = now_s < self._unresponsive_until_s.get(
                self._agent_of(backend), 0.0
            )
            resident = not request.adapter or backend.is_resident(wanted, version)
            if not unresponsive or not resident:
                continue
            grant = await stack.enter_async_context(
                self._gate.reserving(backend, exchange)
            )
            if grant is not None:
                request_id = exchange.request.request_id
                return Permit(backend, grant, version, None, request_id)
            limited.add(_instance_id(backend))
        return None


def _make_version_notifier(
    call: RpcCall, request_id: str, version: int, newest_version: Callable[[], int]
) -> Callable[[], None]:
    """Return a function that tells an agent of a version named since it was asked."""
    told_version = version

    def notify() -> None:
        nonlocal told_version
        newest = newest_version()
        if newest > told_version:
            told_version = newest
            call.send(AdmitEnd(request_id, VERSION, None, newest))

    return notify


async def _exit_with_error(
    stack: contextlib.AsyncExitStack, error: BaseException
) -> None:
    """Exit a call with an error, which closes its connection."""
    with contextlib.suppress(BaseException):
        await stack.__aexit__(type(error), error, error.__traceback__)


def _instance_id(backend: Backend) -> str:
    return backend.announcement.instance_id
