"""Background tasks of asyncio."""

import asyncio
import contextlib
import functools
from collections.abc import Awaitable, Callable, Iterator, Sequence

from damaskvalve_core._decision_log import DecisionLog

# Pause before a task that failed is started again.
RESTART_S = 1.0
MAX_REASON_CHARACTERS = 500


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


__all__ = ["background_tasks", "run_restarting"]
