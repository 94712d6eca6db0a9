"""Decides which requests start or are rejected, and which adapters are loaded.

The scheduler does no input or output. The agent reports events, calls ``decide`` with
the current time, performs the returned actions and reports their results. Each action
is named as an instruction to the agent: ``StartRequest`` means "start the request".

An adapter is named with its version, as in ``a0@1``. Requests for the base model have
an empty adapter name and use no slot.
"""

from collections.abc import Callable, Sequence

from damaskvalve_agent._fair_queue import FairQueue, Ticket
from damaskvalve_agent._slots import LOADING, RESIDENT, Slots

# Requests for an adapter are rejected after this many consecutive failed loads, until
# the next load may be tried.
MAX_LOAD_FAILURES = 3
# Backoff after the first failed load. It doubles with each further failure, up to the
# maximum, before a random factor of 0.5 to 1.5 is applied.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


class StartRequest:
    """Send the request to the engine; its adapter is pinned."""

    __slots__ = ("ticket",)

    def __init__(self, ticket: Ticket) -> None:
        self.ticket = ticket


class RequestLoadPermit:
    """Request a load permit for an adapter."""

    __slots__ = ("adapter", "urgency", "waiting_since_s", "workspace", "share")

    def __init__(self, ticket: Ticket) -> None:
        self.adapter = ticket.adapter
        # The lowest value is granted first: 0 for interactive requests, 1 for deferred
        # ones.
        self.urgency = 1 if ticket.deferred else 0
        # When the request that waits for this adapter arrived.
        self.waiting_since_s = ticket.arrived_at_s
        self.workspace = ticket.workspace
        self.share = ticket.share


class LoadAdapter:
    """Load an adapter now, after unloading ``victim`` if there is one."""

    __slots__ = ("adapter", "victim")

    def __init__(self, adapter: str, victim: str | None) -> None:
        self.adapter = adapter
        self.victim = victim


class RejectRequest:
    """Reject the request; it will not run here."""

    __slots__ = ("ticket", "code", "retry_after_s")

    def __init__(self, ticket: Ticket, code: str, retry_after_s: float) -> None:
        self.ticket = ticket
        self.code = code
        self.retry_after_s = retry_after_s


Action = StartRequest | RequestLoadPermit | RejectRequest

#: Returns a number in [0, 1) to spread retries.
Jitter = Callable[[], float]


class _Failure:
    """Consecutive failed loads of one adapter, and when the next one may be tried."""

    __slots__ = ("count", "retry_at_s")

    def __init__(self) -> None:
        self.count = 0
        self.retry_at_s = 0.0


class SchedulerLimits:
    """Maximum numbers of running requests and of loads.

    The loads include those that wait for a permit.
    """

    __slots__ = ("max_running", "max_loads")

    def __init__(self, max_running: int, max_loads: int) -> None:
        self.max_running = max_running
        self.max_loads = max_loads


