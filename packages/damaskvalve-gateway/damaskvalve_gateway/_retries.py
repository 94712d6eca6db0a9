"""The budget for retries: requests that are sent to another backend server."""

import collections


class RetryBudget:
    """This host's part of the retry budget of all hosts, over a sliding window.

    The budget of all hosts is a ratio of the requests plus a fixed number. Each host
    earns the ratio by its own requests; the fixed number is split between the hosts.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        # Times of the recent requests and retries, by service.
        self._request_times_s: dict[str, collections.deque[float]] = {}
        self._retry_times_s: dict[str, collections.deque[float]] = {}

    def earn(self, service: str, now_s: float) -> None:
        """Count one request for a service."""
        self._request_times_s.setdefault(service, collections.deque()).append(now_s)
        # Requests may come for hours without a retry.
        self._recent(self._request_times_s, service, now_s)

    def take(self, service: str, hosts: int, now_s: float) -> bool:
        """Use one retry, or return False if none is left in the window."""
        requests = self._recent(self._request_times_s, service, now_s)
        retries = self._recent(self._retry_times_s, service, now_s)
        allowed = self._ratio * requests + self._slack / max(1, hosts)
        if retries + 1 > allowed:
            return False
        self._retry_times_s.setdefault(service, collections.deque()).append(now_s)
        return True

    def _recent(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> int:
        times = times_by_service.get(service)
        if not times:
            return 0
        while times and times[0] < now_s - self._window_s:
            times.popleft()
        return len(times)
