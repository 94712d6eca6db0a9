"""The fleet-wide budget of adapter loads, kept by the leader.

Permits come from a token bucket at the weight store's rate with a bounded
number in flight. The most urgent waiter goes first, then the one whose workspace
got the fewest loads for its share, then the one that has waited longest. A new
leader starts with an empty bucket, so no window ever holds more than the store
allows.
"""

from collections.abc import Sequence

PERMIT_VALID_S = 3.0


class LoadLimit:
    """What the weight store allows."""

    __slots__ = ("rate_loads_per_s", "burst_loads", "max_in_flight")

    def __init__(
        self, rate_loads_per_s: float, burst_loads: float, max_in_flight: int
    ) -> None:
        self.rate_loads_per_s = rate_loads_per_s
        self.burst_loads = burst_loads
        self.max_in_flight = max_in_flight


class LoadRequest:
    """One agent that waits for a permit in a workspace's name."""

    __slots__ = (
        "agent_id",
        "adapter",
        "workspace",
        "share",
        "urgency",
        "since_s",
        "gives_up_at_s",
        "token",
    )

    def __init__(
        self,
        agent_id: str,
        adapter: str,
        workspace: str,
        share: float,
        urgency: int,
        since_s: float,
        gives_up_at_s: float,
        token: object,
    ) -> None:
        self.agent_id = agent_id
        self.adapter = adapter
        self.workspace = workspace
        self.share = share
        # Lower goes first.
        self.urgency = urgency
        # One that asks again keeps its place by this time.
        self.since_s = since_s
        self.gives_up_at_s = gives_up_at_s
        # Whatever the caller needs to answer the waiter.
        self.token = token


class LoadDecision:
    """A waiter's answer: a permit id, or none once it has waited its time."""

    __slots__ = ("waiter", "permit_id")

    def __init__(self, waiter: LoadRequest, permit_id: str | None) -> None:
        self.waiter = waiter
        self.permit_id = permit_id


class LoadBudget:
    """Hands out permits; see the module's guarantee."""

    def __init__(self, limit: LoadLimit, term: int, now_s: float) -> None:
        self.limit = limit
        self._term = term
        self._level_loads = 0.0
        self._updated_at_s = now_s
        # Permits of the leader before may still be in flight.
        self._in_flight: dict[str, float] = {
            f"{term}-unknown-{number}": now_s + PERMIT_VALID_S
            for number in range(limit.max_in_flight)
        }
        self._waiting: list[LoadRequest] = []
        # Loads that each workspace got, over its share.
        self._loads: dict[str, float] = {}
        self._floor = 0.0
        self._count = 0

    def ask(self, waiter: LoadRequest) -> None:
        """Queue a waiter; a workspace without waiters gets no credit for that."""
        if not any(item.workspace == waiter.workspace for item in self._waiting):
            loads = self._loads.get(waiter.workspace, 0.0)
            self._loads[waiter.workspace] = max(loads, self._floor)
        self._waiting.append(waiter)

    def finish(self, permit_id: str) -> None:
        """Take note that the load of a permit has ended."""
        self._in_flight.pop(permit_id, None)

    def decide(self, now_s: float) -> Sequence[LoadDecision]:
        """Return the waiters that get an answer now."""
        self._refill(now_s)
        late = [item for item in self._waiting if item.gives_up_at_s <= now_s]
        if late:
            self._waiting = [
                item for item in self._waiting if item.gives_up_at_s > now_s
            ]
        decisions = [LoadDecision(item, None) for item in late]
        while self._waiting and self._may_grant():
            waiter = min(self._waiting, key=self._order)
            self._waiting.remove(waiter)
            decisions.append(self._grant(waiter, now_s))
        return decisions

    def _order(self, waiter: LoadRequest) -> tuple[int, float, float]:
        return waiter.urgency, self._loads[waiter.workspace], waiter.since_s

    def retry_after_s(self) -> float:
        """Return about when a waiter of low urgency gets its turn."""
        ahead = len(self._waiting) + 1 - self._level_loads
        return max(0.1, ahead / self.limit.rate_loads_per_s)

    def _refill(self, now_s: float) -> None:
        added = (now_s - self._updated_at_s) * self.limit.rate_loads_per_s
        self._level_loads = min(self.limit.burst_loads, self._level_loads + added)
        self._updated_at_s = now_s
        for permit_id, valid_until_s in list(self._in_flight.items()):
            if valid_until_s < now_s:
                del self._in_flight[permit_id]

    def _may_grant(self) -> bool:
        has_token = self._level_loads >= 1
        return has_token and len(self._in_flight) < self.limit.max_in_flight

    def _grant(self, waiter: LoadRequest, now_s: float) -> LoadDecision:
        self._level_loads -= 1
        self._floor = max(self._floor, self._loads[waiter.workspace])
        self._loads[waiter.workspace] += 1 / waiter.share
        self._count += 1
        permit_id = f"{self._term}-{self._count}"
        self._in_flight[permit_id] = now_s + PERMIT_VALID_S
        return LoadDecision(waiter, permit_id)
