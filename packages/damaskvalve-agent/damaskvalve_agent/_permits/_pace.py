"""Paces the reading of prompts, so that the running streams do not pause too long.

An engine reads prompts between the tokens of its running requests, and every stream
pauses meanwhile. A pause ends with the next event, so it is kept within its limit if
little enough is read during one event, also when the engine is slower than usually. The
first event of a prompt shows that it has been read, and that an event of every other
stream has ended since. Prompts that start after it pause the streams anew.
"""

import collections
from collections.abc import Sequence

from damaskvalve_agent._permits._engine_model import SLOW_RATIO, EngineModel
from damaskvalve_agent._permits._types import AdmissionRequest

# Slowdown that is allowed for while the engine is at its usual speed, as a fraction of
# those observed.
HIGH_LEVEL = 0.95
MIN_SLOWDOWN = 1.35
# Fraction of the observations that is slower than the usual slowdown.
MEDIAN_LEVEL = 0.5
# A first event that is later than this many times the slowest usual one shows nothing,
# if hosts tell the times between events; without that, one later than the slowest.
WATCHED_FACTOR = 3.0
# Share of the longest pause that an event with reading may take.
PAUSE_SHARE = 0.9
# Some reading is let in beside streams even if the engine is slow at times.
MIN_ALLOWANCE_SHARE = 0.1
# While an engine is slow, a prompt that would make its streams late waits this long:
# one late request costs less than all streams beside it.
MAX_HOLD_S = 1.5
# So few streams are not protected from a prompt that waits.
FEW_STREAMS = 2


class _Batch:
    """Prompts that started together."""

    __slots__ = (
        "started_at_s",
        "prompts",
        "waiting",
        "reading_s",
        "alone",
        "streams",
        "max_pause_s",
    )

    def __init__(self, started_at_s: float, max_pause_s: float, alone: bool) -> None:
        self.started_at_s = started_at_s
        self.max_pause_s = max_pause_s
        # Whether no other batch has been read beside it.
        self.alone = alone
        # Whether all are streams: a whole reply does not show when its prompt was read.
        self.streams = True
        self.prompts: list[int] = []
        # The requests whose first event has not arrived, and the time to read each.
        self.waiting: dict[str, float] = {}
        self.reading_s = 0.0


