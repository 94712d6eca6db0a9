"""Answers the work requests of entry hosts."""

import threading
from collections.abc import Callable, Generator, Iterator
from typing import Any

import logbook
import pykka

from damaskvalve_agent._backend_client import (
    BackendClient,
    BackendError,
    BackendResult,
    FencedError,
    TextChunk,
    UnknownAdapterError,
    adapter_name,
)
from damaskvalve_agent._fair_queue import Ticket
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._scheduler_actor import Outcome, SchedulerHandle
from damaskvalve_agent._settings import BackendSettings
from damaskvalve_core import (
    NOT_RUN,
    UNKNOWN,
    BufferReservation,
    Connection,
    Recorder,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    Problem,
    WorkChunk,
    WorkEnd,
    WorkProgress,
    WorkRefused,
    WorkRequest,
    WorkStarted,
)

# Interval at which a waiting request checks whether its entry host has disconnected.
POLL_INTERVAL_S = 0.1
# Interval of the progress messages to the entry host of a waiting request.
PROGRESS_INTERVAL_S = 0.5
# A request is queued a second time if the engine has lost its adapter by its start.
MAX_RUN_ATTEMPTS = 2

_log = logbook.Logger("work")


class Counters:
    """Totals of this agent, which its reports contain."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._active = 0

    def add(self, name: str, amount: float = 1.0) -> None:
        """Add to a total."""
        with self._lock:
            self._values[name] = self._values.get(name, 0.0) + amount

    def add_served(self, workspace: str, units: float) -> None:
        """Add service that was delivered to a workspace."""
        with self._lock:
            self._served[workspace] = self._served.get(workspace, 0.0) + units

    def values(self) -> dict[str, float]:
        """Return a copy of the totals."""
        with self._lock:
            return dict(self._values)

    def served(self) -> dict[str, float]:
        """Return a copy of the service delivered to each workspace."""
        with self._lock:
            return dict(self._served)

    def enter(self) -> None:
        """Count a request that is being answered."""
        with self._lock:
            self._active += 1

    def leave(self) -> None:
        """Count the end of a request."""
        with self._lock:
            self._active -= 1

    def active(self) -> int:
        """Return how many requests are being answered."""
        with self._lock:
            return self._active


def _no_health_check() -> None:
    """Do nothing; placeholder until the agent is assembled."""


def _no_crash_report(work: WorkRequest) -> bool:
    """Report nothing; placeholder until the agent is assembled."""
    return False


class WorkService:
    """Queues work, runs it on the backend server and returns the checked answer."""

    def __init__(
        self,
        settings: BackendSettings,
        scheduler_handle: SchedulerHandle,
        backend: BackendClient,
        fence: Fence,
        counters: Counters,
        record: Recorder,
    ) -> None:
        self._settings = settings
        self._scheduler_handle = scheduler_handle
        self._backend = backend
        self._fence = fence
        self._counters = counters
        self._record = record
        self.leaving = False
        # Whether the agent is about to end, so that waiting requests are refused.
        self.ending = False
        # Whether the backend server answered the last health check.
        self.backend_up = False
        # Runs a health check; one broken connection does not mean that it is down.
        self.check_backend: Callable[[], None] = _no_health_check
        # Start id of the incarnation that answered last; empty if the backend server
        # has no start ids or has not answered yet.
        self.start_id = ""
        # Reports work that crashed the backend server to the control hosts; the entry
        # host may have dropped the work with its caller.
        self.report_crash: Callable[[WorkRequest], bool] = _no_crash_report
        self._running_lock = threading.Lock()
        # Work that the backend server runs, with the start id of the incarnation.
        self._running: dict[int, tuple[WorkRequest, str]] = {}

    def handle(self, request: Any, connection: Connection) -> Iterator[Any]:
        """Answer one message from another process."""
        if not isinstance(request, WorkRequest):
            yield Problem("unexpected", "an agent accepts work requests only")
            return
        self._counters.enter()
        try:
            with self._backend.answer_budget.reserve() as buffer:
                yield from self._handle_work(request, connection, buffer)
        finally:
            self._counters.leave()

    def _handle_work(
        self, work: WorkRequest, connection: Connection, buffer: BufferReservation
    ) -> Iterator[Any]:
        for _ in range(MAX_RUN_ATTEMPTS):
            refusal = self._early_refusal(work)
            if refusal is not None:
                yield refusal
                return
            ticket = self._ticket(work, boot_clock_s())
            future = self._scheduler_handle.submit(ticket)
            outcome = yield from self._await_turn(work, ticket, future, connection)
            if outcome is None:
                return
            if not outcome.started:
                yield _make_refusal(work, outcome.code, NOT_RUN, outcome.retry_after_s)
                return
            if (yield from self._run(work, ticket, outcome, buffer)):
                return
        yield _make_refusal(work, "adapter_lost", NOT_RUN, 1.0)

    def _early_refusal(self, work: WorkRequest) -> WorkRefused | None:
        if self.leaving:
            return _make_refusal(work, "backend_leaving", NOT_RUN, 0.0)
        if not self.backend_up:
            return _make_refusal(work, "backend_down", NOT_RUN, 1.0)
        if self._fence.number(boot_clock_s()) is None:
            return _make_refusal(work, "not_fenced", NOT_RUN, 1.0)
        if work.kind != self._settings.kind or work.model != self._settings.serves:
            return _make_refusal(work, "wrong_backend", NOT_RUN, 0.0)
        return None

    def _ticket(self, work: WorkRequest, now_s: float) -> Ticket:
        return Ticket(
            work.request_id,
            work.workspace,
            work.share,
            adapter_name(work.adapter, work.version),
            work.cost_units,
            now_s + work.deadline_s,
            now_s,
            deferred=work.deferred,
            isolated=work.isolated,
        )

    def _await_turn(
        self,
        work: WorkRequest,
        ticket: Ticket,
        future: "pykka.ThreadingFuture[Outcome]",
        connection: Connection,
    ) -> Generator[Any, None, Outcome | None]:
        """Yield progress messages until the request starts or is rejected.

        Return None if the entry host has closed the connection.
        """
        last_progress_s = boot_clock_s()
        while True:
            try:
                return future.get(timeout=POLL_INTERVAL_S)
            except pykka.Timeout:
                now_s = boot_clock_s()
            if connection.peer_gone():
                self._scheduler_handle.cancel(ticket)
                self._counters.add("cancelled_requests")
                return None
            if self.ending:
                self._scheduler_handle.cancel(ticket)
                return Outcome(False, "backend_leaving", 0.0, 0.0)
            if now_s - last_progress_s >= PROGRESS_INTERVAL_S:
                last_progress_s = now_s
                try:
                    yield WorkProgress(work.request_id)
                except GeneratorExit:
                    self._scheduler_handle.cancel(ticket)
                    raise

    def _run(
        self,
        work: WorkRequest,
        ticket: Ticket,
        outcome: Outcome,
        buffer: BufferReservation,
    ) -> Generator[Any, None, bool]:
        """Run a started request; return False if it has to be queued again."""
        delivered = False
        crashed = False
        now_s = boot_clock_s()
        queued_s = now_s - ticket.arrived_at_s
        number = self._fence.number(now_s)
        self._note_start(work, outcome, queued_s)
        delivered_tokens = 0
        # Sent after the end is recorded, so that the time line has the caller's
        # reaction after its cause.
        final_message: WorkEnd | WorkRefused | None = None
        start_id = self.start_id
        with self._running_lock:
            self._running[id(work)] = work, start_id
        try:
            if number is None:
                yield _make_refusal(work, "not_fenced", NOT_RUN, 1.0)
                return True
            yield WorkStarted(work.request_id, queued_s, outcome.load_s)
            for item in self._run_on_backend(work, number, buffer):
                if isinstance(item, TextChunk):
                    delivered_tokens += item.tokens
                    yield WorkChunk(work.request_id, item.text, item.tokens)
                else:
                    delivered = True
                    final_message = _make_work_end(work, item)
        except UnknownAdapterError:
            _log.warning(
                "the engine no longer holds {}: it has restarted",
                ticket.adapter,
            )
            self._scheduler_handle.run(
                lambda scheduler, now_s: scheduler.engine_restarted()
            )
            return False
        except BackendError as error:
            self.check_backend()
            crashed = error.sent and self._has_incarnation_ended(error, start_id)
            if crashed:
                self.report_crash(work)
            final_message = self._make_failure(
                work, error, delivered_tokens, crashed=crashed
            )
        finally:
            with self._running_lock:
                del self._running[id(work)]
            self._note_end(work, ticket, delivered=delivered, crashed=crashed)
        if final_message is not None:
            yield final_message
        return True

    def _has_incarnation_ended(self, error: BackendError, start_id: str) -> bool:
        """Return whether the incarnation that ran some work has ended."""
        if not start_id:
            return error.crashed
        return not self.backend_up or self.start_id != start_id

    def backend_restarted(self) -> None:
        """Report a crash for the work that ran on the previous incarnation.

        Its connections may stay open without data long after that incarnation has
        ended. After a report that no leader accepts, the rest is skipped: each report
        would wait for its timeout and delay the health checks.
        """
        with self._running_lock:
            running = list(self._running.values())
        for work, start_id in running:
            if start_id != self.start_id and not self.report_crash(work):
                return

    def running_ids(self) -> list[str]:
        """Return the ids of the requests that the backend server runs."""
        with self._running_lock:
            return [work.request_id for work, _ in self._running.values()]

    def _run_on_backend(
        self, work: WorkRequest, number: int, buffer: BufferReservation
    ) -> Iterator[TextChunk | BackendResult]:
        if self._settings.kind == "engine":
            yield from self._backend.run_engine(work, number, buffer)
        else:
            yield self._backend.run_service(work, number, buffer)

    def _make_failure(
        self,
        work: WorkRequest,
        error: BackendError,
        delivered_tokens: int,
        *,
        crashed: bool,
    ) -> WorkRefused:
        code = "fenced" if isinstance(error, FencedError) else "backend_failed"
        ran = UNKNOWN if error.sent else NOT_RUN
        _log.warning(
            "request {} failed at the backend server: {}", work.request_id, error
        )
        return WorkRefused(
            work.request_id, code, str(error), ran, 1.0, crashed, delivered_tokens
        )

    def _note_start(self, work: WorkRequest, outcome: Outcome, queued_s: float) -> None:
        self._counters.add("started_requests")
        self._counters.add("batch_requests", self._counters.active())
        self._counters.add("queued_s", queued_s)
        if outcome.load_s > 0:
            self._counters.add("stalled_requests")
            self._counters.add("stall_s", outcome.load_s)
        self._record(
            "work-start",
            request=work.request_id,
            workspace=work.workspace,
            adapter=adapter_name(work.adapter, work.version),
            queued_s=round(queued_s, 4),
            load_s=round(outcome.load_s, 4),
        )

    def _note_end(
        self, work: WorkRequest, ticket: Ticket, *, delivered: bool, crashed: bool
    ) -> None:
        self._scheduler_handle.finish(ticket, delivered=delivered)
        if delivered:
            self._counters.add("delivered_requests")
            self._counters.add_served(work.workspace, work.cost_units)
        if crashed:
            self._counters.add("backend_crashes")
        self._record(
            "work-end",
            request=work.request_id,
            workspace=work.workspace,
            delivered=delivered,
            crashed=crashed or None,
        )


def _make_refusal(
    work: WorkRequest, code: str, ran: str, retry_after_s: float
) -> WorkRefused:
    message = code.replace("_", " ")
    return WorkRefused(work.request_id, code, message, ran, retry_after_s, False, 0)


def _make_work_end(work: WorkRequest, result: BackendResult) -> WorkEnd:
    return WorkEnd(
        work.request_id,
        result.status,
        work.adapter,
        work.version,
        result.content_type,
        result.body,
        result.prompt_tokens,
        result.completion_tokens,
        result.finish_reason,
    )
