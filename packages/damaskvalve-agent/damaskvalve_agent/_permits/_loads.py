"""The loads of adapters that are on their way to one engine, and how long they take."""

import collections
from collections.abc import Collection

from damaskvalve_agent._slots import Slots

# Loads that one agent keeps on their way. The store slows down beyond eight over all
# engines, and the smallest deployment has five.
MAX_STORE_LOADS = 2
# The same with those that an engine loads from its own copies; it takes no more.
MAX_IN_TRANSIT = 4
# Engines keep copies of about so many adapters that they held lately.
MAX_COPIES = 100
# Assumed until loads have been seen: the time of a load of an adapter, as on all
# users' sheets.
DEFAULT_LOAD_S = 0.25
# The newest load of an adapter counts with this weight, within these bounds.
LOAD_TIME_WEIGHT = 0.2
MIN_LOAD_S = 0.05
MAX_LOAD_S = 4.0
# The same from a copy: a tenth.
COPY_LOAD_S = 0.03
# A load that the engine does not show as on its way after this has failed.
LOAD_LOST_AFTER_S = 1.0


class LoadTracker:
    """Loads that were ordered, each with the place that it takes."""

    def __init__(self, slots: Slots) -> None:
        self._slots = slots
        # When each load on its way was ordered.
        self._ordered_s: dict[str, float] = {}
        # Loads that had no answer, with the count of orders that they named. They keep
        # their place: they may be carried out until another order is accepted.
        self._unanswered: dict[str, int] = {}
        # Adapters that the engine held lately, the newest at the end.
        self._copies: collections.OrderedDict[str, None] = collections.OrderedDict()
        # How long the store takes for one.
        self.store_load_s = DEFAULT_LOAD_S

    def in_transit(self) -> Collection[str]:
        """Return the adapters on their way."""
        return self._ordered_s.keys()

    def is_unanswered(self, name: str) -> bool:
        """Return whether a load was ordered and had no answer."""
        return name in self._unanswered

    def has_copy(self, name: str) -> bool:
        """Return whether an adapter need not come from the store."""
        return name in self._copies

    def load_s(self, name: str) -> float:
        """Return how long the load of an adapter takes."""
        return COPY_LOAD_S if name in self._copies else self.store_load_s

    def count_from_store(self, in_transit: Collection[str]) -> int:
        """Return how many of these adapters have to come from the store."""
        return sum(name not in self._copies for name in in_transit)

    def can_load(self, name: str) -> bool:
        """Return whether one more load may be ordered now."""
        if len(self._ordered_s) >= MAX_IN_TRANSIT:
            return False
        return (
            name in self._copies
            or self.count_from_store(self.in_transit()) < MAX_STORE_LOADS
        )

    def note_ordered(self, name: str, now_s: float) -> None:
        """Note a load that the engine has accepted."""
        self._occupy_slot(name, now_s)
        self._unanswered.pop(name, None)

    def note_unanswered(self, name: str, order_count: int, now_s: float) -> None:
        """Note a load that had no answer; its order named this count of orders."""
        self._occupy_slot(name, now_s)
        self._unanswered[name] = order_count

    def _occupy_slot(self, name: str, now_s: float) -> None:
        if self._slots.state(name) is None:
            self._slots.start_load(name)
        self._ordered_s[name] = now_s

    def discard_unanswered(self, accepted: str) -> None:
        """Forget orders without an answer: an accepted one has made them void.

        Each order names the count of those before it, so one that comes later than a
        newer one is refused by the engine.
        """
        for name in list(self._unanswered):
            if name != accepted:
                self._abandon(name)

    def resolve_unanswered(self, order_count: int, pending: Collection[str]) -> None:
        """Learn from the count of orders which loads were carried out after all."""
        for name, named_count in list(self._unanswered.items()):
            if order_count <= named_count:
                continue
            if name in pending:
                del self._unanswered[name]
            else:
                self._abandon(name)

    def drop_lost_loads(self, pending: Collection[str], now_s: float) -> None:
        """Give up loads that the engine does not show as on their way."""
        for name, ordered_s in list(self._ordered_s.items()):
            if name not in pending and now_s - ordered_s > LOAD_LOST_AFTER_S:
                self._abandon(name)

    def note_resident(self, name: str, now_s: float) -> bool:
        """Note that the engine holds an adapter; True if its load has ended."""
        had_copy = name in self._copies
        self._copies[name] = None
        self._copies.move_to_end(name)
        if len(self._copies) > MAX_COPIES:
            self._copies.popitem(last=False)
        ordered_s = self._ordered_s.pop(name, None)
        if ordered_s is None:
            return False
        self._unanswered.pop(name, None)
        if not had_copy:
            self._update_store_load_s(now_s - ordered_s)
        self._slots.end_load(name, loaded=True)
        return True

    def _update_store_load_s(self, took_s: float) -> None:
        """Follow the store, which slows down when many engines load."""
        took_s = min(MAX_LOAD_S, max(MIN_LOAD_S, took_s))
        self.store_load_s += LOAD_TIME_WEIGHT * (took_s - self.store_load_s)

    def _abandon(self, name: str) -> None:
        """Give up a load that does not come."""
        self._unanswered.pop(name, None)
        self._ordered_s.pop(name, None)
        self._slots.end_load(name, loaded=False)

    def clear(self) -> None:
        """Forget all after the engine has restarted."""
        self._ordered_s.clear()
        self._unanswered.clear()
        self._copies.clear()
