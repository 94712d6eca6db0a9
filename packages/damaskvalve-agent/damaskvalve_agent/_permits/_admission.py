"""Admission control: which requests start at one engine, and which adapters it loads.

A request starts when the engine has a free slot and enough memory for it, and its
adapter is resident in a version that is new enough. Requests wait in order of priority
and arrival. A request whose adapter is resident may start before one whose adapter is
still being loaded, so a load delays only the requests that need it. A request that
would wait longer than it accepts is rejected at once, with the predicted wait.
"""

import collections
from collections.abc import Sequence

from damaskvalve_agent._permits._engine_model import EngineModel
from damaskvalve_agent._permits._engine_state import EngineState, adapter_key
from damaskvalve_agent._permits._late_orders import OrderMark
from damaskvalve_agent._permits._loads import DEFAULT_LOAD_S
from damaskvalve_agent._permits._pace import ReadingPacer
from damaskvalve_agent._permits._queue_order import (
    OrderKey,
    WorkspaceService,
    may_overtake,
    order_key,
)
from damaskvalve_agent._permits._requests import (
    DEFAULT_PAUSE_S,
    MIN_REMAINING_S,
    required_s,
)
from damaskvalve_agent._permits._types import (
    AdmissionRequest,
    EngineCapacity,
    EngineReport,
    Order,
)
from damaskvalve_agent._slots import Slots

# Fraction of the engine's memory that admitted requests may need in total.
MAX_MEMORY_FRACTION = 0.95
# The wait that is stated for a request whose model or adapter the engine cannot hold.
# Only a change of the configuration or of the engines helps.
UNSERVABLE_WAIT_S = 60.0
# Streams whose times between events are asked for at a time.
WATCHED_STREAMS = 3


class _Run:
    """A request that has a permit."""

    __slots__ = ("request", "started_at_s")

    def __init__(self, request: AdmissionRequest, started_at_s: float) -> None:
        self.request = request
        self.started_at_s = started_at_s


class Grant:
    """A request that may start, and the version of its adapter."""

    __slots__ = ("request", "version", "watched")

    def __init__(
        self, request: AdmissionRequest, version: int, watched: bool = False
    ) -> None:
        self.request = request
        self.version = version
        # Whether the host is asked for the times between its events.
        self.watched = watched


