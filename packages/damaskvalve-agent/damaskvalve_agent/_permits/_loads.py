"""Tracks the adapter loads in transit to one engine, and how long loads take."""

import collections
from collections.abc import Collection

from damaskvalve_agent._slots import Slots

# Loads from the store that one agent runs at a time until it has seen some. All engines
# share the store, which slows down beyond a number of loads that no agent sees.
FIRST_STORE_LOADS = 2.0
# Steps of that number: up after a load of the usual time, down after a slow one.
STORE_LOADS_UP = 0.25
STORE_LOADS_DOWN = 0.7
USUAL_LOAD_FACTOR = 1.25
SLOW_LOAD_FACTOR = 1.6
# Loads that the usual time is taken from, and the fraction that is shorter.
MAX_LOAD_TIMES = 32
USUAL_LOAD_LEVEL = 0.2
# Loads that an engine accepts at a time, with those from its own cache.
MAX_IN_TRANSIT = 4
# Engines cache about this many of the adapters that they held recently.
MAX_CACHED_ADAPTERS = 100
# Initial estimate of the time to load an adapter from the store.
DEFAULT_LOAD_S = 0.25
# Weight of a new load in the mean load time, and bounds of its duration.
LOAD_TIME_WEIGHT = 0.2
MIN_LOAD_S = 0.05
MAX_LOAD_S = 4.0
# Time to load an adapter from the cache: a tenth of that from the store.
CACHED_LOAD_S = 0.03
# A load that the engine does not report as pending after this time has failed.
LOAD_LOST_AFTER_S = 1.0


class LoadTracker:
    """Tracks the ordered loads and the adapter slot that each occupies."""

    def __init__(self, slots: Slots) -> None:
        self._slots = slots
        # When each load in transit was ordered.
        self._ordered_s: dict[str, float] = {}
        # Loads that had no answer, with the order count that their orders named. They
        # keep their slot, because the engine may carry them out until it accepts
        # another order.
        self._unanswered: dict[str, int] = {}
        # Adapters that the engine held recently, the newest at the end.
        self._cached: collections.OrderedDict[str, None] = collections.OrderedDict()
        # Mean time of a load from the store.
        self.store_load_s = DEFAULT_LOAD_S
        # The first loads after a start of all engines are slow, and show no usual time.
        self._load_times_s: collections.deque[float] = collections.deque(
            [DEFAULT_LOAD_S], MAX_LOAD_TIMES
        )
        self._store_loads = FIRST_STORE_LOADS

    def in_transit(self) -> Collection[str]:
        """Return the adapters that are being loaded."""
        return self._ordered_s.keys()

    def is_unanswered(self, name: str) -> bool:
        """Return whether the load of an adapter was ordered but not answered."""
        return name in self._unanswered

    def is_cached(self, name: str) -> bool:
        """Return whether the engine can load an adapter from its cache."""
        return name in self._cached

    def load_s(self, name: str) -> float:
        """Return the expected time to load an adapter."""
        return CACHED_LOAD_S if name in self._cached else self.store_load_s

    def count_from_store(self, names: Collection[str]) -> int:
        """Return how many of these adapters have to be loaded from the store."""
        return sum(name not in self._cached for name in names)

    def can_load(self, name: str) -> bool:
        """Return whether one more load may be ordered now."""
        if len(self._ordered_s) >= MAX_IN_TRANSIT:
            return False
        return (
            name in self._cached
            or self.count_from_store(self.in_transit()) < self.max_store_loads()
        )

    def max_store_loads(self) -> int:
        """Return how many loads from the store may be in transit at a time."""
        return int(self._store_loads)

    def note_ordered(self, name: str, now_s: float) -> None:
        """Record a load that the engine has accepted."""
        self._occupy_slot(name, now_s)
        self._unanswered.pop(name, None)

    def note_unanswered(self, name: str, order_count: int, now_s: float) -> None:
        """Record a load that had no answer and the order count that its order named."""
        self._occupy_slot(name, now_s)
        self._unanswered[name] = order_count

    def note_pending(self, name: str, now_s: float) -> None:
        """Record that the engine reports a load, whoever ordered it."""
        if self._slots.state(name) is None:
            self._occupy_slot(name, now_s)

    def _occupy_slot(self, name: str, now_s: float) -> None:
        # A report that is applied before the answer may have shown other loads, so the
        # place need not be free any more.
        self._slots.adopt_load(name)
        self._ordered_s[name] = now_s

    def discard_unanswered(self, accepted: str) -> None:
        """Discard the unanswered loads, which an accepted order has made void.

        Each order names the number of orders accepted before it, so the engine rejects
        an order that arrives after a newer one.
        """
        for name in list(self._unanswered):
            if name != accepted:
                self._abandon(name)

    def resolve_unanswered(self, order_count: int, pending: Collection[str]) -> None:
        """Determine from the order count which unanswered loads were carried out."""
        for name, expected_count in list(self._unanswered.items()):
            if order_count <= expected_count:
                continue
            if name in pending:
                del self._unanswered[name]
            else:
                self._abandon(name)

    def drop_lost_loads(self, pending: Collection[str], now_s: float) -> None:
        """Abandon old loads that the engine does not report as pending."""
        for name, ordered_s in list(self._ordered_s.items()):
            if name not in pending and now_s - ordered_s > LOAD_LOST_AFTER_S:
                self._abandon(name)

    def note_resident(self, name: str, now_s: float) -> bool:
        """Record a resident adapter; return whether this completes its load."""
        was_cached = name in self._cached
        self._cached[name] = None
        self._cached.move_to_end(name)
        if len(self._cached) > MAX_CACHED_ADAPTERS:
            self._cached.popitem(last=False)
        ordered_s = self._ordered_s.pop(name, None)
        if ordered_s is None:
            return False
        self._unanswered.pop(name, None)
        if not was_cached:
            self._update_store_load_s(now_s - ordered_s)
        self._slots.end_load(name, loaded=True)
        return True

    def _update_store_load_s(self, took_s: float) -> None:
        """Update the load time and how many loads may run at a time.

        The store slows down when many engines load.
        """
        took_s = min(MAX_LOAD_S, max(MIN_LOAD_S, took_s))
        self._load_times_s.append(took_s)
        ordered_s = sorted(self._load_times_s)
        usual_s = ordered_s[int(USUAL_LOAD_LEVEL * (len(ordered_s) - 1))]
        if took_s > SLOW_LOAD_FACTOR * usual_s:
            self._store_loads = max(1.0, STORE_LOADS_DOWN * self._store_loads)
        elif took_s <= USUAL_LOAD_FACTOR * usual_s:
            self._store_loads = min(
                float(MAX_IN_TRANSIT), self._store_loads + STORE_LOADS_UP
            )
        self.store_load_s += LOAD_TIME_WEIGHT * (took_s - self.store_load_s)

    def _abandon(self, name: str) -> None:
        """Abandon a load and free its slot."""
        self._unanswered.pop(name, None)
        self._ordered_s.pop(name, None)
        self._slots.end_load(name, loaded=False)

    def clear(self) -> None:
        """Clear all loads and the cache after a restart of the engine."""
        self._ordered_s.clear()
        self._unanswered.clear()
        self._cached.clear()
