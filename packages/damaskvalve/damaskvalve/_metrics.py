"""OpenTelemetry metrics of a host, exposed in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

#: Returns values by label value; called when metrics are collected.
GaugeSource = Callable[[], Mapping[str, float]]


#: Returns the totals that agents report, by backend server and total name.
AgentTotals = Callable[[], Mapping[str, Mapping[str, float]]]

AGENT_TOTALS = (
    "started_requests",
    "delivered_requests",
    "cancelled_requests",
    "queued_s",
    "stalled_requests",
    "stall_s",
    "batch_requests",
    "backend_crashes",
    "backend_restarts",
)


def _select_total(totals: AgentTotals, name: str) -> GaugeSource:
    def read() -> Mapping[str, float]:
        return {server: values.get(name, 0.0) for server, values in totals().items()}

    return read


class Metrics:
    """Instruments of the request path, and gauges that read the state."""

    def __init__(self, host: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource.create({"service.name": "damaskvalve", "host.name": host})
        self._provider = MeterProvider(metric_readers=[reader], resource=resource)
        self._meter = self._provider.get_meter("damaskvalve")
        self._requests = self._meter.create_histogram(
            "damaskvalve_request", unit="s", description="time of a whole request"
        )
        self._first_token = self._meter.create_histogram(
            "damaskvalve_first_token", unit="s", description="time to first token"
        )
        self._refusals = self._meter.create_counter(
            "damaskvalve_refusals", description="refused requests by reason"
        )
        self._retries = self._meter.create_counter(
            "damaskvalve_retries", description="requests tried again elsewhere"
        )

    def record_request(self, kind: str, status: int, took_s: float) -> None:
        """Record a finished request."""
        self._requests.record(took_s, {"kind": kind, "status": str(status)})

    def record_first_token(self, took_s: float) -> None:
        """Record the time to the first chunk of an answer, or to its end."""
        self._first_token.record(took_s)

    def record_refusal(self, code: str) -> None:
        """Count one refusal."""
        self._refusals.add(1, {"code": code})

    def record_retry(self) -> None:
        """Count one retry."""
        self._retries.add(1)

    def register_gauge(self, name: str, label: str, source: GaugeSource) -> None:
        """Register a gauge with one value for each label value of the source."""

        def collect(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, {label: key}) for key, value in source().items()]

        self._meter.create_observable_gauge(f"damaskvalve_{name}", callbacks=[collect])

    def register_agent_gauges(self, totals: AgentTotals) -> None:
        """Register one gauge for each total that agents report."""
        for name in AGENT_TOTALS:
            self.register_gauge(
                f"agent_{name}", "backend_server", _select_total(totals, name)
            )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()
