"""Converts the events of an answer into the reply to the caller."""

from collections.abc import Callable, Generator, Iterator

from damaskvalve._completion import END_MARKER, CompletionFormatter
from damaskvalve._dispatch import Dispatcher, engine_target
from damaskvalve._exchange import (
    EVENT_STREAM,
    JSON,
    Exchange,
    Handler,
    Reply,
    error_body,
)
from damaskvalve_core import UNKNOWN, RefusedError
from damaskvalve_core.messages import WorkChunk, WorkEnd

Events = Generator[WorkChunk | WorkEnd, None, None]


def make_dispatch_handler(
    dispatcher: Dispatcher, wall_s: Callable[[], float]
) -> Handler:
    """Return the endpoint of the filter chain, which dispatches requests."""

    def dispatch(exchange: Exchange) -> Reply:
        events = dispatcher.events(exchange)
        if exchange.require_route().backend_kind == "service":
            return _service_reply(exchange, events)
        model = exchange.grant.adapter if exchange.grant else ""
        formatter = CompletionFormatter(
            exchange.request_id,
            f"{model}:{exchange.version}",
            engine_target(exchange.body),
            int(wall_s()),
        )
        if exchange.streamed:
            return _stream_reply(exchange, events, formatter)
        return _buffered_reply(exchange, events, formatter)

    return dispatch


def _service_reply(exchange: Exchange, events: Events) -> Reply:
    for event in events:
        if isinstance(event, WorkEnd):
            exchange.used_tokens = exchange.cost_tokens
            content_type = event.content_type or "application/octet-stream"
            return Reply(event.status, content_type, event.body)
    raise RefusedError(502, "no_answer", "the service did not answer", ran=UNKNOWN)


def _record_usage(exchange: Exchange, end: WorkEnd, tokens: int) -> None:
    exchange.used_tokens = float((end.prompt_tokens or 0) + tokens)


def _buffered_reply(
    exchange: Exchange, events: Events, formatter: CompletionFormatter
) -> Reply:
    text = ""
    tokens = 0
    for event in events:
        if isinstance(event, WorkChunk):
            text += event.text
            tokens += event.tokens
            continue
        if event.status != 200:
            exchange.used_tokens = 0.0
            return Reply(event.status, event.content_type, event.body)
        _record_usage(exchange, event, tokens)
        body = formatter.completion(
            text, event.finish_reason, event.prompt_tokens or 0, tokens
        )
        return Reply(200, JSON, body)
    raise RefusedError(502, "no_answer", "the engine did not answer", ran=UNKNOWN)


def _stream_reply(
    exchange: Exchange, events: Events, formatter: CompletionFormatter
) -> Reply:
    """Return a streamed reply; raise a refusal if the first token is not reached."""
    first = next(events)
    if isinstance(first, WorkEnd) and first.status != 200:
        exchange.used_tokens = 0.0
        return Reply(first.status, first.content_type, first.body)
    chunks = _stream(exchange, first, events, formatter)
    return Reply(200, EVENT_STREAM, chunks=chunks)


def _stream(
    exchange: Exchange,
    first: WorkChunk | WorkEnd,
    events: Events,
    formatter: CompletionFormatter,
) -> Iterator[bytes]:
    tokens = 0
    event: WorkChunk | WorkEnd | None = first
    try:
        while event is not None:
            if isinstance(event, WorkChunk):
                tokens += event.tokens
                yield formatter.chunk(event.text, None)
            else:
                _record_usage(exchange, event, tokens)
                yield formatter.chunk("", event.finish_reason)
                yield formatter.usage(event.prompt_tokens or 0, tokens)
                yield END_MARKER
            event = next(events, None)
    except RefusedError as error:
        yield formatter.error(error_body(error, exchange.request_id))
    finally:
        events.close()
