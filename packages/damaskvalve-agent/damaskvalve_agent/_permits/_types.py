"""What the permit desk of an agent works with."""

from collections.abc import Collection, Mapping, Sequence

LOAD_MODEL = "load-model"
LOAD = "load"
UNLOAD = "unload"

# Outcomes of an order.
ACCEPTED = "accepted"
HOLDS = "holds"
CONFLICT = "conflict"
REJECTED = "rejected"
NO_ANSWER = "no-answer"


class EngineReport:
    """What the engine says of itself."""

    __slots__ = (
        "started_at_ms",
        "order_count",
        "models",
        "pending",
        "running",
        "queued",
        "on_disk",
    )

    def __init__(
        self,
        started_at_ms: int,
        order_count: int,
        models: Mapping[str, Mapping[str, int]],
        pending: Sequence[str],
        running: int,
        queued: int,
        on_disk: Collection[str] = (),
    ) -> None:
        # Tells one start of the engine from another.
        self.started_at_ms = started_at_ms
        # Orders that this start has accepted.
        self.order_count = order_count
        # The adapters of each model and their versions.
        self.models = models
        # Adapters on their way, as ``model/adapter``.
        self.pending = tuple(pending)
        self.running = running
        self.queued = queued
        # Models that it can load from its own disk.
        self.on_disk = frozenset(on_disk)


class Order:
    """One order to the engine."""

    __slots__ = ("kind", "model", "adapter", "version")

    def __init__(self, kind: str, model: str, adapter: str, version: int) -> None:
        self.kind = kind
        self.model = model
        self.adapter = adapter
        # 0 for the newest.
        self.version = version


class AdmissionRequest:
    """One request that wants to start here."""

    __slots__ = (
        "request_id",
        "model",
        "adapter",
        "version",
        "prompt_tokens",
        "output_tokens",
        "priority",
        "deadline_s",
        "max_wait_s",
        "arrived_at_s",
        "max_pause_s",
        "first_event_target_s",
    )

    def __init__(
        self,
        request_id: str,
        model: str,
        adapter: str,
        version: int,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        deadline_s: float,
        max_wait_s: float,
        arrived_at_s: float,
        max_pause_s: float,
        first_event_target_s: float,
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.adapter = adapter
        # The oldest version that it may start on; 0 for any.
        self.version = version
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.deadline_s = deadline_s
        # It goes elsewhere rather than wait longer than this.
        self.max_wait_s = max_wait_s
        self.arrived_at_s = arrived_at_s
        # The longest pause between events that its route aims at.
        self.max_pause_s = max_pause_s
        # When its first event has to come for the answer to be on time.
        self.first_event_target_s = first_event_target_s

    def tokens(self) -> int:
        """Return the memory that the request may come to need."""
        return self.prompt_tokens + self.output_tokens


class EngineCapacity:
    """The engine's sizes."""

    __slots__ = ("slots", "adapter_slots", "memory_tokens")

    def __init__(self, slots: int, adapter_slots: int, memory_tokens: int) -> None:
        self.slots = slots
        self.adapter_slots = adapter_slots
        self.memory_tokens = memory_tokens
