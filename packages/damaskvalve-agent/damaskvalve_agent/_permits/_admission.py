"""Decides which requests start at one engine, and which adapters it holds.

A request starts when the engine has a slot and memory for it and holds its adapter in
a version that is new enough. Asks wait in order of priority and arrival; one whose
adapter is there may start before one whose adapter is still on its way, so a load
holds up only those that need it. An ask that would wait longer than it accepts is
turned down at once with the wait that is expected.
"""

import collections
from collections.abc import Collection, Sequence

from damaskvalve_agent._permits._loads import (
    LOAD_S,
    LOST_LOAD_S,
    MAX_LOADS,
    LoadTracker,
)
from damaskvalve_agent._permits._pace import PREFILL_PART, PrefillPacer, prefill_s
from damaskvalve_agent._permits._types import (
    ACCEPTED,
    CONFLICT,
    HOLDS,
    LOAD,
    LOAD_MODEL,
    NO_ANSWER,
    UNLOAD,
    AdmissionRequest,
    EngineCapacity,
    EngineReport,
    Order,
)
from damaskvalve_agent._slots import Slots

# From both users' sheets: the time of a load of a base model.
LOAD_MODEL_S = 2.9
# The same from the engine's own disk.
LOAD_MODEL_DISK_S = 1.2
# An unload that an engine accepted waits for runs that this agent does not know of:
# those from before it started. After this it is ordered again.
UNLOAD_S = 5.0
# The part of the engine's memory that admitted requests may come to need.
MEMORY_PART = 0.95
# Assumed until runs have been seen; then their mean with this weight.
FIRST_RUN_S = 1.5
RUN_WEIGHT = 0.05
# A request that still waits with less than this left cannot end in time.
LEAST_LEFT_S = 0.2
NEVER_S = 60.0


class _Run:
    __slots__ = ("ask", "began_s", "started")

    def __init__(self, ask: AdmissionRequest, began_s: float) -> None:
        self.ask = ask
        self.began_s = began_s
        # Whether its first event has come, so that its prompt is read.
        self.started = False


class Grant:
    """An ask that may start, on a version of its adapter."""

    __slots__ = ("ask", "version")

    def __init__(self, ask: AdmissionRequest, version: int) -> None:
        self.ask = ask
        self.version = version


