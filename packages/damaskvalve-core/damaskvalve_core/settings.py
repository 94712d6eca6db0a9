"""Public names of the settings checks; see :mod:`damaskvalve_core._settings`."""

from damaskvalve_core._common_settings import (
    LogSettings,
    check_identity,
    check_log,
)
from damaskvalve_core._settings import (
    Check,
    Document,
    Field,
    address,
    boolean,
    integer,
    list_of,
    number,
    one_of,
    parse_document,
    read_document,
    settings_table,
    text,
)

__all__ = [
    "Check",
    "Document",
    "Field",
    "LogSettings",
    "address",
    "boolean",
    "check_identity",
    "check_log",
    "integer",
    "list_of",
    "number",
    "one_of",
    "parse_document",
    "read_document",
    "settings_table",
    "text",
]
