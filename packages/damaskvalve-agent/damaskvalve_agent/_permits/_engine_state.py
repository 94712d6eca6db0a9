"""The state of one engine as its agent knows it, and the orders that change it."""

from collections.abc import Collection

from damaskvalve_agent._permits._late_orders import LateOrders, OrderMark
from damaskvalve_agent._permits._loads import LOAD_LOST_AFTER_S, LoadTracker
from damaskvalve_agent._permits._types import (
    ACCEPTED,
    COMPLETED,
    CONFLICT,
    LOAD,
    LOAD_MODEL,
    NO_ANSWER,
    UNLOAD,
    AdmissionRequest,
    EngineReport,
    Order,
)
from damaskvalve_agent._permits._weight_memory import UNBOUNDED
from damaskvalve_agent._slots import Slots

# Estimates of the time to load a base model that is not on the engine's own disk, and
# one that is, and the weight of a load in them.
MODEL_LOAD_S = 3.0
MODEL_DISK_LOAD_S = 1.2
MODEL_LOAD_WEIGHT = 0.5
# An unload that the engine has accepted waits for runs that are unknown to this agent
# because they began before it started. After this time the unload is ordered again.
UNLOAD_TIMEOUT_S = 5.0
# A report that seems outdated is believed if no other was for this long. Connections to
# the engine are not kept so long without a report, so it cannot be a copy.
MAX_DOUBT_S = 3.0


def adapter_key(request: AdmissionRequest) -> str:
    """Return the name of the adapter of a request, with its model."""
    return f"{request.model}/{request.adapter}"


