"""The metrics of an agent."""

from damaskvalve_agent._permits._admission import AdmissionController
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
            {"permit_wait": "time from the ask to the permit"},
            {
                "running": admission.running_count,
                "waiting": lambda: len(admission.waiting()),
                "loads": admission.load_count,
                "adapters": lambda: len(admission.slots.resident()),
                "log_lines_dropped": lambda: log.dropped_total,
            },
            MAX_EARLY_RECORDS,
        )

    def count_request(self, outcome: str, waited_s: float) -> None:
        """Count a permit request by outcome: granted, busy or expired."""
        self._metrics.count("asks", outcome=outcome)
        if outcome == GRANTED:
            self._metrics.time("permit_wait", waited_s)

    def count_order(self, order: Order, outcome: str) -> None:
        """Count an order to the engine by kind and outcome."""
        self._metrics.count("orders", order=order.kind, outcome=outcome)

    def render(self) -> bytes:
        """Return all values as text; the first call imports the metrics library."""
        return self._metrics.render()
