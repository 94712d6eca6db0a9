"""Backend servers as hosts tell each other of them."""

from damaskvalve_core.messages import BackendNotice
from damaskvalve_gateway._backends import Backend
from damaskvalve_gateway._model import Announcement


def to_notice(backend: Backend, now_s: float, *, brief: bool = False) -> BackendNotice:
    """Return the message for what is known of a backend server.

    A ``brief`` one leaves its adapters out.
    """
    held = backend.announcement
    return BackendNotice(
        held.instance_id,
        held.service,
        held.address,
        held.data_centre,
        held.state,
        held.started_at_ms,
        held.sequence,
        now_s - backend.heard_s,
        None if brief else list(held.resident),
        held.slots,
    )


def from_notice(notice: BackendNotice, known: Backend | None) -> Announcement:
    """Return the announcement that a message carries."""
    resident = notice.resident
    if resident is None:
        resident = known.announcement.resident if known is not None else ()
    return Announcement(
        notice.instance_id,
        notice.service_name,
        notice.address,
        notice.data_centre,
        notice.state,
        notice.started_at_ms,
        notice.sequence,
        notice.slots,
        resident,
    )
