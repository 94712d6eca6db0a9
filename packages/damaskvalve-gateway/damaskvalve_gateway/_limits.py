"""Changes of the request limits of backend servers, as a host learns them."""

from damaskvalve_core import DecisionLog
from damaskvalve_core.messages import BackendNotice
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._grant_ledger import GrantUse
from damaskvalve_gateway._notices import from_limit_notice


def apply_limit_notice(
    backends: BackendTable,
    notice: BackendNotice,
    composed_after_s: float | None,
    now_s: float,
    log: DecisionLog,
    told_by: str,
) -> None:
    """Apply what another host was told by a backend server about its limit.

    The notice was made at ``composed_after_s`` or later; None if that is unknown.
    """
    backend = backends.find(notice.instance_id)
    if notice.limit is None or backend is None:
        return
    if backend.incarnation() != (notice.instance_id, notice.started_at_ms):
        return
    previous_per_s = backend.limit_per_s()
    try:
        statement = from_limit_notice(notice.limit, composed_after_s, now_s)
    except ValueError as error:
        log.line("limit_notice_invalid", told_by=told_by, reason=str(error))
        return
    if backends.note_limit(backend, statement, now_s):
        log_limit_change(log, backend, previous_per_s, told_by, now_s)


def log_limit_change(
    log: DecisionLog,
    backend: Backend,
    previous_per_s: float | None,
    told_by: str,
    now_s: float,
) -> None:
    """Log that a limit begins, changes or ends, and how this host learned it."""
    statement = backend.limit_statement
    current_per_s = backend.limit_per_s()
    log.line(
        "backend_limit",
        backend=backend.announcement.instance_id,
        service=backend.announcement.service,
        limit_per_s=current_per_s if current_per_s is not None else "none",
        previous_per_s=previous_per_s if previous_per_s is not None else "none",
        told_by=told_by,
        age_s=(round(now_s - statement.latest_s, 3) if statement is not None else ""),
        sent=backend.sent_count,
    )


def log_limit_use(
    log: DecisionLog,
    instance_id: str,
    limit_per_s: float | None,
    use: GrantUse,
    now_s: float,
) -> None:
    """Log what was granted and refused for a limited backend server."""
    log.line(
        "limit_use",
        backend=instance_id,
        limit_per_s=limit_per_s,
        granted=use.granted,
        refused=use.refused,
        returned=use.returned,
        for_s=round(now_s - use.since_s, 2),
    )


__all__ = ["apply_limit_notice", "log_limit_change", "log_limit_use"]
