"""A load tool: sends completions from many threads and reports the times.

Prints one JSON object with quantiles in milliseconds from HDR histograms.
"""

import argparse
import http.client
import json
import sys
import threading
import time
from typing import Any

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LONGEST_US = 120 * MICROSECONDS


class Figures:
    """Times of all requests; safe to use from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.first = HdrHistogram(1, LONGEST_US, 3)
        self.gap = HdrHistogram(1, LONGEST_US, 3)
        self.whole = HdrHistogram(1, LONGEST_US, 3)
        self.statuses: dict[int, int] = {}
        self.pieces = 0
        self.tokens = 0

    def note(
        self, status: int, took_s: float, stamps_s: list[float], tokens: int
    ) -> None:
        """Record one answer and when its pieces came, since its start."""
        with self._lock:
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status != 200:
                return
            self.whole.record_value(max(1, int(took_s * MICROSECONDS)))
            if stamps_s:
                self.first.record_value(max(1, int(stamps_s[0] * MICROSECONDS)))
            for before, after in zip(stamps_s, stamps_s[1:]):
                self.gap.record_value(max(1, int((after - before) * MICROSECONDS)))
            self.pieces += len(stamps_s)
            self.tokens += tokens

    def report(self, length_s: float) -> dict[str, Any]:
        """Return the figures."""
        document: dict[str, Any] = {
            "statuses": self.statuses,
            "requests_per_s": sum(self.statuses.values()) / length_s,
            "pieces_per_s": self.pieces / length_s,
            "tokens_per_s": self.tokens / length_s,
        }
        for name in ("first", "gap", "whole"):
            histogram = getattr(self, name)
            for quantile in (50, 95, 99):
                value_us = histogram.get_value_at_percentile(quantile)
                document[f"{name}_p{quantile}_ms"] = value_us / 1000
        return document


def _one(
    connection: http.client.HTTPConnection,
    arguments: Any,
    adapter: str,
    figures: Figures,
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
    stamps_s: list[float] = []
    tokens = 0
    if arguments.stream:
        for line in response:
            if line.startswith(b"data: {") and b'"text": " ' in line:
                tokens += line.count(b"#")
                stamps_s.append(time.monotonic() - started_s)
    else:
        response.read()
    took_s = time.monotonic() - started_s
    figures.note(response.status, took_s, stamps_s, tokens)


def _worker(arguments: Any, number: int, stop_s: float, figures: Figures) -> None:
    host, _, port = arguments.address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    adapters = arguments.adapters.split(",")
    count = number
    warm_until_s = stop_s - arguments.seconds
    while time.monotonic() < stop_s:
        try:
            adapter = adapters[count % len(adapters)]
            warm = time.monotonic() < warm_until_s
            _one(connection, arguments, adapter, Figures() if warm else figures)
        except (OSError, http.client.HTTPException):
            connection.close()
            figures.note(0, 0.0, [], 0)
        count += 1
    connection.close()


def main() -> int:
    """Run the load and print the figures."""
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
    figures = Figures()
    started_s = time.monotonic()
    stop_s = started_s + arguments.warm_up_s + arguments.seconds
    threads = [
        threading.Thread(target=_worker, args=(arguments, number, stop_s, figures))
        for number in range(arguments.threads)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(
        json.dumps(figures.report(time.monotonic() - started_s - arguments.warm_up_s))
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
