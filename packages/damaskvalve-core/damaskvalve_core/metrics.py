"""OpenTelemetry instruments of a process, rendered in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Counter, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

# Bounds of the latency histograms: the objectives of the users' routes (0.15, 0.25
# and 1 s) are bounds, and the longest deadline is the last but one.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 30.0)

CONTENT_TYPE = "text/plain; version=0.0.4"

#: Returns a value that is read when the metrics are collected.
Reading = Callable[[], float]


class ProcessMetrics:
    """Counters, latency histograms and gauges of one process."""

    def __init__(
        self,
        process: str,
        counters: Mapping[str, str],
        latencies: Mapping[str, str],
        gauges: Mapping[str, Reading],
    ) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource({"service.name": "damaskvalve", "host.name": process})
        provider = MeterProvider(metric_readers=[reader], resource=resource)
        meter = provider.get_meter("damaskvalve")
        self._counters: dict[str, Counter] = {
            name: meter.create_counter(f"damaskvalve_{name}", description=text)
            for name, text in counters.items()
        }
        self._latencies: dict[str, Histogram] = {
            name: meter.create_histogram(
                f"damaskvalve_{name}",
                unit="s",
                description=text,
                explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
            )
            for name, text in latencies.items()
        }
        for name, reading in gauges.items():
            meter.create_observable_gauge(
                f"damaskvalve_{name}", callbacks=[_observe(reading)]
            )

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self._counters[name].add(1, labels)

    def time(self, name: str, took_s: float, **labels: str) -> None:
        """Add a duration to a latency histogram."""
        self._latencies[name].record(took_s, labels)

    def render(self) -> bytes:
        """Return all values as text."""
        text: bytes = generate_latest(self._registry)
        return text


def _observe(reading: Reading) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def read(options: CallbackOptions) -> Sequence[Observation]:
        return [Observation(reading())]

    return read
