"""Asks the agents beside the engines whether a request may start there.

A permit is a call that stays open while the request runs: closing it gives the place
back, also when this host dies.
"""

import asyncio
import contextlib
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)

from damaskvalve_core import ChannelError, RefusedError, boot_clock_s, split_address
from damaskvalve_core.messages import (
    AdmitEnd,
    AdmitReply,
    AdmitRequest,
    EngineLimits,
)
from damaskvalve_core.rpc import RpcCall, RpcClient
from damaskvalve_gateway._backends import Backend
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import EngineSpec

# The part of a route's time to the first event that is left to the engine, which
# reads the prompt between the steps of a full batch, and to waits that are longer than
# predicted.
ENGINE_PART = 0.55
# A request that is late already accepts this part of the objective as a wait, and at
# least the time of a load.
PROMPT_WAIT_PART = 0.45
LEAST_PROMPT_WAIT_S = 0.3
# How many engines are asked for a prompt start before the request waits for the one
# with the shortest wait.
PROMPT_ASKS = 5
# The part of a request's time that it may wait before it starts; the answer needs the
# rest.
LONGEST_WAIT_PART = 0.4
# An agent answers at once, if only that the request is queued.
AGENT_ANSWER_S = 0.5
# An agent that does not answer is left out for this long.
SILENT_AGENT_S = 2.0
# When no engine knows when it will have a place.
UNKNOWN_WAIT_S = 1.0
# How often a request that waits looks whether its backend server has begun to leave.
LEAVING_LOOK_S = 0.1
QUEUED = "queued"
STARTED = "started"
RELEASED = "released"


class Permit:
    """The right to start a request at one engine."""

    __slots__ = ("backend", "version", "_call", "_request_id", "_told")

    def __init__(
        self, backend: Backend, version: int, call: RpcCall | None, request_id: str
    ) -> None:
        self.backend = backend
        # The adapter's version that the engine holds, 0 if not known.
        self.version = version
        self._call = call
        self._request_id = request_id
        self._told = False

    def note_started(self) -> None:
        """Tell the agent that the first event has come."""
        if self._call is not None and not self._told:
            self._told = True
            self._call.send(AdmitEnd(self._request_id, STARTED))

    def release(self, outcome: str) -> None:
        """Tell the agent that the request has ended."""
        if self._call is not None:
            self._call.send(AdmitEnd(self._request_id, f"{RELEASED} {outcome}"))


