"""Registers the backend server with every control host and renews the fence."""

import threading
from collections.abc import Mapping

import logbook

from damaskvalve_agent._backend_client import BackendClient, BackendError
from damaskvalve_agent._control import ControlClient
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._scheduler import Scheduler
from damaskvalve_agent._scheduler_actor import SchedulerHandle
from damaskvalve_agent._service import Counters, WorkService
from damaskvalve_agent._settings import AgentSettings
from damaskvalve_core import ChannelError, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import BackendReport, ReportReply

REPORT_INTERVAL_S = 0.75
# Interval of reports that contain the totals of service and counters.
FULL_REPORT_INTERVAL_S = 3.0
HEALTH_CHECK_INTERVAL_S = 1.0
NO_HOLDER = ""

_log = logbook.Logger("registration")


class Registration:
    """Sends reports, gets the fence and checks the health of the backend server."""

    def __init__(
        self,
        settings: AgentSettings,
        incarnation: str,
        address: str,
        scheduler_handle: SchedulerHandle,
        backend: BackendClient,
        control: ControlClient,
        fence: Fence,
        service: WorkService,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._address = address
        self._scheduler_handle = scheduler_handle
        self._backend = backend
        self._control = control
        self._fence = fence
        self._service = service
        self._counters = counters
        self._sequence = 0
        self._start_id: str | None = None
        self._lock = threading.Lock()
        # When each control host last received the totals.
        self._full_report_sent_s: dict[str, float] = {}
        self._served_elsewhere: dict[str, float] = {}

    def build_report(self, *, full: bool) -> BackendReport:
        """Return a report of the current state; only a full report has the totals."""
        settings = self._settings
        state = self._scheduler_handle.run(_read_state)
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        unfenced = self._fence.number(boot_clock_s()) is None
        unavailable = unfenced or not self._service.backend_up
        return BackendReport(
            settings.name,
            self._address,
            settings.data_centre,
            settings.backend.kind,
            settings.backend.serves,
            self._incarnation,
            sequence,
            self._service.leaving or unavailable,
            state.queued,
            state.running,
            settings.backend.max_running,
            state.resident,
            settings.backend.slots if settings.backend.kind == "engine" else 0,
            self._counters.served() if full else None,
            self._counters.values() if full else None,
        )

    def report_to(self, address: str) -> None:
        """Report to one control host and apply its reply."""
        sent_at_s = boot_clock_s()
        full = (
            sent_at_s - self._full_report_sent_s.get(address, 0.0)
            >= FULL_REPORT_INTERVAL_S
        )
        try:
            reply = self._control.report(address, self.build_report(full=full))
        except ChannelError as error:
            _log.debug("report to control host {} failed: {}", address, error)
            return
        self._fence.renew(reply, sent_at_s)
        if full:
            self._full_report_sent_s[address] = sent_at_s
            self._charge_served_elsewhere(reply)

    def _charge_served_elsewhere(self, reply: ReportReply) -> None:
        """Charge workspaces for what other agents served since the last reply."""
        with self._lock:
            gained = _increases(self._served_elsewhere, reply.served or {})
        if not gained:
            return

        def charge(scheduler: Scheduler, now_s: float) -> None:
            for workspace, units in gained.items():
                scheduler.queue.charge(workspace, units, 1.0)

        self._scheduler_handle.run(charge)

    def ensure_fence(self) -> None:
        """Request a fencing number if none was granted and no other agent took over."""
        if not self._fence.needs_grant():
            return
        requested_at_s = boot_clock_s()
        result = self._control.grant_fence(self._settings.name, self._incarnation)
        fence = result.fence
        now_s = boot_clock_s()
        self._fence.granted(fence.number, fence.previous_holder, requested_at_s, now_s)
        _log.info("holding fencing number {}", result.fence.number)

    def release_fence(self) -> None:
        """Release the fence after the last order; a successor need not wait."""
        if self._fence.is_lost() or self._fence.needs_grant():
            return
        self._fence.relinquish()
        try:
            self._control.grant_fence(self._settings.name, NO_HOLDER)
        except RetryLaterError as error:
            _log.info(
                "fence not released: {}; a successor waits for its lease to end",
                error,
            )

    def check_health(self) -> None:
        """Check that the backend server answers; detect restarts by its start id."""
        try:
            start_id = self._backend.start_id()
        except (BackendError, ValueError):
            self._service.backend_up = False
            return
        restarted = self._start_id not in (None, start_id)
        self._start_id = self._service.start_id = start_id
        self._service.backend_up = True
        if restarted:
            _log.warning("the backend server has restarted with no adapters loaded")
            self._counters.add("backend_restarts")
            self._scheduler_handle.run(
                lambda scheduler, now_s: scheduler.engine_restarted()
            )
            self._service.backend_restarted()


class _State:
    """State of the scheduler for a report."""

    __slots__ = ("queued", "running", "resident")

    def __init__(self, queued: int, running: int, resident: list[str]) -> None:
        self.queued = queued
        self.running = running
        self.resident = resident


def _read_state(scheduler: Scheduler, now_s: float) -> _State:
    resident = list(scheduler.slots.resident()) if scheduler.slots else []
    return _State(len(scheduler.queue), len(scheduler.running), resident)


def _increases(known: dict[str, float], total: Mapping[str, float]) -> dict[str, float]:
    """Return by how much each total has grown, and store the totals in ``known``.

    A workspace that is not in ``known`` yet has no increase.
    """
    gained = {}
    for workspace, units in total.items():
        before = known.get(workspace)
        known[workspace] = units
        if before is not None and units > before:
            gained[workspace] = units - before
    return gained
