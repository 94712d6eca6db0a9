"""Periodic execution of a function in a background thread."""

import contextlib
import threading
from collections.abc import Callable, Iterator

import logbook

from damaskvalve_core._boot_clock import boot_clock_s
from damaskvalve_core._exceptions import RetryLaterError

_log = logbook.Logger("background")


def _run_periodically(
    stop: threading.Event, period_s: float, step: Callable[[], None]
) -> None:
    while not stop.is_set():
        started_s = boot_clock_s()
        try:
            step()
        except RetryLaterError as error:
            _log.info(
                "a periodic step failed; it runs again at the next period: {}", error
            )
        except Exception:
            _log.exception(
                "unexpected error in a periodic step; it runs again at the next period"
            )
        stop.wait(max(0.0, started_s + period_s - boot_clock_s()))


def run_at_most(timeout_s: float, function: Callable[[], None]) -> bool:
    """Run a function that may be abandoned; return whether it ended in time."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    thread.join(max(0.0, timeout_s))
    return not thread.is_alive()


@contextlib.contextmanager
def running_periodically(period_s: float, step: Callable[[], None]) -> Iterator[None]:
    """Call ``step`` every ``period_s`` in a thread; log the exceptions it raises.

    The end of the context does not wait for a step that is running.
    """
    stop = threading.Event()
    thread = threading.Thread(
        target=_run_periodically, args=(stop, period_s, step), daemon=True
    )
    thread.start()
    try:
        yield
    finally:
        stop.set()
