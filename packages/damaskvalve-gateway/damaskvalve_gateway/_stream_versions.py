"""Which software version of the backend servers began a stream.

What two versions write does not fit together, so a stream goes on only at backend
servers of the version that began it. A caller that resumes a stream names the request
that began it, to any host, also after a restart of all hosts. The replicated state
holds one base version for each service. Only streams of other versions are recorded,
each before its first event is relayed: all others are of the base version. While one
version serves, nothing is recorded.
"""

import asyncio
import collections
import itertools
from collections.abc import Sequence

import xxhash

from damaskvalve_core import (
    DamaskvalveError,
    DecisionLog,
    RefusedError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.messages import Command, RecordStreams, StreamRecord
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backends import INSTANCE_RETENTION_S
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._state_client import StateClient

# Records that are made within this time share a commit.
BATCH_S = 0.005
MAX_BATCH = 500
# Interval between attempts to commit while no leader is available.
COMMIT_RETRY_S = 0.1
# The first event of a stream waits at most this long for its record.
MAX_RECORD_WAIT_S = 1.5
# A caller waits at most this long until this host knows the newest records.
MAX_ORIGIN_WAIT_S = 1.0
ORIGIN_RETRY_AFTER_S = 0.5
# Without contact with the leader for this long, records are not expected to succeed,
# and this host may not know what the backend servers run now.
LEADER_CONTACT_TIMEOUT_S = 1.5
# Number of streams whose version this host keeps besides the replicated records.
MAX_OWN_STREAMS = 10_000


class NotRecordedError(DamaskvalveError):
    """A stream may not be relayed, because other hosts would resume it wrongly."""


def stream_key(request_id: str) -> bytes:
    """Return the key of the stream that a request began."""
    return xxhash.xxh64_digest(request_id.encode())


class StreamVersions:
    """Records and looks up the software versions of streams."""

    def __init__(
        self, state_client: StateClient, view: ClusterView, log: DecisionLog
    ) -> None:
        self._state_client = state_client
        self._view = view
        self._log = log
        # Versions of streams that this host began, by key; the newest is at the end.
        self._own: collections.OrderedDict[bytes, str] = collections.OrderedDict()
        # Records to commit, and what waits for each.
        self._queue: dict[bytes, StreamRecord] = {}
        self._attempts = itertools.count(1)
        self._waiters: dict[bytes, asyncio.Future[None]] = {}
        self._queued = asyncio.Event()

    # ---- streams that begin ----

    def begin(
        self, request_id: str, service: str, software_version: str
    ) -> asyncio.Future[None] | None:
        """Note that a stream may begin at a version.

        Return a future that is done once other hosts can know of it, also after a
        restart of all; None if they know already.
        """
        key = stream_key(request_id)
        previous = self._own.get(key)
        self._own[key] = software_version
        self._own.move_to_end(key)
        if len(self._own) > MAX_OWN_STREAMS:
            self._own.popitem(last=False)
        is_base = self._view.base_versions.get(service) == software_version
        if is_base and previous in (None, software_version):
            return None
        if previous == software_version and key in self._waiters:
            return self._waiters[key]
        self._queue[key] = StreamRecord(key, software_version, 0, next(self._attempts))
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[key] = waiter
        self._queued.set()
        return waiter

    def preferred(
        self, service: str, candidates: Sequence[Backend], now_s: float
    ) -> Sequence[Backend]:
        """Return the backend servers at which a stream should begin.

        While no leader records streams, these are the ones of the base version.
        """
        if now_s - self._view.leader_contact_s <= LEADER_CONTACT_TIMEOUT_S:
            return candidates
        base = self._view.base_versions.get(service)
        return [
            item for item in candidates if item.announcement.software_version == base
        ] or candidates

    async def wait_until_recorded(
        self,
        recorded: "asyncio.Future[None] | None",
        request_id: str,
        service: str,
        software_version: str,
    ) -> None:
        """Wait until a stream is recorded, or until the caller has waited too long.

        Other hosts take a stream without a record for one of the base version. It is
        relayed only if no backend server of another version serves. Raise
        :class:`NotRecordedError` otherwise.
        """
        if recorded is None:
            return
        await asyncio.wait((recorded,), timeout=MAX_RECORD_WAIT_S)
        # A record that is dropped cancels the future.
        if recorded.done() and not recorded.cancelled():
            return
        now_s = boot_clock_s()
        may_relay = self._serves_only(service, software_version, now_s)
        self._log.line(
            "stream_not_recorded",
            request=request_id,
            software_version=software_version,
            waited_s=MAX_RECORD_WAIT_S,
            contact_age_s=round(now_s - self._view.leader_contact_s, 2),
            relayed=may_relay,
        )
        if not may_relay:
            raise NotRecordedError(
                f"that software version {software_version!r} begins the stream could "
                f"not be recorded within {MAX_RECORD_WAIT_S} s"
            )

    def _serves_only(self, service: str, software_version: str, now_s: float) -> bool:
        """Return whether all backend servers of a service are of one version.

        Not known to a host that has not received the leader's table for long.
        """
        if now_s - self._view.leader_contact_s > INSTANCE_RETENTION_S:
            return False
        versions = self._view.backends.versions(service, now_s, INSTANCE_RETENTION_S)
        return all(version == software_version for version in versions)

    async def run(self) -> None:
        """Commit the queued records."""
        while True:
            await self._queued.wait()
            await asyncio.sleep(BATCH_S)
            self._queued.clear()
            while self._queue:
                await self._commit_batch()

    async def _commit_batch(self) -> None:
        batch = dict(list(self._queue.items())[:MAX_BATCH])
        records = list(batch.values())
        try:
            await self._state_client.commit(
                Command(record_streams=RecordStreams(records))
            )
        except RetryLaterError as error:
            self._log.line(
                "streams_not_recorded", count=len(records), reason=str(error)
            )
            self._drop_excess()
            await asyncio.sleep(COMMIT_RETRY_S)
            return
        for key, record in batch.items():
            if self._queue.get(key) is record:
                del self._queue[key]
                waiter = self._waiters.pop(key)
                if not waiter.done():
                    waiter.set_result(None)

    def _drop_excess(self) -> None:
        """Drop the oldest records while no leader takes them."""
        while len(self._queue) > MAX_OWN_STREAMS:
            oldest = next(iter(self._queue))
            del self._queue[oldest]
            self._waiters.pop(oldest).cancel()

    # ---- streams that callers resume ----

    async def origin(self, exchange: Exchange) -> str:
        """Return the software version that began the stream that a caller resumes.

        Raise :class:`RefusedError` if it cannot be known now.
        """
        request, service = exchange.request, exchange.service.name
        key = stream_key(request.resumes) if request.resumes else None
        await self._await_current_table(exchange)
        known = self._known_version(key)
        if known is None:
            await self._catch_up(exchange)
            known = self._known_version(key)
        base = self._view.base_versions.get(service)
        is_recorded = key is not None and exchange.is_resumable_stream()
        if (
            known is None
            and not is_recorded
            and self._has_other_versions(service, base)
        ):
            raise self._refusal(
                "the stream has no record, and backend servers of several software "
                "versions serve"
            )
        version = known if known is not None else base
        if version is None:
            raise self._refusal("no software version of the service is recorded yet")
        self._log.line(
            "stream_resumed",
            request=request.request_id,
            resumes=request.resumes,
            software_version=version,
            recorded=known is not None,
        )
        return version

    def _known_version(self, key: bytes | None) -> str | None:
        if key is None:
            return None
        own = self._own.get(key)
        if own is not None:
            return own
        record = self._view.stream_records.get(key)
        return None if record is None else str(record.software_version)

    def _has_other_versions(self, service: str, base: str | None) -> bool:
        """Return whether streams of other versions than the base may be resumed."""
        return bool(self._view.stream_records) or any(
            version != base for version in self._view.backends.versions(service)
        )

    async def _await_current_table(self, exchange: Exchange) -> None:
        """Wait until this host knows what version its backend servers are of.

        While it was cut off or stood still, one may have started again under its id
        with other software.
        """
        until_s = self._origin_deadline_s(exchange)
        while (now_s := boot_clock_s()) - self._view.leader_contact_s > (
            LEADER_CONTACT_TIMEOUT_S
        ):
            if now_s >= until_s:
                raise self._refusal(
                    "the software versions of the backend servers are not known: no "
                    "contact with the leader for "
                    f"{now_s - self._view.leader_contact_s:.1f} s"
                )
            await asyncio.sleep(COMMIT_RETRY_S)

    @staticmethod
    def _origin_deadline_s(exchange: Exchange) -> float:
        now_s = boot_clock_s()
        return now_s + min(MAX_ORIGIN_WAIT_S, exchange.left_s(now_s) / 2)

    async def _catch_up(self, exchange: Exchange) -> None:
        """Wait until this host knows all records; a leader has to confirm it."""
        until_s = self._origin_deadline_s(exchange)
        while True:
            try:
                await self._state_client.catch_up()
                return
            except RetryLaterError as error:
                if boot_clock_s() >= until_s:
                    raise self._refusal(
                        f"the software version of the stream is not known: {error}"
                    ) from error
            await asyncio.sleep(COMMIT_RETRY_S)

    @staticmethod
    def _refusal(reason: str) -> RefusedError:
        return RefusedError(
            503,
            "stream_version_unknown",
            reason,
            retry_after_s=ORIGIN_RETRY_AFTER_S,
        )
