"""Which adapters callers ask for often, and how many engines these need."""

import collections
import math

# The demand for an adapter loses half of its weight over this time.
DEMAND_HALF_LIFE_S = 6.0
# Share of an engine's time that the prompts of an adapter take at least at each of
# several engines that share it.
READING_SHARE = 0.2
# Adapters of which a host keeps the demand; the ones asked for last.
MAX_ADAPTERS = 1000


class AdapterDemand:
    """Decaying counts of the requests for each adapter."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        # Count and the time that it holds for; the adapter noted last is at the end.
        self._counts: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def note(self, adapter: str, now_s: float) -> None:
        """Count a request for ``model/adapter``."""
        self._counts[adapter] = (self.recent(adapter, now_s) + 1.0, now_s)
        self._counts.move_to_end(adapter)
        if len(self._counts) > MAX_ADAPTERS:
            self._counts.popitem(last=False)

    def recent(self, adapter: str, now_s: float) -> float:
        """Return the number of recent requests, older ones with less weight."""
        count, at_s = self._counts.get(adapter, (0.0, now_s))
        weight: float = 0.5 ** (max(0.0, now_s - at_s) / DEMAND_HALF_LIFE_S)
        return count * weight

    def count_homes(
        self, adapter: str, reading_s: float, hosts: int, now_s: float
    ) -> int:
        """Return how many engines share the requests for an adapter.

        ``reading_s`` is how long an engine takes to begin an answer, infinite if it is
        not known. Each of the hosts is assumed to see as many requests as this one.
        """
        recent = self.recent(adapter, now_s)
        # One host sees few requests, so their number may be above its mean by chance.
        certain = recent - math.sqrt(2 * recent)
        if certain <= 0 or math.isinf(reading_s):
            return 1
        rate_per_s = hosts * certain * math.log(2) / DEMAND_HALF_LIFE_S
        return max(1, int(rate_per_s * reading_s / READING_SHARE))
