"""The metrics of an agent."""

from damaskvalve_agent._permits._admission import AdmissionController
from damaskvalve_agent._permits._pace import HIGH_LEVEL
from damaskvalve_agent._permits._types import Order
from damaskvalve_core import DecisionLog
from damaskvalve_core.metrics import ProcessMetrics

GRANTED = "granted"
BUSY = "busy"
EXPIRED = "expired"
# The metrics library is imported when the metrics are first read, because agents have
# little memory. Until then this many of the newest records are kept, at about 200 bytes
# each.
MAX_EARLY_RECORDS = 2_000

# Bounds of the sizes of prompts in the metrics.
SHORT_PROMPT_TOKENS = 500
LONG_PROMPT_TOKENS = 2_000


def size_of(prompt_tokens: int) -> str:
    """Return the size of a prompt for the metrics."""
    if prompt_tokens < SHORT_PROMPT_TOKENS:
        return "short"
    return "middle" if prompt_tokens < LONG_PROMPT_TOKENS else "long"


class PermitMetrics:
    """Counts permit requests and orders, and reads gauges from the controller."""

    def __init__(
        self, process: str, admission: AdmissionController, log: DecisionLog
    ) -> None:
        self._metrics = ProcessMetrics(
            process,
            {
                "asks": "requests that asked for a permit, by outcome",
                "orders": "orders to the engine, by kind and outcome",
            },
            {"permit_wait": "time from the ask to the permit, by size of the prompt"},
            {
                "running": admission.running_count,
                "waiting": lambda: len(admission.waiting()),
                "loads": admission.load_count,
                "adapters": lambda: len(admission.slots.resident()),
                "reading_tokens_per_s": lambda: 1.0 / admission.model.s_per_token,
                "event_seconds": lambda: admission.model.event_s,
                "slowdown_high": lambda: admission.model.usual_slowdown(HIGH_LEVEL),
                "log_lines_dropped": lambda: log.dropped_total,
            },
            MAX_EARLY_RECORDS,
        )

    def count_request(self, outcome: str, waited_s: float, prompt_tokens: int) -> None:
        """Count a permit request by outcome: granted, busy or expired."""
        size = size_of(prompt_tokens)
        self._metrics.count("asks", outcome=outcome, prompt=size)
        if outcome == GRANTED:
            self._metrics.time("permit_wait", waited_s, prompt=size)

    def count_order(self, order: Order, outcome: str) -> None:
        """Count an order to the engine by kind and outcome."""
        self._metrics.count("orders", order=order.kind, outcome=outcome)

    def render(self) -> bytes:
        """Return all values as text; the first call imports the metrics library."""
        return self._metrics.render()
