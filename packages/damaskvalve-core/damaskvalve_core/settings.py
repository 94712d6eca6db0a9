"""Public face of the settings checks; see :mod:`damaskvalve_core._settings`."""

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
    flag,
    list_of,
    number,
    one_of,
    parse_document,
    read_document,
    settings_table,
    text,
    whole,
)

__all__ = [
    "Check",
    "Document",
    "Field",
    "LogSettings",
    "address",
    "check_identity",
    "check_log",
    "flag",
    "list_of",
    "number",
    "one_of",
    "parse_document",
    "read_document",
    "settings_table",
    "text",
    "whole",
]
