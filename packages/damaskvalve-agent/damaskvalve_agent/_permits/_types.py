"""Types shared by the modules of the admission control."""

from collections.abc import Collection, Mapping, Sequence

from damaskvalve_agent._permits._weight_memory import UNBOUNDED, WeightMemory

LOAD_MODEL = "load-model"
LOAD = "load"
UNLOAD = "unload"

# Outcomes of an order. COMPLETED: the engine is already in the state that was ordered.
ACCEPTED = "accepted"
COMPLETED = "holds"
CONFLICT = "conflict"
REJECTED = "rejected"
NO_ANSWER = "no-answer"
# No connection could be made, so the order is not under way either.
NOT_SENT = "not-sent"


class EngineReport:
    """The state that an engine reports."""

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
        # Distinguishes one incarnation of the engine from another.
        self.started_at_ms = started_at_ms
        # Number of orders that this incarnation has accepted.
        self.order_count = order_count
        # Version of each resident adapter, by model.
        self.models = models
        # Adapters that are being loaded, as ``model/adapter``.
        self.pending = tuple(pending)
        self.running = running
        self.queued = queued
        # Models that the engine can load from its own disk.
        self.on_disk = frozenset(on_disk)


class Order:
    """An order to load or unload a model or an adapter."""

    __slots__ = ("kind", "model", "adapter", "version")

    def __init__(self, kind: str, model: str, adapter: str, version: int) -> None:
        self.kind = kind
        self.model = model
        self.adapter = adapter
        # 0 for the newest version.
        self.version = version


class AdmissionRequest:
    """A request that asks for a permit to start at this engine."""

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
        "workspace",
        "streams",
        "overtaken_s",
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
        workspace: str = "",
        streams: bool = True,
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.adapter = adapter
        # The oldest version of the adapter that it may start on; 0 for any.
        self.version = version
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.deadline_s = deadline_s
        # A request that would wait longer than this goes to another backend server.
        self.max_wait_s = max_wait_s
        self.arrived_at_s = arrived_at_s
        # Target of its route for the longest pause between two events.
        self.max_pause_s = max_pause_s
        # When its first event has to arrive for the answer to be on time.
        self.first_event_target_s = first_event_target_s
        self.workspace = workspace
        # Whether its reply is a stream of events; a whole reply begins when it is done.
        self.streams = streams
        # Reading that has been started before it while it waited to be read.
        self.overtaken_s = 0.0

    def goes_on(self) -> bool:
        """Return whether its stream has begun; negative priorities say so."""
        return self.priority < 0

    def tokens(self) -> int:
        """Return the number of tokens that the request may need memory for."""
        return self.prompt_tokens + self.output_tokens


class EngineCapacity:
    """How many requests, adapters, tokens and weights an engine has room for."""

    __slots__ = ("slots", "adapter_slots", "memory_tokens", "weights")

    def __init__(
        self,
        slots: int,
        adapter_slots: int,
        memory_tokens: int,
        weights: WeightMemory = UNBOUNDED,
    ) -> None:
        self.slots = slots
        self.adapter_slots = adapter_slots
        self.memory_tokens = memory_tokens
        self.weights = weights
