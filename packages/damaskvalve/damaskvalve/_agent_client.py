"""Sends a request to an agent and validates the messages of its reply."""

from collections.abc import Callable, Iterator
from typing import Any

from damaskvalve_core import (
    NOT_RUN,
    UNKNOWN,
    ChannelError,
    Connection,
    Dialer,
    NotSentError,
    ProtocolError,
    ReceiveTimeoutError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    Problem,
    WorkChunk,
    WorkEnd,
    WorkProgress,
    WorkRefused,
    WorkRequest,
    WorkStarted,
)

# Limits the TLS handshake and the sending of the request, each unless the channel has a
# shorter limit.
OPEN_CALL_TIMEOUT_S = 1.0
# Interval at which a waiting request checks whether it must stop.
CHECK_INTERVAL_S = 0.5
# An agent sends a progress message every 0.5 s while a request is queued.
QUEUED_IDLE_TIMEOUT_S = 3.0
# Applies once the agent has reported that the request has started.
RUNNING_IDLE_TIMEOUT_S = 15.0

#: Raises if the request must stop, for example because its key was withdrawn.
StopCheck = Callable[[], None]


class AttemptError(Exception):
    """A failed attempt.

    ``ran`` is NOT_RUN, UNKNOWN or RAN; ``crashed`` is whether the backend server
    crashed.
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        ran: str,
        retry_after_s: float = 1.0,
        crashed: bool = False,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.crashed = crashed


def run_attempt(
    dialer: Dialer,
    address: str,
    work: WorkRequest,
    deadline_s: float,
    raise_if_stopped: StopCheck,
) -> Iterator[Any]:
    """Yield the agent's messages up to a validated end, or raise AttemptError."""
    try:
        with dialer.open_call(address, work, OPEN_CALL_TIMEOUT_S) as connection:
            connection.set_timeout(CHECK_INTERVAL_S)
            yield from _read_reply(connection, work, deadline_s, raise_if_stopped)
    except NotSentError as error:
        raise AttemptError("no_agent", str(error), ran=NOT_RUN) from error
    except (ChannelError, ProtocolError) as error:
        raise AttemptError("agent_lost", str(error), ran=UNKNOWN) from error


def _read_reply(
    connection: Connection,
    work: WorkRequest,
    deadline_s: float,
    raise_if_stopped: StopCheck,
) -> Iterator[Any]:
    idle_timeout_s = QUEUED_IDLE_TIMEOUT_S
    while True:
        message = _receive(connection, idle_timeout_s, deadline_s, raise_if_stopped)
        if isinstance(message, WorkRefused):
            _check_id(message, work)
            raise AttemptError(
                message.code,
                message.message,
                ran=message.ran,
                retry_after_s=message.retry_after_s,
                crashed=bool(message.backend_crashed),
            )
        if isinstance(message, WorkStarted):
            idle_timeout_s = RUNNING_IDLE_TIMEOUT_S
        elif not isinstance(message, (WorkChunk, WorkEnd, WorkProgress)):
            name = type(message).__name__
            if isinstance(message, Problem):
                name = message.message
            raise ProtocolError(
                f"the agent sent an error or an unexpected message: {name}"
            )
        _check_id(message, work)
        if isinstance(message, WorkEnd):
            _check_end(message, work)
        yield message
        if isinstance(message, WorkEnd):
            return


def _receive(
    connection: Connection,
    idle_timeout_s: float,
    deadline_s: float,
    raise_if_stopped: StopCheck,
) -> Any:
    """Return the next message; call ``raise_if_stopped`` while waiting.

    Raise :class:`ReceiveTimeoutError` once the idle timeout or the deadline has passed.
    """
    wait_started_s = boot_clock_s()
    while True:
        raise_if_stopped()
        try:
            return connection.receive()
        except ReceiveTimeoutError:
            now_s = boot_clock_s()
            if now_s > deadline_s or now_s - wait_started_s > idle_timeout_s:
                raise


def _check_id(message: Any, work: WorkRequest) -> None:
    if message.request_id != work.request_id:
        raise ProtocolError("the agent replied with the id of another request")


def _check_end(message: WorkEnd, work: WorkRequest) -> None:
    if (message.adapter, message.version) != (work.adapter, work.version):
        raise ProtocolError("the agent reported another adapter or version")
