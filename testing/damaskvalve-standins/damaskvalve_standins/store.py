"""A stand-in for the weight store, with a rate limit."""

import argparse
import threading
import time

from damaskvalve_standins._server import Handler, serve


class Store:
    """Counts loads and how often they came faster than allowed."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._at_s = time.monotonic()
        self._lock = threading.Lock()
        self.figures = {"loads": 0, "over_rate": 0}

    def take(self) -> bool:
        """Count one load; False if it came over the rate."""
        with self._lock:
            now_s = time.monotonic()
            added = (now_s - self._at_s) * self._rate_per_s
            self._level = min(self._burst, self._level + added)
            self._at_s = now_s
            self.figures["loads"] += 1
            if self._level < 1:
                self.figures["over_rate"] += 1
                return False
            self._level -= 1
            return True


def main() -> None:
    """Run one stand-in store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--burst", type=float, default=4.0)
    arguments = parser.parse_args()
    store = Store(arguments.rate, arguments.burst)

    def figures(handler: Handler) -> None:
        handler.send_json(200, store.figures)

    def weights(handler: Handler) -> None:
        if store.take():
            handler.send_whole(200, "application/octet-stream", b"weights")
        else:
            handler.send_json(429, {"error": "over the store's rate"})

    serve(arguments.listen, {"/standin/figures": figures}, weights)


if __name__ == "__main__":
    main()
