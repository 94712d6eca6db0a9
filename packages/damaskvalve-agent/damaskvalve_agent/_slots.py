"""Adapter slots of one model engine: pins, residency and eviction.

An adapter that a request uses is pinned and never chosen for eviction. The
victim is the unpinned adapter of the lowest use, where each use counts less the
older it is; an adapter that was used once goes before one that is used often.
"""

from collections.abc import Collection, Sequence

RESIDENT = "resident"
LOADING = "loading"
USE_HALF_LIFE_S = 600.0
MAX_TRACKED_USES = 4_096


class _Use:
    """How often an adapter was used, each use halving every half-life."""

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
    """Tracks what the engine holds; the only place that names a victim."""

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError("capacity must be at least 1")
        self.capacity = capacity
        self._states: dict[str, str] = {}
        self._pins: dict[str, set[str]] = {}
        self._uses: dict[str, _Use] = {}

    def state(self, adapter: str) -> str | None:
        """Return resident, loading, or None."""
        return self._states.get(adapter)

    def resident(self) -> Sequence[str]:
        """Return the adapters that can serve now."""
        return [name for name, state in self._states.items() if state == RESIDENT]

    def loading_count(self) -> int:
        """Return how many loads run."""
        return sum(state == LOADING for state in self._states.values())

    def pins(self, adapter: str) -> int:
        """Return how many requests use an adapter."""
        return len(self._pins.get(adapter, ()))

    def pin(self, adapter: str, request_id: str, now_s: float) -> None:
        """Let a request use a resident adapter."""
        if self._states.get(adapter) != RESIDENT:
            raise ValueError(f"{adapter} is not resident")
        self._pins.setdefault(adapter, set()).add(request_id)
        self.record_use(adapter, now_s)

    def unpin(self, adapter: str, request_id: str) -> None:
        """End a request's use; pins from before a restart are gone already."""
        users = self._pins.get(adapter)
        if users is None:
            return
        users.discard(request_id)
        if not users:
            del self._pins[adapter]

    def record_use(self, adapter: str, now_s: float) -> None:
        """Remember a use, also of an adapter that is not loaded."""
        if len(self._uses) >= MAX_TRACKED_USES and adapter not in self._uses:
            self._prune_uses(now_s)
        self._uses.setdefault(adapter, _Use()).add(now_s)

    def _prune_uses(self, now_s: float) -> None:
        ranked = sorted(self._uses, key=lambda name: self._uses[name].value(now_s))
        for name in ranked[: MAX_TRACKED_USES // 8]:
            if name not in self._states:
                del self._uses[name]

    def use_value(self, adapter: str, now_s: float) -> float:
        """Return the aged use count of an adapter."""
        use = self._uses.get(adapter)
        return use.value(now_s) if use else 0.0

    def has_free_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self._states) < self.capacity

    def victim(self, wanted: Collection[str], now_s: float) -> str | None:
        """Return the adapter to unload, sparing pinned and ``wanted`` ones."""
        candidates = [
            name
            for name, state in self._states.items()
            if state == RESIDENT and not self.pins(name) and name not in wanted
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda name: (self.use_value(name, now_s), name))

    def start_load(self, adapter: str) -> None:
        """Take a free slot for a load."""
        if not self.has_free_slot() or adapter in self._states:
            raise ValueError(f"no slot for {adapter}")
        self._states[adapter] = LOADING

    def end_load(self, adapter: str, *, loaded: bool) -> None:
        """Note how a load ended; ignored if the engine restarted meanwhile."""
        if self._states.get(adapter) != LOADING:
            return
        if loaded:
            self._states[adapter] = RESIDENT
        else:
            del self._states[adapter]

    def adopt(self, adapter: str) -> None:
        """Note that the engine holds an adapter that was not known to be there."""
        self._states[adapter] = RESIDENT

    def drop(self, adapter: str) -> None:
        """Note that the engine does not hold an adapter any more."""
        self._states.pop(adapter, None)

    def unload(self, adapter: str) -> None:
        """Give up an unpinned resident adapter."""
        if self.pins(adapter) or self._states.get(adapter) != RESIDENT:
            raise ValueError(f"{adapter} is in use or not resident")
        del self._states[adapter]

    def clear(self) -> None:
        """Forget residency and pins after the engine restarted."""
        self._states.clear()
        self._pins.clear()
