"""The last step of the chain: choose a backend server, run, retry, resume."""

import threading
import time
from collections.abc import Callable, Iterator, Sequence

import logbook

from damaskvalve._completion import END_MARKER, CompletionForm, continue_body
from damaskvalve._configuration import DEFERRED, ONCE, TOKENS
from damaskvalve._exchange import EVENT_STREAM, JSON, Exchange, Next, Reply, error_body
from damaskvalve._metrics import Metrics
from damaskvalve._placement import homes
from damaskvalve._placements import Placements
from damaskvalve._retry_budget import RetryBudget
from damaskvalve._view import ConfigurationView
from damaskvalve._work_call import AttemptError, Check, run_attempt
from damaskvalve_core import (
    NOT_RUN,
    UNKNOWN,
    Dialer,
    LeaderClient,
    Recorder,
    RefusedError,
    RetryLaterError,
)
from damaskvalve_core.messages import (
    BackendReport,
    ClearSuspect,
    Command,
    Header,
    ReportCrash,
    WorkChunk,
    WorkEnd,
    WorkRequest,
)

FORWARDED_HEADERS = ("accept", "accept-language", "content-type", "traceparent")
MAX_REFUSALS = 4
MAX_INTERRUPTIONS = 2
# Trying another backend server does not help against these.
FINAL_CODES = ("deadline", "adapter_held_back")
# How long a request that lost its backend server waits for one to return.
RETURN_WAIT_S = 6.0
RETURN_STEP_S = 0.2
# A request that was kept this long begins to wait anew.
LONG_ATTEMPT_S = 1.0
REPORT_TIMEOUT_S = 2.0

_log = logbook.Logger("dispatch")


