"""What a backend server, or an operator, announces about one of its starts."""

from collections.abc import Sequence


class Announcement:
    """Registration heartbeat of a backend server, or its removal by an operator."""

    __slots__ = (
        "instance_id",
        "service",
        "address",
        "data_centre",
        "state",
        "started_at_ms",
        "sequence",
        "slots",
        "resident",
        "software_version",
        "cold_left_s",
    )

    def __init__(
        self,
        instance_id: str,
        service: str,
        address: str,
        data_centre: str,
        state: str,
        started_at_ms: int,
        sequence: int,
        slots: int,
        resident: Sequence[str],
        software_version: str = "",
        cold_left_s: float | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.state = state
        # Orders the incarnations that share an id.
        self.started_at_ms = started_at_ms
        # Increases with each announcement of one incarnation.
        self.sequence = sequence
        self.slots = slots
        # Resident adapters as ``model/adapter@version``.
        self.resident = tuple(resident)
        # Version of the backend server's software; empty if it announces none.
        self.software_version = software_version
        # How much longer it stays cold; None if it has not stated that.
        self.cold_left_s = cold_left_s

    def with_state(self, state: str, resident: Sequence[str]) -> "Announcement":
        """Return a copy with another state and other resident adapters."""
        return Announcement(
            self.instance_id,
            self.service,
            self.address,
            self.data_centre,
            state,
            self.started_at_ms,
            self.sequence,
            self.slots,
            resident,
            self.software_version,
            self.cold_left_s,
        )


__all__ = ["Announcement"]
