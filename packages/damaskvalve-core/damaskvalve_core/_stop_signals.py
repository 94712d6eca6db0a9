"""The signals by which a process is told to stop."""

import asyncio
import signal

from damaskvalve_core._boot_clock import boot_clock_s


class StopRequest:
    """Whether this process was told to stop, and when."""

    __slots__ = ("signalled_s", "_event")

    def __init__(self) -> None:
        # Boot clock time of the first signal; 0 before it.
        self.signalled_s = 0.0
        self._event = asyncio.Event()

    def is_set(self) -> bool:
        """Return whether the process was told to stop."""
        return self.signalled_s > 0

    async def wait(self) -> float:
        """Wait for the first signal; return when it came."""
        await self._event.wait()
        return self.signalled_s

    def note(self, now_s: float) -> None:
        """Record a signal; only the first one counts."""
        if not self.signalled_s:
            self.signalled_s = now_s

    def wake(self) -> None:
        """Resume what waits for the signal; to be called in the event loop."""
        self._event.set()


def watch_stop_signals() -> StopRequest:
    """Return the request that SIGTERM or SIGINT sets while the event loop is open.

    Later ones are ignored. A signal handler of the event loop itself would restore the
    default action as the loop closes, and a repeated signal would end a process that
    is still closing its files.
    """
    loop = asyncio.get_running_loop()
    request = StopRequest()

    def stop(*_: object) -> None:
        request.note(boot_clock_s())
        if not loop.is_closed():
            loop.call_soon_threadsafe(request.wake)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, stop)
    return request
