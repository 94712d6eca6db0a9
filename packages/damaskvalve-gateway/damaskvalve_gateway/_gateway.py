"""Request path: read, admit, choose a backend server, attempt, relay and log."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Sequence

import xxhash

from damaskvalve_core import (
    UNKNOWN,
    DecisionLog,
    RefusedError,
    boot_clock_s,
    is_sampled,
)
from damaskvalve_core.http import BackendPool, IncomingRequest, Responder
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backend_attempt import (
    ANSWERED,
    BROKEN,
    FAILED,
    NOT_RUN,
    BackendAttempt,
    FailureReply,
    ReplyCallback,
    relay,
)
from damaskvalve_gateway._choice import PlainChoice
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._confirmation_controller import (
    DENIALS,
    NO_ROUTE,
    UNCONFIRMED,
    UNKNOWN_KEY,
    ConfirmationController,
)
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._crashes import request_fingerprint
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._incarnations import Incarnation
from damaskvalve_gateway._metrics import GatewayMetrics
from damaskvalve_gateway._model import (
    STREAMING,
    CallerRequest,
    GatewayConfiguration,
    Route,
    Workspace,
)
from damaskvalve_gateway._overload import RetryAfterScheduler
from damaskvalve_gateway._part_quarantine import check_parts
from damaskvalve_gateway._permits import Permit, PermitClient
from damaskvalve_gateway._places import permitted
from damaskvalve_gateway._quarantine import check_quarantine
from damaskvalve_gateway._rate import RateFilter
from damaskvalve_gateway._request_log import (
    parts_text,
    request_fields,
    request_outcome,
)
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway._send_gate import SendGate
from damaskvalve_gateway._stall import caller_timeout_s
from damaskvalve_gateway._starting import startup_retry_after_s
from damaskvalve_gateway._stopping import STOPPING, StopAdmission, stopping_refusal
from damaskvalve_gateway._stream_versions import StreamVersions

NO_BACKEND_RETRY_AFTER_S = 0.5
# A host without leader contact for this long receives no announcements through the
# leader either, so it goes on using backend servers whose announcements are overdue.
LEADER_CONTACT_TIMEOUT_S = 2.5
# A request is refused once this many of its attempts have ended as not run.
MAX_NOT_RUN_ATTEMPTS = 3
# Outcome of a permit that is given back, because its version was replaced.
OUTDATED = "outdated"
# When a request may come again whose agent has granted an older version than it had
# been asked for.
OUTDATED_RETRY_S = 0.5
# Number of requests that one line of those unfinished at a stop names.
UNFINISHED_PER_LINE = 50


def _of_version(
    backends: Sequence[Backend], software_version: str
) -> Sequence[Backend]:
    """Return the backend servers of a software version."""
    return [
        item
        for item in backends
        if item.announcement.software_version == software_version
    ]


class Gateway:
    """Serves callers' requests from the host's current view of the cluster."""

    def __init__(
        self,
        view: ClusterView,
        dialect: Dialect,
        pool: BackendPool,
        permits: PermitClient,
        gate: SendGate,
        rate: RateFilter,
        retries: RetryBudget,
        crashes: CrashController,
        streams: StreamVersions,
        confirmations: ConfirmationController,
        on_reply: ReplyCallback,
        data_centre: str,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._view = view
        self._dialect = dialect
        self._pool = pool
        self._permits = permits
        self._gate = gate
        self._rate = rate
        self._retries = retries
        self._crashes = crashes
        self._streams = streams
        self._confirmations = confirmations
        self._on_reply = on_reply
        self._retry_after_scheduler = RetryAfterScheduler()
        self._stop = StopAdmission()
        # The requests being served, each with its deadline.
        self._open: dict[Exchange, asyncio.Timeout] = {}
        # The requests that wait for a confirmation before they are denied.
        self._confirming: set[asyncio.Timeout] = set()
        self._started_at_s = boot_clock_s()
        self._plain = PlainChoice(data_centre)
        self._log = log
        self._metrics = metrics

    async def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answer one request; every outcome yields a response or a cut connection."""
        arrived_s = boot_clock_s()
        request_id = ""
        try:
            request = self._dialect.read_request(incoming)
            request_id = request.request_id
            exchange = await self._admit_or_deny(request, responder, arrived_s)
            await self._serve_within_deadline(exchange)
        except RefusedError as error:
            await self._refuse(error, request_id, responder, arrived_s)
        except Exception as error:
            self._log.line(
                "internal_error", request=request_id, trace=traceback.format_exc()
            )
            refused = RefusedError(502, "internal", repr(error), ran=UNKNOWN)
            await self._refuse(refused, request_id, responder, arrived_s)

    async def _refuse(
        self,
        error: RefusedError,
        request_id: str,
        responder: Responder,
        arrived_s: float,
    ) -> None:
        """Send a refusal, or cut the connection if the response has started."""
        self._metrics.note_refusal(error.status, error.code)
        self._log.line(
            "refused",
            request=request_id,
            status=error.status,
            code=error.code,
            ran=error.ran,
            reason=str(error),
            retry_after_s=error.retry_after_s or "",
            took_s=round(boot_clock_s() - arrived_s, 4),
            contact_age_s=round(arrived_s - self._view.leader_contact_s, 2),
            **(
                self._confirmations.log_fields()
                if error.code in DENIALS or error.code == UNCONFIRMED
                else {}
            ),
        )
        if responder.started:
            responder.abort()
            return
        if self._stop.is_stopping():
            # The caller's retry has to reach another host.
            responder.close_connection()
        headers, body = self._dialect.refusal(error)
        await responder.send(error.status, headers, body)

    # ---- admission ----

    async def _admit_or_deny(
        self, request: CallerRequest, responder: Responder, arrived_s: float
    ) -> Exchange:
        """Admit a request; deny it only by a configuration that may be the newest."""
        try:
            return self._admit(request, responder, arrived_s)
        except RefusedError as error:
            if error.code not in DENIALS or self._confirmations.is_fresh():
                raise
        await self._confirm(request)
        # A newer configuration may have come in force meanwhile.
        return self._admit(request, responder, arrived_s)

    async def _confirm(self, request: CallerRequest) -> None:
        """Wait until the configuration is confirmed, or the end of a stop."""
        try:
            async with asyncio.timeout(None) as timeout:
                self._confirming.add(timeout)
                try:
                    await self._confirmations.confirm(request.deadline_s)
                finally:
                    self._confirming.discard(timeout)
        except TimeoutError as error:
            raise stopping_refusal() from error
        except asyncio.CancelledError:
            self._log.line("unconfirmed", request=request.request_id)
            raise

    def _admit(
        self, request: CallerRequest, responder: Responder, arrived_s: float
    ) -> Exchange:
        configuration = self._view.configuration
        if configuration is None:
            raise RefusedError(
                503,
                "no_configuration",
                "this host has not received a configuration yet",
                retry_after_s=self._startup_retry_after_s(
                    arrived_s, bool(request.model)
                ),
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise RefusedError(404, NO_ROUTE, "no route matches the host name and path")
        workspace = self._authenticate(configuration, route, request)
        name = workspace.name if workspace else ""
        fingerprint = request_fingerprint(name, request)
        self._check_quarantine(fingerprint, request.prompt_parts)
        point = xxhash.xxh32_intdigest(request.request_id.encode()) / 2**32
        service = configuration.services[route.choose_service(point)]
        exchange = Exchange(
            request, route, workspace, service, responder, arrived_s, fingerprint
        )
        if not self._stop.admits(exchange, arrived_s):
            raise stopping_refusal()
        return exchange

    def _check_quarantine(
        self, fingerprint: str, parts: Sequence[str], *, before_send: bool = False
    ) -> None:
        """Raise :class:`RefusedError` if the request is known to crash backend servers.

        This is checked again before each attempt: while this host waited, runs on other
        hosts may have crashed backend servers.
        """
        view, now_s = self._view, boot_clock_s()
        check_quarantine(fingerprint, view.crashes, view.suspect_statuses, now_s)
        check_parts(view, parts, now_s, before_send=before_send)

    def _startup_retry_after_s(self, now_s: float, needs_engine: bool) -> float:
        """Return the Retry-After, in seconds, of a request for which state is missing.

        A host that has just started still has to receive its state.
        """
        return startup_retry_after_s(
            self._started_at_s, now_s, needs_engine=needs_engine
        )

    @staticmethod
    def _authenticate(
        configuration: GatewayConfiguration, route: Route, request: CallerRequest
    ) -> Workspace | None:
        if route.public or not configuration.needs_keys:
            return None
        workspace = configuration.workspace_of(request.key) if request.key else None
        if workspace is None:
            raise RefusedError(401, UNKNOWN_KEY, "the API key is unknown")
        return workspace

    # ---- deadline ----

    async def _serve_within_deadline(self, exchange: Exchange) -> None:
        left_s = exchange.left_s(boot_clock_s())
        try:
            async with asyncio.timeout(left_s) as timeout:
                self._open[exchange] = timeout
                async with self._rate.spending(exchange):
                    with self._pool.reply_budget.reserve() as exchange.reply_buffer:
                        await self._dispatch(exchange)
        except TimeoutError as error:
            if exchange.outcome == STOPPING:
                raise self._stopped(exchange) from error
            exchange.outcome = "timeout"
            if exchange.runs:
                raise RefusedError(
                    504, "timeout", "no answer arrived before the deadline", ran=UNKNOWN
                ) from error
            raise RefusedError(
                503,
                "no_place_in_time",
                "no backend server had a free slot before the deadline",
                retry_after_s=NO_BACKEND_RETRY_AFTER_S,
            ) from error
        finally:
            self._open.pop(exchange, None)
            self._log_request(exchange)

    # ---- planned stop ----

    def begin_stop(self, removed_s: float, end_s: float) -> None:
        """Serve only requests that can be expected to end before a given time.

        Callers reach other hosts from ``removed_s`` on.
        """
        self._stop.begin(removed_s, end_s)

    def refuse_waiting(self, now_s: float) -> None:
        """Refuse the requests that have not run and would now be sent too late."""
        for exchange in list(self._open):
            if not exchange.runs and not self._stop.admits(exchange, now_s):
                self._end(exchange)

    def end_unfinished(self) -> None:
        """End all requests: each is answered, or its stream is aborted."""
        ids = [exchange.request.request_id for exchange in self._open]
        for first in range(0, len(ids), UNFINISHED_PER_LINE):
            some = ids[first : first + UNFINISHED_PER_LINE]
            self._log.line("unfinished", count=len(ids), requests=some)
        for exchange in list(self._open):
            self._end(exchange)
        for timeout in self._confirming:
            timeout.reschedule(asyncio.get_running_loop().time())

    def _end(self, exchange: Exchange) -> None:
        timeout = self._open[exchange]
        if exchange.outcome or exchange.responder.finished or timeout.expired():
            return
        exchange.outcome = STOPPING
        timeout.reschedule(asyncio.get_running_loop().time())

    @staticmethod
    def _stopped(exchange: Exchange) -> RefusedError:
        """Return the refusal for a request that ends because the host stops."""
        if not exchange.runs:
            return stopping_refusal()
        message = "this host stopped before the backend server's answer was complete"
        return RefusedError(502, STOPPING, message, ran=UNKNOWN)

    # ---- attempts ----

    async def _dispatch(self, exchange: Exchange) -> None:
        self._retries.earn(exchange.service.name, boot_clock_s())
        if (
            exchange.route.kind == STREAMING
            and exchange.request.last_event_id is not None
        ):
            exchange.software_version = await self._streams.origin(exchange)
        last_failure: FailureReply | None = None
        not_run_count = 0
        while True:
            try:
                attempt = await self._attempt_once(exchange)
            except RefusedError as error:
                await self._finish_unserved(exchange, last_failure, error)
                return
            outcome, last_failure = attempt.outcome, attempt.failure or last_failure
            if outcome == ANSWERED:
                return
            if outcome == BROKEN:
                self._log_broken_run(exchange, attempt)
            not_run_count += outcome == NOT_RUN
            below_limit = not_run_count < MAX_NOT_RUN_ATTEMPTS
            if not below_limit or not self._may_retry(exchange, outcome):
                break
        refused = RefusedError(
            503,
            "turned_down",
            f"the last attempt ended as {outcome}: {attempt.reason}",
            retry_after_s=NO_BACKEND_RETRY_AFTER_S,
        )
        await self._finish_unserved(exchange, last_failure, refused)

    @staticmethod
    async def _finish_unserved(
        exchange: Exchange, last_failure: FailureReply | None, error: RefusedError
    ) -> None:
        """Relay the last failure reply, or raise the refusal, of a request.

        A failure reply of a backend server takes precedence over a refusal by the
        system. A request that may have run is never refused as not run.
        """
        if last_failure is not None and not exchange.responder.started:
            await relay(exchange, last_failure.head, last_failure.body)
        elif exchange.runs:
            raise RefusedError(502, "broken", str(error), ran=UNKNOWN) from error
        else:
            raise error

    def _may_retry(self, exchange: Exchange, outcome: str) -> bool:
        if outcome != NOT_RUN and not exchange.may_run_again():
            return False
        if outcome == BROKEN and not self._crashes.may_repeat(
            exchange.request.prompt_parts
        ):
            return False
        service = exchange.service.name
        if not exchange.attempts:
            return True
        return self._retries.take(service, self._view.host_count, boot_clock_s())

    def _log_broken_run(self, exchange: Exchange, attempt: BackendAttempt) -> None:
        self._metrics.note_broken_run()
        self._log.line(
            "broken_run",
            request=exchange.request.request_id,
            fingerprint=exchange.fingerprint,
            backend=exchange.backend_id,
            software_version=exchange.backend_version,
            reason=attempt.reason,
            runs=exchange.runs,
            last_event=exchange.last_event_id or "",
            events=attempt.event_groups,
            parts=parts_text(exchange.request),
        )

    def _candidates(self, exchange: Exchange) -> Sequence[Backend]:
        now_s = boot_clock_s()
        service = exchange.service.name
        live = self._permitted(exchange, now_s)
        if exchange.software_version is not None:
            live = _of_version(live, exchange.software_version)
        accepting = [item for item in live if item.takes_work(now_s)]
        if exchange.software_version is None and exchange.is_resumable_stream():
            accepting = list(self._streams.preferred(service, accepting, now_s))
        if live and not accepting:
            raise RefusedError(
                503,
                "backends_overloaded",
                f"every backend server of {service} is overloaded and backing off",
                retry_after_s=self._retry_after_s(service, live, now_s),
            )
        untried = [
            item
            for item in accepting
            if item.announcement.instance_id not in exchange.tried_instances
        ]
        point = xxhash.xxh32_intdigest(exchange.request.request_id.encode()) / 2**32
        untried = [item for item in untried if item.admits_share(point, now_s)] or (
            untried
        )
        # If all accepting backend servers have been tried, they are tried again, unless
        # one of them may still be running the request.
        return untried or ([] if exchange.runs else accepting)

    def _permitted(self, exchange: Exchange, now_s: float) -> Sequence[Backend]:
        """Return the live backend servers to which a request may be sent.

        Raise :class:`RefusedError` if its homes or evacuations leave none of them.
        """
        stale = now_s - self._view.leader_contact_s > LEADER_CONTACT_TIMEOUT_S
        live = self._view.backends.live(exchange.service.name, now_s, stale=stale)
        return permitted(live, exchange, self._view.regions)

    def _retry_after_s(
        self, service: str, live: Sequence[Backend], now_s: float
    ) -> float:
        """Return the Retry-After, in seconds, while no backend server accepts."""
        return self._retry_after_scheduler.wait_s(
            service, live, self._view.host_count, now_s
        )

    def _limited_refusal(self, exchange: Exchange) -> RefusedError:
        """Return the refusal for a request that request limits do not admit."""
        now_s = boot_clock_s()
        service = exchange.service.name
        live = self._permitted(exchange, now_s)
        return RefusedError(
            503,
            "backends_limited",
            f"the request limits of the backend servers of {service} allow no request "
            "now",
            retry_after_s=(
                self._retry_after_s(service, live, now_s)
                if live
                else NO_BACKEND_RETRY_AFTER_S
            ),
        )

    async def _attempt_once(self, exchange: Exchange) -> BackendAttempt:
        candidates = self._candidates(exchange)
        if not candidates and exchange.software_version is not None:
            raise RefusedError(
                503,
                "no_backend_of_version",
                f"no backend server of {exchange.service.name} with software version "
                f"{exchange.software_version!r}, which began the stream, accepts "
                "requests",
                retry_after_s=NO_BACKEND_RETRY_AFTER_S,
            )
        if not candidates:
            raise RefusedError(
                503,
                "no_backend",
                f"no backend server of {exchange.service.name} accepts requests",
                retry_after_s=self._startup_retry_after_s(
                    boot_clock_s(), exchange.service.engine is not None
                ),
            )
        if exchange.service.engine is None:
            return await self._attempt_on_plain(exchange, candidates)
        return await self._attempt_on_engine(exchange, candidates)

    async def _attempt_on_plain(
        self, exchange: Exchange, candidates: Sequence[Backend]
    ) -> BackendAttempt:
        request_id = exchange.request.request_id
        for backend in self._plain.order(candidates, request_id):
            if not backend.takes_work(boot_clock_s()):
                continue
            async with self._gate.reserving(backend, exchange) as grant:
                if grant is not None:
                    permit = Permit(backend, grant, 0, None, request_id)
                    began_s, outcome = boot_clock_s(), ""
                    try:
                        attempt = await self._attempt(exchange, permit)
                        outcome = attempt.outcome
                        return attempt
                    finally:
                        self._plain.note(backend, outcome, began_s)
        raise self._limited_refusal(exchange)

    async def _attempt_on_engine(
        self, exchange: Exchange, candidates: Sequence[Backend]
    ) -> BackendAttempt:
        request = exchange.request
        engine = exchange.service.engine
        assert engine is not None
        name = f"{request.model}/{request.adapter}"

        def newest_version() -> int:
            # An engine has the newest weights of a model when it loads the model. None
            # is ordered to replace them, so no request can wait for them.
            return self._view.adapter_versions.get(name, 0) if request.adapter else 0

        while True:
            asked_version = newest_version()
            permits = self._permits.permit(
                exchange,
                candidates,
                newest_version,
                engine,
                lambda backend: self._check_waiting(exchange, backend),
                lambda: self._limited_refusal(exchange),
            )
            async with permits as permit:
                if permit.version < newest_version():
                    permit.release(OUTDATED)
                    if permit.version < asked_version:
                        # Asking again would get the same answer.
                        raise self._outdated_refusal(exchange, permit, asked_version)
                    # The version was named as the request was granted.
                    continue
                attempt = await self._attempt(exchange, permit)
                permit.release(attempt.outcome)
                return attempt

    def _outdated_refusal(
        self, exchange: Exchange, permit: Permit, asked_version: int
    ) -> RefusedError:
        """Return the refusal of a request whose agent grants an older version only."""
        self._log.line(
            "outdated_grant",
            request=exchange.request.request_id,
            backend=permit.backend.announcement.instance_id,
            adapter=exchange.request.adapter,
            granted_version=permit.version,
            asked_version=asked_version,
        )
        return RefusedError(
            503,
            "outdated_adapter",
            f"no backend server has version {asked_version} of the adapter yet",
            retry_after_s=OUTDATED_RETRY_S,
        )

    def _check_waiting(self, exchange: Exchange, backend: Backend) -> None:
        """Raise :class:`RefusedError` if a request that waits there is refused now."""
        self._check_quarantine(exchange.fingerprint, exchange.request.prompt_parts)
        if backend.is_evacuated():
            self._permitted(exchange, boot_clock_s())

    async def _attempt(self, exchange: Exchange, permit: Permit) -> BackendAttempt:
        backend = permit.backend
        exchange.backend_id = backend.announcement.instance_id
        exchange.backend_version = backend.announcement.software_version
        attempt = BackendAttempt(
            exchange,
            backend,
            permit.version,
            self._pool,
            self._dialect,
            permit.note_started,
            self._on_reply,
            lambda now_s: self._is_current(backend, exchange)
            and self._may_begin(exchange, now_s)
            and permit.grant.spend(now_s),
            self._record_stream(exchange),
            lambda: self._can_go_on_elsewhere(exchange, boot_clock_s()),
        )
        self._check_quarantine(
            exchange.fingerprint, exchange.request.prompt_parts, before_send=True
        )
        if not self._may_begin(exchange, boot_clock_s()):
            raise stopping_refusal()
        incarnation = exchange.backend_id, backend.announcement.started_at_ms
        try:
            await attempt.run()
        finally:
            # The run is recorded also if the caller has disconnected or the deadline
            # has passed: the backend server may have crashed without a reply.
            self._record_run(attempt, exchange, incarnation)
        return attempt

    def _may_begin(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether a request may be sent although this host may be stopping.

        One that has run goes on for as long as the host does.
        """
        return bool(exchange.runs) or self._stop.admits(exchange, now_s)

    def _is_current(self, backend: Backend, exchange: Exchange) -> bool:
        """Return whether a stream that goes on may be sent to a backend server.

        It may have started again under its id, with other software.
        """
        if exchange.software_version is None:
            return True
        instance_id = backend.announcement.instance_id
        return self._view.backends.find(instance_id) is backend

    def _can_go_on_elsewhere(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether another backend server can go on with a stream that stalls.

        While this host stops, the other one must have the time to begin.
        """
        if not self._stop.has_time(now_s, caller_timeout_s(exchange)):
            return False
        try:
            return bool(self._candidates(exchange))
        except RefusedError:
            return False

    def _record_stream(
        self, exchange: Exchange
    ) -> Callable[[], Awaitable[None]] | None:
        """Record which software version may begin a stream.

        Return what to await before its first event is relayed.
        """
        if exchange.software_version is not None or not exchange.is_resumable_stream():
            return None
        request_id, service = exchange.request.request_id, exchange.service.name
        version = exchange.backend_version
        recorded = self._streams.begin(request_id, service, version)
        return lambda: self._streams.wait_until_recorded(
            recorded, request_id, service, version
        )

    def _record_run(
        self, attempt: BackendAttempt, exchange: Exchange, incarnation: Incarnation
    ) -> None:
        """Report how a run ended to the crash controller."""
        now_s = boot_clock_s()
        fingerprint, parts = exchange.fingerprint, exchange.request.prompt_parts
        proved_at_s = attempt.proved_sound_at_s()
        if proved_at_s is not None:
            self._crashes.note_sound(parts, proved_at_s)
        if attempt.may_be_running and attempt.connection_broke:
            self._crashes.note_broken(fingerprint, incarnation, now_s, parts)
        elif attempt.may_be_running:
            until_s = exchange.run_deadline_s()
            self._crashes.note_pending(fingerprint, incarnation, now_s, until_s, parts)
        elif attempt.failure is not None:
            self._crashes.note_pending(fingerprint, incarnation, now_s, parts=parts)
        elif attempt.succeeded:
            self._crashes.note_served(fingerprint, now_s)

    # ---- logging ----

    def _log_request(self, exchange: Exchange) -> None:
        request = exchange.request
        now_s = boot_clock_s()
        is_complete = exchange.responder.finished
        outcome = request_outcome(exchange, now_s)
        self._metrics.note_request(exchange, outcome, now_s)
        if is_complete and request.last_event_id is None:
            self._stop.times.note(exchange, now_s)
        is_unusual = (
            not is_complete
            or outcome == "late"
            or exchange.attempts != 1
            or request.last_event_id is not None
        )
        # The process may end before anything else tells of a request.
        is_logged = is_unusual or self._stop.is_stopping()
        if not is_logged and not is_sampled(request.request_id):
            return
        self._log.line(
            "request" if is_unusual else "request_sample",
            **request_fields(exchange, now_s),
            **self._stop.log_fields(exchange),
            version=getattr(self._view.configuration, "version", 0),
        )


__all__ = ["FAILED", "Gateway"]
