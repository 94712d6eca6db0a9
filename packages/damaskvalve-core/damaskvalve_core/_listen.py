"""Opens listening sockets; waits while their address is in use.

The port of a listener may be held by an outgoing connection, also by one of an earlier
start of the process that closed it within the last minute. Ending the process would
make its supervisor start it again and again meanwhile.
"""

import asyncio
import errno
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import logbook

from damaskvalve_core._boot_clock import boot_clock_s
from damaskvalve_core._exceptions import OperatorError, StartEndedError

# A closed connection holds its local port for 60 s.
MAX_WAIT_S = 75.0
RETRY_INTERVAL_S = 0.2

_log = logbook.Logger("listen")
_T = TypeVar("_T")


def _check_retry(
    error: OSError, address: str, started_at_s: float, now_s: float
) -> None:
    """Raise :class:`OperatorError` unless a later attempt to bind may succeed."""
    waited_s = now_s - started_at_s
    if error.errno != errno.EADDRINUSE or waited_s >= MAX_WAIT_S:
        raise OperatorError(f"cannot listen on {address}: {error}") from error
    if waited_s < RETRY_INTERVAL_S:
        _log.warning("{} is in use; waiting for up to {} s", address, MAX_WAIT_S)


def _never() -> bool:
    """Return that the process goes on."""
    return False


def open_listener(
    open_once: Callable[[], _T], address: str, is_stopping: Callable[[], bool] = _never
) -> _T:
    """Return what ``open_once`` returns; call it again while the address is in use.

    Raise :class:`OperatorError` if the address cannot be bound, and
    :class:`StartEndedError` if the process is told to stop meanwhile.
    """
    started_at_s = boot_clock_s()
    while True:
        try:
            return open_once()
        except OSError as error:
            _check_retry(error, address, started_at_s, boot_clock_s())
        if is_stopping():
            raise StartEndedError(f"told to stop while {address} was in use")
        time.sleep(RETRY_INTERVAL_S)


async def open_server(open_once: Callable[[], Awaitable[_T]], address: str) -> _T:
    """Do the same as :func:`open_listener` without blocking the event loop."""
    started_at_s = boot_clock_s()
    while True:
        try:
            return await open_once()
        except OSError as error:
            _check_retry(error, address, started_at_s, boot_clock_s())
        await asyncio.sleep(RETRY_INTERVAL_S)