class Scheduler:
    """Owns the queue and the slots of one backend server.

    Guarantees that the adapter of a started request is resident until the request has
    ended, and that an isolated request runs alone. ``slots`` is None for a backend
    server that has no adapters.
    """

    def __init__(
        self,
        queue: FairQueue,
        slots: Slots | None,
        limits: SchedulerLimits,
        jitter: Jitter,
    ) -> None:
        self.queue = queue
        self.slots = slots
        self.limits = limits
        self.running: dict[str, Ticket] = {}
        self._jitter = jitter
        self._failures: dict[str, _Failure] = {}
        # Adapters for which a load permit has been requested.
        self._permit_requests: set[str] = set()

    # ---- requests ----

    def submit(self, ticket: Ticket, now_s: float) -> RejectRequest | None:
        """Queue a request and return None, or return its rejection."""
        failure = self._failures.get(ticket.adapter)
        if failure is not None and failure.count >= MAX_LOAD_FAILURES:
            wait_s = failure.retry_at_s - now_s
            if wait_s > 0:
                return RejectRequest(ticket, "adapter_held_back", wait_s)
        if self.queue.is_full(ticket.workspace):
            return RejectRequest(ticket, "queue_full", 1.0)
        if ticket.deadline_s <= now_s:
            return RejectRequest(ticket, "deadline", 0.0)
        self.queue.add(ticket)
        if self.slots is not None and self._is_loading(ticket):
            ticket.load_wait_started_at_s = now_s
        return None

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        return self.queue.remove(ticket)

    def finish(self, ticket: Ticket, *, delivered: bool) -> None:
        """End a running request; undelivered work does not count as service."""
        if self.running.pop(ticket.request_id, None) is None:
            return
        if self._uses_slot(ticket) and self.slots is not None:
            self.slots.unpin(ticket.adapter, ticket.request_id)
        if not delivered:
            self.queue.refund(ticket.workspace, ticket.cost_units, ticket.share)

    # ---- loads ----

    def end_load(self, adapter: str, *, loaded: bool, now_s: float) -> None:
        """Record the end of a load; after a failure, set when the next may be tried."""
        assert self.slots is not None
        self.slots.end_load(adapter, loaded=loaded)
        if loaded:
            self._failures.pop(adapter, None)
            return
        failure = self._failures.setdefault(adapter, _Failure())
        failure.count += 1
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (failure.count - 1))
        failure.retry_at_s = now_s + backoff_s * (0.5 + self._jitter())

    def begin_load(self, adapter: str, now_s: float) -> LoadAdapter | None:
        """Use a load permit: reserve a slot for the load, or return None.

        No load is needed if the adapter is resident or being loaded or no request waits
        for it; none is possible if no slot can be freed.
        """
        assert self.slots is not None
        self._permit_requests.discard(adapter)
        if self.slots.state(adapter) is not None:
            return None
        if not any(ticket.adapter == adapter for ticket in self.queue):
            return None
        victim = None
        if not self.slots.has_free_slot():
            victim = self.slots.victim(self._wanted(), now_s)
            if victim is None:
                return None
            self.slots.unload(victim)
        self.slots.start_load(adapter)
        return LoadAdapter(adapter, victim)

    def permit_refused(self, adapter: str) -> None:
        """Record that no permit was granted.

        ``decide`` requests one again if a request still waits for the adapter.
        """
        self._permit_requests.discard(adapter)

    def engine_restarted(self) -> None:
        """Clear the slots and the failure counts after a restart of the engine.

        The running requests stay until ``finish`` is called for each of them.
        """
        if self.slots is not None:
            self.slots.clear()
        self._failures.clear()

    def failing_adapters(self) -> Sequence[str]:
        """Return the adapters whose last loads have all failed.

        These are at least :data:`MAX_LOAD_FAILURES` consecutive failures.
        """
        return [
            name
            for name, failure in self._failures.items()
            if failure.count >= MAX_LOAD_FAILURES
        ]

    # ---- decisions ----

    def decide(self, now_s: float) -> Sequence[Action]:
        """Return the actions that are due now."""
        actions: list[Action] = []
        actions.extend(self._expire(now_s))
        actions.extend(self._reject_failing(now_s))
        actions.extend(self._start_ready(now_s))
        if self.slots is not None:
            actions.extend(self._request_permits(now_s))
        return actions

    def _expire(self, now_s: float) -> Sequence[RejectRequest]:
        expired = [item for item in self.queue if item.deadline_s <= now_s]
        for ticket in expired:
            self.queue.remove(ticket)
        return [RejectRequest(ticket, "deadline", 1.0) for ticket in expired]

    def _reject_failing(self, now_s: float) -> Sequence[RejectRequest]:
        rejected = []
        for ticket in list(self.queue):
            failure = self._failures.get(ticket.adapter)
            if failure is None or failure.count < MAX_LOAD_FAILURES:
                continue
            if now_s < failure.retry_at_s:
                self.queue.remove(ticket)
                wait_s = failure.retry_at_s - now_s
                rejected.append(RejectRequest(ticket, "adapter_held_back", wait_s))
        return rejected

    def _start_ready(self, now_s: float) -> Sequence[StartRequest]:
        started = []
        while len(self.running) < self.limits.max_running:
            ticket = self._next_ready()
            if ticket is None:
                break
            self._start(ticket, now_s)
            started.append(StartRequest(ticket))
        return started

    def _next_ready(self) -> Ticket | None:
        if any(item.isolated for item in self.running.values()):
            return None
        first = True
        for ticket in self.queue.ordered():
            if ticket.isolated and self.running:
                # If it is next, let the running requests drain, so that it runs alone.
                if first:
                    return None
                continue
            if self._is_ready(ticket) and (first or self.queue.may_overtake(ticket)):
                return ticket
            first = False
        return None

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self.queue.remove(ticket)
        self.running[ticket.request_id] = ticket
        self.queue.charge(ticket.workspace, ticket.cost_units, ticket.share)
        if self._uses_slot(ticket) and self.slots is not None:
            self.slots.pin(ticket.adapter, ticket.request_id, now_s)

    def _uses_slot(self, ticket: Ticket) -> bool:
        return self.slots is not None and bool(ticket.adapter)

    def _is_ready(self, ticket: Ticket) -> bool:
        if self.slots is None or not ticket.adapter:
            return True
        return self.slots.state(ticket.adapter) == RESIDENT

    def _is_loading(self, ticket: Ticket) -> bool:
        assert self.slots is not None
        return self.slots.state(ticket.adapter) == LOADING

    def _wanted(self) -> set[str]:
        """Return the adapters of the first requests in the queue.

        They are at most as many as there are slots.
        """
        assert self.slots is not None
        wanted: set[str] = set()
        for ticket in self.queue.ordered():
            if len(wanted) >= self.slots.capacity:
                break
            if ticket.adapter:
                wanted.add(ticket.adapter)
        return wanted

    def _request_permits(self, now_s: float) -> Sequence[RequestLoadPermit]:
        assert self.slots is not None
        actions: list[RequestLoadPermit] = []
        wanted = self._wanted()
        slot_available = (
            self.slots.has_free_slot() or self.slots.victim(wanted, now_s) is not None
        )
        if not slot_available:
            return actions
        for ticket in self.queue.ordered():
            busy = len(self._permit_requests) + self.slots.loading_count()
            if busy >= self.limits.max_loads:
                break
            if self._can_request_permit(ticket, now_s):
                self._permit_requests.add(ticket.adapter)
                ticket.load_wait_started_at_s = now_s
                actions.append(RequestLoadPermit(ticket))
        return actions

    def _can_request_permit(self, ticket: Ticket, now_s: float) -> bool:
        assert self.slots is not None
        adapter = ticket.adapter
        if not adapter or adapter in self._permit_requests:
            return False
        if self.slots.state(adapter) is not None:
            return False
        failure = self._failures.get(adapter)
        return failure is None or now_s >= failure.retry_at_s


__all__ = [
    "Action",
    "LoadAdapter",
    "RejectRequest",
    "RequestLoadPermit",
    "Scheduler",
    "SchedulerLimits",
    "StartRequest",
]
