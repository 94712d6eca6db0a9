"""Background tasks and blocking calls of asyncio."""

import asyncio
import contextlib
import functools
import threading
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any, TypeVar

from damaskvalve_core._decision_log import DecisionLog

# Pause before a task that failed is started again.
RESTART_S = 1.0
MAX_REASON_CHARACTERS = 500

_T = TypeVar("_T")


def _name(run: Callable[[], Awaitable[None]]) -> str:
    if isinstance(run, functools.partial):
        run = run.func
    return getattr(run, "__qualname__", type(run).__name__)


async def run_restarting(run: Callable[[], Awaitable[None]], log: DecisionLog) -> None:
    """Run a background task; after an unexpected error, log it and start it again."""
    while True:
        try:
            await run()
            return
        except Exception as error:
            log.line(
                "task_failed",
                task=_name(run),
                reason=repr(error)[:MAX_REASON_CHARACTERS],
                restart_in_s=RESTART_S,
            )
        await asyncio.sleep(RESTART_S)


@contextlib.contextmanager
def background_tasks(
    runs: Sequence[Callable[[], Awaitable[None]]], log: DecisionLog
) -> Iterator[None]:
    """Run background tasks until the context ends; each is restarted if it fails."""
    tasks = [asyncio.ensure_future(run_restarting(run, log)) for run in runs]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def run_in_thread(function: Callable[..., _T], *arguments: Any) -> _T:
    """Run a blocking function in a thread of its own and return its result.

    Unlike for :func:`asyncio.to_thread`, neither the end of the event loop nor that of
    the process waits for a function that is still blocked. So this is for functions
    that may be abandoned.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[_T] = loop.create_future()

    def finish(result: _T | None, error: BaseException | None) -> None:
        if future.cancelled():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)  # type: ignore[arg-type]

    def run() -> None:
        result, failure = None, None
        try:
            result = function(*arguments)
        except Exception as error:
            failure = error
        # The event loop may have been closed meanwhile.
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(finish, result, failure)

    threading.Thread(target=run, daemon=True).start()
    return await future


__all__ = ["background_tasks", "run_in_thread", "run_restarting"]
