"""Blocking calls of the event loop."""

import asyncio
import threading
import time
import unittest

from damaskvalve_core import RetryLaterError
from damaskvalve_core.tasks import run_in_thread

LONG_S = 3.0


class RunInThreadTests(unittest.TestCase):
    def test_a_blocked_call_held_the_end_of_a_process(self):
        """Neither the event loop nor the interpreter waits for its thread."""
        release = threading.Event()
        self.addCleanup(release.set)

        async def stop_amid_a_call():
            call = asyncio.ensure_future(run_in_thread(release.wait, LONG_S))
            await asyncio.sleep(0.05)
            call.cancel()

        started_s = time.monotonic()
        asyncio.run(stop_amid_a_call())
        self.assertLess(time.monotonic() - started_s, LONG_S)
        threads = [item for item in threading.enumerate() if not item.daemon]
        self.assertEqual(threads, [threading.main_thread()])

    def test_a_call_ends_as_its_function_does(self):
        """With its result or its error; one that was cancelled is forgotten."""

        def fail():
            raise RetryLaterError("no leader")

        async def call():
            self.assertEqual(await run_in_thread(pow, 2, 5), 32)
            with self.assertRaisesRegex(RetryLaterError, "no leader"):
                await run_in_thread(fail)
            late = asyncio.ensure_future(run_in_thread(time.sleep, 0.1))
            await asyncio.sleep(0.01)
            late.cancel()
            # Its thread ends while the event loop is open.
            await asyncio.sleep(0.2)

        asyncio.run(call(), debug=True)
