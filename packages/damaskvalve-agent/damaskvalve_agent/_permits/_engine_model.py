"""Learns how fast an engine reads prompts, and how much slower it is at times.

The agent sees when a request starts and when its first event arrives. The time between
them is that of reading the prompt, in proportion to its length, and a fixed part: the
way to the engine and the decoding of the first event. Of a few streams it is told the
time between events, which shows the time of decoding one and the engine's present
speed. All are estimated from medians, because engines are slow at times, keep parts of
some prompts, and hosts stand still now and then.
"""

import collections
from collections.abc import Sequence

# Estimates before the first observations. They hold for no engine in particular.
DEFAULT_READING_TOKENS_PER_S = 25_000.0
DEFAULT_EVENT_S = 0.04
DEFAULT_SLOWDOWN = 1.35
# Reading time per squared token of a prompt, in addition to that per token.
READING_S_PER_SQUARE_TOKEN = 1.1e-9
# Observations that the estimates are made of; they are renewed after every few.
MAX_OBSERVATIONS = 96
MIN_OBSERVATIONS = 8
RENEWAL_OBSERVATIONS = 4
# Runs that the usual lengths are taken from, and the fraction that is shorter than any
# that counts.
MAX_RUNS = 64
SHORT_RUN_LEVEL = 0.1
# Estimate of the mean length before the first runs, and the weight of each run in it.
DEFAULT_RUN_S = 1.5
RUN_WEIGHT = 0.05
# Slowdowns that the usual ones are taken from: some ten seconds of a busy engine.
MAX_RATIOS = 512
# Shorter prompts than this do not show the time of reading.
MIN_LONG_TOKENS = 300.0
# Bounds of the estimates: no engine is faster or slower.
MIN_TOKENS_PER_S = 1_000.0
MAX_TOKENS_PER_S = 500_000.0
MIN_EVENT_S = 0.005
MAX_EVENT_S = 0.15
# An observation may be this much longer than expected for reasons beside the engine.
JITTER_S = 0.01
# Observations show the present speed of an engine for this long.
PRESENT_S = 0.8
PRESENT_OBSERVATIONS = 3
# An engine that is slower than usual by no more than this counts as usual.
SLOW_RATIO = 1.5
# An engine is not taken to be slower than this.
MAX_SLOWDOWN = 12.0
# After so many first events without a time between events, hosts tell none any more.
MAX_UNWATCHED = 32


def median(values: Sequence[float]) -> float:
    """Return the median of a sequence that is not empty."""
    return quantile(values, 0.5)


def quantile(values: Sequence[float], level: float) -> float:
    """Return the value below which a fraction ``level`` of the values lies."""
    ordered = sorted(values)
    return ordered[int(level * (len(ordered) - 1))]


