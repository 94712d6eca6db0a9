"""Runs a gateway host from its start to its graceful stop."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from damaskvalve_core import (
    DecisionLog,
    RetryLaterError,
    boot_clock_s,
    decision_log,
    dialing,
    listening,
)
from damaskvalve_core.http import (
    BackendPool,
    HttpServer,
    IncomingRequest,
    Responder,
    ServerLimits,
    pooled_backends,
    serving_http,
)
from damaskvalve_core.metrics import CONTENT_TYPE
from damaskvalve_core.rpc import RpcClient, serving_rpc
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._control_service import ControlService
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway._leader_service import LeaderService
from damaskvalve_gateway._metrics import GatewayMetrics
from damaskvalve_gateway._permits import PermitClient
from damaskvalve_gateway._quota import HostQuota
from damaskvalve_gateway._rate import RateFilter
from damaskvalve_gateway._retries import RetryBudget
from damaskvalve_gateway._settings import GatewaySettings
from damaskvalve_gateway._state_client import StateClient
from damaskvalve_gateway._sync import SyncController
from damaskvalve_state import (
    Group,
    NodeSettings,
    Timing,
    read_or_make_member_id,
    running_group,
)

# Long enough for a scheduling pause on a small shared host; a new leader is elected
# within two of these, well inside the time that callers of control try for.
ELECTION_TIMEOUT_S = 0.7
HEARTBEAT_S = 0.15
PEER_ANSWER_S = 2.0
# The balancer looks every second and takes a host out after two misses.
BALANCER_LOOKS_S = 2.6
# Left at the end of the grace time for closing what is open.
CLOSING_S = 0.4
STOP_STEP_S = 0.05
# After the first seconds of a start, in which a host finds its group.
METRICS_AFTER_S = 5.0
# Between two looks at a disk that cannot be used yet.
DISK_RETRY_S = 0.5
# Until the first configuration names the bounds for callers.
FIRST_LIMITS = ServerLimits(16 * 1024, 4 * 1024 * 1024, 3.0, 15.0)
# A jump between the boot clock and the steady clock above this means that the host
# was suspended.
SUSPENDED_S = 0.8
SUSPENSION_STEP_S = 0.25

#: Makes the handler of the control address.
ControlHandler = Callable[[IncomingRequest, Responder], Awaitable[None]]
MakeControl = Callable[[ControlService], ControlHandler]


def _await_folder(settings: GatewaySettings, log: DecisionLog) -> None:
    """Wait until the disk lets a member start: a full or broken one may not."""
    while settings.folder is not None:
        try:
            settings.folder.mkdir(parents=True, exist_ok=True)
            read_or_make_member_id(settings.folder)
            return
        except OSError as error:
            log.line("disk_unusable", folder=str(settings.folder), reason=str(error))
            time.sleep(DISK_RETRY_S)


@contextlib.contextmanager
def _member(settings: GatewaySettings) -> Iterator[Group]:
    """Run this host's member of the group."""
    node = NodeSettings(
        settings.folder,
        settings.group_address,
        settings.data_centre,
        settings.seeds,
        Timing(ELECTION_TIMEOUT_S, HEARTBEAT_S),
        may_bootstrap=settings.may_bootstrap,
        open_group=True,
    )
    with (
        dialing(settings.identity, settings.bind_ip) as dialer,
        running_group(node, dialer) as group,
        listening(
            settings.bind_address(settings.group_address),
            settings.identity,
            lambda request, _: [group.ask_peer(request, PEER_ANSWER_S)],
        ),
    ):
        yield group


def run_gateway(
    settings: GatewaySettings,
    dialect: Dialect,
    make_control: MakeControl,
    began_s: float,
) -> None:
    """Serve until SIGTERM, then stop gracefully.

    ``began_s`` is a time, by the boot clock, at which this process ran already: what
    this host may spend of the rates has been growing since.
    """
    with decision_log(settings.name, boot_clock_s) as log:
        log.line(
            "start",
            data_centre=settings.data_centre,
            durable=settings.folder is not None,
            may_found=settings.may_bootstrap,
        )
        _await_folder(settings, log)
        with _member(settings) as group:
            asyncio.run(_serve(settings, dialect, make_control, group, log, began_s))
        log.line("stop")


