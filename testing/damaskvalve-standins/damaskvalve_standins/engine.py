"""A stand-in model engine with adapter slots, loads, batched steps and faults.

The generated text depends only on adapter and position, so that tests detect an
answer that was resumed wrongly or swapped with another: token ``i`` of adapter
``a@1`` is ``a@1#i``. A prompt that ends in such a token is continued after it.
"""

import argparse
import json
import os
import re
import threading
import time
import uuid
from typing import Any

import urllib3

from damaskvalve_standins._server import Handler, serve

CRASH_MARKER = "CRASH-THE-ENGINE"
_TOKEN = re.compile(r"(\S+)#(\d+)\s*$")


class Engine:
    """Adapter slots, running requests, counters and injected faults."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        # Changes with each restart, also a simulated one.
        self.start_id = uuid.uuid4().hex
        self.lock = threading.Lock()
        self.loaded: set[str] = set()
        self.loading = 0
        # Running requests by adapter.
        self.running: dict[str, int] = {}
        self.highest_fencing_number = 0
        # Faults to inject, by kind: "cross_ids", "wrong_adapter" and "truncate_at"
        # apply to one request, "fail_load" (an adapter or "*") until it is reset.
        self.faults: dict[str, Any] = {}
        self.counters = {
            "loads": 0,
            "requests": 0,
            "max_loading": 0,
            "bad_evictions": 0,
        }
        self.received: list[str] = []
        self.fencing_numbers: list[int] = []

    def record_request(self, handler: Handler, body: bytes) -> None:
        """Record a received request, so that tests can search it for API keys.

        Only the last 2000 requests are kept.
        """
        with self.lock:
            self.received.append(f"{handler.path} {dict(handler.headers)} {body!r}")
            del self.received[:-2000]

    def accepts_fencing_number(self, handler: Handler) -> bool:
        """Record a request's fencing number; return whether the engine accepts it.

        An engine that checks fencing numbers refuses one below the highest so far.
        """
        number = int(handler.headers.get("X-Fencing-Number") or 0)
        with self.lock:
            self.fencing_numbers.append(number)
            if not self.arguments.checks_fencing:
                return True
            if number < self.highest_fencing_number:
                return False
            self.highest_fencing_number = number
            return True

    def load(self, name: str) -> tuple[int, str]:
        """Load an adapter; return an HTTP status and a message.

        More than eight loads at once slow each other down.
        """
        with self.lock:
            if name in self.loaded:
                return 400, "adapter already loaded"
            if len(self.loaded) + self.loading >= self.arguments.slots:
                return 400, "no free slot"
            self.loading += 1
            in_flight = self.loading
            self.counters["max_loading"] = max(self.counters["max_loading"], in_flight)
        try:
            if not self._fetch_weights(name):
                return 500, "weights could not be read"
            time.sleep(self.arguments.load_s * max(1.0, in_flight / 8))
            if self.faults.get("fail_load") in (name, "*"):
                return 500, "load failed"
            with self.lock:
                self.loaded.add(name)
                self.counters["loads"] += 1
            return 200, "loaded"
        finally:
            with self.lock:
                self.loading -= 1

    def _fetch_weights(self, name: str) -> bool:
        if not self.arguments.store:
            return True
        response = urllib3.request(
            "GET", f"http://{self.arguments.store}/weights/{name}", retries=False
        )
        return response.status == 200

    def unload(self, name: str) -> tuple[int, str]:
        """Unload an adapter; return an HTTP status and a message.

        Count a bad eviction if a request is using the adapter.
        """
        with self.lock:
            if name not in self.loaded:
                return 400, "adapter not loaded"
            if self.running.get(name):
                self.counters["bad_evictions"] += 1
            self.loaded.discard(name)
        return 200, "unloaded"

    def step_s(self) -> float:
        """Return the duration of one step; each running request adds 1 percent."""
        batch = sum(self.running.values())
        return float(self.arguments.token_s) * (1 + 0.01 * batch)


def _order_route(engine: Engine, perform: Any) -> Any:
    def handle(handler: Handler) -> None:
        body = handler.read_body()
        engine.record_request(handler, body)
        if not engine.accepts_fencing_number(handler):
            handler.send_json(
                409, {"error": "fencing number is older than one seen before"}
            )
            return
        status, text = perform(json.loads(body)["lora_name"])
        handler.send_json(status, {"message": text})

    return handle


def _first_token_number(prompt: str, name: str) -> int:
    found = _TOKEN.search(prompt)
    if found and found.group(1) == name:
        return int(found.group(2)) + 1
    return 0


def _completion_route(engine: Engine, chat: bool) -> Any:
    def handle(handler: Handler) -> None:
        body = handler.read_body()
        engine.record_request(handler, body)
        if not engine.accepts_fencing_number(handler):
            handler.send_json(
                409, {"error": "fencing number is older than one seen before"}
            )
            return
        payload = json.loads(body)
        if CRASH_MARKER in body.decode():
            os._exit(1)
        name = payload["model"]
        with engine.lock:
            engine.counters["requests"] += 1
            is_known = name in engine.loaded or name == engine.arguments.model
            if is_known:
                engine.running[name] = engine.running.get(name, 0) + 1
        if not is_known:
            handler.send_json(404, {"error": f"unknown adapter {name}"})
            return
        try:
            _send_completion(engine, handler, payload, name, chat)
        finally:
            with engine.lock:
                engine.running[name] -= 1

    return handle


def _read_prompt(payload: Any) -> str:
    if "messages" in payload:
        return str(payload["messages"][-1]["content"])
    return str(payload["prompt"])


def _send_completion(
    engine: Engine, handler: Handler, payload: Any, name: str, chat: bool
) -> None:
    request_id = handler.headers.get("X-Request-Id") or uuid.uuid4().hex
    if engine.faults.pop("cross_ids", None):
        request_id = uuid.uuid4().hex
    model = engine.faults.pop("wrong_adapter", None) or name
    prompt = _read_prompt(payload)
    count = int(payload.get("max_tokens") or 16)
    start = _first_token_number(prompt, name)
    prefix = "chatcmpl-" if chat else "cmpl-"
    base = {"id": f"{prefix}{request_id}", "model": model, "object": "chunk"}
    if not payload.get("stream"):
        texts = []
        for position in range(start, start + count):
            time.sleep(engine.step_s())
            texts.append(f" {name}#{position}")
        choice = {"index": 0, "text": "".join(texts), "finish_reason": "length"}
        handler.send_json(200, {**base, "choices": [choice]})
        return
    handler.start_stream()
    truncate_at = engine.faults.get("truncate_at")
    for position in range(start, start + count):
        if engine.arguments.token_s:
            time.sleep(engine.step_s())
        if truncate_at is not None and position >= truncate_at:
            engine.faults.pop("truncate_at", None)
            handler.send_chunk(b"")
            return
        text = f" {name}#{position}"
        part = {"delta": {"content": text}} if chat else {"text": text}
        choice = {"index": 0, "finish_reason": None, **part}
        handler.send_chunk(_event({**base, "choices": [choice]}))
    last = {"index": 0, "finish_reason": "length", "text": "", "delta": {}}
    usage = {"prompt_tokens": len(prompt) // 4 + 1, "completion_tokens": count}
    handler.send_chunk(_event({**base, "choices": [last], "usage": usage}))
    handler.send_chunk(b"data: [DONE]\n\n")
    handler.send_chunk(b"")


def _event(document: Any) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _control_routes(engine: Engine) -> dict[str, Any]:
    def health(handler: Handler) -> None:
        handler.send_json(200, {"start_id": engine.start_id})

    def faults(handler: Handler) -> None:
        engine.faults.update(json.loads(handler.read_body()))
        handler.send_json(200, engine.faults)

    def restart(handler: Handler) -> None:
        with engine.lock:
            engine.loaded.clear()
            engine.start_id = uuid.uuid4().hex
        handler.send_json(200, {"start_id": engine.start_id})

    def counters(handler: Handler) -> None:
        with engine.lock:
            document = {
                **engine.counters,
                "loaded": sorted(engine.loaded),
                "running": sum(engine.running.values()),
                "fences": engine.fencing_numbers[-50:],
            }
        handler.send_json(200, document)

    def received(handler: Handler) -> None:
        handler.send_json(200, engine.received)

    return {
        "/health": health,
        "/standin/faults": faults,
        "/standin/restart": restart,
        "/standin/figures": counters,
        "/standin/seen": received,
    }


def main() -> None:
    """Run one stand-in engine."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--model", default="base")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--load-s", type=float, default=0.05)
    parser.add_argument("--token-s", type=float, default=0.002)
    parser.add_argument("--store", default="")
    parser.add_argument("--checks-fencing", action="store_true")
    arguments = parser.parse_args()
    engine = Engine(arguments)
    routes = {
        "/v1/completions": _completion_route(engine, chat=False),
        "/v1/chat/completions": _completion_route(engine, chat=True),
        "/v1/load_lora_adapter": _order_route(engine, engine.load),
        "/v1/unload_lora_adapter": _order_route(engine, engine.unload),
        **_control_routes(engine),
    }
    serve(arguments.listen, routes, None)


if __name__ == "__main__":
    main()
