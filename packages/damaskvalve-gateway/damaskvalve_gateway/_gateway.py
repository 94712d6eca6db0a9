"""The request path: a chain of steps from a caller's bytes to a backend server's."""

import asyncio
import traceback
from collections.abc import Callable, Sequence

import xxhash

from damaskvalve_core import (
    UNKNOWN,
    DecisionLog,
    RefusedError,
    boot_clock_s,
    is_sampled,
)
from damaskvalve_core.http import BackendPool, IncomingRequest, Responder
from damaskvalve_gateway._backend_attempt import (
    ANSWERED,
    BROKEN,
    FAILED,
    NOT_RUN,
    BackendAttempt,
    Failure,
    relay,
)
from damaskvalve_gateway._backends import Backend
from damaskvalve_gateway._choice import order_engines, order_plain
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._crashes import Start, request_fingerprint
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._metrics import GatewayMetrics
from damaskvalve_gateway._model import (
    CallerRequest,
    GatewayConfiguration,
    Route,
    Workspace,
)
from damaskvalve_gateway._overload import RetryAfterScheduler
from damaskvalve_gateway._permits import Permit, PermitClient
from damaskvalve_gateway._quarantine import check_quarantine
from damaskvalve_gateway._rate import RateFilter
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway._starting import startup_retry_after_s

NO_BACKEND_RETRY_S = 0.5
# A host that has heard no leader for so long keeps backend servers that it does not
# hear of either.
CUT_OFF_S = 2.5
# Sends of one request that backend servers may turn down before it is refused.
MAX_TURNED_DOWN = 3

#: Takes a backend server out of choice, here and at the other hosts.
NoteLeaving = Callable[[Backend], None]


