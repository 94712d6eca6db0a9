"""The sequence of a planned stop, from the signal to the last answer."""

import asyncio

from damaskvalve_core import DecisionLog, boot_clock_s
from damaskvalve_core.http import HttpServer
from damaskvalve_gateway._gateway import Gateway
from damaskvalve_gateway._stopping import stopping_refusal
from damaskvalve_state import Group

# The load balancer checks the ready address every second and removes a host after two
# failed checks.
BALANCER_REMOVAL_S = 2.6
# Callers are told with their responses that their connections close, for this long
# before idle connections are closed. By then, new connections go to other hosts.
CLOSE_NOTICE_S = 0.6
# A connection is closed as idle after this time. A caller that goes on sending, and was
# not told that its connection closes, sends the next request by then.
MIN_IDLE_S = 0.25
# The same notice for operators and backend servers, which are served until the end.
CONTROL_CLOSE_NOTICE_S = 0.4
# Share of the grace period, and the least part of it, that is reserved for what follows
# the last requests: their answers, open connections, the group, the log.
RESERVE_SHARE = 0.125
MIN_RESERVE_S = 0.4
# Share of the reserve in which the requests that were ended get their answers.
LAST_ANSWERS_SHARE = 0.5
LAST_ANSWERS_POLL_INTERVAL_S = 0.01
STOP_POLL_INTERVAL_S = 0.05


class StopTimes:
    """When the parts of a stop end, counted from its signal.

    The platform kills the process when the grace period ends, however late the event
    loop was told of the signal.
    """

    __slots__ = ("signalled_s", "removed_s", "closing_s", "end_s", "answered_s")

    def __init__(self, signalled_s: float, grace_s: float, now_s: float) -> None:
        reserve_s = max(MIN_RESERVE_S, RESERVE_SHARE * grace_s)
        self.signalled_s = signalled_s
        # The load balancer has removed the host.
        self.removed_s = signalled_s + BALANCER_REMOVAL_S
        # The requests that still run are ended.
        self.end_s = signalled_s + grace_s - reserve_s
        # Idle connections are closed, once callers were told that their connections
        # close.
        self.closing_s = min(self.end_s, max(self.removed_s, now_s + CLOSE_NOTICE_S))
        # They have had the time to get their answers.
        self.answered_s = self.end_s + LAST_ANSWERS_SHARE * reserve_s


def log_step(log: DecisionLog, step: str, signalled_s: float, now_s: float) -> None:
    """Log that a step of a stop is done; the last step is the line ``stop``."""
    log.line("stop_step", step=step, after_s=round(now_s - signalled_s, 2))


async def stop_serving(
    signalled_s: float,
    grace_s: float,
    group: Group,
    caller_server: HttpServer,
    control_server: HttpServer,
    gateway: Gateway,
    log: DecisionLog,
) -> None:
    """Give up leadership and vote, and finish the requests within the grace period.

    The announcement takes up to its timeout if the group member waits for its disk, so
    it is not waited for first. Operators and backend servers are served until the rest
    is done, or the grace period is about to end.
    """
    times = StopTimes(signalled_s, grace_s, boot_clock_s())
    finished = asyncio.Event()

    async def finish() -> None:
        await asyncio.gather(
            _announce_stop(group, log),
            _drain(times, caller_server, gateway, log),
        )
        await _give_up_vote(group, times.end_s, log)
        finished.set()

    await asyncio.gather(finish(), _drain_control(control_server, finished, times))


async def _drain_control(
    server: HttpServer, finished: asyncio.Event, times: StopTimes
) -> None:
    """Answer the calls of operators and backend servers, then close.

    The clients are told with their responses that their connections close.
    """
    notice_s = times.end_s - CONTROL_CLOSE_NOTICE_S
    while not finished.is_set() and boot_clock_s() < notice_s:
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
    server.close_after_response()
    await asyncio.sleep(CONTROL_CLOSE_NOTICE_S)
    server.stop_accepting()
    await _close_when_answered(server, times.end_s, MIN_IDLE_S)
    server.refuse_all(stopping_refusal())
    await _close_when_answered(server, times.answered_s)


async def _close_when_answered(
    server: HttpServer, end_s: float, min_idle_s: float = 0.0
) -> None:
    """Close each connection once it is idle; wait for the others until a given time."""
    while server.is_open() and boot_clock_s() < end_s:
        server.close_idle(boot_clock_s(), min_idle_s)
        await asyncio.sleep(LAST_ANSWERS_POLL_INTERVAL_S)


async def _drain(
    times: StopTimes, caller_server: HttpServer, gateway: Gateway, log: DecisionLog
) -> None:
    """Wait for the removal from the load balancer, finish requests, then close.

    Requests that would not end in time are refused at once. Those that still run near
    the end of the grace period are ended, each with an answer unless it has begun, and
    those that are not read completely are refused.
    """
    gateway.begin_stop(times.removed_s, times.end_s)
    log.line(
        "stopping",
        active=caller_server.active,
        signalled_ago_s=round(boot_clock_s() - times.signalled_s, 3),
    )
    while boot_clock_s() < times.closing_s:
        if boot_clock_s() >= times.closing_s - CLOSE_NOTICE_S:
            caller_server.close_after_response()
        gateway.refuse_waiting(boot_clock_s())
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
    caller_server.stop_accepting()
    caller_server.close_after_response()
    while caller_server.is_open() and boot_clock_s() < times.end_s:
        caller_server.close_idle(boot_clock_s(), MIN_IDLE_S)
        gateway.refuse_waiting(boot_clock_s())
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
    unfinished = caller_server.active
    gateway.end_unfinished()
    caller_server.refuse_unread(stopping_refusal())
    await _close_when_answered(caller_server, times.answered_s)
    unsent_bytes = caller_server.unsent_bytes()
    log.line(
        "stopped",
        active=unfinished,
        cut=len(unsent_bytes),
        unsent_bytes=sum(unsent_bytes),
        took_s=round(boot_clock_s() - times.signalled_s, 2),
    )


async def _announce_stop(group: Group, log: DecisionLog) -> None:
    """Let the other hosts do without this one's leadership and vote."""
    try:
        await group.announce_stop()
    except Exception as error:
        # Whatever fails here must not end the requests.
        log.line("stop_not_announced", reason=repr(error))


async def _give_up_vote(group: Group, end_s: float, log: DecisionLog) -> None:
    """Wait until the group has removed a vote that it can spare, or the grace ends.

    This host may never start again; the others would go on counting its vote.
    """
    while group.status().has_spare_vote:
        if boot_clock_s() >= end_s:
            log.line("vote_kept", reason="the group did not remove it in time")
            return
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
