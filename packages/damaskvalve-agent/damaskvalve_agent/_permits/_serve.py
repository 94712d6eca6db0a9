"""Runs the permit server: its calls, its metrics and its tasks."""

import asyncio
import contextlib
import functools

from damaskvalve_agent._permits._engine import EngineDialect
from damaskvalve_agent._permits._run import PermitServer
from damaskvalve_agent._permits._settings import PermitSettings
from damaskvalve_core import (
    DecisionLog,
    LeaderClient,
    RefusedError,
    boot_clock_s,
    decision_log,
    dialing,
    log_reloads,
    watch_stop_signals,
)
from damaskvalve_core.http import (
    Headers,
    ServerLimits,
    open_backend_pool,
    serving_http,
)
from damaskvalve_core.rpc import serving_rpc
from damaskvalve_core.tasks import background_tasks


def _metrics_limits() -> ServerLimits:
    """Return the limits for clients that read the metrics."""
    return ServerLimits(16 * 1024, 0, 5.0, 30.0)


def _plain_refusal(error: RefusedError) -> tuple[Headers, bytes]:
    return [(b"content-type", b"text/plain")], str(error).encode()


async def _serve(
    settings: PermitSettings, dialect: EngineDialect, log: DecisionLog
) -> float:
    """Serve until the signal to stop, also during the start; return when it came."""
    stop_request = watch_stop_signals()
    log_reloads(log)
    serving = asyncio.ensure_future(_serve_until_cancelled(settings, dialect, log))
    signalled = asyncio.ensure_future(stop_request.wait())
    try:
        await asyncio.wait((serving, signalled), return_when=asyncio.FIRST_COMPLETED)
    finally:
        signalled.cancel()
        serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving
    return stop_request.signalled_s


async def _serve_until_cancelled(
    settings: PermitSettings, dialect: EngineDialect, log: DecisionLog
) -> None:
    async with open_backend_pool() as pool:
        server = PermitServer(settings, dialect, pool, log)
        with dialing(settings.identity) as dialer:
            leader = LeaderClient(settings.rpc_hosts, dialer)
            async with (
                serving_rpc(settings.address, settings.identity, server.handle_call),
                serving_http(
                    settings.metrics_address,
                    server.serve_metrics,
                    _metrics_limits,
                    _plain_refusal,
                ),
            ):
                runs = (
                    functools.partial(server.fetch_fence, leader),
                    server.poll_reports,
                    server.send_orders,
                )
                with background_tasks(runs, log):
                    await asyncio.get_running_loop().create_future()


def run_permits(settings: PermitSettings, dialect: EngineDialect) -> None:
    """Serve permits until SIGTERM.

    Requests that have a permit continue without the agent. Until it is back, hosts rely
    on the adapters that the engine was last known to hold.
    """
    with decision_log(settings.name, boot_clock_s) as log:
        log.line("start", engine=settings.engine_address)
        signalled_s = asyncio.run(_serve(settings, dialect, log))
        log.line("stop", after_s=round(boot_clock_s() - signalled_s, 2))


__all__ = ["run_permits"]
