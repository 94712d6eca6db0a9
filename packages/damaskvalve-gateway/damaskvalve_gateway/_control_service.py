"""Operations that operators and backend servers request from any host."""

import asyncio
import time
import traceback
import zlib

from damaskvalve_core import (
    DecisionLog,
    RefusedError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    Command,
    DepartureRecord,
    DocumentRecord,
    EvacuationRecord,
    VersionRecord,
)
from damaskvalve_gateway._announcement_check import (
    MAX_LOGGED_CHARACTERS,
    RefusedAnnouncements,
)
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._model import GONE, READY, Announcement
from damaskvalve_gateway._state_client import CONFIGURATION, StateClient
from damaskvalve_gateway._sync import SyncController

# By then this host has read that the operator disconnected, if it was suspended since
# the order was sent.
DISCONNECT_NOTICE_S = 0.02
# The end of a trace names the error and where it was raised.
MAX_TRACE_CHARACTERS = 2_000


class ControlService:
    """Accepts configurations, adapter versions and announcements.

    When a call returns, a configuration, a version or an order to evacuate a data
    centre has been committed, and so has the state of a backend server that is not
    ready. A ready one is reported with the next sync.

    A call that raises :class:`RetryLaterError` should be repeated on another host.
    """

    def __init__(
        self,
        dialect: Dialect,
        state_client: StateClient,
        sync: SyncController,
        view: ClusterView,
        log: DecisionLog,
    ) -> None:
        self._dialect = dialect
        self._state_client = state_client
        self._sync = sync
        self._view = view
        self._log = log
        self._refused = RefusedAnnouncements(log)

    async def put_configuration(self, body: bytes) -> int:
        """Commit a complete configuration and return its version.

        Raise :class:`SettingsError` with every finding if it is not valid. A
        configuration whose version is not the highest is acknowledged but ignored.
        """
        configuration = self._dialect.read_configuration(body)
        version = configuration.version
        record = DocumentRecord(CONFIGURATION, version, zlib.compress(body))
        result = await self._state_client.commit(Command(document=record))
        self._log.line(
            "configuration_committed",
            version=version,
            accepted=result.accepted,
            reason=result.reason,
        )
        return version

    async def read_configuration(self) -> bytes:
        """Return the newest committed configuration; empty if there is none."""
        await self._state_client.catch_up()
        if not self._state_client.newest_is_readable():
            raise RetryLaterError(
                "another release wrote the newest configuration, and this host cannot "
                "read it"
            )
        return self._view.configuration_body

    async def set_adapter_version(self, adapter: str, version: int) -> None:
        """Commit the current version of an adapter."""
        await self._state_client.commit(
            Command(name_version=VersionRecord(adapter, version))
        )
        self._log.line("adapter_version", adapter=adapter, version=version)

    async def evacuate(self, data_centre: str, actor: str, *, in_force: bool) -> None:
        """Commit an order to evacuate a data centre, or to withdraw that.

        Raise :class:`RefusedError` if no such data centre is known. An order that was
        composed before a newer one was committed is not committed again by this host:
        its operator may have given it up, so whoever still wants it repeats it.
        """
        await asyncio.sleep(DISCONNECT_NOTICE_S)
        await self._check_data_centre(data_centre)
        known = self._view.backends.evacuations.newest(data_centre)
        record = EvacuationRecord(
            data_centre, in_force, actor, time.time(), known.index if known else 0
        )
        result = await self._state_client.commit(Command(evacuation=record))
        self._log.line(
            "evacuation_ordered",
            data_centre=data_centre,
            in_force=in_force,
            actor=actor,
            accepted=result.accepted,
            reason=result.reason,
        )
        if not result.accepted:
            raise RetryLaterError("a newer order about the data centre came first")

    async def _check_data_centre(self, data_centre: str) -> None:
        """Raise :class:`RefusedError` if a data centre does not exist."""
        if self._knows_data_centre(data_centre):
            return
        # This host may have just started.
        await self._sync.sync_now()
        if not self._knows_data_centre(data_centre):
            raise RefusedError(
                404, "unknown_data_centre", "no data centre has this name"
            )

    def _knows_data_centre(self, data_centre: str) -> bool:
        backends = self._view.backends
        return (
            data_centre in self._view.regions
            or data_centre in backends.data_centres()
            or backends.evacuations.newest(data_centre) is not None
        )

    async def announce(self, announcement: Announcement) -> None:
        """Accept an announcement.

        A state other than READY is committed, so that all hosts stop using the backend
        server in time, whichever hosts are lost meanwhile.
        """
        self._sync.announce(announcement, boot_clock_s())
        if announcement.state != READY:
            await self._commit_departure(announcement)
            self._log.line(
                "backend_leaving",
                backend=announcement.instance_id,
                state=announcement.state,
                sequence=announcement.sequence,
            )

    def note_refused(self, instance_id: str, reason: str, sender: str) -> None:
        """Log an announcement that was refused, once."""
        self._refused.note(instance_id, reason, sender)

    def note_failure(self, target: str, error: Exception) -> None:
        """Log a call that failed because of an unexpected error."""
        trace = "".join(traceback.format_exception(error))
        self._log.line(
            "control_failed",
            target=target[:MAX_LOGGED_CHARACTERS],
            trace=trace[-MAX_TRACE_CHARACTERS:],
        )

    async def remove_backend(self, instance_id: str) -> None:
        """Commit that a backend server is gone; all hosts stop using it.

        A host that does not know the backend server asks the leader first, because the
        call does not tell which of its incarnations is gone.
        """
        if self._view.backends.find(instance_id) is None:
            await self._sync.sync_now()
        self._sync.end(instance_id, boot_clock_s())
        backend = self._view.backends.find(instance_id)
        if backend is not None:
            await self._commit_departure(backend.announcement)
        self._log.line("backend_gone", backend=instance_id)

    async def _commit_departure(self, announcement: Announcement) -> None:
        """Commit the state of a backend server that leaves or is gone."""
        if self._view.backends.is_departed(announcement):
            return
        record = DepartureRecord(
            announcement.instance_id,
            announcement.started_at_ms,
            announcement.state == GONE,
            0,
        )
        await self._state_client.commit(Command(departure=record))
