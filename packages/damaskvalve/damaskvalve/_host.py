"""Puts one host together from the roles that its settings name."""

import contextlib
import math
import signal
import sys
import threading
import time
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import logbook
from cheroot import wsgi

from damaskvalve._admin import AdminApi, wall_clock
from damaskvalve._control_service import CONFIRM_S, ControlService
from damaskvalve._dispatch import Dispatcher, make_dispatch
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
from damaskvalve._jobs import JobDesk, JobRunner, make_deferred_filter
from damaskvalve._ledger import REPORT_S, Ledger
from damaskvalve._metrics import Metrics
from damaskvalve._settings import CONTROL, ENTRY, HostSettings
from damaskvalve._subscription import Subscription
from damaskvalve._view import CONFIGURATION_LEASE_S, ConfigurationView
from damaskvalve_core import (
    Dialer,
    HybridClock,
    LeaderClient,
    Recorder,
    RetryLaterError,
    dialing,
    listening,
    open_time_line,
    split_address,
)
from damaskvalve_state import LoadLimit, NodeSettings, Timing, running_group

STOP_STEP_S = 0.05
DRAIN_LIMIT_S = 120.0
GOODBYE_S = 0.5
GROUP_FOLDER = "group"
# Short, so that a thread back from a sync or a socket soon runs again.
SWITCH_INTERVAL_S = 0.0001

_log = logbook.Logger("host")

WsgiApplication = Callable[[Mapping[str, Any], Callable[..., Any]], Iterable[bytes]]


def _repeat(stop: threading.Event, period_s: float, step: Callable[[], None]) -> None:
    while not stop.is_set():
        try:
            step()
        except RetryLaterError as error:
            _log.info("will try again: {}", error)
        except Exception:
            _log.exception("a background step failed")
        stop.wait(period_s)


@contextlib.contextmanager
def _background(period_s: float, step: Callable[[], None]) -> Iterator[None]:
    """Run a step again and again until the end."""
    stop = threading.Event()
    thread = threading.Thread(target=_repeat, args=(stop, period_s, step), daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()


@contextlib.contextmanager
def running_control(settings: HostSettings, dialer: Dialer) -> Iterator[ControlService]:
    """Run the control role."""
    control = settings.control
    node_settings = NodeSettings(
        settings.data_folder / GROUP_FOLDER,
        control.listen,
        settings.data_centre,
        settings.control_hosts,
        Timing(control.election_timeout_s, control.heartbeat_s),
    )
    load_limit = LoadLimit(
        control.load_rate_per_s, control.load_burst, control.max_loads_in_flight
    )
    with contextlib.ExitStack() as stack:
        group = stack.enter_context(running_group(node_settings, dialer))
        service = ControlService(
            f"{settings.name}-{uuid.uuid4().hex[:8]}",
            group,
            dialer,
            load_limit,
            CONFIGURATION_LEASE_S,
            control.retention_s,
        )
        stack.enter_context(
            listening(control.listen, settings.identity, service.handle)
        )
        stack.enter_context(_background(CONFIRM_S, service.keep_fresh))
        _log.info("control role listens on {}", control.listen)
        yield service


class _Requests:
    """Counts requests under way, for a graceful shutdown."""

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
    settings: HostSettings, dialer: Dialer, record: Recorder, metrics: Metrics
) -> Iterator[None]:
    """Run the entry role; at the end no request under way is cut off."""
    view = ConfigurationView()
    entry_id = f"{settings.name}-{uuid.uuid4().hex[:8]}"
    hosts = settings.control_hosts
    subscription = Subscription(
        settings.name, settings.data_centre, hosts, dialer, view
    )
    leader = LeaderClient(hosts, dialer)
    ledger = Ledger(entry_id, leader)
    dispatcher = Dispatcher(view, dialer, leader, settings.data_centre, metrics, record)
    dispatch = make_dispatch(dispatcher, wall_clock)
    adapters = make_adapter_filter(
        subscription.adapter, settings.entry.max_output_tokens
    )
    inner = [
        adapters,
        make_quarantine_filter(view),
        make_claim_filter(leader, subscription, record),
        make_limit_filter(ledger),
    ]
    chain = compose(
        [
            make_outer_filter(metrics, record),
            make_classify_filter(view),
            make_authenticate_filter(view),
            adapters,
            make_deferred_filter(leader, record),
            *inner[1:],
        ],
        dispatch,
    )
    application = Application(
        settings.entry,
        view,
        subscription,
        chain,
        JobDesk(leader, subscription),
        AdminApi(view, leader, subscription, wall_clock),
        metrics,
    )
    runner = JobRunner(entry_id, leader, view, compose(inner, dispatch), new_request_id)
    with contextlib.ExitStack() as stack:
        stack.enter_context(_background(0.0, subscription.poll))
        stack.enter_context(_background(REPORT_S, ledger.report))
        stack.enter_context(_running_jobs(runner, settings.entry.job_runners))
        stack.enter_context(_serving(settings, application))
        _log.info("entry role listens on {}", settings.entry.listen)
        yield


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
            thread.join(DRAIN_LIMIT_S)


@contextlib.contextmanager
def _serving(settings: HostSettings, application: Application) -> Iterator[None]:
    entry = settings.entry
    requests = _Requests()
    server = wsgi.Server(
        split_address(entry.listen),
        _counted(application, requests),
        numthreads=entry.threads,
        max=entry.threads,
        timeout=math.ceil(entry.caller_timeout_s),
        request_queue_size=512,
        shutdown_timeout=math.ceil(DRAIN_LIMIT_S),
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


def _await_requests(requests: _Requests) -> None:
    """Wait until no request was under way for a moment."""
    give_up_s = time.monotonic() + DRAIN_LIMIT_S
    quiet_since_s = time.monotonic()
    while time.monotonic() < give_up_s:
        if requests.count > 0:
            quiet_since_s = time.monotonic()
        elif time.monotonic() - quiet_since_s > GOODBYE_S:
            return
        time.sleep(STOP_STEP_S)
    _log.error("stopping with {} requests unfinished", requests.count)


def _counted(application: Application, requests: _Requests) -> WsgiApplication:
    def run(
        environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        requests.enter()
        try:
            yield from application(environ, start_response)
        finally:
            requests.leave()

    return run


def run_host(settings: HostSettings) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stop.set())
    signal.signal(signal.SIGINT, lambda number, frame: stop.set())
    settings.data_folder.mkdir(parents=True, exist_ok=True)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    with contextlib.ExitStack() as stack:
        clock = HybridClock(time.time)
        record = stack.enter_context(
            open_time_line(settings.data_folder, settings.name, clock)
        )
        metrics = stack.enter_context(contextlib.closing(Metrics(settings.name)))
        dialer = stack.enter_context(dialing(settings.identity))
        if CONTROL in settings.roles:
            stack.enter_context(running_control(settings, dialer))
        if ENTRY in settings.roles:
            stack.enter_context(running_entry(settings, dialer, record, metrics))
        record("host-start", roles=list(settings.roles))
        stop.wait()
        _log.info("shutting down")
        record("host-stop")
