"""Conversion of backend servers to and from the notices that hosts exchange."""

import math
from collections.abc import Sequence

from damaskvalve_core import EncodingError, encode_struct
from damaskvalve_core.messages import BackendNotice, LimitNotice
from damaskvalve_gateway._announcement_check import (
    RefusedAnnouncements,
    check_announcement,
)
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._cold import MAX_COLD_S
from damaskvalve_gateway._limit_statements import NEVER_S, LimitStatement
from damaskvalve_gateway._model import Announcement


def to_notice(backend: Backend, now_s: float, *, brief: bool = False) -> BackendNotice:
    """Return the notice of a backend server.

    A ``brief`` notice omits the resident adapters.
    """
    newest = backend.announcement
    statement = backend.limit_statement if backend.has_stated_limit else None
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
        None if statement is None else to_limit_notice(statement, now_s),
        newest.software_version,
        backend.cold.stated_left_s(now_s),
    )


def to_limit_notice(statement: LimitStatement, now_s: float) -> LimitNotice:
    """Return the notice of a statement about a request limit, with ages."""
    earliest_age_s = now_s - statement.earliest_s
    return LimitNotice(
        statement.limit_per_s,
        earliest_age_s if math.isfinite(earliest_age_s) else None,
        now_s - statement.latest_s,
    )


def from_limit_notice(
    notice: LimitNotice, composed_after_s: float | None, now_s: float
) -> LimitStatement:
    """Return the statement that a notice carries.

    The notice was made at ``composed_after_s`` or later, by this host's clock; None if
    that is unknown. Raise :class:`ValueError` if its values are impossible.
    """
    _check_age(notice.latest_age_s)
    if notice.earliest_age_s is not None:
        _check_age(notice.earliest_age_s)
    latest_s = now_s - max(0.0, notice.latest_age_s)
    earliest_s = NEVER_S
    if composed_after_s is not None and notice.earliest_age_s is not None:
        earliest_s = min(composed_after_s, now_s) - notice.earliest_age_s
    return LimitStatement(notice.limit_per_s, min(earliest_s, latest_s), latest_s)


def from_notice(notice: BackendNotice, known: Backend | None) -> Announcement:
    """Return the announcement that a notice carries.

    The adapters of a brief notice are taken from ``known``. Raise :class:`ValueError`
    if the announcement cannot be used; other releases may accept more.
    """
    resident = notice.resident
    if resident is None:
        resident = known.announcement.resident if known is not None else ()
    _check_age(notice.age_s)
    left_s = notice.cold_left_s
    if left_s is not None and 0 < left_s <= MAX_COLD_S:
        # It was announced that much earlier.
        left_s = min(MAX_COLD_S, left_s + max(0.0, notice.age_s))
    announcement = Announcement(
        notice.instance_id,
        notice.service_name,
        notice.address,
        notice.data_centre,
        notice.state,
        notice.started_at_ms,
        notice.sequence,
        notice.slots,
        resident,
        notice.software_version or "",
        left_s,
    )
    check_announcement(announcement)
    return announcement


def _check_age(age_s: float | None) -> None:
    if not isinstance(age_s, float) or not math.isfinite(age_s):
        raise ValueError(f"the age of a notice is {age_s}, not finite")


def encodable_notices(
    notices: Sequence[BackendNotice], refused: RefusedAnnouncements, told_by: str
) -> list[BackendNotice]:
    """Return the notices that a message can carry, and log the others."""
    encodable = []
    for notice in notices:
        try:
            encode_struct(notice)
            encodable.append(notice)
        except EncodingError as error:
            refused.note(notice.instance_id, str(error), told_by)
    return encodable
