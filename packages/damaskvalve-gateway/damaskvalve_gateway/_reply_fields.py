"""Reply headers that this release does not know or cannot read.

A backend server may ask the hosts for something in a header that is newer than this
release. Such a header has no effect, but it is logged and counted, so that operators
notice it when it first occurs.
"""

import collections
from collections.abc import Callable, Sequence

from damaskvalve_core import DecisionLog
from damaskvalve_gateway._backend import Backend

# Each header is logged once for each start of a backend server, as long as it is among
# this many newest ones.
MAX_LOGGED_FIELDS = 256
# Number of header names that are counted separately.
MAX_COUNTED_NAMES = 64
OTHER_NAMES = "other"

#: Counts one reply with an unknown header, by the name of the header.
CountField = Callable[[str], None]


class IneffectiveReplyFields:
    """Logs and counts the reply headers that have no effect."""

    def __init__(self, log: DecisionLog, count: CountField) -> None:
        self._log = log
        self._count = count
        self._counted_names: set[str] = set()
        # Kind of line, header name, instance id and start time of the logged headers,
        # the oldest first.
        self._logged: collections.OrderedDict[tuple[str, str, str, int], None] = (
            collections.OrderedDict()
        )

    def note(self, backend: Backend, fields: Sequence[tuple[str, str]]) -> None:
        """Process the names and values of the unknown headers of one reply."""
        for name, value in fields:
            if len(self._counted_names) < MAX_COUNTED_NAMES:
                self._counted_names.add(name)
            self._count(name if name in self._counted_names else OTHER_NAMES)
            self._log_once("reply_field_unknown", backend, name, value)

    def note_unreadable(
        self, backend: Backend, fields: Sequence[tuple[str, str]]
    ) -> None:
        """Process the names and values of the unreadable headers of one reply."""
        for name, value in fields:
            self._log_once("reply_field_unreadable", backend, name, value)

    def _log_once(self, kind: str, backend: Backend, name: str, value: str) -> None:
        current = backend.announcement
        key = kind, name, current.instance_id, current.started_at_ms
        if key in self._logged:
            return
        self._logged[key] = None
        if len(self._logged) > MAX_LOGGED_FIELDS:
            self._logged.popitem(last=False)
        self._log.line(
            kind,
            field=name,
            value=value,
            backend=current.instance_id,
            service=current.service,
            sent=backend.sent_count,
        )
