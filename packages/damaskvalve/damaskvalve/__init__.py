"""The host program and the operators' command line."""

from damaskvalve._configuration import check_rows, key_digest, parse_row
from damaskvalve._placement import Placement, choose, homes
from damaskvalve._settings import HostSettings, check_settings, read_settings
from damaskvalve._view import ConfigurationView

__all__ = [
    "ConfigurationView",
    "HostSettings",
    "Placement",
    "check_rows",
    "check_settings",
    "choose",
    "homes",
    "key_digest",
    "parse_row",
    "read_settings",
]
