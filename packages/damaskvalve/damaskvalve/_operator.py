"""Client for operators: reads the state, changes it, waits until it is in force."""

import contextlib
import json
import time
import uuid
from collections.abc import Callable, Iterator, Mapping, Sequence

from damaskvalve._configuration import check_rows, encode_value
from damaskvalve._settings import OperatorSettings
from damaskvalve._view import CONFIGURATION_LEASE_S
from damaskvalve_core import (
    ChannelError,
    Dialer,
    LeaderClient,
    OperatorError,
    RetryLaterError,
    boot_clock_s,
    dialing,
)
from damaskvalve_core.messages import (
    ChangeConfiguration,
    Command,
    CommandResult,
    ReadReply,
    ReadRequest,
    Row,
)

RPC_TIMEOUT_S = 3.0
COMMIT_ATTEMPTS = 10
RETRY_DELAY_S = 0.5
IN_FORCE_TIMEOUT_S = 30.0
# Longer than a lease: a host that has not polled for this long no longer acts on
# its configuration.
LEASE_LAPSED_S = CONFIGURATION_LEASE_S * 1.5

#: A row to write: table, key and value; a value of None deletes the row.
RowChange = tuple[str, str, Mapping[str, object] | None]


class ConflictError(OperatorError):
    """Another change was committed first, by ``actor``, as ``revision``."""

    def __init__(self, actor: str, revision: int) -> None:
        super().__init__(
            f"another change came first: {actor} made revision {revision}; "
            "read the configuration again and repeat the command"
        )
        self.actor = actor
        self.revision = revision


class OperatorClient:
    """Sends an operator's reads and commands to the control hosts."""

    def __init__(self, settings: OperatorSettings, dialer: Dialer) -> None:
        self._settings = settings
        self._dialer = dialer
        self._leader = LeaderClient(settings.control_hosts, dialer)

    def read(self, what: str, key: str = "") -> ReadReply:
        """Return the reply of the first control host that is up to date."""
        deadline_s = boot_clock_s() + RPC_TIMEOUT_S * 2
        while boot_clock_s() < deadline_s:
            for reply in self.read_from_all(what, key).values():
                if reply is not None and reply.fresh:
                    return reply
            time.sleep(RETRY_DELAY_S)
        raise OperatorError(
            "no control host is up to date; a majority of them must run"
        )

    def read_from_all(self, what: str, key: str = "") -> Mapping[str, ReadReply | None]:
        """Return each control host's reply by address, None if it does not answer."""
        replies: dict[str, ReadReply | None] = {}
        for address in self._settings.control_hosts:
            try:
                request = ReadRequest(what, key)
                replies[address] = self._dialer.call(address, request, RPC_TIMEOUT_S)
            except ChannelError:
                replies[address] = None
        return replies

    def commit(self, command: Command) -> CommandResult:
        """Commit a command that is safe to repeat."""
        for _ in range(COMMIT_ATTEMPTS):
            try:
                return self._leader.commit(command, RPC_TIMEOUT_S)
            except RetryLaterError as error:
                problem = str(error)
                time.sleep(RETRY_DELAY_S)
        raise OperatorError(f"the control hosts did not confirm the commit: {problem}")

    def change(
        self,
        rows: Sequence[RowChange],
        *,
        expected_revision: int | None = None,
        operation_id: str | None = None,
    ) -> int:
        """Write rows and return the new revision.

        ``expected_revision`` defaults to the current revision. Raises
        :class:`ConflictError` if another change was committed in between.
        """
        encoded = [
            (table, key, None if value is None else encode_value(value))
            for table, key, value in rows
        ]
        check_rows(encoded, "rows")
        if expected_revision is None:
            expected_revision = self.read("status").revision
        change = ChangeConfiguration(
            operation_id or uuid.uuid4().hex,
            expected_revision,
            self._settings.name,
            [Row(table, key, value, 0) for table, key, value in encoded],
            time.time(),
        )
        result = self.commit(Command(change=change))
        if not result.accepted:
            raise ConflictError(result.actor, result.revision)
        revision: int = result.revision
        return revision

    def wait_in_force(self, revision: int) -> Sequence[str]:
        """Wait until every subscriber has a revision; return those still behind.

        The wait ends after ``IN_FORCE_TIMEOUT_S``.
        """
        deadline_s = boot_clock_s() + IN_FORCE_TIMEOUT_S
        while True:
            outdated = self.find_outdated(revision)
            if not outdated or boot_clock_s() > deadline_s:
                return outdated
            time.sleep(0.1)

    def find_outdated(self, revision: int) -> Sequence[str]:
        """Return the names of the subscribers that still act on an older revision.

        A subscriber that has not polled for longer than a lease acts on no revision
        and is left out.
        """
        newest: dict[str, tuple[float, int]] = {}
        for reply in self.read_from_all("status").values():
            for item in reply.subscribers if reply else ():
                previous = newest.get(item.subscriber)
                if previous is None or item.age_s < previous[0]:
                    newest[item.subscriber] = (item.age_s, item.revision)
        return sorted(
            name
            for name, (age_s, newest_revision) in newest.items()
            if newest_revision < revision and age_s < LEASE_LAPSED_S
        )


@contextlib.contextmanager
def operator_client(settings: OperatorSettings) -> Iterator[OperatorClient]:
    """Yield a client; close its connections on exit."""
    with dialing(settings.identity) as dialer:
        yield OperatorClient(settings, dialer)


def row_value(reply: ReadReply, table: str, key: str) -> dict[str, object] | None:
    """Return the value of a row in a read reply, or None if it has no such row."""
    for row in reply.rows:
        if row.table == table and row.key == key:
            value: dict[str, object] = json.loads(row.value)
            return value
    return None


def print_table(
    header: Sequence[str],
    rows: Sequence[Sequence[object]],
    write: Callable[[str], None] = print,
) -> None:
    """Write rows as a table with aligned columns."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths)]
        write("  ".join(padded).rstrip())