class Gateway:
    """Serves callers' requests with what the host knows at the time."""

    def __init__(
        self,
        view: ClusterView,
        dialect: Dialect,
        pool: BackendPool,
        permits: PermitClient,
        rate: RateFilter,
        retries: RetryBudget,
        crashes: CrashController,
        note_leaving: NoteLeaving,
        data_centre: str,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._view = view
        self._dialect = dialect
        self._pool = pool
        self._permits = permits
        self._rate = rate
        self._retries = retries
        self._crashes = crashes
        self._note_leaving = note_leaving
        self._come_back = RetryAfterScheduler()
        self._began_s = boot_clock_s()
        self._data_centre = data_centre
        self._log = log
        self._metrics = metrics

    async def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answer one request, whatever becomes of it."""
        arrived_s = boot_clock_s()
        request_id = ""
        try:
            request = self._dialect.read_request(incoming)
            request_id = request.request_id
            exchange = self._admit(request, responder, arrived_s)
            await self._within_deadline(exchange)
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
        """Answer with a refusal, or cut an answer that has begun."""
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
        )
        if responder.started:
            responder.cut()
            return
        headers, body = self._dialect.refusal(error)
        await responder.send(error.status, headers, body)

    # ---- before anything is spent on a request ----

    def _admit(
        self, request: CallerRequest, responder: Responder, arrived_s: float
    ) -> Exchange:
        configuration = self._view.configuration
        if configuration is None:
            raise RefusedError(
                503,
                "no_configuration",
                "no configuration has arrived yet",
                retry_after_s=self._start_retry_s(arrived_s, bool(request.model)),
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise RefusedError(404, "no_route", "no route matches host and path")
        workspace = self._authenticate(configuration, route, request)
        name = workspace.name if workspace else ""
        fingerprint = request_fingerprint(name, request)
        self._check_quarantine(fingerprint)
        point = xxhash.xxh32_intdigest(request.request_id.encode()) / 2**32
        service = configuration.services[route.choose_service(point)]
        return Exchange(
            request, route, workspace, service, responder, arrived_s, fingerprint
        )

    def _check_quarantine(self, fingerprint: str) -> None:
        """Raise :class:`RefusedError` if a request would end a backend server.

        Asked again before each send: others may have sent it during any wait.
        """
        view = self._view
        check_quarantine(
            fingerprint, view.crashes, view.suspect_statuses, boot_clock_s()
        )

    def _start_retry_s(self, now_s: float, needs_engine: bool) -> float:
        """Return when to come back for want of something that others tell a host."""
        return startup_retry_after_s(self._began_s, now_s, needs_engine=needs_engine)

    @staticmethod
    def _authenticate(
        configuration: GatewayConfiguration, route: Route, request: CallerRequest
    ) -> Workspace | None:
        if route.public or not configuration.needs_keys():
            return None
        workspace = configuration.workspace_of(request.key) if request.key else None
        if workspace is None:
            raise RefusedError(401, "unknown_key", "the key is not known")
        return workspace

    # ---- time ----

    async def _within_deadline(self, exchange: Exchange) -> None:
        left_s = exchange.left_s(boot_clock_s())
        try:
            async with asyncio.timeout(left_s):
                async with self._rate.spending(exchange):
                    await self._dispatch(exchange)
        except TimeoutError as error:
            exchange.outcome = "timeout"
            if exchange.runs:
                raise RefusedError(
                    504, "timeout", "no answer came in time", ran=UNKNOWN
                ) from error
            raise RefusedError(
                503,
                "no_place_in_time",
                "no backend server had a place in time",
                retry_after_s=NO_BACKEND_RETRY_S,
            ) from error
        finally:
            self._record(exchange)

    # ---- sending ----

    async def _dispatch(self, exchange: Exchange) -> None:
        self._retries.earn(exchange.service.name, boot_clock_s())
        kept: Failure | None = None
        turned_down = 0
        while True:
            try:
                send = await self._one_send(exchange)
            except RefusedError as error:
                await self._end_unserved(exchange, kept, error)
                return
            outcome, kept = send.outcome, send.failure or kept
            if outcome == ANSWERED:
                return
            if outcome == BROKEN:
                self._note_broken(exchange, send)
            turned_down += outcome == NOT_RUN
            may_go_on = turned_down < MAX_TURNED_DOWN
            if not may_go_on or not self._may_send_again(exchange, outcome):
                break
        refused = RefusedError(
            503,
            "turned_down",
            f"the last send ended {outcome}: {send.reason}",
            retry_after_s=NO_BACKEND_RETRY_S,
        )
        await self._end_unserved(exchange, kept, refused)

    @staticmethod
    async def _end_unserved(
        exchange: Exchange, kept: Failure | None, error: RefusedError
    ) -> None:
        """End a request that nobody answered well.

        A backend server's own failure goes before an answer of the system's, and what
        may have run is never refused as not run.
        """
        if kept is not None and not exchange.responder.started:
            await relay(exchange, kept.head, kept.body)
        elif exchange.runs:
            raise RefusedError(502, "broken", str(error), ran=UNKNOWN) from error
        else:
            raise error

    def _may_send_again(self, exchange: Exchange, outcome: str) -> bool:
        if outcome != NOT_RUN and not exchange.may_run_again():
            return False
        service = exchange.service.name
        if not exchange.attempts:
            return True
        return self._retries.take(service, self._view.host_count, boot_clock_s())

    def _note_broken(self, exchange: Exchange, send: BackendAttempt) -> None:
        self._metrics.note_broken_run()
        self._log.line(
            "broken_run",
            request=exchange.request.request_id,
            fingerprint=exchange.fingerprint,
            backend=exchange.backend,
            reason=send.reason,
            runs=exchange.runs,
            last_event=exchange.last_event_id or "",
        )

    def _candidates(self, exchange: Exchange) -> Sequence[Backend]:
        now_s = boot_clock_s()
        stale = now_s - self._view.leader_contact_s > CUT_OFF_S
        service = exchange.service.name
        live = self._view.backends.live(service, now_s, stale=stale)
        willing = [item for item in live if item.takes_work(now_s)]
        if live and not willing:
            hosts = self._view.host_count
            raise RefusedError(
                503,
                "backends_overloaded",
                f"every backend server of {service} has asked to be left alone",
                retry_after_s=self._come_back.wait_s(service, live, hosts, now_s),
            )
        fresh = [
            item
            for item in willing
            if item.announcement.instance_id not in exchange.tried
        ]
        # The only one left is tried again, unless it may still be running it.
        return fresh or ([] if exchange.runs else willing)

    async def _one_send(self, exchange: Exchange) -> BackendAttempt:
        candidates = self._candidates(exchange)
        if not candidates:
            raise RefusedError(
                503,
                "no_backend",
                f"no backend server of {exchange.service.name} takes work",
                retry_after_s=self._start_retry_s(
                    boot_clock_s(), exchange.service.engine is not None
                ),
            )
        if exchange.service.engine is None:
            now_s = boot_clock_s()
            request_id = exchange.request.request_id
            ranked = order_plain(candidates, self._data_centre, request_id, now_s)
            return await self._send(exchange, Permit(ranked[0], 0, None, request_id))
        return await self._send_to_engine(exchange, candidates)

    async def _send_to_engine(
        self, exchange: Exchange, candidates: Sequence[Backend]
    ) -> BackendAttempt:
        request = exchange.request
        engine = exchange.service.engine
        assert engine is not None
        name = f"{request.model}/{request.adapter}"
        version = self._view.adapter_versions.get(name, 0)
        ranked = order_engines(candidates, name, boot_clock_s())

        def check() -> None:
            self._check_quarantine(exchange.fingerprint)

        permits = self._permits.permit(exchange, ranked, version, engine, check)
        async with permits as permit:
            send = await self._send(exchange, permit)
            permit.release(send.outcome)
            return send

    async def _send(self, exchange: Exchange, permit: Permit) -> BackendAttempt:
        backend = permit.backend
        exchange.backend = backend.announcement.instance_id
        send = BackendAttempt(
            exchange,
            backend,
            permit.version,
            self._pool,
            self._dialect,
            permit.note_started,
            self._note_leaving,
        )
        self._check_quarantine(exchange.fingerprint)
        start = exchange.backend, backend.announcement.started_at_ms
        try:
            await send.run()
        finally:
            # Also when the caller has left or the deadline has passed: the backend
            # server may have ended without a word.
            self._note_run(send, exchange.fingerprint, start)
        return send

    def _note_run(self, send: BackendAttempt, fingerprint: str, start: Start) -> None:
        """Note what a run says of its request and of its backend server."""
        now_s = boot_clock_s()
        if send.is_running and send.is_broken:
            self._crashes.note_broken(fingerprint, start, now_s)
        elif send.is_running or send.failure is not None:
            self._crashes.note_pending(fingerprint, start, now_s)
        elif send.ended_well:
            self._crashes.note_served(fingerprint, now_s)

    # ---- records ----

    def _record(self, exchange: Exchange) -> None:
        request = exchange.request
        now_s = boot_clock_s()
        whole = exchange.responder.finished
        late = whole and exchange.is_late(now_s)
        answered = "late" if late else "answered"
        outcome = exchange.outcome or (answered if whole else "not-answered")
        self._metrics.note_request(exchange, outcome, now_s)
        eventful = not whole or late or exchange.attempts != 1
        if not eventful and not is_sampled(request.request_id):
            return
        first_s = exchange.first_event_s
        self._log.line(
            "request" if eventful else "request_sample",
            request=request.request_id,
            fingerprint=exchange.fingerprint,
            route=exchange.route.name,
            workspace=exchange.workspace.name if exchange.workspace else "",
            backend=exchange.backend,
            adapter=request.adapter,
            outcome=outcome,
            sends=exchange.attempts,
            runs=exchange.runs,
            waited_s=round(exchange.waited_s, 4),
            first_event_s=round(first_s - exchange.arrived_s, 4) if first_s else "",
            longest_pause_s=round(exchange.longest_pause_s, 4),
            took_s=round(now_s - exchange.arrived_s, 4),
            tokens=(request.prompt_tokens or 0) + request.output_tokens,
            version=getattr(self._view.configuration, "version", 0),
        )


__all__ = ["FAILED", "Gateway"]
