"""Bounds how long tasks run before other tasks of their event loop do."""

import asyncio
import collections
import weakref

# A step of reading takes some 50 µs, so that a turn ends after one or two milliseconds.
MAX_STEPS_PER_TURN = 32


class _TurnQueue:
    """The tasks of one event loop that have used up their turns.

    One of them goes on in each iteration of the loop, however many they are. The other
    tasks and timers of the process thus wait for one turn, not for all.
    """

    __slots__ = ("_waiting", "_scheduled", "__weakref__")

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._scheduled = False

    async def wait(self) -> None:
        """Wait for the next turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._scheduled:
            self._scheduled = True
            loop.call_soon(self._give_turn, loop)
        await turn

    def _give_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            # A task that was cancelled takes no turn.
            if not turn.done():
                turn.set_result(None)
                break
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            loop.call_soon(self._give_turn, loop)


_queues: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _TurnQueue] = (
    weakref.WeakKeyDictionary()
)


class TurnLimit:
    """Counts the steps of a loop that may never have to wait.

    Awaiting data that is buffered already does not suspend a task. A loop over such
    data keeps all other tasks and timers of the process from running.
    """

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps = 0

    async def step(self) -> None:
        """Count one step; let other tasks run after MAX_STEPS_PER_TURN steps."""
        self._steps += 1
        if self._steps >= MAX_STEPS_PER_TURN:
            self._steps = 0
            queue = _queues.setdefault(asyncio.get_running_loop(), _TurnQueue())
            await queue.wait()

    def begin_turn(self) -> None:
        """Count anew: the task has waited, so that other tasks have run."""
        self._steps = 0


__all__ = ["MAX_STEPS_PER_TURN", "TurnLimit"]
