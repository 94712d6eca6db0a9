"""Reads the requests for permits that hosts send."""

from damaskvalve_agent._permits._types import AdmissionRequest
from damaskvalve_core.messages import AdmitRequest

# Used for routes that set no longest pause.
DEFAULT_PAUSE_S = 0.25
# A request that still waits with less time than this left cannot meet its deadline.
MIN_REMAINING_S = 0.2
# Its run is not taken to need more than this share of the time that it came with: the
# runs before it may be of another kind.
MAX_RUN_SHARE = 0.5
# Fields that a host may leave out, or that the agent does not use.
_UNUSED_FIELDS = frozenset(
    ("workspace", "pause_s", "aim_s", "model_load_s", "streams")
    + ("weights_mb", "model_sizes")
)


def missing_fields(message: AdmitRequest) -> list[str]:
    """Return the names of the fields that a request of another process lacks."""
    structs = [message] if message.limits is None else [message, message.limits]
    return [
        name
        for struct in structs
        for name in struct.__slots__
        if getattr(struct, name) is None and name not in _UNUSED_FIELDS
    ]


def read_request(message: AdmitRequest, now_s: float) -> AdmissionRequest:
    """Return a request that arrives now; the message lacks no field that is needed."""
    return AdmissionRequest(
        message.request_id,
        message.model,
        message.adapter,
        message.version,
        message.prompt_tokens,
        message.output_tokens,
        message.priority,
        now_s + message.deadline_s,
        message.wait_s,
        now_s,
        message.pause_s or DEFAULT_PAUSE_S,
        now_s + (message.aim_s or 0.0),
        message.workspace or "",
        message.streams is not False,
    )


def required_s(request: AdmissionRequest, short_run_s: float) -> float:
    """Return the time that a request needs at least before its deadline.

    Nearly all runs take longer than ``short_run_s``. Little may be left of a stream
    that goes on.
    """
    if request.goes_on():
        return MIN_REMAINING_S
    allowed_s = request.deadline_s - request.arrived_at_s
    return max(MIN_REMAINING_S, min(short_run_s, MAX_RUN_SHARE * allowed_s))


__all__ = [
    "DEFAULT_PAUSE_S",
    "MIN_REMAINING_S",
    "missing_fields",
    "read_request",
    "required_s",
]
