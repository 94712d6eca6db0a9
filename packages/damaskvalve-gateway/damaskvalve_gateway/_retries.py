"""How often a host may send a request to a second backend server."""

import collections


class RetryBudget:
    """This host's part of the budget that all hosts share, over a sliding window.

    The fleet's budget is a share of the requests plus a fixed number. The share is
    earned by this host's own requests; the fixed number is split between the hosts.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def earn(self, service: str, now_s: float) -> None:
        """Count one request for a service."""
        self._requests.setdefault(service, collections.deque()).append(now_s)

    def take(self, service: str, hosts: int, now_s: float) -> bool:
        """Use one repeat, or return False when none is left in the window."""
        requests = self._recent(self._requests, service, now_s)
        repeats = self._recent(self._repeats, service, now_s)
        allowed = self._ratio * requests + self._slack / max(1, hosts)
        if repeats + 1 > allowed:
            return False
        self._repeats.setdefault(service, collections.deque()).append(now_s)
        return True

    def _recent(
        self, kept: dict[str, collections.deque[float]], service: str, now_s: float
    ) -> int:
        times = kept.get(service)
        if not times:
            return 0
        while times and times[0] < now_s - self._window_s:
            times.popleft()
        return len(times)