class AdmissionController:
    """The state of one engine as its agent knows it."""

    def __init__(self) -> None:
        self.limits = EngineCapacity(1, 1, 1)
        self.slots = Slots(1)
        self._loads = LoadTracker(self.slots)
        self._versions: dict[str, int] = {}
        # The newest version that any ask has named.
        self._newest: dict[str, int] = {}
        # When each unload was ordered that waits for runs at the engine.
        self._unloads: dict[str, float] = {}
        # Those of them that had no answer: the next accepted order makes them void.
        self._unsure_unloads: set[str] = set()
        # Adapters whose newer version waits for the runs on the older one.
        self._replacing: dict[str, float] = {}
        self._models: set[str] = set()
        self._models_on_disk: Collection[str] = ()
        self._model_ordered_s: dict[str, float] = {}
        self._runs: dict[str, _Run] = {}
        self._queue: list[AdmissionRequest] = []
        self._pace = PrefillPacer()
        # When an ask that only waits for its prompt's turn may start.
        self.look_again_s = 0.0
        self._run_s = FIRST_RUN_S
        self._started_at_ms = 0
        self.order_count = 0
        self.reported = False

    # ---- reading ----

    def waiting(self) -> Sequence[AdmissionRequest]:
        """Return the asks that wait."""
        return self._queue

    def running(self) -> int:
        """Return how many requests have a permit."""
        return len(self._runs)

    def loads(self) -> int:
        """Return how many loads are on their way."""
        return len(self._loads.names())

    def is_busy(self) -> bool:
        """Return whether an order's end is awaited."""
        return bool(
            self._loads.names()
            or self._unloads
            or self._replacing
            or self._model_ordered_s
        )

    def _name(self, ask: AdmissionRequest) -> str:
        return f"{ask.model}/{ask.adapter}"

    def _is_ready(self, ask: AdmissionRequest) -> bool:
        """Return whether the engine holds what an ask needs."""
        if ask.model not in self._models:
            return False
        if not ask.adapter:
            return True
        name = self._name(ask)
        if self.slots.state(name) != "resident":
            return False
        if name in self._replacing or name in self._unloads:
            return False
        return self._versions.get(name, 0) >= self._newest.get(name, 0)

    def _has_place(self, ask: AdmissionRequest) -> bool:
        if len(self._runs) >= self.limits.slots:
            return False
        held = sum(run.ask.tokens() for run in self._runs.values())
        most = MEMORY_PART * self.limits.memory_tokens
        return not self._runs or held + ask.tokens() <= most

    def predicted_wait_s(self, ask: AdmissionRequest, now_s: float) -> float:
        """Return how long an ask would wait before the engine reads its prompt."""
        ahead_s = sum(prefill_s(item.prompt_tokens) for item in self._queue)
        wait_s = self._pace.wait_s(ask, now_s) + ahead_s / PREFILL_PART
        if ask.model not in self._models:
            ordered_s = self._model_ordered_s.get(ask.model) or now_s
            on_disk = ask.model in self._models_on_disk
            load_s = LOAD_MODEL_DISK_S if on_disk else LOAD_MODEL_S
            return wait_s + max(LOAD_S, ordered_s + load_s - now_s)
        if not self._has_place(ask) or self._queue:
            ahead = len(self._queue) + 1
            if not self._has_place(ask):
                wait_s += ahead * self._run_s / self.limits.slots
        if not ask.adapter or self._is_ready(ask):
            return wait_s
        name = self._name(ask)
        if name in self._loads.names():
            return wait_s + self._loads.load_s(name)
        if self.slots.state(name) == "resident":
            # A newer version waits for the runs on the older one.
            return wait_s + LOAD_S + (self._run_s if self.slots.pins(name) else 0.0)
        return wait_s + self._load_wait_s(name)

    def _load_wait_s(self, name: str) -> float:
        """Return how long until one more adapter would be here."""
        wanted = {
            self._name(ask)
            for ask in self._queue
            if ask.adapter and not self._is_ready(ask)
        }
        ahead = self._loads.from_store(wanted | set(self._loads.names()))
        wait_s = self._loads.load_s(name)
        if not self._loads.is_copied(name):
            wait_s += self._loads.store_load_s * (ahead // MAX_LOADS)
        if not self.slots.has_room() and self.slots.victim(wanted, 0.0) is None:
            wait_s += self._run_s * (1 + ahead) / max(1, self.limits.adapter_slots)
        return wait_s

    # ---- asks ----

    def set_limits(self, limits: EngineCapacity) -> None:
        """Take the engine's sizes as they are configured."""
        self.limits = limits
        self.slots.capacity = max(1, limits.adapter_slots)

    def ask(self, ask: AdmissionRequest, now_s: float) -> float:
        """Queue an ask and return 0, or return the wait that it does not accept."""
        if ask.adapter:
            name = self._name(ask)
            self._newest[name] = max(self._newest.get(name, 0), ask.version)
        wait_s = self.predicted_wait_s(ask, now_s)
        if wait_s > ask.wait_s:
            self._want_model(ask, now_s)
            return wait_s
        self._queue.append(ask)
        return 0.0

    def _put_in_order(self, now_s: float) -> None:
        """Put the asks that can still be on time first, then the most urgent.

        Under overload a queue in order of arrival makes everybody late; here those
        that are late already wait for a gap, and the others are served on time.
        """
        self._queue.sort(
            key=lambda item: (
                self._is_late(item, now_s),
                item.priority,
                item.arrived_s,
            )
        )

    def _is_late(self, ask: AdmissionRequest, now_s: float) -> bool:
        need_s = prefill_s(ask.prompt_tokens)
        name = self._name(ask)
        if not self._is_ready(ask) and name not in self._loads.names():
            need_s += self._loads.load_s(name)
        return now_s + need_s > ask.aim_s

    def _want_model(self, ask: AdmissionRequest, now_s: float) -> None:
        """An engine that holds nothing is given the model that is asked for."""
        if self.reported and not self._models and not self._model_ordered_s:
            self._model_ordered_s[ask.model] = 0.0

    def _want_model_on_disk(self) -> None:
        """Give an empty engine the model that it held before, before anyone asks.

        After a restart of engine and agent nobody else knows of it, and loading takes
        longer than it takes the hosts to come back. One that may have held several
        waits for the first ask.
        """
        if self._models or self._model_ordered_s or len(self._models_on_disk) != 1:
            return
        (model,) = self._models_on_disk
        self._model_ordered_s[model] = 0.0

    def cancel(self, request_id: str) -> None:
        """Forget an ask whose caller has gone."""
        self._queue = [item for item in self._queue if item.request_id != request_id]

    def grants(self, now_s: float) -> Sequence[Grant]:
        """Take the asks that may start now out of the queue."""
        granted: list[Grant] = []
        self._put_in_order(now_s)
        self.look_again_s = 0.0
        for ask in list(self._queue):
            if not self._is_ready(ask) or not self._has_place(ask):
                continue
            pace_s = self._pace.wait_s(ask, now_s)
            if pace_s > 0:
                # What comes behind does not overtake: its prompt would take the turn.
                self.look_again_s = now_s + pace_s
                break
            self._pace.note(ask, now_s)
            self._queue.remove(ask)
            self._runs[ask.request_id] = _Run(ask, now_s)
            name = self._name(ask)
            if ask.adapter:
                self.slots.pin(name, ask.request_id, now_s)
            granted.append(Grant(ask, self._versions.get(name, 0)))
        return granted

    def expired(self, now_s: float) -> Sequence[AdmissionRequest]:
        """Take the asks that cannot end in time any more out of the queue."""
        old = [ask for ask in self._queue if ask.deadline_s - now_s < LEAST_LEFT_S]
        for ask in old:
            self._queue.remove(ask)
        return old

    def started(self, request_id: str) -> None:
        """Note that the first event of a request has come."""
        run = self._runs.get(request_id)
        if run is not None:
            run.started = True

    def release(self, request_id: str, now_s: float) -> None:
        """Note that a request has ended."""
        run = self._runs.pop(request_id, None)
        if run is None:
            return
        if run.ask.adapter:
            self.slots.unpin(self._name(run.ask), request_id)
        self._run_s += RUN_WEIGHT * (now_s - run.began_s - self._run_s)

    # ---- orders ----

    def next_order(self, now_s: float) -> Order | None:
        """Return the next order to give, or None; the caller reports its outcome."""
        if not self.reported:
            return None
        for model, ordered_s in self._model_ordered_s.items():
            if not ordered_s:
                return Order(LOAD_MODEL, model, "", 0)
        for ask in self._by_demand(now_s):
            order = self._order_for(ask, now_s)
            if order is not None:
                return order
        return None

    def _by_demand(self, now_s: float) -> Sequence[AdmissionRequest]:
        """Return the asks that wait, those for the most wanted adapters first.

        When an engine has restarted empty, each load takes its turn at the store: one
        that many wait for lets more start. The order among equals is the queue's.
        """
        wanted = collections.Counter(
            self._name(ask) for ask in self._queue if not self._is_late(ask, now_s)
        )
        return sorted(
            self._queue,
            key=lambda ask: (self._is_late(ask, now_s), -wanted[self._name(ask)]),
        )

    def _order_for(self, ask: AdmissionRequest, now_s: float) -> Order | None:
        if ask.model not in self._models:
            self._want_model(ask, now_s)
            return None
        name = self._name(ask)
        if not ask.adapter or self._is_ready(ask):
            return None
        if self._loads.is_unsure(name):
            return Order(LOAD, ask.model, ask.adapter, self._newest.get(name, 0))
        if name in self._loads.names():
            return None
        if not self._loads.may_load(name) or name in self._replacing:
            return None
        if name in self._unloads:
            return None
        newest = self._newest.get(name, 0)
        if self.slots.state(name) == "resident":
            # The engine takes no other order while a replacement waits for runs.
            if self.slots.pins(name):
                return None
            return Order(LOAD, ask.model, ask.adapter, newest)
        if self.slots.has_room():
            return Order(LOAD, ask.model, ask.adapter, newest)
        spared = {self._name(item) for item in self._queue} | set(self._unloads)
        victim = self.slots.victim(spared, now_s)
        if victim is None:
            return None
        model, _, adapter = victim.partition("/")
        return Order(UNLOAD, model, adapter, 0)

    def order_ended(self, order: Order, outcome: str, now_s: float) -> None:
        """Take note of the engine's answer to an order."""
        name = f"{order.model}/{order.adapter}"
        if outcome == ACCEPTED:
            self._void_unsure(name)
        if order.kind == LOAD_MODEL:
            if outcome in (ACCEPTED, HOLDS):
                self._model_ordered_s[order.model] = now_s
            return
        if order.kind == UNLOAD:
            if outcome == HOLDS:
                self.slots.drop(name)
                self._versions.pop(name, None)
            elif outcome in (ACCEPTED, NO_ANSWER):
                self._unloads[name] = now_s
            if outcome == NO_ANSWER:
                self._unsure_unloads.add(name)
            return
        if outcome == CONFLICT:
            return
        if outcome not in (ACCEPTED, HOLDS, NO_ANSWER):
            return
        if self.slots.state(name) == "resident":
            if outcome != NO_ANSWER:
                self._replacing[name] = now_s
            return
        if outcome == NO_ANSWER:
            self._loads.note_unanswered(name, self.order_count, now_s)
        else:
            self._loads.note_ordered(name, now_s)

    def _void_unsure(self, accepted: str) -> None:
        """Forget orders without an answer: an accepted one has made them void."""
        for unsure in self._unsure_unloads:
            self._unloads.pop(unsure, None)
        self._unsure_unloads.clear()
        self._loads.void_unsure(accepted)

    # ---- reports ----

    def take_report(self, report: EngineReport, now_s: float) -> bool:
        """Bring the state in line with the engine; True if it has restarted."""
        restarted = self.reported and (
            report.started_at_ms != self._started_at_ms
            or report.order_count < self.order_count
        )
        if restarted:
            self._forget()
        self.reported = True
        self._started_at_ms = report.started_at_ms
        self.order_count = report.order_count
        self._models = set(report.models)
        self._models_on_disk = report.on_disk
        for model in list(self._model_ordered_s):
            ordered_s = self._model_ordered_s[model]
            late = ordered_s and now_s - ordered_s > 3 * LOAD_MODEL_S
            if model in self._models or late:
                del self._model_ordered_s[model]
        self._take_adapters(report, now_s)
        self._want_model_on_disk()
        return restarted

    def _take_adapters(self, report: EngineReport, now_s: float) -> None:
        held = {
            f"{model}/{adapter}": version
            for model, adapters in report.models.items()
            for adapter, version in adapters.items()
        }
        pending = {item.partition("@")[0] for item in report.pending}
        for name, version in held.items():
            loaded = self._loads.note_held(name, now_s)
            if not loaded and self.slots.state(name) is None:
                self.slots.adopt(name)
            self._versions[name] = version
        self._loads.settle_unsure(report.order_count, pending)
        self._loads.drop_lost(pending, now_s)
        for name, ordered_s in list(self._replacing.items()):
            done = self._versions.get(name, 0) >= self._newest.get(name, 0)
            lost = name not in pending and now_s - ordered_s > LOST_LOAD_S
            if done or lost or name not in held:
                del self._replacing[name]
        for name, ordered_s in list(self._unloads.items()):
            if name not in held or now_s - ordered_s > UNLOAD_S:
                del self._unloads[name]
        for name in list(self.slots.resident()):
            if name not in held and name not in self._replacing:
                self.slots.drop(name)
                self._versions.pop(name, None)

    def _forget(self) -> None:
        """Forget what was held before the engine restarted."""
        self.slots.clear()
        self._versions.clear()
        self._loads.clear()
        self._unloads.clear()
        self._unsure_unloads.clear()
        self._replacing.clear()
        self._model_ordered_s = {model: 0.0 for model in self._models}


__all__ = ["AdmissionController", "Grant"]