class ReadingPacer:
    """Limits what an engine reads during one event of its running streams."""

    __slots__ = ("_model", "_batches", "_read_batches")

    def __init__(self, model: EngineModel) -> None:
        self._model = model
        self._batches: list[_Batch] = []
        # When batches ended that an interval between events may still have held, and
        # their reading.
        self._read_batches: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=16
        )

    def allowance_s(self, max_pause_s: float) -> float:
        """Return how much reading fits beside streams, at the engine's usual speed.

        If events alone take longer than a pause may, streams are late in any case, and
        reading may take as long as an event.
        """
        usual_event_s = self._model.event_s * self._model.usual_slowdown(MEDIAN_LEVEL)
        if usual_event_s >= PAUSE_SHARE * max_pause_s:
            return usual_event_s
        left_s = PAUSE_SHARE * max_pause_s / self._slowest() - self._model.event_s
        return max(MIN_ALLOWANCE_SHARE * max_pause_s, left_s)

    def _slowest(self) -> float:
        return max(MIN_SLOWDOWN, self._model.usual_slowdown(HIGH_LEVEL))

    def share(self, max_pause_s: float) -> float:
        """Return the fraction of time that the engine reads when many wait."""
        allowance_s = self.allowance_s(max_pause_s)
        return allowance_s / (allowance_s + self._model.event_s)

    def recent_slowdown(self, now_s: float) -> float:
        """Return how much slower the engine is now, also by what is overdue."""
        return max(self._model.recent_slowdown(now_s), self._overdue(now_s))

    def _overdue(self, now_s: float) -> float:
        return max(
            (
                self._model.ratio(batch.reading_s, now_s - batch.started_at_s)
                for batch in self._read_now(now_s)
                if batch.streams
            ),
            default=1.0,
        )

    def _left_s(self, max_pause_s: float, now_s: float) -> float:
        """Return the reading that is left by the usual speed of the engine."""
        batches = self._read_now(now_s)
        if not batches:
            return 0.0
        pace = self.share(max_pause_s) / self.recent_slowdown(now_s)
        return sum(
            max(
                0.0,
                sum(batch.waiting.values()) - pace * (now_s - batch.started_at_s),
            )
            for batch in batches
        )

    def _read_now(self, now_s: float) -> Sequence[_Batch]:
        """Return the batches that are being read.

        A first event that is very late shows nothing: its notice may be lost.
        """
        slowest = self._slowest() * (WATCHED_FACTOR if self._model.is_watched() else 1)
        return [
            batch
            for batch in self._batches
            if now_s - batch.started_at_s
            <= max(batch.max_pause_s, slowest * (batch.reading_s + self._model.event_s))
        ]

    def may_start(self, request: AdmissionRequest, streams: int, now_s: float) -> bool:
        """Return whether a prompt may be read now, beside so many requests.

        At the usual speed of the engine, a prompt that exceeds the allowance starts
        when nothing else is being read. While the engine is slow it waits, for a time.
        """
        pause_s = request.max_pause_s
        outstanding_s = sum(
            sum(batch.waiting.values()) for batch in self._read_now(now_s)
        )
        reading_s = self._model.reading_s(request.prompt_tokens)
        slowdown = max(self._model.greatest_slowdown(now_s), self._overdue(now_s))
        held_s = now_s - request.arrived_at_s
        event_s = self._model.event_s * self._model.recent_slowdown(now_s)
        protects = streams > FEW_STREAMS and event_s < PAUSE_SHARE * pause_s
        if slowdown > SLOW_RATIO and protects and held_s < MAX_HOLD_S:
            left_s = PAUSE_SHARE * pause_s / slowdown - self._model.event_s
            return outstanding_s + reading_s <= left_s
        if not outstanding_s:
            return True
        return outstanding_s + reading_s <= self.allowance_s(pause_s)

    def note_start(self, request: AdmissionRequest, now_s: float) -> None:
        """Record that a prompt starts to be read."""
        self._drop_whole(now_s)
        if not self._batches or self._batches[-1].started_at_s != now_s:
            for other in self._batches:
                other.alone = False
            self._batches.append(_Batch(now_s, request.max_pause_s, not self._batches))
        batch = self._batches[-1]
        batch.prompts.append(request.prompt_tokens)
        batch.streams = batch.streams and request.streams
        reading_s = self._model.reading_s(request.prompt_tokens)
        batch.waiting[request.request_id] = reading_s
        batch.reading_s += reading_s

    def _drop_whole(self, now_s: float) -> None:
        """Discard the prompts of whole replies that have been read by now."""
        being_read = self._read_now(now_s)
        for batch in [item for item in self._batches if not item.streams]:
            if batch not in being_read:
                self._batches.remove(batch)
                self._read_batches.append((now_s, batch.reading_s))

    def note_first_event(self, request_id: str, now_s: float) -> None:
        """Record a first event; the prompts before it have been read as well."""
        for number, batch in enumerate(self._batches):
            if request_id not in batch.waiting:
                continue
            batch.waiting.pop(request_id, None)
            if batch.waiting:
                return
            if batch.alone and batch.streams:
                self._model.note_first_events(
                    batch.prompts, now_s - batch.started_at_s, now_s
                )
            del self._batches[number]
            self._read_batches.append((now_s, batch.reading_s))
            return

    def note_interval(self, stream: str, interval_s: float, now_s: float) -> None:
        """Record the time between two events of a watched stream."""
        since_s = now_s - interval_s
        reading_s = sum(batch.reading_s for batch in self._read_now(now_s))
        reading_s += sum(
            read_s for ended_at_s, read_s in self._read_batches if ended_at_s > since_s
        )
        self._model.note_interval(stream, interval_s, reading_s, now_s)

    def note_end(self, request_id: str) -> None:
        """Record that a request has ended; it may have had no first event."""
        for batch in list(self._batches):
            batch.waiting.pop(request_id, None)
            if not batch.waiting:
                self._batches.remove(batch)

    def wait_s(self, ahead: Sequence[int], max_pause_s: float, now_s: float) -> float:
        """Return the time until a prompt may be read, after those ahead of it."""
        reading_s = self._left_s(max_pause_s, now_s)
        reading_s += sum(self._model.reading_s(tokens) for tokens in ahead)
        if reading_s <= self.allowance_s(max_pause_s):
            return 0.0
        return reading_s * self.recent_slowdown(now_s) / self.share(max_pause_s)

    def next_check_s(self, now_s: float) -> float:
        """Return when to check again whether a prompt that is held may start.

        A slow engine holds it also when nothing is being read, for a time.
        """
        return now_s + 0.5 * self._model.event_s


__all__ = ["HIGH_LEVEL", "ReadingPacer"]
