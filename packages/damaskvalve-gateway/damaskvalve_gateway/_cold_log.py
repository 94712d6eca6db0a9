"""Log lines when a host begins or ends to treat a backend server as cold."""

from collections.abc import Sequence

from damaskvalve_core import DecisionLog
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._incarnations import Incarnation


class ColdLog:
    """Remembers which backend servers are cold, and logs what changes."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._cold: dict[Incarnation, Backend] = {}

    def note(self, cold: Sequence[Backend], now_s: float) -> None:
        """Log what has changed; ``cold`` are the backend servers that are cold now."""
        before, self._cold = self._cold, {item.incarnation(): item for item in cold}
        for incarnation, backend in self._cold.items():
            if incarnation not in before:
                self._log.line(
                    "backend_cold",
                    backend=incarnation[0],
                    service=backend.announcement.service,
                    per_s=backend.cold.per_s(now_s),
                    left_s=round(backend.cold.until_s() - now_s, 3),
                    sent=backend.sent_count,
                )
        for incarnation, backend in before.items():
            if incarnation not in self._cold:
                self._log.line(
                    "backend_warm",
                    backend=incarnation[0],
                    service=backend.announcement.service,
                    sent=backend.sent_count,
                )


__all__ = ["ColdLog"]
