"""The planned stop of a process whose work runs in threads."""

import queue
import signal
import threading

import logbook

from damaskvalve_core._boot_clock import boot_clock_s

MIN_GRACE_S = 12.0
MAX_GRACE_S = 3600.0
DEFAULT_GRACE_S = 120.0
# Share of the grace period that is reserved for what follows the last requests: their
# answers, open connections, the group, the log; at least and at most these times.
RESERVE_SHARE = 0.125
MIN_RESERVE_S = 2.0
MAX_RESERVE_S = 5.0
# Share of the reserve in which the requests that were ended get their answers.
LAST_ANSWERS_SHARE = 0.75

_log = logbook.Logger("process")


class PlannedStop:
    """Whether this process was told to stop, and when the parts of the stop end.

    All waits of a stop share these times. They are counted from the signal, because so
    does the supervisor that kills the process when the grace period has ended.
    """

    __slots__ = ("requested", "_grace_s", "_signalled_s", "_signals")

    def __init__(self, grace_s: float) -> None:
        # Set once the process has begun to stop.
        self.requested = threading.Event()
        self._grace_s = grace_s
        # Boot clock time of the first signal; infinite before it.
        self._signalled_s = float("inf")
        # Whether each signal asks for the stop.
        self._signals: queue.SimpleQueue[bool] = queue.SimpleQueue()

    def note_signal(self, now_s: float) -> None:
        """Record a signal; only the first one counts.

        This takes no lock that the main thread may hold as a signal interrupts it.
        """
        self._signalled_s = min(self._signalled_s, now_s)
        self._signals.put(True)

    def note_hang_up(self) -> None:
        """Record a SIGHUP, which changes nothing."""
        self._signals.put(False)

    def wait(self) -> None:
        """Wait for the first signal, then begin to stop."""
        while not self._signals.get():
            _log.info("SIGHUP is ignored: settings are read at a start only")
        self.requested.set()

    def begin(self, now_s: float) -> None:
        """Begin to stop, also without a signal."""
        self.note_signal(now_s)
        self.requested.set()

    def is_signalled(self) -> bool:
        """Return whether a signal came, also before the process begins to stop."""
        return self._signalled_s < float("inf")

    def signalled_s(self) -> float:
        """Return when the first signal came; infinite before it."""
        return self._signalled_s

    def end_s(self) -> float:
        """Return when the requests that still run are ended."""
        reserve_share_s = RESERVE_SHARE * self._grace_s
        reserve_s = min(max(MIN_RESERVE_S, reserve_share_s), MAX_RESERVE_S)
        return self.killed_s() - reserve_s

    def answered_s(self) -> float:
        """Return when the requests that were ended have had time for their answers."""
        return self.end_s() + LAST_ANSWERS_SHARE * (self.killed_s() - self.end_s())

    def killed_s(self) -> float:
        """Return when the grace period ends."""
        return self._signalled_s + self._grace_s


def watch_planned_stop(grace_s: float) -> PlannedStop:
    """Return the stop that SIGTERM or SIGINT begins; later ones are ignored.

    SIGHUP, whose default action ends a process, is ignored too.
    """
    stop = PlannedStop(grace_s)
    signal.signal(signal.SIGHUP, lambda *_: stop.note_hang_up())
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.note_signal(boot_clock_s()))
    return stop