class PermitClient:
    """Finds an engine that takes a request, and when."""

    def __init__(self, rpc_client: RpcClient, agent_port: int) -> None:
        self._rpc_client = rpc_client
        self._agent_port = agent_port
        self._silent_until_s: dict[str, float] = {}

    def _agent_of(self, backend: Backend) -> str:
        ip, _ = split_address(backend.announcement.address)
        return f"{ip}:{self._agent_port}"

    @contextlib.asynccontextmanager
    async def permit(
        self,
        exchange: Exchange,
        candidates: Sequence[Backend],
        version: int,
        engine: EngineSpec,
        check: Callable[[], None],
    ) -> AsyncIterator[Permit]:
        """Yield a permit; raises :class:`RefusedError` if no engine takes the request.

        ``check`` raises it too, as soon as the request need not wait any longer.

        The first candidates are asked for a prompt start, then the one with the
        shortest wait that still leaves time for an answer, then the others.
        """
        predicted: dict[str, float] = {}
        async with contextlib.AsyncExitStack() as stack:

            async def ask(backend: Backend, wait_s: float) -> Permit | None:
                return await self._ask(
                    stack, exchange, backend, version, engine, wait_s, predicted, check
                )

            permit = await self._first_of(exchange, candidates, predicted, ask)
            if permit is None:
                permit = self._without_agent(exchange, candidates, version)
            if permit is None:
                raise refuse_busy(predicted)
            yield permit

    @staticmethod
    async def _first_of(
        exchange: Exchange,
        candidates: Sequence[Backend],
        predicted: Mapping[str, float],
        ask: Callable[[Backend, float], Awaitable[Permit | None]],
    ) -> Permit | None:
        prompt_s = prompt_wait_s(exchange, boot_clock_s())
        for backend in candidates[:PROMPT_ASKS]:
            permit = await ask(backend, prompt_s)
            if permit is not None:
                return permit
        longest_s = LONGEST_WAIT_PART * exchange.left_s(boot_clock_s())
        asked = [item for item in candidates if _id(item) in predicted]
        asked.sort(key=lambda item: predicted[_id(item)])
        for backend in (*asked, *candidates[PROMPT_ASKS:]):
            if predicted.get(_id(backend), 0.0) <= longest_s:
                permit = await ask(backend, longest_s)
                if permit is not None:
                    return permit
        return None

    async def _ask(
        self,
        stack: contextlib.AsyncExitStack,
        exchange: Exchange,
        backend: Backend,
        version: int,
        engine: EngineSpec,
        wait_s: float,
        predicted: dict[str, float],
        check: Callable[[], None],
    ) -> Permit | None:
        agent = self._agent_of(backend)
        if boot_clock_s() < self._silent_until_s.get(agent, 0.0):
            return None
        request = exchange.request
        plan = exchange.forwarding_fields(_id(backend), version, boot_clock_s())
        ask = AdmitRequest(
            request_id=request.request_id,
            workspace=plan.workspace,
            model=request.model,
            adapter=request.adapter,
            version=version,
            prompt_tokens=request.prompt_tokens or 0,
            output_tokens=request.output_tokens,
            priority=plan.priority or 0,
            deadline_s=exchange.left_s(boot_clock_s()),
            wait_s=wait_s,
            instance_id=_id(backend),
            limits=EngineLimits(
                engine.slots, engine.adapter_slots, engine.memory_tokens
            ),
            pause_s=exchange.route.pause_s or 0.0,
            aim_s=exchange.arrived_s + exchange.route.objective_s - boot_clock_s(),
        )
        own = contextlib.AsyncExitStack()
        try:
            call = await own.enter_async_context(self._rpc_client.open(agent, ask))
            reply = await self._first_reply(call)
            if reply.reason == QUEUED:
                reply = await self._turn(call, backend, check)
            if not backend.takes_work(boot_clock_s()):
                raise ChannelError("the backend server takes no work any more")
        except (ChannelError, TimeoutError) as error:
            await _close(own, error)
            if backend.takes_work(boot_clock_s()):
                self._silent_until_s[agent] = boot_clock_s() + SILENT_AGENT_S
            return None
        except BaseException as error:
            await _close(own, error)
            raise
        if not reply.granted:
            await own.aclose()
            predicted[_id(backend)] = reply.retry_after_s
            return None
        stack.push_async_exit(own.__aexit__)
        exchange.waited_s += reply.waited_s
        backend.note_adapter(f"{request.model}/{request.adapter}", boot_clock_s())
        return Permit(backend, reply.version, call, request.request_id)

    @staticmethod
    async def _first_reply(call: RpcCall) -> AdmitReply:
        async with asyncio.timeout(AGENT_ANSWER_S):
            reply: AdmitReply = await call.receive()
            return reply

    @staticmethod
    async def _turn(
        call: RpcCall, backend: Backend, check: Callable[[], None]
    ) -> AdmitReply:
        """Wait for the request's turn, as long as the backend server takes work."""
        receiving = asyncio.ensure_future(call.receive())
        try:
            while not receiving.done():
                check()
                if not backend.takes_work(boot_clock_s()):
                    raise ChannelError("the backend server takes no work any more")
                await asyncio.wait((receiving,), timeout=LEAVING_LOOK_S)
            reply: AdmitReply = receiving.result()
            return reply
        finally:
            receiving.cancel()

    def _without_agent(
        self, exchange: Exchange, candidates: Sequence[Backend], version: int
    ) -> Permit | None:
        """Fall back on an engine whose agent is silent and that has the adapter."""
        request = exchange.request
        wanted = f"{request.model}/{request.adapter}"
        now_s = boot_clock_s()
        for backend in candidates:
            silent = now_s < self._silent_until_s.get(self._agent_of(backend), 0.0)
            held = not request.adapter or backend.holds(wanted, version)
            if silent and held:
                return Permit(backend, version, None, exchange.request.request_id)
        return None


def prompt_wait_s(exchange: Exchange, now_s: float) -> float:
    """Return the wait after which the first event may still be on time."""
    objective_s = exchange.route.objective_s
    left_s = exchange.arrived_s + objective_s - now_s
    return max(
        LEAST_PROMPT_WAIT_S,
        PROMPT_WAIT_PART * objective_s,
        left_s - ENGINE_PART * objective_s,
    )


async def _close(stack: contextlib.AsyncExitStack, error: BaseException) -> None:
    """Leave a call because of an error, which closes its connection."""
    with contextlib.suppress(BaseException):
        await stack.__aexit__(type(error), error, error.__traceback__)


def refuse_busy(predicted: dict[str, float]) -> RefusedError:
    """Return the refusal for when no engine has a place in time."""
    wait_s = min(predicted.values(), default=UNKNOWN_WAIT_S)
    return RefusedError(
        503, "engines_busy", "no engine has a place in time", retry_after_s=wait_s
    )


def _id(backend: Backend) -> str:
    return backend.announcement.instance_id
