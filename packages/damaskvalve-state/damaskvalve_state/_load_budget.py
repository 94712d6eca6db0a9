"""The fleet-wide budget of adapter loads, kept by the leader.

Load permits come from a token bucket at the weight store's rate, with a bounded
number in flight. Requests are ordered by urgency, then by the loads that their
workspace has received relative to its share, then by waiting time. A new leader
starts with an empty bucket, so no time window exceeds the limit of the store.
"""

from collections.abc import Sequence

# A permit counts as in flight for this time unless its load is reported as ended.
PERMIT_VALID_S = 3.0


class LoadLimit:
    """The load limits of the weight store."""

    __slots__ = ("rate_loads_per_s", "burst_loads", "max_in_flight")

    def __init__(
        self, rate_loads_per_s: float, burst_loads: float, max_in_flight: int
    ) -> None:
        self.rate_loads_per_s = rate_loads_per_s
        self.burst_loads = burst_loads
        self.max_in_flight = max_in_flight


class LoadRequest:
    """An agent's queued request for a load permit on behalf of a workspace."""

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
        # A lower value is granted first.
        self.urgency = urgency
        # The start of the first attempt: a repeated request keeps its place.
        self.waiting_since_s = waiting_since_s
        self.expires_at_s = expires_at_s
        # Opaque to the budget; the caller uses it to send the reply.
        self.reply_handle = reply_handle


class LoadDecision:
    """The decision on a request: a permit id, or None if the request expired."""

    __slots__ = ("request", "permit_id")

    def __init__(self, request: LoadRequest, permit_id: str | None) -> None:
        self.request = request
        self.permit_id = permit_id


class LoadBudget:
    """Queues load requests and grants permits within the limits of the store."""

    def __init__(self, limit: LoadLimit, term: int, now_s: float) -> None:
        self.limit = limit
        self._term = term
        self._level_loads = 0.0
        self._updated_at_s = now_s
        # The expiry of each permit in flight. A new leader assumes that the previous
        # one had granted as many as the limit allows.
        self._in_flight: dict[str, float] = {
            f"{term}-unknown-{number}": now_s + PERMIT_VALID_S
            for number in range(limit.max_in_flight)
        }
        self._waiting: list[LoadRequest] = []
        # Granted loads of each workspace, divided by its share.
        self._weighted_loads: dict[str, float] = {}
        # The greatest weighted loads of a workspace at a grant. A workspace that starts
        # to wait counts as having received at least as many.
        self._min_weighted_loads = 0.0
        self._permit_count = 0

    def enqueue(self, request: LoadRequest) -> None:
        """Queue a request; a workspace earns no priority by having none queued."""
        if not any(item.workspace == request.workspace for item in self._waiting):
            loads = self._weighted_loads.get(request.workspace, 0.0)
            self._weighted_loads[request.workspace] = max(
                loads, self._min_weighted_loads
            )
        self._waiting.append(request)

    def finish(self, permit_id: str) -> None:
        """Record that the load of a permit has ended."""
        self._in_flight.pop(permit_id, None)

    def decide(self, now_s: float) -> Sequence[LoadDecision]:
        """Return the decisions on requests that are granted or expire now."""
        self._refill(now_s)
        expired = [item for item in self._waiting if item.expires_at_s <= now_s]
        if expired:
            self._waiting = [
                item for item in self._waiting if item.expires_at_s > now_s
            ]
        decisions = [LoadDecision(item, None) for item in expired]
        while self._waiting and self._can_grant():
            request = min(self._waiting, key=self._priority)
            self._waiting.remove(request)
            decisions.append(self._grant(request, now_s))
        return decisions

    def _priority(self, request: LoadRequest) -> tuple[int, float, float]:
        return (
            request.urgency,
            self._weighted_loads[request.workspace],
            request.waiting_since_s,
        )

    def retry_after_s(self) -> float:
        """Estimate the seconds until a request behind all queued ones is granted."""
        missing_loads = len(self._waiting) + 1 - self._level_loads
        return max(0.1, missing_loads / self.limit.rate_loads_per_s)

    def _refill(self, now_s: float) -> None:
        added = (now_s - self._updated_at_s) * self.limit.rate_loads_per_s
        self._level_loads = min(self.limit.burst_loads, self._level_loads + added)
        self._updated_at_s = now_s
        for permit_id, valid_until_s in list(self._in_flight.items()):
            if valid_until_s < now_s:
                del self._in_flight[permit_id]

    def _can_grant(self) -> bool:
        has_token = self._level_loads >= 1
        return has_token and len(self._in_flight) < self.limit.max_in_flight

    def _grant(self, request: LoadRequest, now_s: float) -> LoadDecision:
        self._level_loads -= 1
        self._min_weighted_loads = max(
            self._min_weighted_loads, self._weighted_loads[request.workspace]
        )
        self._weighted_loads[request.workspace] += 1 / request.share
        self._permit_count += 1
        permit_id = f"{self._term}-{self._permit_count}"
        self._in_flight[permit_id] = now_s + PERMIT_VALID_S
        return LoadDecision(request, permit_id)