class EngineState:
    """What an engine holds, what it has been ordered, and what is next."""

    __slots__ = (
        "slots",
        "loads",
        "versions",
        "weights",
        "order_count",
        "has_report",
        "_newest_versions",
        "_unload_ordered_s",
        "_unanswered_unloads",
        "_late_orders",
        "_replacement_ordered_s",
        "_models",
        "_on_disk",
        "_model_ordered_s",
        "_model_load_s",
        "_has_loaded_model",
        "_model_disk_load_s",
        "_started_at_ms",
        "_incarnation",
        "_reported_at_s",
    )

    def __init__(self) -> None:
        self.slots = Slots(1)
        self.loads = LoadTracker(self.slots)
        self.versions: dict[str, int] = {}
        # The memory for models and adapters.
        self.weights = UNBOUNDED
        # The newest version of each adapter that any request has required.
        self._newest_versions: dict[str, int] = {}
        # When each unload was ordered that still waits for runs at the engine.
        self._unload_ordered_s: dict[str, float] = {}
        # Unloads that had no answer; the next accepted order makes them void.
        self._unanswered_unloads: set[str] = set()
        self._late_orders = LateOrders()
        # When each load was ordered that replaces an adapter by a newer version. The
        # replacement waits for the runs on the older version.
        self._replacement_ordered_s: dict[str, float] = {}
        self._models: set[str] = set()
        self._on_disk: Collection[str] = ()
        # When the load of each model was ordered; 0 if it is still to be ordered.
        self._model_ordered_s: dict[str, float] = {}
        self._model_load_s = MODEL_LOAD_S
        self._has_loaded_model = False
        self._model_disk_load_s = MODEL_DISK_LOAD_S
        self._started_at_ms = 0
        # How many restarts of the engine were seen.
        self._incarnation = 0
        # When the last report arrived that was not outdated.
        self._reported_at_s = 0.0
        self.order_count = 0
        self.has_report = False

    def require_version(self, request: AdmissionRequest) -> None:
        """Note the version that a request needs.

        Callers may name any adapter; the operator names those with a version.
        """
        name = adapter_key(request)
        if request.adapter and request.version > self._newest_versions.get(name, 0):
            self._newest_versions[name] = request.version

    @property
    def started_at_ms(self) -> int | None:
        """Return when the engine started, by its newest report; None if unknown."""
        return self._started_at_ms or None

    def model_wait_s(self, model: str, now_s: float) -> float | None:
        """Return how long a model is still loaded; None if the engine holds it."""
        if model in self._models:
            return None
        ordered_s = self._model_ordered_s.get(model) or now_s
        is_on_disk = model in self._on_disk
        load_s = self._model_disk_load_s if is_on_disk else self._model_load_s
        return max(0.0, ordered_s + load_s - now_s)

    def set_model_load_s(self, model_load_s: float) -> None:
        """Set the configured time of a model load; one that was seen counts more."""
        if not self._has_loaded_model:
            self._model_load_s = model_load_s

    def _note_model_load(self, took_s: float, was_on_disk: bool) -> None:
        if was_on_disk:
            change_s = took_s - self._model_disk_load_s
            self._model_disk_load_s += MODEL_LOAD_WEIGHT * change_s
        else:
            self._has_loaded_model = True
            self._model_load_s += MODEL_LOAD_WEIGHT * (took_s - self._model_load_s)

    def model_order(self) -> Order | None:
        """Return the order to load a model that is still to be sent, or None.

        A model is not ordered while there is no memory for it.
        """
        held = {
            *self._models,
            *(model for model, ordered_s in self._model_ordered_s.items() if ordered_s),
        }
        for model, ordered_s in self._model_ordered_s.items():
            fits = self.weights.fits({*held, model}, self.slots.occupied())
            if not ordered_s and fits:
                return Order(LOAD_MODEL, model, "", 0)
        return None

    def can_hold(self, request: AdmissionRequest) -> bool:
        """Return whether the engine can hold what a request needs.

        Other adapters may be unloaded for it, but models stay where they are.
        """
        adapters = {adapter_key(request)} if request.adapter else ()
        if adapters and self.slots.capacity < 1:
            return False
        models = {request.model, *self._models, *self._model_ordered_s}
        return self.weights.fits(models, adapters)

    def used_mb(self) -> float:
        """Return the memory that counts as used, as far as sizes are stated."""
        models = {*self._models, *self._model_ordered_s}
        return self.weights.used_mb(models, self.slots.occupied())

    def has_room(self, name: str, reserved: int = 0) -> bool:
        """Return whether one more adapter fits besides some that are reserved."""
        if not self.slots.has_free_slot(reserved):
            return False
        models = {*self._models, *self._model_ordered_s}
        adapters = {*self.slots.occupied(), name}
        return self.weights.fits(models, adapters, reserved)

    def _is_overfull(self) -> bool:
        """Return whether more counts as held than the engine has room for.

        Then an adapter that counts may hold no room at the engine, so that its load
        would exceed it.
        """
        return self.slots.is_overfull() or self.used_mb() > self.weights.limit_mb()

    def load_count(self) -> int:
        """Return how many adapter loads are in transit."""
        return len(self.loads.in_transit())

    def is_busy(self) -> bool:
        """Return whether an order has not been completed yet."""
        return bool(
            self.loads.in_transit()
            or self._unload_ordered_s
            or self._replacement_ordered_s
            or self._model_ordered_s
        )

    def is_ready(self, request: AdmissionRequest) -> bool:
        """Return whether the model and adapter of a request are loaded."""
        if request.model not in self._models:
            return False
        if not request.adapter:
            return True
        name = adapter_key(request)
        if self.slots.state(name) != "resident":
            return False
        if name in self._replacement_ordered_s or name in self._unload_ordered_s:
            return False
        return self.versions.get(name, 0) >= self._newest_versions.get(name, 0)

    def request_model_load(self, request: AdmissionRequest) -> None:
        """Have the requested model loaded if the engine holds no model."""
        is_empty = not self._models and not self._model_ordered_s
        if self.has_report and is_empty and self.can_hold(request):
            self._model_ordered_s[request.model] = 0.0

    def _request_model_load_from_disk(self) -> None:
        """Have the previous model of an empty engine loaded before the first request.

        After a restart of engine and agent, only the engine's disk shows which model it
        held, and loading takes longer than the restart of the hosts. An engine with
        several models on its disk waits for the first request.
        """
        if self._models or self._model_ordered_s or len(self._on_disk) != 1:
            return
        (model,) = self._on_disk
        self._model_ordered_s[model] = 0.0

    def order_for(
        self,
        request: AdmissionRequest,
        wanted: Collection[str],
        now_s: float,
    ) -> Order | None:
        """Return the next order that a waiting request needs, or None.

        The ``wanted`` adapters are not unloaded for it.
        """
        if request.model not in self._models:
            self.request_model_load(request)
            return None
        name = adapter_key(request)
        if not request.adapter or self.is_ready(request):
            return None
        if self.loads.is_unanswered(name) and not self._is_overfull():
            return Order(
                LOAD, request.model, request.adapter, self._newest_versions.get(name, 0)
            )
        if name in self.loads.in_transit():
            return None
        if not self.loads.can_load(name) or name in self._replacement_ordered_s:
            return None
        if name in self._unload_ordered_s:
            return None
        newest = self._newest_versions.get(name, 0)
        if self.slots.state(name) == "resident":
            # The engine accepts no other order while a replacement waits for runs.
            if self.slots.pins(name):
                return None
            if not self._is_overfull():
                return Order(LOAD, request.model, request.adapter, newest)
        reserved = self._late_orders.count_valid(self.mark(), now_s)
        if self.has_room(name, reserved):
            return Order(LOAD, request.model, request.adapter, newest)
        if not self.can_hold(request):
            return None
        excluded = {*wanted, *self._unload_ordered_s}
        victim = self.slots.victim(excluded, now_s)
        if victim is None:
            return None
        model, _, adapter = victim.partition("/")
        return Order(UNLOAD, model, adapter, 0)

    def mark(self) -> OrderMark:
        """Return what an order that is sent now relies on."""
        return OrderMark(self._incarnation, self.order_count)

    def record_outcome(
        self,
        order: Order,
        outcome: str,
        now_s: float,
        mark: OrderMark | None = None,
    ) -> None:
        """Update the state with the outcome of an order, and its mark when sent.

        A restart may have been seen since the order was sent.
        """
        name = f"{order.model}/{order.adapter}"
        mark = mark or self.mark()
        if order.kind == LOAD and outcome == NO_ANSWER:
            self._late_orders.note_unanswered(mark, now_s)
            if mark.incarnation != self._incarnation:
                return
        if outcome == ACCEPTED:
            self._discard_unanswered(name)
        if order.kind == LOAD_MODEL:
            if outcome in (ACCEPTED, COMPLETED):
                self._model_ordered_s[order.model] = now_s
            return
        if order.kind == UNLOAD:
            if outcome == COMPLETED:
                self.slots.drop(name)
                self.versions.pop(name, None)
            elif outcome in (ACCEPTED, NO_ANSWER):
                self._unload_ordered_s[name] = now_s
            if outcome == NO_ANSWER:
                self._unanswered_unloads.add(name)
            return
        if outcome == CONFLICT:
            return
        if outcome not in (ACCEPTED, COMPLETED, NO_ANSWER):
            return
        if self.slots.state(name) == "resident":
            if outcome != NO_ANSWER:
                self._replacement_ordered_s[name] = now_s
            return
        if outcome == NO_ANSWER:
            self.loads.note_unanswered(name, mark.order_count, now_s)
        else:
            self.loads.note_ordered(name, now_s)

    def _discard_unanswered(self, accepted: str) -> None:
        """Discard the unanswered orders, which an accepted order has made void."""
        for unanswered in self._unanswered_unloads:
            self._unload_ordered_s.pop(unanswered, None)
        self._unanswered_unloads.clear()
        self.loads.discard_unanswered(accepted)

    def is_outdated(self, report: EngineReport, now_s: float) -> bool:
        """Return whether the engine has made a report before the last one.

        It may be a second copy of an earlier answer. An engine that does not state when
        it started shows a restart only by its count of orders. After a restart with the
        clock set back, the earlier reports cease and the later ones are believed.
        """
        if not self.has_report or not report.started_at_ms:
            return False
        newest = (self._started_at_ms, self.order_count)
        is_earlier = (report.started_at_ms, report.order_count) < newest
        return is_earlier and now_s - self._reported_at_s <= MAX_DOUBT_S

    def apply_report(self, report: EngineReport, now_s: float) -> bool:
        """Update the state from a report; return whether the engine has restarted.

        A report that is outdated changes nothing.
        """
        if self.is_outdated(report, now_s):
            return False
        restarted = self.has_report and (
            report.started_at_ms != self._started_at_ms
            or report.order_count < self.order_count
        )
        if restarted:
            self._reset()
        self.has_report = True
        self._reported_at_s = now_s
        self._started_at_ms = report.started_at_ms
        self.order_count = report.order_count
        self._models = set(report.models)
        was_on_disk, self._on_disk = self._on_disk, report.on_disk
        longest_s = 3 * max(MODEL_LOAD_S, self._model_load_s)
        for model, ordered_s in list(self._model_ordered_s.items()):
            if model in self._models and ordered_s:
                self._note_model_load(now_s - ordered_s, model in was_on_disk)
            late = ordered_s and now_s - ordered_s > longest_s
            if model in self._models or late:
                del self._model_ordered_s[model]
        self._apply_adapters(report, now_s)
        self._request_model_load_from_disk()
        return restarted

    def _apply_adapters(self, report: EngineReport, now_s: float) -> None:
        """Update the places for adapters from a report.

        Until the engine accepts another order, what it holds and loads only becomes
        less. A copy with the current count of orders thus lists at least what occupies
        a place now, and the engine rejects an order that names an outdated count.
        """
        reported = {
            f"{model}/{adapter}": version
            for model, adapters in report.models.items()
            for adapter, version in adapters.items()
        }
        pending = {item.partition("@")[0] for item in report.pending}
        for name, version in reported.items():
            loaded = self.loads.note_resident(name, now_s)
            if not loaded and self.slots.state(name) is None:
                self.slots.adopt(name)
            self.versions[name] = version
        for name in pending:
            self.loads.note_pending(name, now_s)
        held = reported.keys() | pending
        self.loads.resolve_unanswered(report.order_count, pending)
        self.loads.drop_lost_loads(pending, now_s)
        for name, ordered_s in list(self._replacement_ordered_s.items()):
            done = self.versions.get(name, 0) >= self._newest_versions.get(name, 0)
            lost = name not in pending and now_s - ordered_s > LOAD_LOST_AFTER_S
            if done or lost or name not in held:
                del self._replacement_ordered_s[name]
        for name, ordered_s in list(self._unload_ordered_s.items()):
            if name not in reported or now_s - ordered_s > UNLOAD_TIMEOUT_S:
                del self._unload_ordered_s[name]
        for name in list(self.slots.resident()):
            if name not in held and name not in self._replacement_ordered_s:
                self.slots.drop(name)
                self.versions.pop(name, None)

    def _reset(self) -> None:
        """Clear the state of the engine before its restart and reload its models."""
        self.slots.clear()
        self._incarnation += 1
        self.versions.clear()
        self.loads.clear()
        self._unload_ordered_s.clear()
        self._unanswered_unloads.clear()
        self._replacement_ordered_s.clear()
        self._model_ordered_s = {model: 0.0 for model in self._models}


__all__ = ["EngineState", "adapter_key"]
