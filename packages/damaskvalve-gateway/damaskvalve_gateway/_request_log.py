"""The fields of the log line that describes one request."""

from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import CallerRequest

# Log lines list this many parts of a prompt.
MAX_LOGGED_PARTS = 32


def request_outcome(exchange: Exchange, now_s: float) -> str:
    """Return how a request has ended."""
    if exchange.outcome:
        return exchange.outcome
    if not exchange.responder.finished:
        return "not-answered"
    return "late" if exchange.is_late(now_s) else "answered"


def parts_text(request: CallerRequest) -> str:
    """Return the first parts of a prompt, separated by blanks."""
    return " ".join(request.prompt_parts[:MAX_LOGGED_PARTS])


def request_fields(exchange: Exchange, now_s: float) -> dict[str, object]:
    """Return what is logged of a request, its sends and its times."""
    request, first_s = exchange.request, exchange.first_event_s
    return {
        "request": request.request_id,
        "fingerprint": exchange.fingerprint,
        "route": exchange.route.name,
        "workspace": exchange.workspace.name if exchange.workspace else "",
        "backend": exchange.backend_id,
        "software_version": exchange.backend_version,
        "resumes": request.resumes,
        "adapter": request.adapter,
        "parts": parts_text(request),
        "outcome": request_outcome(exchange, now_s),
        "sends": exchange.attempts,
        "runs": exchange.runs,
        "waited_s": round(exchange.waited_s, 4),
        "first_event_s": round(first_s - exchange.arrived_s, 4) if first_s else "",
        "longest_pause_s": round(exchange.longest_pause_s, 4),
        "took_s": round(now_s - exchange.arrived_s, 4),
        "tokens": (request.prompt_tokens or 0) + request.output_tokens,
    }
