"""The loads of adapters that are on their way to one engine, and how long they take."""

import collections
from collections.abc import Collection

from damaskvalve_agent._slots import Slots

# Loads that one agent keeps on their way. The store slows down beyond eight over all
# engines, and the smallest deployment has five.
MAX_LOADS = 2
# The same with those that an engine loads from its own copies; it takes no more.
MAX_IN_TRANSIT = 4
# Engines keep copies of about so many adapters that they held lately.
MAX_COPIES = 100
# Assumed until loads have been seen: the time of a load of an adapter, as on all
# users' sheets.
LOAD_S = 0.25
# The newest load of an adapter counts with this weight, within these bounds.
LOAD_WEIGHT = 0.2
MIN_LOAD_S = 0.05
MAX_LOAD_S = 4.0
# The same from a copy: a tenth.
LOAD_COPY_S = 0.03
# A load that the engine does not show as on its way after this has failed.
LOST_LOAD_S = 1.0


class LoadTracker:
    """Loads that were ordered, each with the place that it takes."""

    def __init__(self, slots: Slots) -> None:
        self._slots = slots
        # When each load on its way was ordered.
        self._ordered_s: dict[str, float] = {}
        # Loads that had no answer, with the count of orders that they named. They keep
        # their place: they may be carried out until another order is accepted.
        self._unsure: dict[str, int] = {}
        # Adapters that the engine held lately, the newest at the end.
        self._copies: collections.OrderedDict[str, None] = collections.OrderedDict()
        # How long the store takes for one.
        self.store_load_s = LOAD_S

    def names(self) -> Collection[str]:
        """Return the adapters on their way."""
        return self._ordered_s.keys()

    def is_unsure(self, name: str) -> bool:
        """Return whether a load was ordered and had no answer."""
        return name in self._unsure

    def is_copied(self, name: str) -> bool:
        """Return whether an adapter need not come from the store."""
        return name in self._copies

    def load_s(self, name: str) -> float:
        """Return how long the load of an adapter takes."""
        return LOAD_COPY_S if name in self._copies else self.store_load_s

    def from_store(self, names: Collection[str]) -> int:
        """Return how many of these adapters have to come from the store."""
        return sum(name not in self._copies for name in names)

    def may_load(self, name: str) -> bool:
        """Return whether one more load may be ordered now."""
        if len(self._ordered_s) >= MAX_IN_TRANSIT:
            return False
        return name in self._copies or self.from_store(self.names()) < MAX_LOADS

    def note_ordered(self, name: str, now_s: float) -> None:
        """Note a load that the engine has accepted."""
        self._take_place(name, now_s)
        self._unsure.pop(name, None)

    def note_unanswered(self, name: str, order_count: int, now_s: float) -> None:
        """Note a load that had no answer; its order named this count of orders."""
        self._take_place(name, now_s)
        self._unsure[name] = order_count

    def _take_place(self, name: str, now_s: float) -> None:
        if self._slots.state(name) is None:
            self._slots.start_load(name)
        self._ordered_s[name] = now_s

    def void_unsure(self, accepted: str) -> None:
        """Forget orders without an answer: an accepted one has made them void.

        Each order names the count of those before it, so one that comes later than a
        newer one is refused by the engine.
        """
        for name in list(self._unsure):
            if name != accepted:
                self._drop(name)

    def settle_unsure(self, order_count: int, pending: Collection[str]) -> None:
        """Learn from the count of orders which loads were carried out after all."""
        for name, named_count in list(self._unsure.items()):
            if order_count <= named_count:
                continue
            if name in pending:
                del self._unsure[name]
            else:
                self._drop(name)

    def drop_lost(self, pending: Collection[str], now_s: float) -> None:
        """Give up loads that the engine does not show as on their way."""
        for name, ordered_s in list(self._ordered_s.items()):
            if name not in pending and now_s - ordered_s > LOST_LOAD_S:
                self._drop(name)

    def note_held(self, name: str, now_s: float) -> bool:
        """Note that the engine holds an adapter; True if its load has ended."""
        was_copied = name in self._copies
        self._copies[name] = None
        self._copies.move_to_end(name)
        if len(self._copies) > MAX_COPIES:
            self._copies.popitem(last=False)
        ordered_s = self._ordered_s.pop(name, None)
        if ordered_s is None:
            return False
        self._unsure.pop(name, None)
        if not was_copied:
            self._learn(now_s - ordered_s)
        self._slots.end_load(name, loaded=True)
        return True

    def _learn(self, took_s: float) -> None:
        """Follow the store, which slows down when many engines load."""
        took_s = min(MAX_LOAD_S, max(MIN_LOAD_S, took_s))
        self.store_load_s += LOAD_WEIGHT * (took_s - self.store_load_s)

    def _drop(self, name: str) -> None:
        """Give up a load that does not come."""
        self._unsure.pop(name, None)
        self._ordered_s.pop(name, None)
        self._slots.end_load(name, loaded=False)

    def clear(self) -> None:
        """Forget all after the engine has restarted."""
        self._ordered_s.clear()
        self._unsure.clear()
        self._copies.clear()
