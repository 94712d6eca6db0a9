"""Keeps one placement for each kind of backend server, made anew when one changes."""

import threading

from damaskvalve._placement import Placement
from damaskvalve._view import ConfigurationView


class PlacementCache:
    """Placements by kind and by what is served, for the present view."""

    def __init__(self, view: ConfigurationView, data_centre: str) -> None:
        self._view = view
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._epoch = -1
        self._made: dict[tuple[str, str], Placement] = {}
        self._before: dict[tuple[str, str], Placement] = {}

    def current(self, kind: str, serves: str) -> Placement:
        """Return the placement over the backend servers that serve something."""
        with self._lock:
            if self._epoch != self._view.backends_epoch:
                self._epoch = self._view.backends_epoch
                self._before, self._made = self._made, {}
            key = (kind, serves)
            placement = self._made.get(key)
            if placement is None:
                placement = self._made[key] = self._make(kind, serves)
                before = self._before.get(key)
                if before is not None:
                    placement.keep_homes_of(before)
            return placement

    def _make(self, kind: str, serves: str) -> Placement:
        reports = [
            item
            for item in self._view.backends()
            if item.kind == kind and item.serves == serves
        ]
        return Placement(reports, self._data_centre)
