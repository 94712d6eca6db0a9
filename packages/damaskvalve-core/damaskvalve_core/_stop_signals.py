"""The signals by which a process is told to stop."""

import asyncio
import signal


def set_on_stop_signals(stopping: asyncio.Event) -> None:
    """Set an event at SIGTERM or SIGINT while the running event loop is open.

    Later ones are ignored. A signal handler of the event loop itself would restore the
    default action as the loop closes, and a repeated signal would end a process that
    is still closing its files.
    """
    loop = asyncio.get_running_loop()

    def stop(*_: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(stopping.set)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, stop)
