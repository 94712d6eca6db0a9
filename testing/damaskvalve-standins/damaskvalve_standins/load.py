"""A load generator that sends completions from many threads.

Prints one JSON object with rates and with latency quantiles in milliseconds, taken
from HDR histograms.
"""

import argparse
import http.client
import json
import sys
import threading
import time
from typing import Any

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_S = 1_000_000
MAX_RECORDED_US = 120 * MICROSECONDS_PER_S


class LoadStatistics:
    """Latency histograms and counts of all requests; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.first = HdrHistogram(1, MAX_RECORDED_US, 3)
        self.gap = HdrHistogram(1, MAX_RECORDED_US, 3)
        self.whole = HdrHistogram(1, MAX_RECORDED_US, 3)
        # Answers by HTTP status; 0 stands for a connection error.
        self.statuses: dict[int, int] = {}
        self.chunks = 0
        self.tokens = 0

    def record(
        self, status: int, took_s: float, chunk_times_s: list[float], tokens: int
    ) -> None:
        """Record an answer; its times and tokens count only with status 200.

        The times of the chunks are relative to the start of the request.
        """
        with self._lock:
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status != 200:
                return
            self.whole.record_value(max(1, int(took_s * MICROSECONDS_PER_S)))
            if chunk_times_s:
                self.first.record_value(
                    max(1, int(chunk_times_s[0] * MICROSECONDS_PER_S))
                )
            for before, after in zip(chunk_times_s, chunk_times_s[1:]):
                self.gap.record_value(
                    max(1, int((after - before) * MICROSECONDS_PER_S))
                )
            self.chunks += len(chunk_times_s)
            self.tokens += tokens

    def summarize(self, duration_s: float) -> dict[str, Any]:
        """Return rates over a duration, and latency quantiles.

        ``requests_per_s`` includes requests that failed.
        """
        document: dict[str, Any] = {
            "statuses": self.statuses,
            "requests_per_s": sum(self.statuses.values()) / duration_s,
            "pieces_per_s": self.chunks / duration_s,
            "tokens_per_s": self.tokens / duration_s,
        }
        for name in ("first", "gap", "whole"):
            histogram = getattr(self, name)
            for quantile in (50, 95, 99):
                value_us = histogram.get_value_at_percentile(quantile)
                document[f"{name}_p{quantile}_ms"] = value_us / 1000
        return document


def _send_request(
    connection: http.client.HTTPConnection,
    arguments: Any,
    adapter: str,
    statistics: LoadStatistics,
) -> None:
    payload = {
        "model": adapter,
        "prompt": "the scroll",
        "max_tokens": arguments.max_tokens,
        "stream": arguments.stream,
    }
    headers = {"Content-Type": "application/json"}
    if arguments.key:
        headers["Authorization"] = f"Bearer {arguments.key}"
    started_s = time.monotonic()
    connection.request("POST", "/v1/completions", json.dumps(payload), headers)
    response = connection.getresponse()
    chunk_times_s: list[float] = []
    tokens = 0
    if arguments.stream:
        for line in response:
            if line.startswith(b"data: {") and b'"text": " ' in line:
                # The stand-in engine writes one "#" in each token.
                tokens += line.count(b"#")
                chunk_times_s.append(time.monotonic() - started_s)
    else:
        response.read()
    took_s = time.monotonic() - started_s
    statistics.record(response.status, took_s, chunk_times_s, tokens)


def _worker(
    arguments: Any, number: int, stop_s: float, statistics: LoadStatistics
) -> None:
    host, _, port = arguments.address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    adapters = arguments.adapters.split(",")
    request_number = number
    measure_from_s = stop_s - arguments.seconds
    while time.monotonic() < stop_s:
        try:
            adapter = adapters[request_number % len(adapters)]
            is_warming_up = time.monotonic() < measure_from_s
            _send_request(
                connection,
                arguments,
                adapter,
                LoadStatistics() if is_warming_up else statistics,
            )
        except (OSError, http.client.HTTPException):
            connection.close()
            statistics.record(0, 0.0, [], 0)
        request_number += 1
    connection.close()


def main() -> int:
    """Run the load and print its statistics."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--key", default="")
    parser.add_argument("--adapters", default="ink")
    parser.add_argument("--threads", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--warm-up-s", type=float, default=0.0)
    parser.add_argument("--max-tokens", type=int, default=32)
    parser.add_argument("--stream", action="store_true")
    arguments = parser.parse_args()
    statistics = LoadStatistics()
    started_s = time.monotonic()
    stop_s = started_s + arguments.warm_up_s + arguments.seconds
    threads = [
        threading.Thread(target=_worker, args=(arguments, number, stop_s, statistics))
        for number in range(arguments.threads)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(
        json.dumps(
            statistics.summarize(time.monotonic() - started_s - arguments.warm_up_s)
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