class AdmissionController:
    """Admits requests to one engine and chooses its orders.

    Holds the state of the engine as the agent knows it.
    """

    def __init__(self) -> None:
        self.engine_capacity = EngineCapacity(1, 1, 1)
        self.engine = EngineState()
        self._runs: dict[str, _Run] = {}
        self._queue: list[AdmissionRequest] = []
        self.model = EngineModel()
        self.pacer = ReadingPacer(self.model)
        self._service = WorkspaceService()
        self._watched: set[str] = set()
        # When to check again whether a request that waits only to be read may start.
        self.next_check_at_s = 0.0

    @property
    def slots(self) -> Slots:
        """The places for adapters at the engine."""
        return self.engine.slots

    @property
    def order_count(self) -> int:
        """How many orders the engine has accepted."""
        return self.engine.order_count

    # ---- state ----

    def waiting(self) -> Sequence[AdmissionRequest]:
        """Return the requests that wait."""
        return self._queue

    def running_count(self) -> int:
        """Return how many requests have a permit."""
        return len(self._runs)

    def _has_capacity(self, request: AdmissionRequest) -> bool:
        if len(self._runs) >= self.engine_capacity.slots:
            return False
        reserved_tokens = sum(run.request.tokens() for run in self._runs.values())
        max_tokens = MAX_MEMORY_FRACTION * self.engine_capacity.memory_tokens
        return not self._runs or reserved_tokens + request.tokens() <= max_tokens

    def predicted_wait_s(self, request: AdmissionRequest, now_s: float) -> float:
        """Return how long a request would wait until the engine reads its prompt."""
        queue = self._ahead(request, now_s)
        wait_s = self.pacer.wait_s(
            [item.prompt_tokens for item in queue], request.max_pause_s, now_s
        )
        model_wait_s = self.engine.model_wait_s(request.model, now_s)
        if model_wait_s is not None:
            return wait_s + max(DEFAULT_LOAD_S, model_wait_s)
        if not self._has_capacity(request) or queue:
            ahead = len(queue) + 1
            if not self._has_capacity(request):
                wait_s += ahead * self.model.mean_run_s / self.engine_capacity.slots
        if not request.adapter or self.engine.is_ready(request):
            return wait_s
        name = adapter_key(request)
        if name in self.engine.loads.in_transit():
            return wait_s + self.engine.loads.load_s(name)
        if self.slots.state(name) == "resident":
            # The newer version waits for the runs on the older one.
            return (
                wait_s
                + DEFAULT_LOAD_S
                + (self.model.mean_run_s if self.slots.pins(name) else 0.0)
            )
        return wait_s + self._load_wait_s(name)

    def backlog_s(self, now_s: float) -> float:
        """Return how long a typical new request would wait here for its start.

        Loads are not counted: they depend on the adapter that a request needs.
        """
        timely = [item for item in self._queue if not self._is_late(item, now_s)]
        pause_s = min((item.max_pause_s for item in timely), default=DEFAULT_PAUSE_S)
        wait_s = self.pacer.wait_s(
            [item.prompt_tokens for item in timely], pause_s, now_s
        )
        if len(self._runs) >= self.engine_capacity.slots:
            ahead = len(self._queue) + 1
            wait_s += ahead * self.model.mean_run_s / self.engine_capacity.slots
        return wait_s

    def _load_wait_s(self, name: str) -> float:
        """Return how long it would take until one more adapter is resident."""
        wanted = {
            adapter_key(request)
            for request in self._queue
            if request.adapter and not self.engine.is_ready(request)
        }
        ahead = self.engine.loads.count_from_store(
            wanted | set(self.engine.loads.in_transit())
        )
        wait_s = self.engine.loads.load_s(name)
        if not self.engine.loads.is_cached(name):
            wait_s += self.engine.loads.store_load_s * (
                ahead // self.engine.loads.max_store_loads()
            )
        if not self.engine.has_room(name) and self.slots.victim(wanted, 0.0) is None:
            wait_s += (
                self.model.mean_run_s
                * (1 + ahead)
                / max(1, self.engine_capacity.adapter_slots)
            )
        return wait_s

    # ---- requests ----

    def set_engine_capacity(self, engine_capacity: EngineCapacity) -> None:
        """Set the configured capacity of the engine."""
        self.engine_capacity = engine_capacity
        self.slots.capacity = engine_capacity.adapter_slots
        self.engine.weights = engine_capacity.weights

    def submit(self, request: AdmissionRequest, now_s: float) -> float:
        """Queue a request and return 0, or return the wait that is too long for it."""
        if not self.engine.can_hold(request):
            return UNSERVABLE_WAIT_S
        self.engine.require_version(request)
        wait_s = self.predicted_wait_s(request, now_s)
        short_run_s = self.model.short_run_s()
        left_s = request.deadline_s - now_s - required_s(request, short_run_s)
        if left_s < 0:
            wait_s = max(wait_s, MIN_REMAINING_S)
        if wait_s > min(request.max_wait_s, max(0.0, left_s)):
            self.engine.request_model_load(request)
            return wait_s
        self._queue.append(request)
        return 0.0

    def require_version(self, request: AdmissionRequest, version: int) -> None:
        """Have a request wait for a version of its adapter that was named meanwhile."""
        request.version = max(request.version, version)
        self.engine.require_version(request)

    def _order_keys(
        self, requests: Sequence[AdmissionRequest], now_s: float
    ) -> Sequence[OrderKey]:
        excess_s = self._service.excess_s(
            frozenset(item.workspace for item in requests)
        )
        slowdown = self.pacer.recent_slowdown(now_s)
        return [
            order_key(
                item,
                self._spare_s(item, slowdown, now_s),
                self.model.reading_s(item.prompt_tokens),
                excess_s.get(item.workspace, 0.0),
            )
            for item in requests
        ]

    def _ahead(
        self, request: AdmissionRequest, now_s: float
    ) -> Sequence[AdmissionRequest]:
        """Return the waiting requests that start before another one."""
        keys = self._order_keys([*self._queue, request], now_s)
        return [item for item, key in zip(self._queue, keys) if key <= keys[-1]]

    def _sort_queue(self, now_s: float) -> None:
        keys = self._order_keys(self._queue, now_s)
        places = sorted(range(len(keys)), key=lambda place: keys[place])
        self._queue = [self._queue[place] for place in places]

    def _spare_s(
        self, request: AdmissionRequest, slowdown: float, now_s: float
    ) -> float:
        """Return the time to spare until a request has to start to be on time."""
        required_s = self.model.reading_s(request.prompt_tokens) * slowdown
        name = adapter_key(request)
        in_transit = self.engine.loads.in_transit()
        if not self.engine.is_ready(request) and name not in in_transit:
            required_s += self.engine.loads.load_s(name)
        return request.first_event_target_s - now_s - required_s

    def _is_late(self, request: AdmissionRequest, now_s: float) -> bool:
        return self._spare_s(request, self.pacer.recent_slowdown(now_s), now_s) < 0

    def cancel(self, request_id: str) -> None:
        """Remove a waiting request whose caller has disconnected."""
        self._queue = [item for item in self._queue if item.request_id != request_id]

    def take_grants(self, now_s: float) -> Sequence[Grant]:
        """Remove the requests that may start from the queue and return their grants."""
        granted: list[Grant] = []
        self.next_check_at_s = 0.0
        if not self._queue:
            return granted
        self._sort_queue(now_s)
        slowdown = self.pacer.recent_slowdown(now_s)
        # The first request that has to wait until others have been read.
        held_back: AdmissionRequest | None = None
        for request in list(self._queue):
            if not self.engine.is_ready(request) or not self._has_capacity(request):
                continue
            reading_s = self.model.reading_s(request.prompt_tokens)
            if held_back is not None and not may_overtake(
                held_back,
                self._spare_s(held_back, slowdown, now_s),
                reading_s,
                self.pacer.allowance_s(held_back.max_pause_s),
            ):
                break
            if not self.pacer.may_start(request, len(self._runs), now_s):
                held_back = held_back or request
                continue
            if held_back is not None:
                held_back.overtaken_s += reading_s
            self._start(request, now_s)
            granted.append(
                Grant(
                    request,
                    self.engine.versions.get(adapter_key(request), 0),
                    request.request_id in self._watched,
                )
            )
        if held_back is not None:
            self.next_check_at_s = self.pacer.next_check_s(now_s)
        return granted

    def _start(self, request: AdmissionRequest, now_s: float) -> None:
        self.pacer.note_start(request, now_s)
        reading_s = self.model.reading_s(request.prompt_tokens)
        self._service.add(request.workspace, reading_s, now_s)
        self._queue.remove(request)
        self._runs[request.request_id] = _Run(request, now_s)
        if request.streams and len(self._watched) < WATCHED_STREAMS:
            self._watched.add(request.request_id)
        if request.adapter:
            name = adapter_key(request)
            self.slots.pin(name, request.request_id, now_s)

    def take_expired(self, now_s: float) -> Sequence[AdmissionRequest]:
        """Remove and return the requests that can no longer meet their deadline."""
        short_run_s = self.model.short_run_s() if self._queue else 0.0
        expired = [
            request
            for request in self._queue
            if request.deadline_s - now_s < required_s(request, short_run_s)
        ]
        for request in expired:
            self._queue.remove(request)
        return expired

    def mark_started(self, request_id: str, now_s: float) -> None:
        """Record that the first event of a request has arrived."""
        self.pacer.note_first_event(request_id, now_s)

    def note_interval(self, request_id: str, interval_s: float, now_s: float) -> None:
        """Record the time between two events of a watched request."""
        if request_id in self._watched:
            self.pacer.note_interval(request_id, interval_s, now_s)

    def release(self, request_id: str, now_s: float) -> None:
        """Record that a request has ended and free its slot."""
        run = self._runs.pop(request_id, None)
        if run is None:
            return
        self.pacer.note_end(request_id)
        self._watched.discard(request_id)
        self.model.forget_stream(request_id)
        if run.request.adapter:
            self.slots.unpin(adapter_key(run.request), request_id)
        self.model.note_run(now_s - run.started_at_s)

    # ---- orders ----

    def next_order(self, now_s: float) -> Order | None:
        """Return the next order to send, or None.

        A load for a late request waits while one for a timely request is under way.
        The outcome of an order has to be passed to :meth:`record_outcome`.
        """
        if not self.engine.has_report:
            return None
        order = self.engine.model_order()
        if order is not None:
            return order
        wanted = {adapter_key(request) for request in self._queue}
        is_awaited = False
        for request in self._by_demand(now_s):
            if is_awaited and self._is_late(request, now_s):
                return None
            order = self.engine.order_for(request, wanted, now_s)
            if order is not None:
                return order
            is_awaited = is_awaited or not self.engine.is_ready(request)
        return None

    def _by_demand(self, now_s: float) -> Sequence[AdmissionRequest]:
        """Return the waiting requests, those for the most requested adapters first.

        After an engine has restarted empty, loads from the store run a few at a time;
        an adapter that many requests wait for lets more of them start. Requests with
        equal demand keep the order of the queue.
        """
        demand = collections.Counter(
            adapter_key(request)
            for request in self._queue
            if not self._is_late(request, now_s)
        )
        return sorted(
            self._queue,
            key=lambda request: (
                self._is_late(request, now_s),
                -demand[adapter_key(request)],
            ),
        )

    def record_outcome(
        self, order: Order, outcome: str, now_s: float, mark: OrderMark | None = None
    ) -> None:
        """Update the state of the engine with the outcome of an order."""
        self.engine.record_outcome(order, outcome, now_s, mark)

    # ---- reports ----

    def load_count(self) -> int:
        """Return how many adapter loads are in transit."""
        return self.engine.load_count()

    def is_busy(self) -> bool:
        """Return whether an order has not been completed yet."""
        return self.engine.is_busy()

    def is_outdated(self, report: EngineReport, now_s: float) -> bool:
        """Return whether the engine has made a report before the last one."""
        return self.engine.is_outdated(report, now_s)

    def apply_report(self, report: EngineReport, now_s: float) -> bool:
        """Update the state from a report; return whether the engine has restarted."""
        return self.engine.apply_report(report, now_s)


__all__ = ["AdmissionController", "Grant"]
