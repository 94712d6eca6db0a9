"""HTTP client of the backend server; no other module of the agent calls it.

Every order and every request carries the fencing number. Answers are checked: they
must repeat the request id and the adapter, and a stream must reach its end marker.
"""

import contextlib
import json
from collections.abc import Iterator, Mapping
from typing import Any

import urllib3

from damaskvalve_agent._strict_http import StrictConnectionPool
from damaskvalve_core import (
    BufferBudget,
    BufferBudgetExceededError,
    BufferReservation,
    DamaskvalveError,
)
from damaskvalve_core.messages import WorkRequest

FENCE_HEADER = "X-Fencing-Number"
REQUEST_ID_HEADER = "X-Request-Id"
ADAPTER_HEADER = "X-Adapter"
CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Maximum size of the answer to an order or a health check.
MAX_ORDER_RESPONSE_BYTES = 64 * 1024
# Maximum size of one line of a stream.
MAX_LINE_BYTES = 1024 * 1024
_READ_BYTES = 64 * 1024
_END_MARKER = "[DONE]"


class BackendError(DamaskvalveError):
    """The backend server failed.

    ``sent`` tells whether the request may have run. ``crashed`` tells whether the
    connection broke after the request was sent, other than by a timeout.
    """

    def __init__(self, message: str, *, sent: bool, crashed: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.crashed = crashed


class UnknownAdapterError(BackendError):
    """The engine does not hold the adapter because it has restarted."""


class FencedError(BackendError):
    """The backend server has seen a newer fencing number."""


class TextChunk:
    """Text that the engine generated, and its number of tokens."""

    __slots__ = ("text", "tokens")

    def __init__(self, text: str, tokens: int) -> None:
        self.text = text
        self.tokens = tokens


class BackendResult:
    """The final, checked part of an answer."""

    __slots__ = (
        "status",
        "content_type",
        "body",
        "prompt_tokens",
        "completion_tokens",
        "finish_reason",
    )

    def __init__(
        self,
        status: int,
        content_type: str = "",
        body: bytes = b"",
        prompt_tokens: int = 0,
        completion_tokens: int = 0,
        finish_reason: str = "",
    ) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body
        self.prompt_tokens = prompt_tokens
        self.completion_tokens = completion_tokens
        self.finish_reason = finish_reason


def adapter_name(adapter: str, version: str) -> str:
    """Return the engine's name for an adapter version; empty for the base model."""
    return f"{adapter}@{version}" if adapter else ""


class BackendClient:
    """Calls one backend server over pooled HTTP connections."""

    def __init__(self, address: str, max_connections: int, timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        self._pool = StrictConnectionPool(
            host, int(port), maxsize=max_connections, block=False, retries=False
        )
        # The memory limit of all answers until their entry hosts have them.
        self.answer_budget = BufferBudget()

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()

    def start_id(self) -> str:
        """Return the id of the incarnation, or an empty one if there is none.

        The id changes with each restart of the backend server.
        """
        _, body = self._request("GET", "/health", None, {}, timeout_s=2.0)
        start_id: str = json.loads(body).get("start_id", "")
        return start_id

    def load(self, name: str, fence_number: int) -> None:
        """Load an adapter version; no error if it is resident already."""
        body = json.dumps({"lora_name": name, "lora_path": name}).encode()
        self._send_order("/v1/load_lora_adapter", body, fence_number)

    def unload(self, name: str, fence_number: int) -> None:
        """Unload an adapter version; no error if it is not loaded."""
        body = json.dumps({"lora_name": name}).encode()
        self._send_order("/v1/unload_lora_adapter", body, fence_number)

    def _send_order(self, path: str, body: bytes, fence_number: int) -> None:
        headers = {
            "Content-Type": "application/json",
            FENCE_HEADER: str(fence_number),
        }
        status, answer = self._request("POST", path, body, headers, ORDER_TIMEOUT_S)
        text = answer.decode("utf-8", "replace")
        if status == 409:
            raise FencedError(text, sent=True)
        already = "already" in text or "not loaded" in text
        if status >= 300 and not already:
            raise BackendError(f"{path}: {status} {text[:200]}", sent=True)

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Return the status and the body of the answer to an order."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        with self._open(method, path, body, headers, timeout) as response:
            with self.answer_budget.reserve() as buffer:
                answer = _read_body(response, MAX_ORDER_RESPONSE_BYTES, buffer)
            return response.status, answer

    @contextlib.contextmanager
    def _open(
        self,
        method: str,
        target: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout: urllib3.Timeout,
    ) -> Iterator[urllib3.BaseHTTPResponse]:
        """Yield an answer whose body is unread; keep the connection if it is whole."""
        try:
            response = self._pool.urlopen(
                method,
                target,
                body=body,
                headers=dict(headers),
                timeout=timeout,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _backend_error(error) from error
        try:
            yield response
        except BaseException:
            response.close()
            raise
        response.release_conn()

    def run_service(
        self, work: WorkRequest, fence_number: int, buffer: BufferReservation
    ) -> BackendResult:
        """Forward a call to a plain service and return its complete answer.

        ``buffer`` counts the answer in :attr:`answer_budget`.
        """
        headers = _headers(work, fence_number)
        with self._open(
            work.method, work.target, work.body, headers, self._timeout
        ) as response:
            body = _read_body(response, MAX_RESPONSE_BYTES, buffer)
            echoed = response.headers.get(REQUEST_ID_HEADER)
            if echoed is not None and echoed != work.request_id:
                raise BackendError(
                    "the answer has the id of another request", sent=True
                )
        content_type = response.headers.get("Content-Type", "")
        return BackendResult(response.status, content_type, body)

    def run_engine(
        self, work: WorkRequest, fence_number: int, buffer: BufferReservation
    ) -> Iterator[TextChunk | BackendResult]:
        """Yield the text chunks of a completion and, last, its checked result.

        ``buffer`` counts in :attr:`answer_budget` what is kept of the answer.
        """
        name = adapter_name(work.adapter, work.version) or work.model
        payload = json.loads(work.body)
        payload.update(
            model=name,
            stream=True,
            stream_options={"include_usage": True},
            priority=1 if work.deferred else 0,
        )
        headers = _headers(work, fence_number)
        headers["Content-Type"] = "application/json"
        body = json.dumps(payload).encode()
        with self._open("POST", work.target, body, headers, self._timeout) as response:
            if response.status != 200:
                yield _engine_refusal(response, buffer)
            else:
                yield from _read_stream(response, work.request_id, name, buffer)


def _backend_error(error: urllib3.exceptions.HTTPError) -> BackendError:
    unsent = isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )
    crashed = not isinstance(error, urllib3.exceptions.TimeoutError)
    return BackendError(str(error), sent=not unsent, crashed=crashed and not unsent)


def _headers(work: WorkRequest, fence_number: int) -> dict[str, str]:
    headers = {header.name: header.value for header in work.headers}
    headers[FENCE_HEADER] = str(fence_number)
    headers[REQUEST_ID_HEADER] = work.request_id
    return headers


def _note_buffered(buffer: BufferReservation, size_bytes: int) -> None:
    """Count what is kept of an answer; raise if it is too much for all of them."""
    try:
        buffer.resize(size_bytes)
    except BufferBudgetExceededError as error:
        raise BackendError(str(error), sent=True) from error


def _read_body(
    response: urllib3.BaseHTTPResponse, max_bytes: int, buffer: BufferReservation
) -> bytes:
    body = bytearray()
    try:
        for block in response.stream(_READ_BYTES):
            body += block
            _note_buffered(buffer, len(body))
            if len(body) > max_bytes:
                raise BackendError(f"the answer exceeds {max_bytes} bytes", sent=True)
    except urllib3.exceptions.HTTPError as error:
        raise _backend_error(error) from error
    expected = response.headers.get("Content-Length")
    if expected is not None and len(body) != int(expected):
        raise BackendError(
            "the answer is truncated: its length is not the Content-Length", sent=True
        )
    return bytes(body)


def _engine_refusal(
    response: urllib3.BaseHTTPResponse, buffer: BufferReservation
) -> BackendResult:
    body = _read_body(response, MAX_RESPONSE_BYTES, buffer)
    text = body.decode("utf-8", "replace")
    if response.status == 409:
        raise FencedError(text, sent=False)
    if response.status == 404:
        raise UnknownAdapterError(text, sent=False)
    if response.status >= 500:
        raise BackendError(f"{response.status}: {text[:200]}", sent=True)
    content_type = response.headers.get("Content-Type", "application/json")
    return BackendResult(response.status, content_type, body)


def _read_lines(
    response: urllib3.BaseHTTPResponse, buffer: BufferReservation
) -> Iterator[list[str]]:
    """Yield the complete lines of each read, so that their texts can be merged."""
    partial = bytearray()
    try:
        for block in response.stream(_READ_BYTES):
            ended, newline, rest = block.rpartition(b"\n")
            if newline:
                lines = (partial + ended).split(b"\n")
                partial.clear()
                yield [line.decode("utf-8", "replace") for line in lines]
            partial += rest
            _note_buffered(buffer, len(partial))
            if len(partial) > MAX_LINE_BYTES:
                raise BackendError(
                    f"a line of the stream exceeds {MAX_LINE_BYTES} bytes", sent=True
                )
    except urllib3.exceptions.HTTPError as error:
        raise _backend_error(error) from error


def _read_stream(
    response: urllib3.BaseHTTPResponse,
    request_id: str,
    name: str,
    buffer: BufferReservation,
) -> Iterator[TextChunk | BackendResult]:
    result = BackendResult(200)
    for lines in _read_lines(response, buffer):
        texts: list[str] = []
        done = False
        for line in lines:
            if not line.startswith("data:"):
                continue
            data = line[5:].strip()
            if data == _END_MARKER:
                done = True
                break
            texts.extend(_parse_event(data, request_id, name, result))
        if texts:
            result.completion_tokens += len(texts)
            yield TextChunk("".join(texts), len(texts))
        if done:
            yield _check_result(result)
            return
    raise BackendError("the stream ended without its end marker", sent=True)


def _check_result(result: BackendResult) -> BackendResult:
    if not result.finish_reason:
        raise BackendError("the stream has no finish reason", sent=True)
    return result


def _parse_event(
    data: str, request_id: str, name: str, result: BackendResult
) -> list[str]:
    try:
        event: dict[str, Any] = json.loads(data)
        choices = event.get("choices") or []
        usage = event.get("usage") or {}
    except (ValueError, AttributeError) as error:
        raise BackendError("the stream contains an invalid event", sent=True) from error
    if not str(event.get("id")).endswith(request_id):
        raise BackendError("the answer has the id of another request", sent=True)
    if event.get("model") != name:
        raise BackendError("the answer is from another adapter", sent=True)
    result.prompt_tokens = usage.get("prompt_tokens", result.prompt_tokens)
    texts = []
    for choice in choices:
        delta = choice.get("delta") or {}
        text = choice.get("text") or delta.get("content") or ""
        if text:
            texts.append(text)
        result.finish_reason = choice.get("finish_reason") or result.finish_reason
    return texts
