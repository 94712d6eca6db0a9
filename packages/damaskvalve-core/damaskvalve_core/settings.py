"""Public face of the settings checks; see :mod:`damaskvalve_core._settings`."""

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
    text,
    whole,
)

__all__ = [
    "Check",
    "Document",
    "Field",
    "address",
    "flag",
    "list_of",
    "number",
    "one_of",
    "parse_document",
    "read_document",
    "text",
    "whole",
]
