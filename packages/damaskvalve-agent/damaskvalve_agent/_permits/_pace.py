"""Paces prefill, so that an engine's running streams are not delayed too long."""

import collections

from damaskvalve_agent._permits._types import AdmissionRequest

# From both users' data sheets.
PREFILL_TOKENS_PER_S = 25_800.0
# Part of the prefill time that grows with the square of the prompt's length.
PREFILL_S_PER_SQUARE_TOKEN = 1.1e-9
# Fraction of the longest pause between two events that prefill may use. The rest is for
# the few tokens of an event, each of which takes a decoding step.
PREFILL_FRACTION = 0.72


def prefill_s(prompt_tokens: int) -> float:
    """Return how long an engine takes to read a prompt."""
    square_s = PREFILL_S_PER_SQUARE_TOKEN * prompt_tokens * prompt_tokens
    return prompt_tokens / PREFILL_TOKENS_PER_S + square_s


class PrefillPacer:
    """Spreads the reading of prompts, so that running streams do not pause too long.

    An engine reads prompts between the tokens of its running requests. It reads prompts
    that arrive together in one batch, and every stream of the engine pauses meanwhile.
    Prompts that are spread over the length of the longest pause delay no stream for
    longer than that.
    """

    __slots__ = ("_recent_prefills",)

    def __init__(self) -> None:
        self._recent_prefills: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def wait_s(self, request: AdmissionRequest, now_s: float) -> float:
        """Return how long the prompt has to wait; 0 if it may be read now."""
        while (
            self._recent_prefills
            and self._recent_prefills[0][0] <= now_s - request.max_pause_s
        ):
            self._recent_prefills.popleft()
        recent_s = sum(cost_s for _, cost_s in self._recent_prefills)
        allowed_recent_s = PREFILL_FRACTION * request.max_pause_s - prefill_s(
            request.prompt_tokens
        )
        for at_s, cost_s in self._recent_prefills:
            if recent_s <= allowed_recent_s:
                break
            recent_s -= cost_s
            if recent_s <= max(0.0, allowed_recent_s):
                return at_s + request.max_pause_s - now_s
        return 0.0

    def record_prefill(self, request: AdmissionRequest, now_s: float) -> None:
        """Record that the engine starts to read a prompt."""
        self._recent_prefills.append((now_s, prefill_s(request.prompt_tokens)))
