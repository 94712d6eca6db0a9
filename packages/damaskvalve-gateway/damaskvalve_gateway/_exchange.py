"""State of one request while the gateway serves it."""

from damaskvalve_core.http import BufferReservation, Responder
from damaskvalve_gateway._model import (
    STREAMING,
    CallerRequest,
    ForwardingFields,
    Route,
    Service,
    Workspace,
)


class Exchange:
    """A request, its route, workspace and deadline, and its attempts so far."""

    __slots__ = (
        "request",
        "route",
        "workspace",
        "service",
        "responder",
        "arrived_s",
        "deadline_s",
        "fingerprint",
        "tried_instances",
        "attempts",
        "runs",
        "last_event_id",
        "software_version",
        "first_event_s",
        "last_event_s",
        "longest_pause_s",
        "waited_s",
        "backend_id",
        "backend_version",
        "outcome",
        "reply_buffer",
    )
    # What is buffered of the replies to this request; set before the first attempt.
    reply_buffer: BufferReservation

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        workspace: Workspace | None,
        service: Service,
        responder: Responder,
        arrived_s: float,
        fingerprint: str,
    ) -> None:
        self.request = request
        self.route = route
        self.workspace = workspace
        self.service = service
        self.responder = responder
        self.arrived_s = arrived_s
        left_s = route.timeout_s
        if request.deadline_s is not None:
            left_s = min(left_s, request.deadline_s)
        self.deadline_s = arrived_s + left_s
        # Identifies the request if the caller sends it again under another id.
        self.fingerprint = fingerprint
        # Ids of the instances that the request was sent to.
        self.tried_instances: set[str] = set()
        # Number of times that the request was sent.
        self.attempts = 0
        # Number of attempts that may have run.
        self.runs = 0
        # Id of the newest event that the caller has; None if it has none with an id.
        self.last_event_id = request.last_event_id
        # Software version that wrote the caller's events; None if it has none.
        self.software_version: str | None = None
        # Time of the first event; None before it arrives.
        self.first_event_s: float | None = None
        self.last_event_s = 0.0
        self.longest_pause_s = 0.0
        # Time that the request waited at engines for its permits.
        self.waited_s = 0.0
        # Id of the instance of the last attempt; empty before the first.
        self.backend_id = ""
        # Software version of that instance.
        self.backend_version = ""
        # Empty unless the deadline has passed or this host stops.
        self.outcome = ""

    def left_s(self, now_s: float) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - now_s

    def run_deadline_s(self) -> float:
        """Return when backend servers stop working on the request."""
        caller_left_s = self.request.deadline_s
        if caller_left_s is None:
            caller_left_s = self.route.timeout_s
        return self.arrived_s + caller_left_s

    def is_resumable_stream(self) -> bool:
        """Return whether the caller may resume the reply after it broke off."""
        return self.route.kind == STREAMING and self.route.resumable

    def may_run_again(self) -> bool:
        """Return whether another run is allowed after one that broke or failed."""
        return self.route.is_repeatable() and self.runs < self.route.max_attempts

    def note_events(self, now_s: float) -> None:
        """Record the time at which events arrive."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    def is_late(self, now_s: float) -> bool:
        """Return whether the reply missed the objective or pause limit of its route."""
        first_s = self.first_event_s if self.first_event_s is not None else now_s
        if first_s - self.arrived_s > self.route.objective_s:
            return True
        pause_s = self.route.pause_s
        return pause_s is not None and self.longest_pause_s > pause_s

    def forwarding_fields(
        self, instance_id: str, adapter_version: int, now_s: float
    ) -> ForwardingFields:
        """Return the fields that the gateway adds to the request for an instance."""
        workspace = self.workspace
        priority: int | None = None
        if self.service.engine is not None:
            priority = self.route.priority
            if workspace is not None and workspace.priority is not None:
                priority = workspace.priority
        return ForwardingFields(
            instance_id,
            max(0.001, self.run_deadline_s() - now_s),
            workspace.name if workspace else "",
            priority,
            adapter_version,
            self.last_event_id,
        )
