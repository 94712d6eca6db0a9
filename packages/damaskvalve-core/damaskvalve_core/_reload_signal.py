"""The signal by which a process is told that its settings file has changed."""

import asyncio
import signal

from damaskvalve_core._decision_log import DecisionLog


def log_reloads(log: DecisionLog) -> None:
    """Log each SIGHUP while the running event loop is open; ignore it afterwards.

    A closed event loop restores the default action of the signals that it handles,
    which would end a process that is still closing its files.
    """
    loop = asyncio.get_running_loop()

    def note_reload(*_: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(log.line, "reload")

    signal.signal(signal.SIGHUP, note_reload)
