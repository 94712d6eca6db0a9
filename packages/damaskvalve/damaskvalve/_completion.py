"""Formats answers in the OpenAI style, streamed and complete."""

import json
from typing import Any

CHAT_PATH = "/v1/chat/completions"
END_MARKER = b"data: [DONE]\n\n"


class CompletionFormatter:
    """Formats one answer with the request id and model that the caller knows."""

    def __init__(self, request_id: str, model: str, path: str, created_s: int) -> None:
        self._chat = path == CHAT_PATH
        prefix = "chatcmpl-" if self._chat else "cmpl-"
        self._base: dict[str, Any] = {
            "id": f"{prefix}{request_id}",
            "created": created_s,
            "model": model,
        }

    def chunk(self, text: str, finish_reason: str | None) -> bytes:
        """Return a stream event with a piece of the text."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["delta"] = {"content": text} if text else {}
            object_type = "chat.completion.chunk"
        else:
            choice["text"] = text
            object_type = "text_completion"
        document = {**self._base, "object": object_type, "choices": [choice]}
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def usage(self, prompt_tokens: int, completion_tokens: int) -> bytes:
        """Return the stream event with the token usage."""
        object_type = "chat.completion.chunk" if self._chat else "text_completion"
        document = {
            **self._base,
            "object": object_type,
            "choices": [],
            "usage": _usage(prompt_tokens, completion_tokens),
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def error(self, body: bytes) -> bytes:
        """Return the event that ends a failed stream; ``body`` is a JSON document."""
        return b"data: " + body + b"\n\n"

    def completion(
        self, text: str, finish_reason: str, prompt_tokens: int, completion_tokens: int
    ) -> bytes:
        """Return the body of a complete answer."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
            object_type = "chat.completion"
        else:
            choice["text"] = text
            object_type = "text_completion"
        document = {
            **self._base,
            "object": object_type,
            "choices": [choice],
            "usage": _usage(prompt_tokens, completion_tokens),
        }
        return json.dumps(document).encode()


def _usage(prompt_tokens: int, completion_tokens: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }


def continuation_body(body: bytes, text: str, tokens: int) -> bytes | None:
    """Return the request that continues after ``text``; None if no tokens are left."""
    if not text:
        return body
    payload = json.loads(body)
    payload["max_tokens"] -= tokens
    if payload["max_tokens"] <= 0:
        return None
    if "messages" in payload:
        partial = {"role": "assistant", "content": text}
        payload["messages"] = [*payload["messages"], partial]
        payload["continue_final_message"] = True
        payload["add_generation_prompt"] = False
    else:
        payload["prompt"] += text
    return json.dumps(payload).encode()