async def _serve(
    settings: GatewaySettings,
    dialect: Dialect,
    make_control: MakeControl,
    group: Group,
    log: DecisionLog,
    began_s: float,
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.line("reload"))
    view = ClusterView()
    rpc_client = RpcClient(settings.identity, settings.bind_ip)
    state_client = StateClient(settings, group, rpc_client, view, dialect, log)
    quota = HostQuota(settings.quota_slack, began_s)
    crashes = CrashController(state_client, view, log)
    leader_service = LeaderService(settings, state_client, view, quota, crashes, log)
    sync = SyncController(
        settings, state_client, view, quota, leader_service, crashes, log
    )
    control = ControlService(dialect, state_client, sync, view, log)
    metrics = GatewayMetrics(settings.name, view, quota, state_client, log)
    terms = settings.retries
    async with contextlib.AsyncExitStack() as stack:
        pool = await stack.enter_async_context(pooled_backends(settings.bind_ip))
        gateway = Gateway(
            view,
            dialect,
            pool,
            PermitClient(rpc_client, settings.agent_port),
            RateFilter(quota, sync.ask_tokens, sync.return_tokens),
            RetryBudget(terms.ratio, terms.slack, terms.window_s),
            crashes,
            sync.note_leaving,
            settings.data_centre,
            log,
            metrics,
        )
        calls = settings.bind_address(settings.rpc_address(settings.group_address))
        await stack.enter_async_context(
            serving_rpc(calls, settings.identity, leader_service.answer)
        )

        async def open_server(
            address: str, handler: ControlHandler, limits: Callable[[], ServerLimits]
        ) -> HttpServer:
            serving = serving_http(address, handler, limits, dialect.refusal)
            return await stack.enter_async_context(serving)

        await open_server(
            settings.control_address, make_control(control), _control_limits
        )
        await open_server(
            settings.metrics_address, _make_metrics(metrics), _control_limits
        )
        ready = _make_ready(view, stopping)
        await open_server(settings.ready_address, ready, _control_limits)
        front = await open_server(
            settings.front_address, gateway.handle, lambda: _limits(view)
        )
        tasks = [
            loop.create_task(state_client.watch()),
            loop.create_task(sync.run()),
            loop.create_task(crashes.run()),
            loop.create_task(_load_metrics(metrics)),
            loop.create_task(_watch_suspension(pool, rpc_client, log)),
        ]
        for task in tasks:
            task.add_done_callback(lambda ended: _log_failure(ended, log))
        try:
            await stopping.wait()
            await _hand_over(group, log)
            await _stop(settings, front, log)
        finally:
            for task in tasks:
                task.cancel()


def _log_failure(task: asyncio.Task[None], log: DecisionLog) -> None:
    """Say that a part of this host has stopped, which it should not."""
    if not task.cancelled() and task.exception() is not None:
        log.line("task_failed", reason=repr(task.exception()))


def _control_limits() -> ServerLimits:
    """Return the bounds for operators and backend servers."""
    return ServerLimits(16 * 1024, 16 * 1024 * 1024, 5.0, 30.0)


def _limits(view: ClusterView) -> ServerLimits:
    configuration = view.configuration
    return FIRST_LIMITS if configuration is None else configuration.limits


def _make_ready(view: ClusterView, stopping: asyncio.Event) -> ControlHandler:
    """Return the handler by which the balancer asks whether to send callers."""

    async def ready(incoming: IncomingRequest, responder: Responder) -> None:
        # Without one exchange with a leader no backend server is known either.
        informed = view.configuration is not None and view.leader_contact_s > 0
        is_ready = informed and not stopping.is_set()
        await responder.send(200 if is_ready else 503, [], b"")

    return ready


def _make_metrics(metrics: GatewayMetrics) -> ControlHandler:
    """Return the handler that shows the metrics."""

    async def show(incoming: IncomingRequest, responder: Responder) -> None:
        headers = [(b"content-type", CONTENT_TYPE.encode())]
        await responder.send(200, headers, metrics.render())

    return show


async def _load_metrics(metrics: GatewayMetrics) -> None:
    """Load the metrics library when the host serves already."""
    await asyncio.sleep(METRICS_AFTER_S)
    await asyncio.to_thread(metrics.load)


async def _stop(settings: GatewaySettings, front: HttpServer, log: DecisionLog) -> None:
    """Serve until the balancer sends nobody, finish what runs, then close."""
    began_s = boot_clock_s()
    log.line("stopping", active=front.active)
    while boot_clock_s() - began_s < BALANCER_LOOKS_S:
        await asyncio.sleep(STOP_STEP_S)
    front.stop_accepting()
    front.say_close()
    give_up_s = began_s + settings.grace_s - CLOSING_S
    while front.is_busy() and boot_clock_s() < give_up_s:
        front.close_idle()
        await asyncio.sleep(STOP_STEP_S)
    front.close_idle()
    log.line("stopped", active=front.active, took_s=round(boot_clock_s() - began_s, 2))


async def _hand_over(group: Group, log: DecisionLog) -> None:
    """Let another host lead before this one stops."""
    try:
        await asyncio.to_thread(group.transfer_leadership)
    except RetryLaterError as error:
        log.line("not_handed_over", reason=str(error))


async def _watch_suspension(
    pool: BackendPool, rpc_client: RpcClient, log: DecisionLog
) -> None:
    """Trust no connection that was idle while the host was suspended."""
    offset_s = boot_clock_s() - time.monotonic()
    while True:
        await asyncio.sleep(SUSPENSION_STEP_S)
        now_offset_s = boot_clock_s() - time.monotonic()
        if now_offset_s - offset_s > SUSPENDED_S:
            log.line("resumed", suspended_s=round(now_offset_s - offset_s, 2))
            pool.forget_all()
            rpc_client.drop_idle()
        offset_s = now_offset_s
