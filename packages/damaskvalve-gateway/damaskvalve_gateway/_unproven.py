"""Whether a new leader's refusal shows that a workspace is over its rate.

After a restart of all hosts their buckets start empty, because the tokens may have been
spent just before. An empty bucket then says nothing about the workspace; what callers
have asked for since does.
"""

from damaskvalve_gateway._model import Workspace
from damaskvalve_gateway._token_bucket import TokenBucket


class UnprovenCredit:
    """By workspace, the tokens that are left if all buckets were full at the start.

    Whatever the leader is asked for is charged, granted or not.
    """

    __slots__ = ("_began_s", "_window_s", "_buckets")

    def __init__(self, began_s: float, window_s: float) -> None:
        self._began_s = began_s
        # For this long, what was spent before the start counts towards the rate.
        self._window_s = window_s
        # None for a workspace that has asked for more than a full bucket.
        self._buckets: dict[str, TokenBucket | None] = {}

    def covers(
        self,
        workspace: Workspace,
        tokens: float,
        rate_per_s: float,
        depth: float,
        now_s: float,
    ) -> bool:
        """Charge tokens; return whether a workspace within its rate may ask for them.

        ``rate_per_s`` is the leader's part of the rate, since the hosts spend the other
        part without asking, and ``depth`` that of all buckets together.
        """
        name = workspace.name
        if now_s - self._began_s >= self._window_s:
            self._buckets.clear()
            return False
        if name not in self._buckets:
            self._buckets[name] = TokenBucket(depth, self._began_s)
        bucket = self._buckets[name]
        if bucket is None:
            return False
        if bucket.take_up_to(tokens, rate_per_s, depth, now_s) < tokens:
            self._buckets[name] = None
            return False
        return True
