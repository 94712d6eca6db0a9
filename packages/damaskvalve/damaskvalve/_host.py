"""Runs one host with the roles in its settings."""

import contextlib
import functools
import time
from pathlib import Path

import logbook

from damaskvalve._settings import CONTROL, ENTRY, HostSettings, read_settings
from damaskvalve_core import (
    CLOSE_TIMEOUT_S,
    Dialer,
    HybridClock,
    PlannedStop,
    Recorder,
    dialing,
    open_time_line,
    run_at_most,
    run_from_settings,
    watch_planned_stop,
)

_log = logbook.Logger("host")


def _start_roles(
    stack: contextlib.ExitStack,
    settings: HostSettings,
    dialer: Dialer,
    record: Recorder,
    stop: PlannedStop,
) -> None:
    """Start each configured role; import a role's libraries only if it runs."""
    control = None
    if CONTROL in settings.roles:
        from damaskvalve._control_role import running_control

        control = stack.enter_context(running_control(settings, dialer, stop))
    if ENTRY in settings.roles:
        from damaskvalve._entry_role import running_entry

        stack.enter_context(running_entry(settings, dialer, record, control, stop))


def run_host(settings: HostSettings) -> None:
    """Serve until SIGTERM or SIGINT, then stop within the grace period."""
    stop = watch_planned_stop(settings.grace_s)
    settings.data_folder.mkdir(parents=True, exist_ok=True)

    with contextlib.ExitStack() as stack:
        clock = HybridClock(time.time)
        record = stack.enter_context(
            open_time_line(settings.data_folder, settings.name, clock)
        )
        dialer = stack.enter_context(dialing(settings.identity))
        _start_roles(stack, settings, dialer, record, stop)
        record("host-start", roles=list(settings.roles))
        stop.wait()
        _log.info("shutting down")
        run_at_most(CLOSE_TIMEOUT_S, functools.partial(record, "host-stop"))


def serve_host(path: Path) -> int:
    """Run the host of a settings file and return the exit code."""
    return run_from_settings(path, read_settings, run_host)
