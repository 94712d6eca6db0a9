"""Which of several announcements or incarnations of backend servers count."""

from collections.abc import Sequence

from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._model import Announcement


def routing_differs(one: Announcement, other: Announcement) -> bool:
    """Return whether requests are routed differently after the second announcement."""
    return any(
        getattr(one, name) != getattr(other, name)
        for name in ("service", "address", "data_centre", "state", "slots")
    )


def newest_by_address(backends: Sequence[Backend]) -> Sequence[Backend]:
    """Keep the newest incarnation at each address: an older one cannot be running."""
    newest: dict[str, Backend] = {}
    for backend in backends:
        current = newest.get(backend.announcement.address)
        if current is None or _start_order(current) < _start_order(backend):
            newest[backend.announcement.address] = backend
    return list(newest.values())


def _start_order(backend: Backend) -> tuple[int, float]:
    return backend.announcement.started_at_ms, backend.last_seen_s


__all__ = ["newest_by_address", "routing_differs"]
