"""Runs a gateway host from its start to its graceful shutdown."""

import asyncio
import contextlib
import functools
import time
from collections.abc import Awaitable, Callable, Iterator

from damaskvalve_core import (
    DecisionLog,
    StopRequest,
    boot_clock_s,
    decision_log,
    dialing,
    listening,
    log_reloads,
    watch_stop_signals,
)
from damaskvalve_core.http import (
    BackendPool,
    ConnectionBudget,
    HttpServer,
    IncomingRequest,
    Responder,
    ServerLimits,
    open_backend_pool,
    serving_http,
)
from damaskvalve_core.metrics import CONTENT_TYPE
from damaskvalve_core.rpc import RpcClient, serving_rpc
from damaskvalve_core.tasks import background_tasks, run_in_thread
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backend_attempt import ReplyCallback
from damaskvalve_gateway._base_versions import BaseVersionController
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._confirmation_controller import ConfirmationController
from damaskvalve_gateway._control_service import ControlService
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway._leader_service import LeaderService
from damaskvalve_gateway._limit_statements import LimitStatement
from damaskvalve_gateway._metrics import GatewayMetrics
from damaskvalve_gateway._model import ReplyMetadata
from damaskvalve_gateway._permits import PermitClient
from damaskvalve_gateway._planned_stop import log_step, stop_serving
from damaskvalve_gateway._quota import HostQuota
from damaskvalve_gateway._rate import RateFilter
from damaskvalve_gateway._reply_fields import IneffectiveReplyFields
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway._send_gate import SendGate
from damaskvalve_gateway._settings import GatewaySettings
from damaskvalve_gateway._state_client import StateClient
from damaskvalve_gateway._stream_versions import StreamVersions
from damaskvalve_gateway._sync import SyncController
from damaskvalve_state import (
    Group,
    NodeSettings,
    Timing,
    read_or_make_member_id,
    running_group,
)

# The election timeout is longer than scheduling pauses on a small shared host. A new
# leader is elected within two election timeouts, well within the time for which clients
# of the control address retry.
ELECTION_TIMEOUT_S = 0.7
HEARTBEAT_S = 0.15
# The group takes up to this many election timeouts to elect a leader and to give the
# vote of a lost host to its successor.
REPAIR_ELECTION_TIMEOUTS = 4
PEER_REPLY_TIMEOUT_S = 2.0
# The metrics library is imported this long after the start, because the host joins its
# group in the first seconds.
METRICS_LOAD_DELAY_S = 5.0
# Interval between checks of a disk that is not usable yet.
DISK_RETRY_S = 0.5
# Limits for callers until the first configuration sets them: bytes of headers, bytes of
# the body, time for the headers, and idle time of a connection.
INITIAL_LIMITS = ServerLimits(16 * 1024, 4 * 1024 * 1024, 3.0, 15.0)
# If the boot clock gains more than this on the monotonic clock between two checks, the
# host was suspended.
SUSPENSION_THRESHOLD_S = 0.8
SUSPENSION_POLL_INTERVAL_S = 0.25

#: Handles the requests to one of the host's addresses.
ControlHandler = Callable[[IncomingRequest, Responder], Awaitable[None]]
#: Makes the handler of the control address.
MakeControl = Callable[[ControlService], ControlHandler]


def _wait_for_folder(settings: GatewaySettings, log: DecisionLog) -> None:
    """Wait until the data folder is usable; the disk may be full or broken."""
    while settings.folder is not None:
        try:
            read_or_make_member_id(settings.folder)
            return
        except OSError as error:
            log.line("disk_unusable", folder=str(settings.folder), reason=str(error))
            time.sleep(DISK_RETRY_S)


