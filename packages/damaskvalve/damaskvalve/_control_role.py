"""Starts and stops the control role of a host."""

import contextlib
import uuid
from collections.abc import Iterator

import logbook

from damaskvalve._control_service import CONFIRM_INTERVAL_S, ControlService
from damaskvalve._settings import HostSettings
from damaskvalve._view import CONFIGURATION_LEASE_S
from damaskvalve_core import Dialer, PlannedStop, listening, running_periodically
from damaskvalve_state import LoadLimit, NodeSettings, Timing, running_group

GROUP_FOLDER = "group"

_log = logbook.Logger("control")


@contextlib.contextmanager
def running_control(
    settings: HostSettings, dialer: Dialer, stop: PlannedStop
) -> Iterator[ControlService]:
    """Run the control role while the context is active."""
    control = settings.control
    node_settings = NodeSettings(
        settings.data_folder / GROUP_FOLDER,
        control.listen,
        settings.data_centre,
        settings.control_hosts,
        Timing(control.election_timeout_s, control.heartbeat_s),
    )
    load_limit = LoadLimit(
        control.load_rate_per_s, control.load_burst, control.max_loads_in_flight
    )
    with contextlib.ExitStack() as stack:
        group = stack.enter_context(running_group(node_settings, dialer))
        service = ControlService(
            f"{settings.name}-{uuid.uuid4().hex[:8]}",
            group,
            dialer,
            load_limit,
            CONFIGURATION_LEASE_S,
            control.retention_s,
        )
        stack.enter_context(
            listening(
                control.listen,
                settings.identity,
                service.handle,
                is_stopping=stop.is_signalled,
            )
        )
        stack.enter_context(
            running_periodically(CONFIRM_INTERVAL_S, service.confirm_freshness)
        )
        _log.info("control role listens on {}", control.listen)
        yield service
