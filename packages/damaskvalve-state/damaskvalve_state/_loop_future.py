"""Results that the actor of a member passes to an event loop."""

import asyncio
import contextlib
import sys
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from damaskvalve_core import RetryLaterError

T = TypeVar("T")


class LoopFuture(Generic[T]):
    """A future that another thread completes and a coroutine awaits.

    No thread waits for the result. What comes after the end of the wait, or of the
    event loop, is dropped.
    """

    __slots__ = ("_loop", "_future")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._future: asyncio.Future[T] = self._loop.create_future()

    def set(self, value: T) -> None:
        """Complete the future; called from any thread."""
        self._complete(self._future.set_result, value)

    def set_exception(self) -> None:
        """Complete the future with the exception that is being handled."""
        self._complete(self._future.set_exception, sys.exc_info()[1])

    def _complete(self, complete: Callable[[Any], None], value: Any) -> None:
        def complete_once() -> None:
            if not self._future.done():
                complete(value)

        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(complete_once)

    async def wait(self, timeout_s: float) -> T:
        """Return the result; raise :class:`RetryLaterError` after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._future
        except TimeoutError as error:
            raise RetryLaterError(
                "the control host did not answer within the timeout"
            ) from error
