"""Cache of placements, invalidated when the backend servers change."""

import threading

from damaskvalve._placement import Placement
from damaskvalve._view import ConfigurationView


class PlacementCache:
    """Placements by backend kind and served model or service, for the current view."""

    def __init__(self, view: ConfigurationView, data_centre: str) -> None:
        self._view = view
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._epoch = -1
        self._current: dict[tuple[str, str], Placement] = {}
        self._previous: dict[tuple[str, str], Placement] = {}

    def current(self, kind: str, serves: str) -> Placement:
        """Return the placement for a backend kind and what it serves."""
        with self._lock:
            if self._epoch != self._view.backends_epoch:
                self._epoch = self._view.backends_epoch
                self._previous, self._current = self._current, {}
            key = (kind, serves)
            placement = self._current.get(key)
            if placement is None:
                placement = self._current[key] = self._build(kind, serves)
                previous = self._previous.get(key)
                if previous is not None:
                    placement.reuse_homes(previous)
            return placement

    def _build(self, kind: str, serves: str) -> Placement:
        reports = [
            item
            for item in self._view.backends()
            if item.kind == kind and item.serves == serves
        ]
        return Placement(reports, self._data_centre)
