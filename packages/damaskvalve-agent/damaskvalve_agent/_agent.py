"""Assembles one agent and runs it until it receives a stop signal."""

import contextlib
import functools
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import logbook

from damaskvalve_agent._agent_stop import drain, release_fence
from damaskvalve_agent._backend_client import BackendClient
from damaskvalve_agent._control import ControlClient
from damaskvalve_agent._fair_queue import FairQueue
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._registration import (
    HEALTH_CHECK_INTERVAL_S,
    REPORT_INTERVAL_S,
    Registration,
)
from damaskvalve_agent._scheduler import Scheduler, SchedulerLimits
from damaskvalve_agent._scheduler_actor import (
    TICK_INTERVAL_S,
    SchedulerActor,
    SchedulerHandle,
    random_jitter,
)
from damaskvalve_agent._service import Counters, WorkService
from damaskvalve_agent._settings import AgentSettings
from damaskvalve_agent._slots import Slots
from damaskvalve_core import (
    CLOSE_TIMEOUT_S,
    HybridClock,
    Recorder,
    dialing,
    listening,
    open_time_line,
    run_at_most,
    running_periodically,
    watch_planned_stop,
)

_log = logbook.Logger("agent")


def _make_scheduler(settings: AgentSettings) -> Scheduler:
    backend = settings.backend
    return Scheduler(
        FairQueue(settings.max_waiting, settings.max_debt_units),
        Slots(backend.slots) if backend.kind == "engine" else None,
        SchedulerLimits(backend.max_running, settings.max_loads),
        random_jitter(),
    )


@contextlib.contextmanager
def _running_scheduler(
    settings: AgentSettings,
    backend: BackendClient,
    control: ControlClient,
    fence: Fence,
    incarnation: str,
    record: Recorder,
) -> Iterator[SchedulerHandle]:
    scheduler = _make_scheduler(settings)
    ref = SchedulerActor.start(scheduler, backend, control, fence, incarnation, record)
    actor: Any = ref._actor_weakref()
    try:
        yield SchedulerHandle(ref, actor)
    finally:
        ref.stop()


def run_agent(settings: AgentSettings) -> None:
    """Serve until SIGTERM or SIGINT, then drain and stop within the grace period."""
    stop = watch_planned_stop(settings.grace_s)
    incarnation = f"{settings.name}-{uuid.uuid4().hex[:12]}"
    fence = Fence(incarnation)
    counters = Counters()
    backend = BackendClient(
        settings.backend.address,
        settings.backend.max_running,
        settings.backend.request_timeout_s,
    )
    with contextlib.ExitStack() as stack:
        clock = HybridClock(time.time)
        record = stack.enter_context(
            open_time_line(settings.data_folder, settings.name, clock)
        )
        stack.callback(backend.close)
        dialer = stack.enter_context(dialing(settings.identity))
        control = ControlClient(settings.control_hosts, dialer)
        scheduler_handle = stack.enter_context(
            _running_scheduler(settings, backend, control, fence, incarnation, record)
        )
        service = WorkService(
            settings.backend, scheduler_handle, backend, fence, counters, record
        )
        address = stack.enter_context(
            listening(
                settings.listen,
                settings.identity,
                service.handle,
                is_stopping=stop.is_signalled,
            )
        )
        registration = Registration(
            settings,
            incarnation,
            address,
            scheduler_handle,
            backend,
            control,
            fence,
            service,
            counters,
        )
        service.check_backend = registration.check_health
        service.report_crash = control.report_crash
        reports = [_report_step(registration, host) for host in settings.control_hosts]
        for step in (*reports, registration.ensure_fence):
            stack.enter_context(running_periodically(REPORT_INTERVAL_S, step))
        stack.enter_context(
            running_periodically(HEALTH_CHECK_INTERVAL_S, registration.check_health)
        )
        stack.enter_context(
            running_periodically(TICK_INTERVAL_S, scheduler_handle.tick)
        )
        _log.info("agent {} listening on {}", settings.name, address)
        record("agent-start", backend_server=settings.name, incarnation=incarnation)
        stop.wait()
        _log.info("stop signal received; draining")
        note = functools.partial(record, "agent-leaving", backend_server=settings.name)
        run_at_most(CLOSE_TIMEOUT_S, note)
        if drain(stop, service, counters, scheduler_handle.is_ordering, reports):
            release_fence(stop, registration)


def _report_step(registration: Registration, host: str) -> Callable[[], None]:
    def step() -> None:
        registration.report_to(host)

    return step
