"""Starts and stops the entry role of a host."""

import contextlib
import math
import threading
import time
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import logbook
from cheroot import wsgi

from damaskvalve._admin import AdminApi, wall_clock
from damaskvalve._control_service import ControlService
from damaskvalve._credit_client import REPORT_INTERVAL_S, CreditClient
from damaskvalve._dispatch import Dispatcher
from damaskvalve._exchange import compose
from damaskvalve._filters import (
    make_adapter_filter,
    make_authenticate_filter,
    make_claim_filter,
    make_classify_filter,
    make_limit_filter,
    make_outer_filter,
    make_quarantine_filter,
)
from damaskvalve._http import Application, new_request_id
from damaskvalve._jobs import JobApi, JobRunner, make_deferred_filter
from damaskvalve._metrics import Metrics
from damaskvalve._replies import make_dispatch_handler
from damaskvalve._settings import HostSettings
from damaskvalve._subscription import Subscription
from damaskvalve._view import ConfigurationView
from damaskvalve_core import (
    Dialer,
    LeaderClient,
    Recorder,
    boot_clock_s,
    running_periodically,
    split_address,
)

DRAIN_POLL_INTERVAL_S = 0.05
DRAIN_TIMEOUT_S = 120.0
# A stopping host closes its server after this time without a request in flight.
IDLE_PERIOD_S = 0.5

_log = logbook.Logger("entry")

WsgiApplication = Callable[[Mapping[str, Any], Callable[..., Any]], Iterable[bytes]]


class _RequestCounter:
    """Counts the requests in flight, for a graceful shutdown."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.count = 0

    def enter(self) -> None:
        with self._lock:
            self.count += 1

    def leave(self) -> None:
        with self._lock:
            self.count -= 1


@contextlib.contextmanager
def running_entry(
    settings: HostSettings,
    dialer: Dialer,
    record: Recorder,
    control: ControlService | None,
) -> Iterator[None]:
    """Run the entry role; on exit, let the requests in flight finish.

    The exit also waits for each job runner. Each wait ends after ``DRAIN_TIMEOUT_S``.
    """
    metrics = Metrics(settings.name)
    view = ConfigurationView()
    entry_id = f"{settings.name}-{uuid.uuid4().hex[:8]}"
    hosts = settings.control_hosts
    subscription = Subscription(
        settings.name, settings.data_centre, hosts, dialer, view
    )
    leader = LeaderClient(hosts, dialer)
    credit_client = CreditClient(entry_id, leader)
    dispatcher = Dispatcher(view, dialer, leader, settings.data_centre, metrics, record)
    dispatch = make_dispatch_handler(dispatcher, wall_clock)
    _register_gauges(metrics, credit_client, dispatcher, control)
    adapter_filter = make_adapter_filter(
        subscription.lookup_adapter, settings.entry.max_output_tokens
    )
    job_filters = [
        adapter_filter,
        make_quarantine_filter(view),
        make_claim_filter(leader, subscription, record),
        make_limit_filter(credit_client),
    ]
    chain = compose(
        [
            make_outer_filter(metrics, record),
            make_classify_filter(view),
            make_authenticate_filter(view),
            adapter_filter,
            make_deferred_filter(leader, record),
            *job_filters[1:],
        ],
        dispatch,
    )
    application = Application(
        settings.entry,
        view,
        subscription,
        chain,
        JobApi(leader),
        AdminApi(view, leader, subscription, wall_clock),
        metrics,
    )
    runner = JobRunner(
        entry_id, leader, view, compose(job_filters, dispatch), new_request_id
    )
    with contextlib.ExitStack() as stack:
        stack.callback(metrics.close)
        stack.enter_context(running_periodically(0.0, subscription.poll))
        stack.enter_context(
            running_periodically(REPORT_INTERVAL_S, credit_client.report)
        )
        stack.enter_context(_running_jobs(runner, settings.entry.job_runners))
        stack.enter_context(_serving(settings, application))
        _log.info("entry role listens on {}", settings.entry.listen)
        yield


def _register_gauges(
    metrics: Metrics,
    credit_client: CreditClient,
    dispatcher: Dispatcher,
    control: ControlService | None,
) -> None:
    """Register gauges for this host, and for its control role if it has one."""
    metrics.register_gauge("credit_tokens", "workspace", credit_client.credit)
    metrics.register_gauge("in_flight", "backend_server", dispatcher.in_flight.counts)
    if control is not None:
        metrics.register_gauge("log_lag_entries", "control_host", control.log_lag)
        metrics.register_agent_gauges(control.backends.counters)


@contextlib.contextmanager
def _running_jobs(runner: JobRunner, count: int) -> Iterator[None]:
    stop = threading.Event()
    threads = [
        threading.Thread(target=runner.run_forever, args=(stop,), daemon=True)
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.set()
        for thread in threads:
            thread.join(DRAIN_TIMEOUT_S)


@contextlib.contextmanager
def _serving(settings: HostSettings, application: Application) -> Iterator[None]:
    entry = settings.entry
    requests = _RequestCounter()
    server = wsgi.Server(
        split_address(entry.listen),
        _count_requests(application, requests),
        numthreads=entry.threads,
        max=entry.threads,
        timeout=math.ceil(entry.caller_timeout_s),
        request_queue_size=512,
        shutdown_timeout=math.ceil(DRAIN_TIMEOUT_S),
    )
    server.max_request_header_size = entry.max_header_bytes
    server.max_request_body_size = entry.max_body_bytes
    setattr(server, "error_log", _log_server_error)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield
    finally:
        application.stopping = True
        _await_requests(requests)
        server.stop()


def _log_server_error(
    message: str = "", level: int = 20, traceback: bool = False
) -> None:
    _log.debug("http server: {}", message)


def _await_requests(requests: _RequestCounter) -> None:
    """Wait until no request has been in flight for ``IDLE_PERIOD_S``."""
    deadline_s = boot_clock_s() + DRAIN_TIMEOUT_S
    idle_since_s = boot_clock_s()
    while boot_clock_s() < deadline_s:
        if requests.count > 0:
            idle_since_s = boot_clock_s()
        elif boot_clock_s() - idle_since_s > IDLE_PERIOD_S:
            return
        time.sleep(DRAIN_POLL_INTERVAL_S)
    _log.error("stopping with {} requests unfinished", requests.count)


def _count_requests(
    application: Application, requests: _RequestCounter
) -> WsgiApplication:
    def run(
        environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        requests.enter()
        try:
            yield from application(environ, start_response)
        finally:
            requests.leave()

    return run
