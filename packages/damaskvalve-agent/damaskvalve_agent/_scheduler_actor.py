"""The actor that owns the scheduler of one backend server."""

import contextlib
import random
import threading
import time
from collections.abc import Callable
from typing import Any

import logbook
import pykka

from damaskvalve_agent._backend_client import BackendClient, BackendError, FencedError
from damaskvalve_agent._control import ControlClient
from damaskvalve_agent._fair_queue import Ticket
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._scheduler import (
    LoadAdapter,
    RejectRequest,
    RequestLoadPermit,
    Scheduler,
    StartRequest,
)
from damaskvalve_core import Recorder, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import PermitRequest

TICK_INTERVAL_S = 0.05
# How long a permit request waits for its grant before it is repeated.
PERMIT_WAIT_S = 2.0

_log = logbook.Logger("scheduler")


class Outcome:
    """Outcome of a waiting request: it starts, or it is rejected."""

    __slots__ = ("started", "code", "retry_after_s", "load_s")

    def __init__(
        self, started: bool, code: str, retry_after_s: float, load_s: float
    ) -> None:
        self.started = started
        self.code = code
        self.retry_after_s = retry_after_s
        # How long the request waited for a load of its adapter; 0 if it did not.
        self.load_s = load_s


class _SchedulerCall:
    """Message that runs a function on the scheduler inside the actor."""

    __slots__ = ("function", "future")

    def __init__(
        self,
        function: Callable[[Scheduler, float], Any],
        future: "pykka.ThreadingFuture[Any] | None",
    ) -> None:
        self.function = function
        self.future = future


class SchedulerActor(pykka.ThreadingActor):
    """Serializes every decision about one backend server."""

    use_daemon_thread = True

    def __init__(
        self,
        scheduler: Scheduler,
        backend: BackendClient,
        control: ControlClient,
        fence: Fence,
        agent_id: str,
        record: Recorder,
    ) -> None:
        super().__init__()
        self.scheduler = scheduler
        self.outcomes: dict[str, pykka.ThreadingFuture[Outcome]] = {}
        self._backend = backend
        self._control = control
        self._fence = fence
        self._agent_id = agent_id
        self._record = record
        self._orders_lock = threading.Lock()
        self._order_threads = 0

    def on_receive(self, message: _SchedulerCall) -> None:
        """Run one call, then perform the actions that the scheduler decides on."""
        now_s = boot_clock_s()
        try:
            result = message.function(self.scheduler, now_s)
            if message.future is not None:
                message.future.set(result)
        except Exception:
            if message.future is None:
                _log.exception("a call on the scheduler failed")
            else:
                message.future.set_exception()
        for action in self.scheduler.decide(now_s):
            self._perform(action, now_s)

    def _perform(self, action: Any, now_s: float) -> None:
        if isinstance(action, StartRequest):
            self._resolve_start(action.ticket, now_s)
        elif isinstance(action, RejectRequest):
            rejected = Outcome(False, action.code, action.retry_after_s, 0.0)
            self._resolve(action.ticket, rejected)
        elif isinstance(action, RequestLoadPermit):
            threading.Thread(
                target=self._load_adapter, args=(action,), daemon=True
            ).start()

    def _resolve_start(self, ticket: Ticket, now_s: float) -> None:
        load_s = 0.0
        if ticket.load_wait_started_at_s is not None:
            load_s = now_s - ticket.load_wait_started_at_s
        self._resolve(ticket, Outcome(True, "", 0.0, load_s))

    def _resolve(self, ticket: Ticket, outcome: Outcome) -> None:
        future = self.outcomes.pop(ticket.request_id, None)
        if future is not None:
            future.set(outcome)

    # ---- loads, each in a separate thread ----

    def _load_adapter(self, action: RequestLoadPermit) -> None:
        adapter = action.adapter
        permit_id = self._request_permit(action)
        if permit_id is None:
            self._tell(lambda scheduler, now_s: scheduler.permit_refused(adapter))
            return
        self._count_order_threads(1)
        try:
            load = self._begin_load(adapter)
            if load is not None:
                self._perform_load(load)
        finally:
            self._count_order_threads(-1)
            self._finish_permit(permit_id)

    def _count_order_threads(self, change: int) -> None:
        with self._orders_lock:
            self._order_threads += change

    def is_ordering(self) -> bool:
        """Return whether orders are on their way, or may be soon; thread-safe."""
        with self._orders_lock:
            return self._order_threads > 0

    def _request_permit(self, action: RequestLoadPermit) -> str | None:
        waited_s = max(0.0, boot_clock_s() - action.waiting_since_s)
        request = PermitRequest(
            self._agent_id,
            action.adapter,
            action.urgency,
            PERMIT_WAIT_S,
            "",
            waited_s,
            action.workspace,
            action.share,
        )
        try:
            reply = self._control.request_permit(request)
        except RetryLaterError as error:
            _log.info(
                "no load permit for {}: {}; it is requested again while needed",
                action.adapter,
                error,
            )
            time.sleep(TICK_INTERVAL_S)
            return None
        return reply.permit_id if reply.granted else None

    def _begin_load(self, adapter: str) -> LoadAdapter | None:
        future: pykka.ThreadingFuture[LoadAdapter | None] = pykka.ThreadingFuture()

        def begin(scheduler: Scheduler, now_s: float) -> LoadAdapter | None:
            return scheduler.begin_load(adapter, now_s)

        with contextlib.suppress(pykka.ActorDeadError, pykka.Timeout):
            self.actor_ref.tell(_SchedulerCall(begin, future))
            return future.get(timeout=5.0)
        return None

    def _perform_load(self, load: LoadAdapter) -> None:
        started_s = boot_clock_s()
        loaded = self._send_load_orders(load)
        self._record(
            "adapter-load",
            adapter=load.adapter,
            victim=load.victim,
            loaded=loaded,
            took_s=round(boot_clock_s() - started_s, 4),
        )

        def end(scheduler: Scheduler, now_s: float) -> None:
            scheduler.end_load(load.adapter, loaded=loaded, now_s=now_s)

        self._tell(end)

    def _send_load_orders(self, load: LoadAdapter) -> bool:
        number = self._fence.number(boot_clock_s())
        if number is None:
            return False
        try:
            if load.victim is not None:
                self._backend.unload(load.victim, number)
            self._backend.load(load.adapter, number)
        except FencedError as error:
            _log.error("the backend server refuses this agent's orders: {}", error)
            return False
        except BackendError as error:
            _log.warning(
                "loading {} failed: {}; retrying after a backoff", load.adapter, error
            )
            return False
        return True

    def _finish_permit(self, permit_id: str) -> None:
        request = PermitRequest(self._agent_id, "", 0, 0.0, permit_id, 0.0)
        with contextlib.suppress(RetryLaterError):
            self._control.request_permit(request)

    def _tell(self, function: Callable[[Scheduler, float], Any]) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(_SchedulerCall(function, None))


