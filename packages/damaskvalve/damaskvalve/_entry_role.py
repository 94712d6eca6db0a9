"""Starts and stops the entry role of a host."""

import contextlib
import uuid
from collections.abc import Iterator

import logbook

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
from damaskvalve._http_server import serving
from damaskvalve._jobs import (
    JobApi,
    JobRunner,
    make_deferred_filter,
    running_jobs,
)
from damaskvalve._metrics import Metrics
from damaskvalve._replies import make_dispatch_handler
from damaskvalve._settings import HostSettings
from damaskvalve._subscription import Subscription
from damaskvalve._view import ConfigurationView
from damaskvalve_core import (
    Dialer,
    LeaderClient,
    PlannedStop,
    Recorder,
    boot_clock_s,
    running_periodically,
)

_log = logbook.Logger("entry")


@contextlib.contextmanager
def running_entry(
    settings: HostSettings,
    dialer: Dialer,
    record: Recorder,
    control: ControlService | None,
    stop: PlannedStop,
) -> Iterator[None]:
    """Run the entry role; on exit, let the requests and jobs in flight finish.

    All waits of the exit share the times of the stop.
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
    dispatcher = Dispatcher(
        view,
        dialer,
        leader,
        settings.data_centre,
        metrics,
        record,
        lambda: boot_clock_s() >= stop.end_s(),
    )
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
        stop,
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
        stack.enter_context(running_jobs(runner, settings.entry.job_runners, stop))
        stack.enter_context(serving(settings.entry, application, stop))
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
