"""When an engine may read the next prompt without holding up its streams."""

import collections

from damaskvalve_agent._permits._types import AdmissionRequest

# From both users' sheets.
PREFILL_TOKENS_PER_S = 25_800.0
# Reading a prompt also takes time that grows with the square of its length.
PREFILL_S_PER_SQUARE_TOKEN = 1.1e-9
# The part of the longest pause between two events that may go into reading prompts:
# an event holds a few tokens, each of a step that takes its own time.
PREFILL_FRACTION = 0.72


def prefill_s(prompt_tokens: int) -> float:
    """Return how long an engine reads a prompt."""
    square_s = PREFILL_S_PER_SQUARE_TOKEN * prompt_tokens * prompt_tokens
    return prompt_tokens / PREFILL_TOKENS_PER_S + square_s


class PrefillPacer:
    """Spreads the reading of prompts, so that running streams do not pause too long.

    An engine reads prompts between the tokens of its running requests. Prompts that
    arrive together are read in one go, and every stream of the engine pauses for
    that; spread over the length of a pause they hold up none for longer.
    """

    __slots__ = ("_recent_prefills",)

    def __init__(self) -> None:
        self._recent_prefills: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def wait_s(self, request: AdmissionRequest, now_s: float) -> float:
        """Return how long until the prompt may be read; 0 for now."""
        while (
            self._recent_prefills
            and self._recent_prefills[0][0] <= now_s - request.max_pause_s
        ):
            self._recent_prefills.popleft()
        held_s = sum(cost_s for _, cost_s in self._recent_prefills)
        allowed_s = PREFILL_FRACTION * request.max_pause_s - prefill_s(
            request.prompt_tokens
        )
        for at_s, cost_s in self._recent_prefills:
            if held_s <= allowed_s:
                break
            held_s -= cost_s
            if held_s <= max(0.0, allowed_s):
                return at_s + request.max_pause_s - now_s
        return 0.0

    def record_prefill(self, request: AdmissionRequest, now_s: float) -> None:
        """Note that the engine reads a prompt from now on."""
        self._recent_prefills.append((now_s, prefill_s(request.prompt_tokens)))
