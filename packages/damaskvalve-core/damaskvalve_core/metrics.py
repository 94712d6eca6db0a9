"""OpenTelemetry instruments of a process, rendered in the Prometheus text format.

Importing the library takes much of the start-up time on a small host, so it is loaded
once the process serves requests. Values recorded earlier are buffered until then.
"""

import collections
import threading
from collections.abc import Callable, Mapping
from typing import Any

# Bucket bounds of the latency histograms. They include the latency objectives of the
# users' routes (0.15, 0.25 and 1 s); the last but one is the longest deadline.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 30.0)

CONTENT_TYPE = "text/plain; version=0.0.4"

#: Returns the current value of a gauge; called when the metrics are collected.
GaugeReader = Callable[[], float]


# Maximum number of values buffered until the library is loaded, about 200 bytes each.
MAX_EARLY_RECORDS = 10_000


class ProcessMetrics:
    """Counters, latency histograms and gauges of one process."""

    def __init__(
        self,
        process: str,
        counters: Mapping[str, str],
        latencies: Mapping[str, str],
        gauges: Mapping[str, GaugeReader],
        max_early_records: int = MAX_EARLY_RECORDS,
    ) -> None:
        self._process = process
        self._descriptions = {**counters, **latencies}
        self._latency_names = frozenset(latencies)
        self._gauges = gauges
        self._lock = threading.Lock()
        self._early_records: collections.deque[tuple[str, float, Mapping[str, str]]] = (
            collections.deque(maxlen=max_early_records)
        )
        self._instruments: dict[str, Any] | None = None
        self._registry: Any = None

    def count(self, name: str, amount: int = 1, /, **labels: str) -> None:
        """Increment a counter."""
        self._record(name, amount, labels)

    def time(self, name: str, took_s: float, **labels: str) -> None:
        """Record a duration in a latency histogram."""
        self._record(name, took_s, labels)

    def _record(self, name: str, value: float, labels: Mapping[str, str]) -> None:
        if self._instruments is None:
            self._early_records.append((name, value, labels))
        elif name in self._latency_names:
            self._instruments[name].record(value, labels)
        else:
            self._instruments[name].add(value, labels)

    def load(self) -> None:
        """Load the library and record the buffered values."""
        with self._lock:
            if self._instruments is not None:
                return
            self._instruments = self._make_instruments()
        while self._early_records:
            self._record(*self._early_records.popleft())

    def _make_instruments(self) -> dict[str, Any]:
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.resources import Resource
        from prometheus_client import CollectorRegistry

        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        names = {"service.name": "damaskvalve", "host.name": self._process}
        provider = MeterProvider(metric_readers=[reader], resource=Resource(names))
        meter = provider.get_meter("damaskvalve")
        instruments: dict[str, Any] = {}
        for name, description in self._descriptions.items():
            full_name = f"damaskvalve_{name}"
            if name in self._latency_names:
                instruments[name] = meter.create_histogram(
                    full_name,
                    unit="s",
                    description=description,
                    explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
                )
            else:
                instruments[name] = meter.create_counter(
                    full_name, description=description
                )
        for name, read_gauge in self._gauges.items():
            meter.create_observable_gauge(
                f"damaskvalve_{name}", callbacks=[_observation_callback(read_gauge)]
            )
        return instruments

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        self.load()
        text: bytes = generate_latest(self._registry)
        return text


def _observation_callback(read_gauge: GaugeReader) -> Callable[[Any], list[Any]]:
    def read(options: Any) -> list[Any]:
        from opentelemetry.metrics import Observation

        return [Observation(read_gauge())]

    return read
