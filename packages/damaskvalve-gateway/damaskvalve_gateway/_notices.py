"""Conversion of backend servers to and from the notices that hosts exchange."""

from damaskvalve_core.messages import BackendNotice
from damaskvalve_gateway._backends import Backend
from damaskvalve_gateway._model import Announcement


def to_notice(backend: Backend, now_s: float, *, brief: bool = False) -> BackendNotice:
    """Return the notice of a backend server.

    A ``brief`` notice omits the resident adapters.
    """
    newest = backend.announcement
    return BackendNotice(
        newest.instance_id,
        newest.service,
        newest.address,
        newest.data_centre,
        newest.state,
        newest.started_at_ms,
        newest.sequence,
        now_s - backend.last_seen_s,
        None if brief else list(newest.resident),
        newest.slots,
    )


def from_notice(notice: BackendNotice, known: Backend | None) -> Announcement:
    """Return the announcement that a notice carries.

    The adapters of a brief notice are taken from ``known``.
    """
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
