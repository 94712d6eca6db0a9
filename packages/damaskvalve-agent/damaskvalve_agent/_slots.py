"""Adapter slots of one model engine: pins, residency and eviction.

An adapter that a request uses is pinned and never evicted. The victim of an eviction is
the unpinned adapter with the lowest use count. Uses decay with age, so an adapter that
was used once is evicted before one that is used often.
"""

from collections.abc import Collection, Sequence

RESIDENT = "resident"
LOADING = "loading"
USE_HALF_LIFE_S = 600.0
# Number of adapters whose uses are counted. Beyond it, the counts of the least used
# adapters without a slot are discarded.
MAX_TRACKED_USES = 4_096


class _Use:
    """Use count of an adapter; each use counts half as much after every half-life."""

    __slots__ = ("score", "at_s")

    def __init__(self) -> None:
        self.score = 0.0
        self.at_s = 0.0

    def value(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.at_s)
        return self.score * 0.5 ** (age_s / USE_HALF_LIFE_S)

    def add(self, now_s: float) -> None:
        self.score = self.value(now_s) + 1.0
        self.at_s = now_s


class Slots:
    """Tracks the adapters of the engine; the only place that chooses a victim."""

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError("capacity must be at least 1")
        self.capacity = capacity
        self._states: dict[str, str] = {}
        self._pins: dict[str, set[str]] = {}
        self._uses: dict[str, _Use] = {}

    def state(self, adapter: str) -> str | None:
        """Return the state of an adapter: resident, loading, or None if absent."""
        return self._states.get(adapter)

    def occupied(self) -> Collection[str]:
        """Return the adapters that are resident or being loaded."""
        return self._states.keys()

    def resident(self) -> Sequence[str]:
        """Return the adapters that can serve now."""
        return [name for name, state in self._states.items() if state == RESIDENT]

    def loading_count(self) -> int:
        """Return how many adapters are being loaded."""
        return sum(state == LOADING for state in self._states.values())

    def pins(self, adapter: str) -> int:
        """Return how many requests use an adapter."""
        return len(self._pins.get(adapter, ()))

    def pin(self, adapter: str, request_id: str, now_s: float) -> None:
        """Pin a resident adapter for a request."""
        if self._states.get(adapter) != RESIDENT:
            raise ValueError(f"{adapter} is not resident")
        self._pins.setdefault(adapter, set()).add(request_id)
        self.record_use(adapter, now_s)

    def unpin(self, adapter: str, request_id: str) -> None:
        """Remove a request's pin; a restart of the engine has removed earlier pins."""
        users = self._pins.get(adapter)
        if users is None:
            return
        users.discard(request_id)
        if not users:
            del self._pins[adapter]

    def record_use(self, adapter: str, now_s: float) -> None:
        """Record a use of an adapter, whether it is loaded or not."""
        if len(self._uses) >= MAX_TRACKED_USES and adapter not in self._uses:
            self._prune_uses(now_s)
        self._uses.setdefault(adapter, _Use()).add(now_s)

    def _prune_uses(self, now_s: float) -> None:
        ranked = sorted(self._uses, key=lambda name: self._uses[name].value(now_s))
        for name in ranked[: MAX_TRACKED_USES // 8]:
            if name not in self._states:
                del self._uses[name]

    def use_value(self, adapter: str, now_s: float) -> float:
        """Return the decayed use count of an adapter."""
        use = self._uses.get(adapter)
        return use.value(now_s) if use else 0.0

    def has_free_slot(self, reserved: int = 0) -> bool:
        """Return whether a slot is free besides some that are reserved."""
        return len(self._states) + reserved < self.capacity

    def is_overfull(self) -> bool:
        """Return whether more adapters count than the engine has slots for."""
        return len(self._states) > self.capacity

    def victim(self, wanted: Collection[str], now_s: float) -> str | None:
        """Return the adapter to evict, or None; never a pinned or ``wanted`` one."""
        candidates = [
            name
            for name, state in self._states.items()
            if state == RESIDENT and not self.pins(name) and name not in wanted
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda name: (self.use_value(name, now_s), name))

    def start_load(self, adapter: str) -> None:
        """Reserve a free slot for a load."""
        if not self.has_free_slot() or adapter in self._states:
            raise ValueError(f"no free slot for {adapter}, or it is loaded already")
        self._states[adapter] = LOADING

    def end_load(self, adapter: str, *, loaded: bool) -> None:
        """Record the end of a load; ignored if the engine restarted meanwhile."""
        if self._states.get(adapter) != LOADING:
            return
        if loaded:
            self._states[adapter] = RESIDENT
        else:
            del self._states[adapter]

    def adopt(self, adapter: str) -> None:
        """Record a resident adapter that was not loaded through these slots."""
        self._states[adapter] = RESIDENT

    def adopt_load(self, adapter: str) -> None:
        """Record a load that the engine carries out, even beyond the capacity."""
        self._states.setdefault(adapter, LOADING)

    def drop(self, adapter: str) -> None:
        """Record that the engine no longer holds an adapter."""
        self._states.pop(adapter, None)

    def unload(self, adapter: str) -> None:
        """Free the slot of an unpinned resident adapter."""
        if self.pins(adapter) or self._states.get(adapter) != RESIDENT:
            raise ValueError(f"{adapter} is in use or not resident")
        del self._states[adapter]

    def clear(self) -> None:
        """Clear residency and pins after a restart of the engine."""
        self._states.clear()
        self._pins.clear()
