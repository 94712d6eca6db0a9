"""The fleet-wide budget of adapter loads, kept by the leader.

Permits come from a token bucket at the weight store's rate with a bounded
number in flight. The most urgent request goes first, then the one whose workspace
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
        "waiting_since_s",
        "expires_at_s",
        "reply_handle",
    )

    def __init__(
        self,
        agent_id: str,
        adapter: str,
        workspace: str,
        share: float,
        urgency: int,
        waiting_since_s: float,
        expires_at_s: float,
        reply_handle: object,
    ) -> None:
        self.agent_id = agent_id
        self.adapter = adapter
        self.workspace = workspace
        self.share = share
        # Lower goes first.
        self.urgency = urgency
        # One that asks again keeps its place by this time.
        self.waiting_since_s = waiting_since_s
        self.expires_at_s = expires_at_s
        # Whatever the caller needs to answer the request.
        self.reply_handle = reply_handle


class LoadDecision:
    """A request's answer: a permit id, or none once it has waited its time."""

    __slots__ = ("request", "permit_id")

    def __init__(self, request: LoadRequest, permit_id: str | None) -> None:
        self.request = request
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

    def enqueue(self, request: LoadRequest) -> None:
        """Queue a request; a workspace without waiters gets no credit for that."""
        if not any(item.workspace == request.workspace for item in self._waiting):
            loads = self._loads.get(request.workspace, 0.0)
            self._loads[request.workspace] = max(loads, self._floor)
        self._waiting.append(request)

    def finish(self, permit_id: str) -> None:
        """Take note that the load of a permit has ended."""
        self._in_flight.pop(permit_id, None)

    def decide(self, now_s: float) -> Sequence[LoadDecision]:
        """Return the waiters that get an answer now."""
        self._refill(now_s)
        late = [item for item in self._waiting if item.expires_at_s <= now_s]
        if late:
            self._waiting = [
                item for item in self._waiting if item.expires_at_s > now_s
            ]
        decisions = [LoadDecision(item, None) for item in late]
        while self._waiting and self._may_grant():
            request = min(self._waiting, key=self._order)
            self._waiting.remove(request)
            decisions.append(self._grant(request, now_s))
        return decisions

    def _order(self, request: LoadRequest) -> tuple[int, float, float]:
        return request.urgency, self._loads[request.workspace], request.waiting_since_s

    def retry_after_s(self) -> float:
        """Return about when a request of low urgency gets its turn."""
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

    def _grant(self, request: LoadRequest, now_s: float) -> LoadDecision:
        self._level_loads -= 1
        self._floor = max(self._floor, self._loads[request.workspace])
        self._loads[request.workspace] += 1 / request.share
        self._count += 1
        permit_id = f"{self._term}-{self._count}"
        self._in_flight[permit_id] = now_s + PERMIT_VALID_S
        return LoadDecision(request, permit_id)
