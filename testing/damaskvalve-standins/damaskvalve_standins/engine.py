"""A stand-in for a model engine: slots, loads, batched steps and fault switches.

Text is a function of adapter and position, so that a resumed or crossed answer
shows: token ``i`` of adapter ``a@1`` reads ``a@1#i``. A prompt that ends in such
tokens is continued.
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

CRASH_MARK = "CRASH-THE-ENGINE"
_TOKEN = re.compile(r"(\S+)#(\d+)\s*$")


class Engine:
    """Model state and the switches for faults."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.start_id = uuid.uuid4().hex
        self.lock = threading.Lock()
        self.loaded: set[str] = set()
        self.loading = 0
        self.running: dict[str, int] = {}
        self.highest_fence = 0
        self.faults: dict[str, Any] = {}
        self.figures = {"loads": 0, "requests": 0, "max_loading": 0, "bad_evictions": 0}
        self.seen: list[str] = []
        self.fences: list[int] = []

    def note_request(self, handler: Handler, body: bytes) -> None:
        """Keep everything received, for the search for keys."""
        with self.lock:
            self.seen.append(f"{handler.path} {dict(handler.headers)} {body!r}")
            del self.seen[:-2000]

    def fence_allows(self, handler: Handler) -> bool:
        """Check the fencing number of an order, if this engine checks it."""
        number = int(handler.headers.get("X-Fencing-Number") or 0)
        with self.lock:
            self.fences.append(number)
            if not self.arguments.checks_fencing:
                return True
            if number < self.highest_fence:
                return False
            self.highest_fence = number
            return True

    def load(self, name: str) -> tuple[int, str]:
        """Load an adapter, with time that grows past eight at once."""
        with self.lock:
            if name in self.loaded:
                return 400, "adapter already loaded"
            if len(self.loaded) + self.loading >= self.arguments.slots:
                return 400, "no free slot"
            self.loading += 1
            in_flight = self.loading
            self.figures["max_loading"] = max(self.figures["max_loading"], in_flight)
        try:
            if not self._fetch_weights(name):
                return 500, "weights could not be read"
            time.sleep(self.arguments.load_s * max(1.0, in_flight / 8))
            if self.faults.get("fail_load") in (name, "*"):
                return 500, "load failed"
            with self.lock:
                self.loaded.add(name)
                self.figures["loads"] += 1
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
        """Unload an adapter; one in use is counted as a broken promise."""
        with self.lock:
            if name not in self.loaded:
                return 400, "adapter not loaded"
            if self.running.get(name):
                self.figures["bad_evictions"] += 1
            self.loaded.discard(name)
        return 200, "unloaded"

    def step_s(self) -> float:
        """Return the time of one step; it grows a little with the batch."""
        batch = sum(self.running.values())
        return float(self.arguments.token_s) * (1 + 0.01 * batch)


def _order(engine: Engine, perform: Any) -> Any:
    def route(handler: Handler) -> None:
        body = handler.read_body()
        engine.note_request(handler, body)
        if not engine.fence_allows(handler):
            handler.send_json(409, {"error": "old fencing number"})
            return
        status, text = perform(json.loads(body)["lora_name"])
        handler.send_json(status, {"message": text})

    return route


def _first_position(prompt: str, name: str) -> int:
    found = _TOKEN.search(prompt)
    if found and found.group(1) == name:
        return int(found.group(2)) + 1
    return 0


def _complete(engine: Engine, chat: bool) -> Any:
    def route(handler: Handler) -> None:
        body = handler.read_body()
        engine.note_request(handler, body)
        if not engine.fence_allows(handler):
            handler.send_json(409, {"error": "old fencing number"})
            return
        payload = json.loads(body)
        if CRASH_MARK in body.decode():
            os._exit(1)
        name = payload["model"]
        with engine.lock:
            engine.figures["requests"] += 1
            known = name in engine.loaded or name == engine.arguments.model
            if known:
                engine.running[name] = engine.running.get(name, 0) + 1
        if not known:
            handler.send_json(404, {"error": f"unknown adapter {name}"})
            return
        try:
            _stream(engine, handler, payload, name, chat)
        finally:
            with engine.lock:
                engine.running[name] -= 1

    return route


def _prompt_of(payload: Any) -> str:
    if "messages" in payload:
        return str(payload["messages"][-1]["content"])
    return str(payload["prompt"])


def _stream(
    engine: Engine, handler: Handler, payload: Any, name: str, chat: bool
) -> None:
    request_id = handler.headers.get("X-Request-Id") or uuid.uuid4().hex
    if engine.faults.pop("cross_ids", None):
        request_id = uuid.uuid4().hex
    model = engine.faults.pop("wrong_adapter", None) or name
    prompt = _prompt_of(payload)
    count = int(payload.get("max_tokens") or 16)
    start = _first_position(prompt, name)
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

    def figures(handler: Handler) -> None:
        with engine.lock:
            document = {
                **engine.figures,
                "loaded": sorted(engine.loaded),
                "running": sum(engine.running.values()),
                "fences": engine.fences[-50:],
            }
        handler.send_json(200, document)

    def seen(handler: Handler) -> None:
        handler.send_json(200, engine.seen)

    return {
        "/health": health,
        "/standin/faults": faults,
        "/standin/restart": restart,
        "/standin/figures": figures,
        "/standin/seen": seen,
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
        "/v1/completions": _complete(engine, chat=False),
        "/v1/chat/completions": _complete(engine, chat=True),
        "/v1/load_lora_adapter": _order(engine, engine.load),
        "/v1/unload_lora_adapter": _order(engine, engine.unload),
        **_control_routes(engine),
    }
    serve(arguments.listen, routes, None)


if __name__ == "__main__":
    main()
