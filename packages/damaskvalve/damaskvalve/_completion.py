"""The OpenAI-style forms of an answer, streamed and whole."""

import json
from typing import Any

CHAT_PATH = "/v1/chat/completions"
END_MARKER = b"data: [DONE]\n\n"


class CompletionForm:
    """Writes the parts of one answer; the caller sees its own id and model."""

    def __init__(self, request_id: str, model: str, path: str, created_s: int) -> None:
        self._chat = path == CHAT_PATH
        prefix = "chatcmpl-" if self._chat else "cmpl-"
        self._base: dict[str, Any] = {
            "id": f"{prefix}{request_id}",
            "created": created_s,
            "model": model,
        }

    def chunk(self, text: str, finish_reason: str | None) -> bytes:
        """Return one event of a stream."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["delta"] = {"content": text} if text else {}
            kind = "chat.completion.chunk"
        else:
            choice["text"] = text
            kind = "text_completion"
        document = {**self._base, "object": kind, "choices": [choice]}
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def usage(self, prompt_tokens: int, completion_tokens: int) -> bytes:
        """Return the stream's event that tells the use of tokens."""
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        document = {
            **self._base,
            "object": kind,
            "choices": [],
            "usage": _usage(prompt_tokens, completion_tokens),
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def error(self, body: bytes) -> bytes:
        """Return the event that ends a stream that failed."""
        return b"data: " + body + b"\n\n"

    def whole(
        self, text: str, finish_reason: str, prompt_tokens: int, completion_tokens: int
    ) -> bytes:
        """Return a whole answer."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
            kind = "chat.completion"
        else:
            choice["text"] = text
            kind = "text_completion"
        document = {
            **self._base,
            "object": kind,
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


def continue_body(body: bytes, text: str, tokens: int) -> bytes | None:
    """Return the request that goes on after ``text``; None if it is complete."""
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
