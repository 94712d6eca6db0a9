"""What an announcement has to fulfil, wherever it comes from, and the log of others.

An announcement that one host accepts is passed on to every host. So none may be stored
that cannot be encoded, connected to or logged.
"""

import collections
import ipaddress
import re

from damaskvalve_core import DecisionLog
from damaskvalve_gateway._cold import MAX_COLD_S
from damaskvalve_gateway._model import GONE, LEAVING, READY, Announcement

MAX_NAME_CHARACTERS = 256
MAX_SLOTS = 65_536
# The largest number that a notice can carry.
MAX_SEQUENCE = 2**63 - 1
# Thirteen digits, until the year 2286. A time in another unit would hide all other
# incarnations at its address.
MAX_STARTED_AT_MS = 10**13 - 1
# Of all resident adapters together. A message carries up to 200 such lists.
MAX_RESIDENT_CHARACTERS = 64 * 1024
# A refused announcement is logged once, as long as it is among this many newest ones.
MAX_LOGGED_REFUSALS = 256
MAX_LOGGED_CHARACTERS = 200

# It becomes the value of a header.
_INSTANCE_ID = re.compile(r"[!-~]{1,%d}" % MAX_NAME_CHARACTERS)
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_MAX_PORT = 65_535


def check_instance_id(instance_id: str) -> None:
    """Raise :class:`ValueError` if an id cannot be that of an instance."""
    if not isinstance(instance_id, str) or not _INSTANCE_ID.fullmatch(instance_id):
        raise ValueError(
            f"the instance id is not 1 to {MAX_NAME_CHARACTERS} visible ASCII"
            " characters"
        )


def check_announcement(announcement: Announcement) -> None:
    """Raise :class:`ValueError` if an announcement cannot be used by every host."""
    check_instance_id(announcement.instance_id)
    if announcement.state not in (READY, LEAVING, GONE):
        raise ValueError("the state is unknown")
    for name in ("service", "data_centre", "software_version"):
        _check_text(name, getattr(announcement, name), MAX_NAME_CHARACTERS)
    _check_integer("start time", announcement.started_at_ms, MAX_STARTED_AT_MS)
    _check_integer("sequence", announcement.sequence, MAX_SEQUENCE)
    _check_integer("number of slots", announcement.slots, MAX_SLOTS)
    left_s = announcement.cold_left_s
    # The comparison is false for NaN.
    if left_s is not None and not 0 <= left_s <= MAX_COLD_S:
        raise ValueError(f"cold time: not between 0 and {MAX_COLD_S} s")
    if not all(isinstance(name, str) for name in announcement.resident):
        raise ValueError("a resident adapter is not a string")
    _check_text(
        "resident adapters", "".join(announcement.resident), MAX_RESIDENT_CHARACTERS
    )
    # The removal of an instance that is not known has no address.
    if announcement.state != GONE or announcement.address:
        _check_address(announcement.address)


def _check_text(name: str, value: str, max_characters: int) -> None:
    if not isinstance(value, str):
        raise ValueError(f"{name}: not a string")
    if len(value) > max_characters:
        raise ValueError(f"{name}: {len(value)} characters exceed {max_characters}")
    # Neither control characters nor lone surrogates are printable.
    if not value.isprintable():
        raise ValueError(f"{name}: a character is not printable")


def _check_integer(name: str, value: int, maximum: int) -> None:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{name}: not an integer")
    if not 0 <= value <= maximum:
        raise ValueError(f"{name}: not between 0 and {maximum}")


def _check_address(address: str) -> None:
    _check_text("address", address, MAX_NAME_CHARACTERS)
    ip, _, port = address.rpartition(":")
    try:
        parsed = ipaddress.ip_address(ip)
    except ValueError:
        parsed = None
    if parsed is None or "%" in ip or parsed.is_unspecified or parsed.is_multicast:
        raise ValueError(f"the address {address!r} is not IP:PORT")
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError(f"the port of the address {address!r} does not exist")


class RefusedAnnouncements:
    """Logs each refused announcement once."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        # The logged instance ids and reasons, the oldest first.
        self._logged: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def note(self, instance_id: object, reason: str, told_by: str) -> None:
        """Log a refused announcement, unless that was done lately."""
        key = str(instance_id)[:MAX_LOGGED_CHARACTERS], reason[:MAX_LOGGED_CHARACTERS]
        if key in self._logged:
            return
        self._logged[key] = None
        if len(self._logged) > MAX_LOGGED_REFUSALS:
            self._logged.popitem(last=False)
        self._log.line(
            "announcement_refused", backend=key[0], reason=key[1], told_by=told_by
        )


__all__ = [
    "MAX_LOGGED_CHARACTERS",
    "RefusedAnnouncements",
    "check_announcement",
    "check_instance_id",
]
