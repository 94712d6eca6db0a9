"""A stand-in for a plain HTTP service that counts how often each call ran."""

import argparse
import json
import os
import socket
import threading
import time
import uuid

from damaskvalve_standins._server import Handler, serve
from damaskvalve_standins.engine import CRASH_MARKER


class Service:
    """Counts runs by the text of the body and injects faults."""

    def __init__(self) -> None:
        self.start_id = uuid.uuid4().hex
        self.lock = threading.Lock()
        # Runs by the text of the body.
        self.runs: dict[str, int] = {}
        self.received: list[str] = []
        # Faults to inject, by kind: "lose_answer", "crash" and "cross_ids" apply to one
        # call, "delay_s" to all calls until it is reset.
        self.faults: dict[str, float] = {}

    def run(self, handler: Handler) -> None:
        """Run one call and count it under the text of its body."""
        body = handler.read_body()
        text = body.decode("utf-8", "replace")
        with self.lock:
            self.received.append(f"{handler.path} {dict(handler.headers)} {text}")
            self.runs[text] = self.runs.get(text, 0) + 1
            run_count = self.runs[text]
        if CRASH_MARKER in text:
            os._exit(1)
        time.sleep(self.faults.get("delay_s", 0.0))
        if self.faults.pop("lose_answer", 0):
            handler.connection.shutdown(socket.SHUT_RDWR)
            return
        if self.faults.pop("crash", 0):
            os._exit(1)
        document = {"ran": text, "times": run_count, "method": handler.command}
        request_id = handler.headers.get("X-Request-Id", "")
        if self.faults.pop("cross_ids", 0):
            request_id = uuid.uuid4().hex
        handler.send_json(200, document, X_Request_Id=request_id)


def main() -> None:
    """Run one stand-in service."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    arguments = parser.parse_args()
    service = Service()

    def health(handler: Handler) -> None:
        handler.send_json(200, {"start_id": service.start_id})

    def faults(handler: Handler) -> None:
        service.faults.update(json.loads(handler.read_body()))
        handler.send_json(200, service.faults)

    def runs(handler: Handler) -> None:
        handler.send_json(200, service.runs)

    def received(handler: Handler) -> None:
        handler.send_json(200, service.received)

    routes = {
        "/health": health,
        "/standin/faults": faults,
        "/standin/runs": runs,
        "/standin/seen": received,
    }
    serve(arguments.listen, routes, service.run)


if __name__ == "__main__":
    main()
