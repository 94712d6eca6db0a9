"""A nose2 plugin that records which tests ran and which failed."""

from typing import Any

from nose2.events import Plugin

RAN: set[str] = set()
FAILED: set[str] = set()


class Tally(Plugin):
    """Records each test once; a failed subtest fails its test."""

    alwaysOn = True
    configSection = "tally"

    def startTest(self, event: Any) -> None:
        """Record a test that starts."""
        RAN.add(event.test.id())

    def testOutcome(self, event: Any) -> None:
        """Record a test that failed or raised an error."""
        if event.outcome in ("failed", "error", "subtest") and event.exc_info:
            FAILED.add(event.test.id().partition(" ")[0])
