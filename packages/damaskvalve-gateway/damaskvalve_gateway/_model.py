"""Domain model: routes, services, workspaces, requests and backend servers."""

from collections.abc import Mapping, Sequence

from damaskvalve_core.http import ServerLimits
from damaskvalve_core.messages import ModelSize
from damaskvalve_gateway._announcement import Announcement
from damaskvalve_gateway._cold import ColdRule

SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"

READY = "ready"
LEAVING = "leaving"
GONE = "gone"


class EngineSpec:
    """The capacity of the model engines of one service."""

    __slots__ = (
        "slots",
        "adapter_slots",
        "memory_tokens",
        "model_load_s",
        "weights_mb",
        "model_sizes",
    )

    def __init__(
        self,
        slots: int,
        adapter_slots: int,
        memory_tokens: int,
        model_load_s: Mapping[str, float] | None = None,
        weights_mb: float | None = None,
        model_sizes: Sequence[ModelSize] = (),
    ) -> None:
        self.slots = slots
        self.adapter_slots = adapter_slots
        self.memory_tokens = memory_tokens
        # Time to load each model from the store, as far as the configuration says it.
        self.model_load_s = model_load_s or {}
        # Memory for the weights of models and adapters together; None if unknown.
        self.weights_mb = weights_mb
        self.model_sizes = list(model_sizes)


class Service:
    """A service of identical backend servers; ``engine`` is None for plain ones."""

    __slots__ = ("name", "max_connections", "engine", "cold")

    def __init__(
        self,
        name: str,
        max_connections: int,
        engine: EngineSpec | None,
        cold: ColdRule | None = None,
    ) -> None:
        self.name = name
        # Limit for each backend server, over all of its clients.
        self.max_connections = max_connections
        self.engine = engine
        self.cold = cold


class Route:
    """Destination, deadline, objective and retry rules for a host name and prefix."""

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "timeout_s",
        "objective_s",
        "priority",
        "split",
        "max_attempts",
        "public",
        "resumable",
        "pause_s",
        "homes",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        kind: str,
        timeout_s: float,
        objective_s: float,
        priority: int,
        split: Sequence[tuple[str, float]],
        max_attempts: int,
        *,
        public: bool,
        resumable: bool,
        pause_s: float | None = None,
        homes: Sequence[str] = (),
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.timeout_s = timeout_s
        # Target time to the reply, or to the first event of a stream.
        self.objective_s = objective_s
        # 0 is the most urgent.
        self.priority = priority
        self.split = tuple(split)
        self.max_attempts = max_attempts
        self.public = public
        self.resumable = resumable
        # Longest pause between events that meets the objective; None if unlimited.
        self.pause_s = pause_s
        # Regions whose backend servers may run its requests; any if there are none.
        self.homes = tuple(homes)

    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.resumable)

    def choose_service(self, point: float) -> str:
        """Return the name of the service at a point in [0, 1) of the total weight."""
        total = sum(weight for _, weight in self.split)
        cumulative = 0.0
        for name, weight in self.split:
            cumulative += weight
            if point * total < cumulative:
                return name
        return self.split[-1][0]


class Workspace:
    """A workspace with its rate limit; a rate of 0 means unlimited."""

    __slots__ = (
        "name",
        "priority",
        "rate_per_s",
        "burst",
        "plain_tokens",
        "by_tokens",
        "homes",
    )

    def __init__(
        self,
        name: str,
        priority: int | None,
        rate_per_s: float,
        burst: float,
        plain_tokens: float,
        *,
        by_tokens: bool,
        homes: Sequence[str] = (),
    ) -> None:
        self.name = name
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
        # Cost of a request that does not declare its tokens.
        self.plain_tokens = plain_tokens
        # Whether rate and burst are in tokens; otherwise in requests.
        self.by_tokens = by_tokens
        # Regions whose backend servers may run its requests; any if there are none.
        self.homes = tuple(homes)

    def cost(self, request: "CallerRequest") -> float:
        """Return the cost of a request in units of the rate."""
        if not self.by_tokens:
            return 1.0
        if request.prompt_tokens is None:
            return self.plain_tokens
        return float(request.prompt_tokens + request.output_tokens)


