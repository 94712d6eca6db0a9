"""Settings common to all processes: the files of an identity, and the log."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from damaskvalve_core._channel import Identity
from damaskvalve_core._settings import Document, Field, one_of, text

_IDENTITY: Mapping[str, Field] = {
    "certificate": Field(text, required=True, help="certificate file"),
    "key": Field(text, required=True, help="private key file"),
    "authority": Field(text, required=True, help="authority file"),
}
_LOG: Mapping[str, Field] = {
    "level": Field(
        one_of("debug", "info", "notice", "warning", "error"),
        default="info",
        help="least level that is written",
    ),
    "style": Field(one_of("human", "json"), default="human", help="form of a line"),
    "destination": Field(text, default="stderr", help="stderr or a file"),
}


class LogSettings:
    """Level, format and destination of log records."""

    __slots__ = ("level", "style", "destination")

    def __init__(self, level: str, style: str, destination: str) -> None:
        self.level = level
        self.style = style
        self.destination = destination


def check_identity(document: Document, value: Any) -> Identity | None:
    """Return the identity; if a file is not set, report that and return None.

    The finding is added to ``document``. Paths are relative to the folder of the
    settings file.
    """
    files = document.check_table(_IDENTITY, value, "identity")
    if not all(files.values()):
        return None
    folder = Path(document.path).parent
    return Identity(
        folder / files["certificate"],
        folder / files["key"],
        folder / files["authority"],
    )


def check_log(document: Document, value: Any) -> LogSettings:
    """Return the checked log settings, with defaults for absent ones."""
    return LogSettings(**document.check_table(_LOG, value, "log"))
