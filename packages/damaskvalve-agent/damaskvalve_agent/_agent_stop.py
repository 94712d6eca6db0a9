"""The sequence of a planned stop of an agent, from the signal to the last answer."""

import threading
import time
from collections.abc import Callable, Sequence

import logbook

from damaskvalve_agent._registration import Registration
from damaskvalve_agent._scheduler_actor import TICK_INTERVAL_S
from damaskvalve_agent._service import Counters, WorkService
from damaskvalve_core import PlannedStop, boot_clock_s, run_at_most

# Time for hosts to learn that the backend server is leaving before the agent stops.
LEAVING_NOTICE_S = 1.0
# Maximum number of requests that the line of those unfinished at a stop names.
MAX_UNFINISHED_LOGGED = 50

_log = logbook.Logger("agent")


def _report_leaving(report: Callable[[], None]) -> None:
    """Report once; a failure changes nothing, as the periodic reports go on."""
    try:
        report()
    except Exception as error:
        _log.warning("a control host was not told of the stop: {!r}", error)


def drain(
    stop: PlannedStop,
    service: WorkService,
    counters: Counters,
    is_ordering: Callable[[], bool],
    reports: Sequence[Callable[[], None]],
) -> bool:
    """Report that the backend server is leaving, then wait for requests and orders.

    Return whether all of them ended in time. If not, those that still wait are refused
    as not run; those that run end with their connections. An order may outlast its
    request, and a successor sends its own as soon as the fence is released.
    """
    service.leaving = True
    for report in reports:
        threading.Thread(target=_report_leaving, args=(report,), daemon=True).start()
    announced_s = boot_clock_s()
    while boot_clock_s() < stop.end_s():
        is_idle = counters.active() == 0 and not is_ordering()
        if is_idle and boot_clock_s() - announced_s > LEAVING_NOTICE_S:
            return True
        time.sleep(TICK_INTERVAL_S)
    unfinished = service.running_ids()
    _log.error(
        "the grace period ends; {} of {} unfinished requests run at the backend "
        "server, orders are {}: {}",
        len(unfinished),
        counters.active(),
        "on their way" if is_ordering() else "not on their way",
        ", ".join(unfinished[:MAX_UNFINISHED_LOGGED]),
    )
    service.ending = True
    while counters.active() > len(service.running_ids()):
        if boot_clock_s() >= stop.answered_s():
            break
        time.sleep(TICK_INTERVAL_S)
    return False


def release_fence(stop: PlannedStop, registration: Registration) -> None:
    """Release the fence; a leader that does not answer is not waited for too long.

    Without a release, a successor waits until the lease of the fence has ended.
    """
    left_s = stop.answered_s() - boot_clock_s()
    if not run_at_most(left_s, registration.release_fence):
        _log.warning("the fence is not released: no leader answers in time")
