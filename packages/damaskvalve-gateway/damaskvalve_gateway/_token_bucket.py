"""A bucket of tokens that accrue at a rate up to a depth."""


class TokenBucket:
    """A token bucket with a fraction of a workspace's rate and burst."""

    __slots__ = ("level", "_at_s")

    def __init__(self, level: float, now_s: float) -> None:
        self.level = level
        self._at_s = now_s

    def refill(self, rate_per_s: float, depth: float, now_s: float) -> None:
        """Add the tokens accrued since the last call."""
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self.level = min(depth, self.level + rate_per_s * passed_s)

    def skip_to(self, now_s: float) -> None:
        """Let no tokens accrue for the time since the last call."""
        self._at_s = now_s

    def take_up_to(
        self, tokens: float, rate_per_s: float, depth: float, now_s: float
    ) -> float:
        """Take ``tokens``, or those that are available; return how many were taken."""
        self.refill(rate_per_s, depth, now_s)
        taken = max(0.0, min(tokens, self.level))
        self.level -= taken
        return taken

    def refund(self, tokens: float, depth: float) -> None:
        """Return tokens of a request that did not run."""
        self.level = min(depth, self.level + tokens)
