"""A stand-in for the weight store, with a rate limit on loads."""

import argparse
import threading
import time

from damaskvalve_standins._server import Handler, serve


class Store:
    """A token bucket that counts all loads and the loads refused as over the rate."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = time.monotonic()
        self._lock = threading.Lock()
        self.counters = {"loads": 0, "over_rate": 0}

    def admit_load(self) -> bool:
        """Count one load and return whether it is within the rate."""
        with self._lock:
            now_s = time.monotonic()
            refill = (now_s - self._updated_s) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + refill)
            self._updated_s = now_s
            self.counters["loads"] += 1
            if self._tokens < 1:
                self.counters["over_rate"] += 1
                return False
            self._tokens -= 1
            return True


def main() -> None:
    """Run one stand-in store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--burst", type=float, default=4.0)
    arguments = parser.parse_args()
    store = Store(arguments.rate, arguments.burst)

    def counters(handler: Handler) -> None:
        handler.send_json(200, store.counters)

    def weights(handler: Handler) -> None:
        if store.admit_load():
            handler.send_body(200, "application/octet-stream", b"weights")
        else:
            handler.send_json(429, {"error": "load rate of the weight store exceeded"})

    serve(arguments.listen, {"/standin/figures": counters}, weights)


if __name__ == "__main__":
    main()
