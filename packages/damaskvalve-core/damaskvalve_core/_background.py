"""Runs a step again and again in a thread of its own."""

import contextlib
import threading
from collections.abc import Callable, Iterator

import logbook

from damaskvalve_core._boot_clock import boot_clock_s
from damaskvalve_core._exceptions import RetryLaterError

_log = logbook.Logger("background")


def _repeat(stop: threading.Event, period_s: float, step: Callable[[], None]) -> None:
    while not stop.is_set():
        started_s = boot_clock_s()
        try:
            step()
        except RetryLaterError as error:
            _log.info("will try again: {}", error)
        except Exception:
            _log.exception("a background step failed")
        stop.wait(max(0.0, started_s + period_s - boot_clock_s()))


@contextlib.contextmanager
def running_periodically(period_s: float, step: Callable[[], None]) -> Iterator[None]:
    """Run ``step`` every ``period_s`` until the end; what it raises is logged."""
    stop = threading.Event()
    thread = threading.Thread(target=_repeat, args=(stop, period_s, step), daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