class InFlight:
    """This entry host's requests at each backend server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}

    def enter(self, backend_server: str) -> None:
        """Count a request that is sent."""
        with self._lock:
            self._counts[backend_server] = self._counts.get(backend_server, 0) + 1

    def leave(self, backend_server: str) -> None:
        """Count the end of a request."""
        with self._lock:
            self._counts[backend_server] -= 1

    def counts(self) -> dict[str, int]:
        """Return a copy of the counts."""
        with self._lock:
            return dict(self._counts)


class _Attempts:
    """What one request has tried; decides whether it may try again.

    A request that no backend server has begun tries each one once. A request
    that was interrupted also waits a little for a backend server to return.
    """

    def __init__(self, deadline_s: float) -> None:
        self.excluded: set[str] = set()
        # Since when no backend server has kept this request for a while.
        self._homeless_since_s = 0.0
        self._deadline_s = deadline_s
        self._refusals = 0
        self._interruptions = 0

    def note(
        self, error: AttemptError, backend_server: str, began_at_s: float, now_s: float
    ) -> None:
        """Count an attempt that began at ``began_at_s`` and has failed now."""
        self.excluded.add(backend_server)
        if error.ran == NOT_RUN:
            self._refusals += 1
        else:
            self._interruptions += 1
        if error.ran != NOT_RUN or now_s - began_at_s > LONG_ATTEMPT_S:
            self._homeless_since_s = now_s

    def count(self) -> int:
        """Return how many attempts have failed."""
        return self._refusals + self._interruptions

    def was_interrupted(self) -> bool:
        """Return whether some attempt may have run."""
        return self._interruptions > 0

    def may_wait(self, now_s: float) -> bool:
        """Return whether to wait for a backend server to return."""
        if not self.was_interrupted() or now_s >= self._deadline_s:
            return False
        return now_s - self._homeless_since_s < RETURN_WAIT_S

    def may_go_on(self, error: AttemptError, now_s: float) -> bool:
        """Return whether another attempt makes sense after ``error``."""
        if error.code in FINAL_CODES or now_s >= self._deadline_s:
            return False
        if self._interruptions > MAX_INTERRUPTIONS:
            return False
        return self._refusals < MAX_REFUSALS or self.may_wait(now_s)


class Dispatcher:
    """Holds what all dispatched requests share."""

    def __init__(
        self,
        view: ConfigurationView,
        dialer: Dialer,
        leader: LeaderClient,
        data_centre: str,
        metrics: Metrics,
        record: Recorder,
    ) -> None:
        self._view = view
        self._dialer = dialer
        self._leader = leader
        self._metrics = metrics
        self._record = record
        self._budget = RetryBudget()
        self._placements = Placements(view, data_centre)
        self.in_flight = InFlight()

    # ---- choosing ----

    def choose(self, exchange: Exchange, excluded: set[str]) -> BackendReport | None:
        """Return the backend server for the next attempt."""
        route = exchange.the_route()
        serves = route.serves or (exchange.grant.model if exchange.grant else "")
        if exchange.isolated:
            usable = [
                item
                for item in self._view.backends()
                if item.kind == route.backend_kind and item.serves == serves
            ]
            return self._isolation_home(usable, excluded)
        placement = self._placements.current(route.backend_kind, serves)
        counts = self.in_flight.counts()
        return placement.choose(exchange.adapter_key(), counts, excluded)

    def _find_backend(
        self, exchange: Exchange, attempts: _Attempts
    ) -> BackendReport | None:
        """Return a backend server; an interrupted request waits a little for one.

        It goes back to one where it failed only if no other one turns up. A
        request that was not interrupted does not wait.
        """
        backend = self.choose(exchange, attempts.excluded)
        while backend is None and attempts.may_wait(time.monotonic()):
            time.sleep(RETURN_STEP_S)
            backend = self.choose(exchange, attempts.excluded)
            backend = backend or self.choose(exchange, set())
        return backend

    @staticmethod
    def _isolation_home(
        backends: Sequence[BackendReport], excluded: set[str]
    ) -> BackendReport | None:
        """Return the one backend server on which all suspects run."""
        by_name = {item.backend_server: item for item in backends}
        names = [name for name in by_name if name not in excluded]
        if not names:
            return None
        return by_name[homes("isolation", names, 1)[0]]

    # ---- running ----

    def events(self, exchange: Exchange) -> Iterator[WorkChunk | WorkEnd]:
        """Yield chunks and the end of one answer, over as many attempts as needed."""
        self._budget.earn()
        attempts = _Attempts(exchange.deadline_s)
        text = ""
        tokens = 0
        while True:
            backend = self._find_backend(exchange, attempts)
            if backend is None:
                raise _no_backend(attempts)
            body = continue_body(exchange.body, text, tokens)
            if body is None:
                yield _length_end(exchange, tokens)
                return
            work = self._work(exchange, backend, body)
            began_at_s = time.monotonic()
            try:
                for message in self._attempt(exchange, backend, work):
                    if isinstance(message, WorkChunk):
                        text += message.text
                        tokens += message.tokens
                    yield message
                self._clear_suspect(exchange)
                return
            except AttemptError as error:
                attempts.note(
                    error, backend.backend_server, began_at_s, time.monotonic()
                )
                self._after_failure(exchange, error, attempts)

    def _attempt(
        self, exchange: Exchange, backend: BackendReport, work: WorkRequest
    ) -> Iterator[WorkChunk | WorkEnd]:
        name = backend.backend_server
        exchange.backend_server = name
        self._record("dispatch", request=exchange.request_id, backend_server=name)
        self.in_flight.enter(name)
        try:
            for message in run_attempt(
                self._dialer,
                backend.agent_address,
                work,
                exchange.deadline_s,
                self._make_check(exchange),
            ):
                if isinstance(message, (WorkChunk, WorkEnd)):
                    self._note_first(exchange)
                    yield message
        finally:
            self.in_flight.leave(name)

    @staticmethod
    def _note_first(exchange: Exchange) -> None:
        if exchange.first_token_s is None:
            exchange.first_token_s = time.monotonic() - exchange.received_at_s

    def _make_check(self, exchange: Exchange) -> Check:
        def check() -> None:
            if not exchange.key_digest:
                return
            leased = self._view.is_leased(time.monotonic())
            if leased and self._view.key(exchange.key_digest) is None:
                raise RefusedError(
                    401, "key_withdrawn", "the key was withdrawn", ran=UNKNOWN
                )

        return check

    def _after_failure(
        self, exchange: Exchange, error: AttemptError, attempts: _Attempts
    ) -> None:
        """Return if the request may be tried again, else raise its final answer."""
        _log.info(
            "{} failed at {}: {} ({})",
            exchange.request_id,
            exchange.backend_server,
            error.code,
            error,
        )
        self._record(
            "attempt-failed",
            request=exchange.request_id,
            backend_server=exchange.backend_server,
            code=error.code,
            ran=error.ran,
        )
        if error.crashed and exchange.the_route().backend_kind == "engine":
            self._report_crash(exchange, attempts.count())
        if not attempts.may_go_on(error, time.monotonic()):
            raise _final(error)
        if error.ran == NOT_RUN:
            return
        if exchange.the_route().kind == ONCE or not self._budget.take():
            raise _final(error)
        self._metrics.note_retry()

    # ---- requests that crash backend servers ----

    def _report_crash(self, exchange: Exchange, attempt: int) -> None:
        report_id = f"{exchange.request_id}/{attempt}"
        command = Command(
            crash=ReportCrash(exchange.fingerprint, report_id, exchange.isolated)
        )
        try:
            result = self._leader.commit(command, REPORT_TIMEOUT_S)
        except RetryLaterError as error:
            _log.warning("crash of {} not reported: {}", report_id, error)
            raise RefusedError(
                503, "backend_crashed", "the backend server failed", ran=UNKNOWN
            ) from error
        if result.suspect.quarantined:
            raise RefusedError(
                422,
                "quarantined",
                "this request has crashed several backend servers",
                ran=UNKNOWN,
            )
        exchange.isolated = True

    def _clear_suspect(self, exchange: Exchange) -> None:
        if not exchange.isolated:
            return
        command = Command(clear=ClearSuspect(exchange.fingerprint))
        try:
            self._leader.commit(command, REPORT_TIMEOUT_S)
        except RetryLaterError as error:
            _log.warning("suspect {} not cleared: {}", exchange.fingerprint, error)

    # ---- the message ----

    def _work(
        self, exchange: Exchange, backend: BackendReport, body: bytes
    ) -> WorkRequest:
        route = exchange.the_route()
        workspace = exchange.workspace
        by_requests = workspace is not None and workspace.service_unit != TOKENS
        target = exchange.path + (f"?{exchange.query}" if exchange.query else "")
        if route.backend_kind == "engine":
            target = _engine_target(exchange.body)
        headers = [
            Header(name, exchange.headers[name])
            for name in FORWARDED_HEADERS
            if name in exchange.headers
        ]
        return WorkRequest(
            exchange.request_id,
            exchange.workspace_name(),
            workspace.share if workspace else 1.0,
            route.backend_kind,
            backend.serves,
            exchange.grant.adapter if exchange.grant else "",
            exchange.version,
            route.kind == ONCE,
            route.kind == DEFERRED,
            exchange.method,
            target,
            headers,
            body,
            exchange.streamed,
            route.weight if by_requests else max(1.0, exchange.cost_tokens),
            max(0.0, exchange.deadline_s - time.monotonic()),
            exchange.fingerprint,
            exchange.isolated,
        )


def _engine_target(body: bytes) -> str:
    return "/v1/chat/completions" if b'"messages":' in body else "/v1/completions"


def _no_backend(attempts: _Attempts) -> RefusedError:
    ran = UNKNOWN if attempts.was_interrupted() else NOT_RUN
    return RefusedError(
        503, "no_backend", "no backend server is free", ran=ran, retry_after_s=1.0
    )


def _final(error: AttemptError) -> RefusedError:
    status = 504 if error.code == "deadline" else 503
    return RefusedError(
        status, error.code, str(error), ran=error.ran, retry_after_s=error.retry_after_s
    )


def _length_end(exchange: Exchange, tokens: int) -> WorkEnd:
    adapter = exchange.grant.adapter if exchange.grant else ""
    return WorkEnd(
        exchange.request_id,
        200,
        adapter,
        exchange.version,
        "",
        b"",
        0,
        tokens,
        "length",
    )


def make_dispatch(dispatcher: Dispatcher, wall_s: Callable[[], float]) -> Next:
    """Return the end of the chain, which answers whole or as a stream."""

    def dispatch(exchange: Exchange) -> Reply:
        events = dispatcher.events(exchange)
        if exchange.the_route().backend_kind == "service":
            return _service_reply(exchange, events)
        model = exchange.grant.adapter if exchange.grant else ""
        form = CompletionForm(
            exchange.request_id,
            f"{model}:{exchange.version}",
            _engine_target(exchange.body),
            int(wall_s()),
        )
        if exchange.streamed:
            return _streamed_reply(exchange, events, form)
        return _whole_reply(exchange, events, form)

    return dispatch


def _service_reply(exchange: Exchange, events: Iterator[WorkChunk | WorkEnd]) -> Reply:
    for event in events:
        if isinstance(event, WorkEnd):
            exchange.used_tokens = exchange.cost_tokens
            content_type = event.content_type or "application/octet-stream"
            return Reply(event.status, content_type, event.body)
    raise RefusedError(502, "no_answer", "the service did not answer", ran=UNKNOWN)


def _note_use(exchange: Exchange, end: WorkEnd, tokens: int) -> None:
    exchange.used_tokens = float((end.prompt_tokens or 0) + tokens)


def _whole_reply(
    exchange: Exchange, events: Iterator[WorkChunk | WorkEnd], form: CompletionForm
) -> Reply:
    texts = []
    tokens = 0
    for event in events:
        if isinstance(event, WorkChunk):
            texts.append(event.text)
            tokens += event.tokens
            continue
        if event.status != 200:
            exchange.used_tokens = 0.0
            return Reply(event.status, event.content_type, event.body)
        _note_use(exchange, event, tokens)
        body = form.whole(
            "".join(texts), event.finish_reason, event.prompt_tokens or 0, tokens
        )
        return Reply(200, JSON, body)
    raise RefusedError(502, "no_answer", "the engine did not answer", ran=UNKNOWN)


def _streamed_reply(
    exchange: Exchange, events: Iterator[WorkChunk | WorkEnd], form: CompletionForm
) -> Reply:
    """Return a stream; what fails before the first token is a plain refusal."""
    first = next(events)
    if isinstance(first, WorkEnd) and first.status != 200:
        exchange.used_tokens = 0.0
        return Reply(first.status, first.content_type, first.body)
    chunks = _stream(exchange, first, events, form)
    return Reply(200, EVENT_STREAM, chunks=chunks)


def _stream(
    exchange: Exchange,
    first: WorkChunk | WorkEnd,
    events: Iterator[WorkChunk | WorkEnd],
    form: CompletionForm,
) -> Iterator[bytes]:
    tokens = 0
    event: WorkChunk | WorkEnd | None = first
    try:
        while event is not None:
            if isinstance(event, WorkChunk):
                tokens += event.tokens
                yield form.chunk(event.text, None)
            else:
                _note_use(exchange, event, tokens)
                yield form.chunk("", event.finish_reason)
                yield form.usage(event.prompt_tokens or 0, tokens)
                yield END_MARKER
            event = next(events, None)
    except RefusedError as error:
        yield form.error(error_body(error, exchange.request_id))
    finally:
        events.close()  # type: ignore[attr-defined]
