"""Dispatch of a request to a backend server, with retries and resumption."""

import threading
import time
from collections.abc import Callable, Generator, Iterator, Sequence

import logbook

from damaskvalve._agent_client import AttemptError, StopCheck, run_attempt
from damaskvalve._attempts import Attempts
from damaskvalve._completion import continuation_body
from damaskvalve._configuration import DEFERRED, ONCE, TOKENS
from damaskvalve._exchange import Exchange
from damaskvalve._metrics import Metrics
from damaskvalve._placement import homes
from damaskvalve._placement_cache import PlacementCache
from damaskvalve._retry_budget import RetryBudget
from damaskvalve._view import ConfigurationView
from damaskvalve_core import (
    NOT_RUN,
    UNKNOWN,
    Dialer,
    LeaderClient,
    Recorder,
    RefusedError,
    RetryLaterError,
    boot_clock_s,
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
RETURN_POLL_S = 0.2
REPORT_TIMEOUT_S = 2.0
# Maximum length of the text of one answer, all its attempts together.
MAX_ANSWER_CHARACTERS = 8 * 1024 * 1024

_log = logbook.Logger("dispatch")


def _never() -> bool:
    """Return that this process does not end its requests."""
    return False


class InFlightCounter:
    """Counts this entry host's requests in flight at each backend server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}

    def enter(self, backend_server: str) -> None:
        """Count a request that is being sent to a backend server."""
        with self._lock:
            self._counts[backend_server] = self._counts.get(backend_server, 0) + 1

    def leave(self, backend_server: str) -> None:
        """Stop counting a request that has ended."""
        with self._lock:
            self._counts[backend_server] -= 1

    def counts(self) -> dict[str, int]:
        """Return the number of requests in flight by backend server."""
        with self._lock:
            return dict(self._counts)


class Dispatcher:
    """Runs requests at backend servers.

    Holds the state that all requests of an entry host share: the retry budget, the
    cached placements and the counts of requests in flight.
    """

    def __init__(
        self,
        view: ConfigurationView,
        dialer: Dialer,
        leader: LeaderClient,
        data_centre: str,
        metrics: Metrics,
        record: Recorder,
        is_ending: Callable[[], bool] = _never,
    ) -> None:
        self._view = view
        self._dialer = dialer
        self._leader = leader
        self._metrics = metrics
        self._record = record
        # Whether the process stops so soon that it ends the requests that still run.
        self._is_ending = is_ending
        self._budget = RetryBudget()
        self._placement_cache = PlacementCache(view, data_centre)
        self.in_flight = InFlightCounter()

    # ---- choice of the backend server ----

    def choose_backend(
        self, exchange: Exchange, excluded: set[str]
    ) -> BackendReport | None:
        """Return the backend server for the next attempt, or None if there is none."""
        route = exchange.require_route()
        serves = _service_of(exchange)
        if exchange.isolated:
            usable = [
                item
                for item in self._view.backends()
                if item.kind == route.backend_kind and item.serves == serves
            ]
            return self._isolation_backend(usable, excluded)
        placement = self._placement_cache.current(route.backend_kind, serves)
        counts = self.in_flight.counts()
        return placement.choose(exchange.adapter_key(), counts, excluded)

    def _find_backend(
        self, exchange: Exchange, attempts: Attempts
    ) -> BackendReport | None:
        """Return a backend server for the next attempt, or None if there is none.

        An interrupted request waits for one, for a limited time. A backend server
        at which it failed before is used again only while no other one is available.
        A request that was not interrupted does not wait.
        """
        backend = self.choose_backend(exchange, attempts.excluded)
        while backend is None and attempts.may_wait(boot_clock_s()):
            self._check_ending(attempts)
            time.sleep(RETURN_POLL_S)
            backend = self.choose_backend(exchange, attempts.excluded)
            backend = backend or self.choose_backend(exchange, set())
        return backend

    @staticmethod
    def _isolation_backend(
        backends: Sequence[BackendReport], excluded: set[str]
    ) -> BackendReport | None:
        """Return the backend server on which all isolated suspects run."""
        by_name = {item.backend_server: item for item in backends}
        names = [name for name in by_name if name not in excluded]
        if not names:
            return None
        return by_name[homes("isolation", names, 1)[0]]

    # ---- attempts ----

    def events(self, exchange: Exchange) -> Generator[WorkChunk | WorkEnd, None, None]:
        """Yield the chunks and the end of one answer, retrying as far as is allowed."""
        self._budget.earn()
        attempts = Attempts(exchange.deadline_s)
        text = ""
        tokens = 0
        while True:
            self._check_ending(attempts)
            self._check_quarantine(exchange, attempts)
            backend = self._find_backend(exchange, attempts)
            if backend is None:
                kind = exchange.require_route().backend_kind
                evacuated = self._view.is_evacuated(kind, _service_of(exchange))
                raise _no_backend_error(attempts, evacuated=evacuated)
            # Another host may have reported more crashes while the request waited.
            self._check_quarantine(exchange, attempts)
            body = continuation_body(exchange.body, text, tokens)
            if body is None:
                yield _length_limit_end(exchange, tokens)
                return
            work = self._make_work_request(
                exchange, backend, body, attempts.failure_count() + 1
            )
            started_at_s = boot_clock_s()
            try:
                for message in self._run_attempt(exchange, backend, work):
                    if isinstance(message, WorkChunk):
                        text += message.text
                        tokens += message.tokens
                        _check_length(text)
                    yield message
                self._clear_suspect(exchange)
                return
            except AttemptError as error:
                attempts.record_failure(
                    error, backend.backend_server, started_at_s, boot_clock_s()
                )
                self._handle_failure(exchange, error, attempts)

    def _run_attempt(
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
                self._make_stop_check(exchange),
            ):
                if isinstance(message, (WorkChunk, WorkEnd)):
                    self._record_first_token(exchange)
                    yield message
        finally:
            self.in_flight.leave(name)

    @staticmethod
    def _record_first_token(exchange: Exchange) -> None:
        if exchange.first_token_s is None:
            exchange.first_token_s = boot_clock_s() - exchange.received_at_s

    def _check_ending(self, attempts: Attempts) -> None:
        """Refuse a request between its attempts if the process ends them."""
        if self._is_ending():
            raise _ending_error(UNKNOWN if attempts.was_interrupted() else NOT_RUN)

    def _make_stop_check(self, exchange: Exchange) -> StopCheck:
        def check() -> None:
            if self._is_ending():
                raise _ending_error(UNKNOWN)
            if not exchange.key_digest:
                return
            leased = self._view.is_leased(boot_clock_s())
            if leased and self._view.key(exchange.key_digest) is None:
                raise RefusedError(
                    401, "key_withdrawn", "the key was withdrawn", ran=UNKNOWN
                )

        return check

    def _handle_failure(
        self, exchange: Exchange, error: AttemptError, attempts: Attempts
    ) -> None:
        """Return if the request may be retried, else raise its final refusal."""
        _log.info(
            "request {} failed at backend server {}: {} ({})",
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
        if error.crashed:
            self._report_crash(exchange, attempts.failure_count())
        if not attempts.may_retry(error, boot_clock_s()):
            raise _final_error(error, attempts)
        if error.ran == NOT_RUN:
            return
        if exchange.require_route().kind == ONCE or not self._budget.take():
            raise _final_error(error, attempts)
        self._metrics.record_retry()

    # ---- requests that crash backend servers ----

    def _check_quarantine(self, exchange: Exchange, attempts: Attempts) -> None:
        """Refuse a request quarantined since its admission; isolate a suspect."""
        suspect = self._view.suspect(exchange.fingerprint)
        if suspect is None:
            return
        if suspect.quarantined:
            ran = UNKNOWN if attempts.was_interrupted() else NOT_RUN
            raise _quarantine_error(ran)
        exchange.isolated = True

    def _report_crash(self, exchange: Exchange, attempt: int) -> None:
        report_id = f"{exchange.request_id}/{attempt}"
        command = Command(
            crash=ReportCrash(exchange.fingerprint, report_id, exchange.isolated)
        )
        try:
            result = self._leader.commit(command, REPORT_TIMEOUT_S)
        except RetryLaterError as error:
            _log.warning(
                "crash report {} was not confirmed; refusing the request: {}",
                report_id,
                error,
            )
            raise RefusedError(
                503, "backend_crashed", "the backend server failed", ran=UNKNOWN
            ) from error
        if result.suspect.quarantined:
            raise _quarantine_error(UNKNOWN)
        exchange.isolated = True

    def _clear_suspect(self, exchange: Exchange) -> None:
        if not exchange.isolated:
            return
        command = Command(clear=ClearSuspect(exchange.fingerprint))
        try:
            self._leader.commit(command, REPORT_TIMEOUT_S)
        except RetryLaterError as error:
            _log.warning(
                "clearing of suspect {} was not confirmed: {}",
                exchange.fingerprint,
                error,
            )

    # ---- the request to the agent ----

    def _make_work_request(
        self, exchange: Exchange, backend: BackendReport, body: bytes, attempt: int
    ) -> WorkRequest:
        route = exchange.require_route()
        workspace = exchange.workspace
        charged_by_request = workspace is not None and workspace.service_unit != TOKENS
        target = exchange.path + (f"?{exchange.query}" if exchange.query else "")
        if route.backend_kind == "engine":
            target = engine_target(exchange.body)
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
            route.weight if charged_by_request else max(1.0, exchange.cost_tokens),
            max(0.0, exchange.deadline_s - boot_clock_s()),
            exchange.fingerprint,
            exchange.isolated,
            attempt,
        )


def _check_length(text: str) -> None:
    if len(text) > MAX_ANSWER_CHARACTERS:
        raise RefusedError(
            502,
            "answer_too_large",
            f"the answer exceeds {MAX_ANSWER_CHARACTERS} characters",
            ran=UNKNOWN,
        )


def _ending_error(ran: str) -> RefusedError:
    message = "this host stops, and the request did not end in time"
    return RefusedError(503, "stopping", message, ran=ran, retry_after_s=1.0)


def _quarantine_error(ran: str) -> RefusedError:
    message = "this request has crashed several backend servers"
    return RefusedError(422, "quarantined", message, ran=ran)


def engine_target(body: bytes) -> str:
    """Return the engine's path for a chat or plain completion request."""
    return "/v1/chat/completions" if b'"messages":' in body else "/v1/completions"


def _service_of(exchange: Exchange) -> str:
    grant = exchange.grant
    return exchange.require_route().serves or (grant.model if grant else "")


def _no_backend_error(attempts: Attempts, *, evacuated: bool) -> RefusedError:
    ran = UNKNOWN if attempts.was_interrupted() else NOT_RUN
    if evacuated:
        return RefusedError(
            503,
            "data_centre_evacuated",
            "operators have evacuated the data centres of all backend servers",
            ran=ran,
            retry_after_s=1.0,
        )
    return RefusedError(
        503, "no_backend", "no backend server is available", ran=ran, retry_after_s=1.0
    )


def _final_error(error: AttemptError, attempts: Attempts) -> RefusedError:
    """Return the refusal after the last attempt; an earlier one may have run."""
    status = 504 if error.code == "deadline" else 503
    ran = UNKNOWN if attempts.was_interrupted() else error.ran
    return RefusedError(
        status, error.code, str(error), ran=ran, retry_after_s=error.retry_after_s
    )


def _length_limit_end(exchange: Exchange, tokens: int) -> WorkEnd:
    """Return the end of an answer that was interrupted after its last allowed token."""
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