class EngineModel:
    """What is known about the speed of one engine."""

    __slots__ = (
        "s_per_token",
        "first_event_s",
        "event_s",
        "observed",
        "mean_run_s",
        "_runs_s",
        "_times",
        "_intervals",
        "_unwatched",
        "_ratios",
        "_quantiles",
        "_by_stream",
        "_last_intervals",
        "_recent",
    )

    def __init__(self) -> None:
        self.s_per_token = 1.0 / DEFAULT_READING_TOKENS_PER_S
        # Time of the first event beyond reading.
        self.first_event_s = DEFAULT_EVENT_S
        # Time of each event of a stream while no prompt is read.
        self.event_s = DEFAULT_EVENT_S
        # How many first events have been observed.
        self.observed = 0
        # Mean length of runs, from the permit to the end.
        self.mean_run_s = DEFAULT_RUN_S
        self._runs_s: collections.deque[float] = collections.deque(maxlen=MAX_RUNS)
        # Tokens read, and the time until the first event.
        self._times: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_OBSERVATIONS
        )
        # Times between events while no prompt was read.
        self._intervals: collections.deque[float] = collections.deque(
            maxlen=MAX_OBSERVATIONS
        )
        # How many first events were observed since the last of them.
        self._unwatched = 0
        # Observed times by expected times.
        self._ratios: collections.deque[float] = collections.deque(maxlen=MAX_RATIOS)
        # The quantiles of the ratios that were asked for since the last observation.
        self._quantiles: dict[float, float] = {}
        # The last slowdown that each watched stream has shown, and when.
        self._by_stream: dict[str, tuple[float, float]] = {}
        # The last interval of each watched stream, and what may have been read in it.
        self._last_intervals: dict[str, tuple[float, float]] = {}
        # The last of the ratios, and when they were observed.
        self._recent: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=PRESENT_OBSERVATIONS
        )

    def reading_s(self, prompt_tokens: int) -> float:
        """Return the time that the engine usually takes to read a prompt."""
        square_s = READING_S_PER_SQUARE_TOKEN * prompt_tokens * prompt_tokens
        return prompt_tokens * self.s_per_token + square_s

    def ratio(self, reading_s: float, took_s: float) -> float:
        """Return by how much first events were later than after so much reading."""
        expected_s = reading_s + self.first_event_s
        return min(MAX_SLOWDOWN, max(1.0, (took_s - JITTER_S) / expected_s))

    def _note_ratio(self, ratio: float, now_s: float) -> None:
        self._ratios.append(ratio)
        self._quantiles.clear()
        self._recent.append((now_s, ratio))

    def note_run(self, took_s: float) -> None:
        """Record the length of a run that has ended."""
        self.mean_run_s += RUN_WEIGHT * (took_s - self.mean_run_s)
        self._runs_s.append(took_s)

    def short_run_s(self) -> float:
        """Return the length that nearly all runs exceed; 0 if it is not known."""
        if len(self._runs_s) < MIN_OBSERVATIONS:
            return 0.0
        return quantile(self._runs_s, SHORT_RUN_LEVEL)

    def note_first_events(
        self, prompts_tokens: Sequence[int], took_s: float, now_s: float
    ) -> None:
        """Record that prompts that started together had their first events.

        A prompt of unknown length, stated as 0 tokens, shows nothing.
        """
        if not all(prompts_tokens):
            return
        reading_s = sum(self.reading_s(tokens) for tokens in prompts_tokens)
        ratio = self.ratio(reading_s, took_s)
        self.observed += 1
        self._unwatched += 1
        if self._unwatched > MAX_UNWATCHED:
            self._intervals.clear()
        if not self._intervals:
            self._note_ratio(ratio, now_s)
        square_s = READING_S_PER_SQUARE_TOKEN * sum(
            tokens * tokens for tokens in prompts_tokens
        )
        self._times.append((float(sum(prompts_tokens)), took_s - square_s))
        enough = len(self._times) >= MIN_OBSERVATIONS
        if enough and self.observed % RENEWAL_OBSERVATIONS == 0:
            self._renew()

    def _renew(self) -> None:
        """Fit the time a token to the long prompts, and the rest to the short ones.

        Each fit takes the other estimate as given, so that few observations move them
        little, and many of them lead to the line through both medians.
        """
        ordered = sorted(self._times)
        half = len(ordered) // 2
        short, long = ordered[:half], ordered[half:]
        if median([tokens for tokens, _ in long]) < MIN_LONG_TOKENS:
            return
        s_per_token = median(
            [(took_s - self.first_event_s) / tokens for tokens, took_s in long]
        )
        self.s_per_token = min(
            1.0 / MIN_TOKENS_PER_S, max(1.0 / MAX_TOKENS_PER_S, s_per_token)
        )
        first_event_s = median(
            [took_s - self.s_per_token * tokens for tokens, took_s in short]
        )
        self.first_event_s = min(MAX_EVENT_S, max(MIN_EVENT_S, first_event_s))
        if not self._intervals:
            self.event_s = self.first_event_s

    def note_interval(
        self, stream: str, interval_s: float, reading_s: float, now_s: float
    ) -> None:
        """Record the time between two events of a stream.

        ``reading_s`` is what may have been read between them. How much of it was read
        is unknown, so that an interval between that of an event and that of an event
        with all of the reading shows nothing.
        """
        self._unwatched = 0
        before_s, before_reading_s = self._last_intervals.get(
            stream, (interval_s, reading_s)
        )
        self._last_intervals[stream] = (interval_s, reading_s)
        # Events alternate between fewer and more tokens, so two are taken together.
        mean_s = 0.5 * (before_s + interval_s)
        read_s = max(reading_s, before_reading_s)
        if not read_s:
            self._intervals.append(mean_s)
            if len(self._intervals) % RENEWAL_OBSERVATIONS == 0:
                event_s = median(self._intervals)
                self.event_s = min(MAX_EVENT_S, max(MIN_EVENT_S, event_s))
        is_usual = interval_s < SLOW_RATIO * self.event_s
        shown = 1.0 if is_usual else max(interval_s, mean_s) / self.event_s
        self._by_stream[stream] = (now_s, min(MAX_SLOWDOWN, shown))
        ratio = 2.0 * mean_s / (2.0 * self.event_s + read_s)
        if is_usual or ratio >= 1.0 or not read_s:
            ratio = 1.0 if is_usual else max(1.0, ratio)
            self._note_ratio(min(MAX_SLOWDOWN, ratio), now_s)

    def forget_stream(self, stream: str) -> None:
        """Discard the last slowdown of a stream that has ended."""
        self._by_stream.pop(stream, None)
        self._last_intervals.pop(stream, None)

    def usual_slowdown(self, level: float) -> float:
        """Return the slowdown that a fraction ``level`` of the observations keeps."""
        if len(self._ratios) < MIN_OBSERVATIONS:
            return DEFAULT_SLOWDOWN
        slowdown = self._quantiles.get(level)
        if slowdown is None:
            slowdown = quantile(self._ratios, level)
            self._quantiles[level] = slowdown
        return slowdown

    def is_watched(self) -> bool:
        """Return whether hosts tell the times between events."""
        return bool(self._intervals)

    def recent_slowdown(self, now_s: float) -> float:
        """Return how much slower the engine was lately than usually; at least 1."""
        recent = [ratio for at_s, ratio in self._recent if now_s - at_s < PRESENT_S]
        return median(recent) if recent else 1.0

    def greatest_slowdown(self, now_s: float) -> float:
        """Return how much slower the engine may be now than usually; at least 1.

        The last interval of a watched stream counts whole, with what was read in it:
        only one without reading shows the usual speed. Of the streams the fastest
        counts, because a host may stand still.
        """
        shown = [
            max(ratio, (now_s - at_s - JITTER_S) / self.event_s)
            for at_s, ratio in self._by_stream.values()
        ]
        if shown:
            return min(MAX_SLOWDOWN, min(shown))
        return self.recent_slowdown(now_s)


__all__ = ["EngineModel", "median", "quantile"]
