"""The fields of the replicated state machine, and its snapshot."""

from collections import OrderedDict
from typing import Self

from damaskvalve_core import decode_struct, encode_struct
from damaskvalve_core.messages import (
    AuditRecord,
    BaseVersion,
    ClaimRecord,
    CreditRecord,
    DepartureRecord,
    DocumentRecord,
    EvacuationRecord,
    FenceRecord,
    JobRecord,
    OperationRecord,
    Row,
    StateSnapshot,
    StreamRecord,
    SuspectRecord,
    VersionRecord,
)


class MachineState:
    """The fields of the state machine; only committed commands change them."""

    def __init__(self) -> None:
        self.revision = 0
        self._tables: dict[str, dict[str, Row]] = {}
        self.recent: list[Row] = []
        # ``recent`` holds every row changed after this revision.
        self.recent_floor = 0
        self.operations: OrderedDict[str, OperationRecord] = OrderedDict()
        self.audit: list[AuditRecord] = []
        self.claims: OrderedDict[str, ClaimRecord] = OrderedDict()
        self.jobs: OrderedDict[str, JobRecord] = OrderedDict()
        self.credits: dict[str, CreditRecord] = {}
        self.fences: dict[str, FenceRecord] = {}
        self.suspects: OrderedDict[str, SuspectRecord] = OrderedDict()
        self.suspects_version = 0
        self._crash_reports: OrderedDict[str, None] = OrderedDict()
        self.documents: dict[str, DocumentRecord] = {}
        self.adapter_versions: dict[str, int] = {}
        # The one recorded last is at the end.
        self.streams: OrderedDict[bytes, StreamRecord] = OrderedDict()
        # Software version of the streams without a record, by service.
        self.base_versions: dict[str, str] = {}
        # Backend servers that leave or are gone, by instance; the newest is at the end.
        self.departures: OrderedDict[str, DepartureRecord] = OrderedDict()
        # The newest order about each data centre that was ever ordered about.
        self.evacuations: dict[str, EvacuationRecord] = {}

    def _all_rows(self) -> list[Row]:
        return [
            self._tables[table][key]
            for table in sorted(self._tables)
            for key in sorted(self._tables[table])
        ]

    def to_bytes(self) -> bytes:
        """Serialise the whole state; equal states give equal bytes."""
        return encode_struct(
            StateSnapshot(
                self.revision,
                self._all_rows(),
                list(self.operations.values()),
                list(self.claims.values()),
                list(self.jobs.values()),
                [self.credits[key] for key in sorted(self.credits)],
                [self.fences[key] for key in sorted(self.fences)],
                list(self.suspects.values()),
                self.audit,
                self.recent,
                list(self._crash_reports),
                self.suspects_version,
                self.recent_floor,
                [self.documents[key] for key in sorted(self.documents)],
                [
                    VersionRecord(key, self.adapter_versions[key])
                    for key in sorted(self.adapter_versions)
                ],
                list(self.streams.values()),
                [
                    BaseVersion(key, self.base_versions[key])
                    for key in sorted(self.base_versions)
                ],
                list(self.departures.values()),
                [self.evacuations[key] for key in sorted(self.evacuations)],
            )
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> Self:
        """Return the state serialised by :meth:`to_bytes`; empty for no bytes."""
        state_machine = cls()
        if not data:
            return state_machine
        snapshot = decode_struct(StateSnapshot(), data)
        state_machine.revision = snapshot.revision
        for row in snapshot.rows:
            state_machine._tables.setdefault(row.table, {})[row.key] = row
        state_machine.recent = list(snapshot.recent)
        state_machine.recent_floor = snapshot.recent_floor
        state_machine.audit = list(snapshot.audit)
        state_machine.operations.update(
            (item.operation_id, item) for item in snapshot.operations
        )
        state_machine.claims.update((item.claim_id, item) for item in snapshot.claims)
        state_machine.jobs.update((item.job_id, item) for item in snapshot.jobs)
        state_machine.credits = {item.workspace: item for item in snapshot.credits}
        state_machine.fences = {item.backend_server: item for item in snapshot.fences}
        state_machine.suspects.update(
            (item.fingerprint, item) for item in snapshot.suspects
        )
        state_machine._crash_reports.update(
            (item, None) for item in snapshot.crash_reports
        )
        state_machine.suspects_version = snapshot.suspects_version
        state_machine.documents = {item.name: item for item in snapshot.documents or ()}
        state_machine.adapter_versions = {
            item.adapter: item.version for item in snapshot.adapter_versions or ()
        }
        state_machine.streams.update(
            (item.stream, item) for item in snapshot.streams or ()
        )
        state_machine.base_versions = {
            item.service_name: item.software_version
            for item in snapshot.base_versions or ()
        }
        state_machine.departures.update(
            (item.instance_id, item) for item in snapshot.departures or ()
        )
        state_machine.evacuations = {
            item.data_centre: item for item in snapshot.evacuations or ()
        }
        return state_machine
