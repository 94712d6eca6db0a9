"""The leader's part of the software versions of streams.

The leader sets the base version of each service, and deletes records that no caller
needs any more. The base version changes only once no stream of it can be resumed:
streams of the base version have no records.
"""

import asyncio
import collections
from collections.abc import Mapping

from damaskvalve_core import DecisionLog, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import BaseVersion, Command, ExpireStreams
from damaskvalve_gateway._backend import ANNOUNCEMENT_TIMEOUT_S
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._model import GatewayConfiguration
from damaskvalve_gateway._state_client import StateClient

CHECK_S = 0.5
# Records are deleted in steps of this length.
EXPIRY_STEP_S = 5.0
# Callers resume a stream within their deadline. It may be longer than the timeout of
# the route, which ends each answer.
STREAM_TIMEOUTS = 2.0
MIN_STREAM_RETENTION_S = 60.0


def stream_retention_s(configuration: GatewayConfiguration | None) -> float:
    """Return for how long after its last event a stream may be resumed."""
    longest_s = configuration.longest_timeout_s() if configuration else 0.0
    return max(MIN_STREAM_RETENTION_S, STREAM_TIMEOUTS * longest_s)


def choose_base(
    current: str | None, counts: Mapping[str, int], current_absent_s: float
) -> str | None:
    """Return the base version of a service; None if there is none yet.

    ``counts`` holds the number of backend servers by version. The current version stays
    until it has been absent for longer than its streams can be resumed; the caller
    passes a negative ``current_absent_s`` before.
    """
    if not counts or current in counts:
        return current
    if current is not None and current_absent_s < 0:
        return current
    return max(counts, key=lambda version: (counts[version], version))


class BaseVersionController:
    """As the leader, commits base versions and deletes old records of streams."""

    def __init__(
        self, state_client: StateClient, view: ClusterView, log: DecisionLog
    ) -> None:
        self._state_client = state_client
        self._view = view
        self._log = log
        self._leader_id = ""
        # When each service last had a backend server of its base version.
        self._base_seen_s: dict[str, float] = {}
        # Applied index at past times, oldest first.
        self._marks: collections.deque[tuple[float, int]] = collections.deque()

    async def run(self) -> None:
        """Check periodically while this host leads."""
        while True:
            now_s = boot_clock_s()
            if self._state_client.leads(now_s):
                try:
                    await self._check(now_s)
                except RetryLaterError as error:
                    self._log.line("base_versions_not_set", reason=str(error))
            await asyncio.sleep(CHECK_S)

    async def _check(self, now_s: float) -> None:
        leader_id = self._state_client.status().leader_id
        if leader_id != self._leader_id:
            # What the last leader saw is not known here.
            self._leader_id = leader_id
            self._base_seen_s.clear()
            self._marks.clear()
        for command in self.due_commands(now_s):
            await self._state_client.commit(command)
            if command.base_version is not None:
                self._log.line(
                    "base_version",
                    service=command.base_version.service_name,
                    software_version=command.base_version.software_version,
                )

    def due_commands(self, now_s: float) -> list[Command]:
        """Return the commands to commit now."""
        retention_s = stream_retention_s(self._view.configuration)
        commands: list[Command] = []
        for service in self._view.backends.services():
            current = self._view.base_versions.get(service)
            counts = collections.Counter(
                self._view.backends.versions(service, now_s, ANNOUNCEMENT_TIMEOUT_S)
            )
            if current in counts:
                self._base_seen_s[service] = now_s
            seen_s = self._base_seen_s.setdefault(service, now_s)
            chosen = choose_base(current, counts, now_s - seen_s - retention_s)
            if chosen is not None and chosen != current:
                commands.append(Command(base_version=BaseVersion(service, chosen)))
        commands.extend(self._expiry(now_s, retention_s))
        return commands

    def _expiry(self, now_s: float, retention_s: float) -> list[Command]:
        index = self._state_client.applied_index
        if not self._marks or now_s - self._marks[-1][0] >= EXPIRY_STEP_S:
            self._marks.append((now_s, index))
        through_index = 0
        while self._marks and now_s - self._marks[0][0] > retention_s:
            _, through_index = self._marks.popleft()
        if not through_index or not self._view.stream_records:
            return []
        return [Command(expire_streams=ExpireStreams(through_index))]