@contextlib.contextmanager
def _running_member(settings: GatewaySettings, log: DecisionLog) -> Iterator[Group]:
    """Run this host's member of the replication group."""
    node = NodeSettings(
        settings.folder,
        settings.group_address,
        settings.data_centre,
        settings.seeds,
        Timing(ELECTION_TIMEOUT_S, HEARTBEAT_S),
        may_bootstrap=settings.may_bootstrap,
        open_group=True,
        tolerance=settings.tolerance,
    )
    catch_up_s = settings.tolerance.catch_up_s
    if catch_up_s < REPAIR_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_S:
        log.line("catch_up_too_short", catch_up_s=catch_up_s)
    with (
        dialing(settings.identity, settings.bind_ip) as dialer,
        running_group(
            node, dialer, lambda kind, fields: log.line(kind, **fields)
        ) as group,
        listening(
            settings.bind_address(settings.group_address),
            settings.identity,
            lambda request, _: [
                group.handle_peer_message(request, PEER_REPLY_TIMEOUT_S)
            ],
        ),
    ):
        yield group


def run_gateway(
    settings: GatewaySettings,
    dialect: Dialect,
    make_control: MakeControl,
    started_at_s: float,
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    ``started_at_s`` is a boot clock time at which this process already ran: the host's
    quota accrues from then on.
    """
    with decision_log(settings.name, boot_clock_s) as log:
        log.line(
            "start",
            data_centre=settings.data_centre,
            durable=settings.folder is not None,
            may_found=settings.may_bootstrap,
        )
        _wait_for_folder(settings, log)
        with _running_member(settings, log) as group:
            signalled_s = asyncio.run(
                _serve(settings, dialect, make_control, group, log, started_at_s)
            )
            log_step(log, "event_loop_closed", signalled_s, boot_clock_s())
        log.line("stop", after_s=round(boot_clock_s() - signalled_s, 2))


async def _serve(
    settings: GatewaySettings,
    dialect: Dialect,
    make_control: MakeControl,
    group: Group,
    log: DecisionLog,
    started_at_s: float,
) -> float:
    """Serve until the end of a planned stop; return when its signal came."""
    stop_request = watch_stop_signals()
    log_reloads(log)
    view = ClusterView()
    view.regions = settings.regions
    rpc_client = RpcClient(settings.identity, settings.bind_ip)
    state_client = StateClient(settings, group, rpc_client, view, dialect, log)
    quota = HostQuota(settings.quota_slack, started_at_s)
    crashes = CrashController(state_client, view, log)
    streams = StreamVersions(state_client, view, log)
    base_versions = BaseVersionController(state_client, view, log)
    confirmations = ConfirmationController(
        state_client, view, settings.configuration_apply_s, log
    )
    leader_service = LeaderService(settings, state_client, view, quota, crashes, log)
    sync = SyncController(
        settings, state_client, view, quota, leader_service, crashes, log
    )
    control = ControlService(dialect, state_client, sync, view, log)
    metrics = GatewayMetrics(settings.name, view, quota, state_client, log)
    ineffective_fields = IneffectiveReplyFields(log, metrics.note_unknown_field)
    gate = SendGate(sync.request_grants, metrics.note_limit_refusal, log)
    retry_settings = settings.retries
    connection_limits = settings.connection_limits

    def note_closed(reason: str, closed: int, held_bytes: int) -> None:
        metrics.note_closed_connections(reason, closed)
        log.line(
            "connections_closed", reason=reason, closed=closed, held_bytes=held_bytes
        )

    budget = ConnectionBudget(connection_limits, note_closed)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(rpc_client.close_idle)
        pool = await stack.enter_async_context(open_backend_pool(settings.bind_ip))
        pool.reply_budget = budget.message_budget()
        gateway = Gateway(
            view,
            dialect,
            pool,
            PermitClient(
                rpc_client,
                settings.agent_port,
                gate,
                metrics.note_engine_choice,
                lambda: view.host_count,
                log,
            ),
            gate,
            RateFilter(quota, sync.borrow_tokens, sync.return_tokens),
            RetryBudget(
                retry_settings.ratio, retry_settings.slack, retry_settings.window_s
            ),
            crashes,
            streams,
            confirmations,
            make_reply_observer(sync, ineffective_fields),
            settings.data_centre,
            log,
            metrics,
        )
        listen_address = settings.bind_address(
            settings.rpc_address(settings.group_address)
        )
        await stack.enter_async_context(
            serving_rpc(listen_address, settings.identity, leader_service.answer)
        )

        async def open_server(
            address: str,
            handler: ControlHandler,
            limits: Callable[[], ServerLimits] = _control_limits,
            max_connections: int = connection_limits.other_connections,
        ) -> HttpServer:
            serving = serving_http(
                address, handler, limits, dialect.refusal, budget, max_connections
            )
            return await stack.enter_async_context(serving)

        control_server = await open_server(
            settings.control_address, make_control(control)
        )
        await open_server(settings.metrics_address, _make_metrics_handler(metrics))
        ready = _make_ready_handler(view, stop_request)
        await open_server(settings.ready_address, ready)
        caller_server = await open_server(
            settings.front_address,
            gateway.handle,
            lambda: _caller_limits(view),
            connection_limits.caller_connections,
        )
        runs = (
            state_client.watch,
            sync.run,
            crashes.run,
            streams.run,
            base_versions.run,
            confirmations.run,
            functools.partial(_load_metrics, metrics),
            functools.partial(_watch_suspension, pool, rpc_client, log),
        )
        with background_tasks(runs, log):
            signalled_s = await stop_request.wait()
            await stop_serving(
                signalled_s,
                settings.grace_s,
                group,
                caller_server,
                control_server,
                gateway,
                log,
            )
        log_step(log, "served", signalled_s, boot_clock_s())
    return signalled_s


def make_reply_observer(
    sync: SyncController, ineffective_fields: IneffectiveReplyFields
) -> ReplyCallback:
    """Return the function that processes what replies say about backend servers."""

    def observe(
        backend: Backend, metadata: ReplyMetadata, sent_s: float, read_s: float
    ) -> None:
        ineffective_fields.note(backend, metadata.unknown_fields)
        ineffective_fields.note_unreadable(backend, metadata.unreadable_fields)
        if metadata.leaving:
            sync.note_leaving(backend)
        # Only a reply that is certainly one to this request shows that a limit ended.
        is_certain = bool(metadata.request_id) and metadata.limit_readable
        if metadata.limit_per_s is not None or is_certain:
            statement = LimitStatement(metadata.limit_per_s, sent_s, read_s)
            sync.note_limit(backend, statement)

    return observe


def _control_limits() -> ServerLimits:
    """Return the limits for requests of operators and backend servers."""
    return ServerLimits(16 * 1024, 16 * 1024 * 1024, 5.0, 30.0)


def _caller_limits(view: ClusterView) -> ServerLimits:
    configuration = view.configuration
    return INITIAL_LIMITS if configuration is None else configuration.limits


def _make_ready_handler(view: ClusterView, stop_request: StopRequest) -> ControlHandler:
    """Return the handler of the load balancer's readiness check."""

    async def ready(incoming: IncomingRequest, responder: Responder) -> None:
        # Backend servers are known only after the first exchange with a leader.
        has_state = view.configuration is not None and view.leader_contact_s > 0
        is_ready = has_state and not stop_request.is_set()
        await responder.send(200 if is_ready else 503, [], b"")

    return ready


def _make_metrics_handler(metrics: GatewayMetrics) -> ControlHandler:
    """Return the handler that serves the metrics."""

    async def show(incoming: IncomingRequest, responder: Responder) -> None:
        headers = [(b"content-type", CONTENT_TYPE.encode())]
        await responder.send(200, headers, metrics.render())

    return show


async def _load_metrics(metrics: GatewayMetrics) -> None:
    """Load the metrics library once the host is serving."""
    await asyncio.sleep(METRICS_LOAD_DELAY_S)
    await run_in_thread(metrics.load)


async def _watch_suspension(
    pool: BackendPool, rpc_client: RpcClient, log: DecisionLog
) -> None:
    """Close idle connections after each suspension of the host."""
    offset_s = boot_clock_s() - time.monotonic()
    while True:
        await asyncio.sleep(SUSPENSION_POLL_INTERVAL_S)
        now_offset_s = boot_clock_s() - time.monotonic()
        if now_offset_s - offset_s > SUSPENSION_THRESHOLD_S:
            log.line("resumed", suspended_s=round(now_offset_s - offset_s, 2))
            pool.close_all_idle()
            rpc_client.close_idle()
        offset_s = now_offset_s
