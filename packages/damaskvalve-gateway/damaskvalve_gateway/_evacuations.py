"""The data centres whose backend servers get no new work, as operators ordered."""

from collections.abc import Mapping, Sequence

from damaskvalve_core.messages import EvacuationRecord


class Evacuations:
    """The newest committed order about each data centre."""

    __slots__ = ("_records", "_in_force")

    def __init__(self) -> None:
        self._records: Mapping[str, EvacuationRecord] = {}
        self._in_force: frozenset[str] = frozenset()

    def apply(self, records: Mapping[str, EvacuationRecord]) -> Sequence[str]:
        """Replace the orders; return the data centres for which something changes."""
        in_force = frozenset(key for key, item in records.items() if item.in_force)
        changed = in_force ^ self._in_force
        self._records = dict(records)
        self._in_force = in_force
        return sorted(changed)

    def is_in_force(self, data_centre: str) -> bool:
        """Return whether the backend servers of a data centre get no new work."""
        return data_centre in self._in_force

    def in_force(self) -> Sequence[str]:
        """Return the evacuated data centres."""
        return sorted(self._in_force)

    def newest(self, data_centre: str) -> EvacuationRecord | None:
        """Return the newest order about a data centre; None if there was none."""
        return self._records.get(data_centre)