class GatewayConfiguration:
    """A complete configuration, validated when it was read."""

    __slots__ = (
        "version",
        "services",
        "limits",
        "workspaces",
        "needs_keys",
        "_routes",
        "_keys",
    )

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Mapping[str, Service],
        limits: ServerLimits,
        workspaces: Mapping[str, Workspace],
        keys: Mapping[str, str],
        *,
        needs_keys: bool,
    ) -> None:
        self.version = version
        self.services = services
        self.limits = limits
        self.workspaces = workspaces
        # Whether routes that are not public require an API key. It does not follow from
        # the workspaces: after the last one is removed, no key is valid.
        self.needs_keys = needs_keys
        self._keys = keys
        self._routes: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda item: -len(item.prefix)):
            self._routes.setdefault(route.host, []).append(route)

    def longest_timeout_s(self) -> float:
        """Return the longest timeout of a route."""
        routes = (route for found in self._routes.values() for route in found)
        return max((route.timeout_s for route in routes), default=0.0)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace of an API key; None if the key is unknown."""
        name = self._keys.get(key)
        return None if name is None else self.workspaces[name]


class CallerRequest:
    """A decoded request of a caller."""

    __slots__ = (
        "request_id",
        "method",
        "target",
        "host",
        "path",
        "headers",
        "body",
        "key",
        "deadline_s",
        "model",
        "adapter",
        "prompt_tokens",
        "output_tokens",
        "_prompt_parts",
        "last_event_id",
        "resumes",
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        target: str,
        host: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        *,
        key: str = "",
        deadline_s: float | None = None,
        model: str = "",
        adapter: str = "",
        prompt_tokens: int | None = None,
        output_tokens: int = 0,
        prompt_parts: Sequence[str] = (),
        last_event_id: int | None = None,
        resumes: str = "",
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.host = host
        self.path = target.partition("?")[0]
        # Headers that are forwarded to the backend server unchanged.
        self.headers = tuple(headers)
        self.body = body
        self.key = key
        # How long the caller waits from the time at which the request was read; None if
        # the caller did not say.
        self.deadline_s = deadline_s
        self.model = model
        self.adapter = adapter
        # None if the request does not declare its tokens.
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        # A head may name a thousand parts; as one text they take no more than in it.
        self._prompt_parts = ",".join(prompt_parts)
        # Id of the last event that the caller received; None if it resumes no stream.
        self.last_event_id = last_event_id
        # Id of the request whose reply began the stream that this one resumes; empty if
        # the caller did not say.
        self.resumes = resumes

    @property
    def prompt_parts(self) -> Sequence[str]:
        """The ids of the parts of the prompt that other requests may share."""
        return tuple(self._prompt_parts.split(",")) if self._prompt_parts else ()


class ForwardingFields:
    """Fields that the gateway adds to a request for a backend server."""

    __slots__ = (
        "instance_id",
        "deadline_s",
        "workspace",
        "priority",
        "adapter_version",
        "last_event_id",
    )

    def __init__(
        self,
        instance_id: str,
        deadline_s: float,
        workspace: str,
        priority: int | None,
        adapter_version: int,
        last_event_id: int | None,
    ) -> None:
        self.instance_id = instance_id
        self.deadline_s = deadline_s
        self.workspace = workspace
        self.priority = priority
        # 0 if no particular version is required.
        self.adapter_version = adapter_version
        self.last_event_id = last_event_id


class ReplyMetadata:
    """Metadata from the head of a backend server's reply, besides its status."""

    __slots__ = (
        "request_id",
        "not_run",
        "encoded",
        "signed",
        "leaving",
        "backoff_s",
        "limit_per_s",
        "limit_readable",
        "unknown_fields",
        "unreadable_fields",
    )

    def __init__(
        self,
        request_id: str,
        *,
        not_run: bool,
        encoded: bool,
        signed: bool = True,
        leaving: bool = False,
        backoff_s: float = 0.0,
        limit_per_s: float | None = None,
        limit_readable: bool = True,
        unknown_fields: Sequence[tuple[str, str]] = (),
        unreadable_fields: Sequence[tuple[str, str]] = (),
    ) -> None:
        self.request_id = request_id
        # The backend server has not run the request and will not run it.
        self.not_run = not_run
        # The body was encoded in transit and differs from the backend server's.
        self.encoded = encoded
        # Whether it carries the backend server's signature, if the dialect has one.
        self.signed = signed
        # The backend server is leaving and accepts no further requests.
        self.leaving = leaving
        # How long an overloaded backend server asks this host to send nothing; 0 if it
        # does not.
        self.backoff_s = backoff_s
        # Requests a second that the backend server takes from all hosts together; None
        # if it states no limit.
        self.limit_per_s = limit_per_s
        # False if the value of a stated limit cannot be read. Then the reply shows
        # neither a limit nor the end of one.
        self.limit_readable = limit_readable
        # Names and values of the headers that the dialect does not know, and of those
        # whose value it cannot read.
        self.unknown_fields = tuple(unknown_fields)
        self.unreadable_fields = tuple(unreadable_fields)


__all__ = [
    "GONE",
    "LEAVING",
    "READY",
    "SAFE",
    "STREAMING",
    "UNSAFE",
    "Announcement",
    "CallerRequest",
    "EngineSpec",
    "ForwardingFields",
    "GatewayConfiguration",
    "ReplyMetadata",
    "Route",
    "Service",
    "Workspace",
]