class SchedulerHandle:
    """Thread-safe interface of a running :class:`SchedulerActor`."""

    def __init__(
        self, ref: "pykka.ActorRef[SchedulerActor]", actor: SchedulerActor
    ) -> None:
        self._ref = ref
        self._actor = actor

    def submit(self, ticket: Ticket) -> "pykka.ThreadingFuture[Outcome]":
        """Queue a request; the future resolves when it starts or is rejected."""
        future: pykka.ThreadingFuture[Outcome] = pykka.ThreadingFuture()
        outcomes = self._actor.outcomes

        def submit(scheduler: Scheduler, now_s: float) -> None:
            rejected = scheduler.submit(ticket, now_s)
            if rejected is None:
                outcomes[ticket.request_id] = future
            else:
                future.set(Outcome(False, rejected.code, rejected.retry_after_s, 0.0))

        self._ref.tell(_SchedulerCall(submit, None))
        return future

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from the queue, or end it if it has just started."""
        outcomes = self._actor.outcomes

        def cancel(scheduler: Scheduler, now_s: float) -> None:
            outcomes.pop(ticket.request_id, None)
            if not scheduler.cancel(ticket):
                scheduler.finish(ticket, delivered=False)

        self._tell(cancel)

    def finish(self, ticket: Ticket, *, delivered: bool) -> None:
        """End a running request."""

        def finish(scheduler: Scheduler, now_s: float) -> None:
            scheduler.finish(ticket, delivered=delivered)

        self._tell(finish)

    def run(
        self, function: Callable[[Scheduler, float], Any], timeout_s: float = 2.0
    ) -> Any:
        """Run a function on the scheduler and return its result."""
        future: pykka.ThreadingFuture[Any] = pykka.ThreadingFuture()
        self._ref.tell(_SchedulerCall(function, future))
        return future.get(timeout=timeout_s)

    def is_ordering(self) -> bool:
        """Return whether orders are on their way to the engine, or may be soon."""
        return self._actor.is_ordering()

    def tick(self) -> None:
        """Let the scheduler act on deadlines and retries that are due."""
        self._tell(lambda scheduler, now_s: None)

    def _tell(self, function: Callable[[Scheduler, float], Any]) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.tell(_SchedulerCall(function, None))


def random_jitter() -> Callable[[], float]:
    """Return the source of jitter for a running agent."""
    return random.SystemRandom().random
