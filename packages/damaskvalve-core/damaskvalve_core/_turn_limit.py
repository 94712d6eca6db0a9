"""Bounds how long a task runs before other tasks of its event loop do."""

import asyncio

# A step of reading takes some 50 µs, so that a turn ends after one or two milliseconds.
MAX_STEPS_PER_TURN = 32


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
            await asyncio.sleep(0)


__all__ = ["MAX_STEPS_PER_TURN", "TurnLimit"]
