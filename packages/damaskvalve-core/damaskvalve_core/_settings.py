"""Checks of YAML settings: all findings are reported at once, with their locations."""

import difflib
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import yaml

from damaskvalve_core._exceptions import Finding, SettingsError

#: Returns the checked value, or raises a ValueError that states the violated rule.
Check = Callable[[Any], Any]


class Field:
    """Check, default and help text of one setting.

    The default applies to an absent setting that is not required.
    """

    __slots__ = ("check", "default", "required", "help")

    def __init__(
        self, check: Check, *, default: Any = None, required: bool = False, help: str
    ) -> None:
        self.check = check
        self.default = default
        self.required = required
        self.help = help


def number(minimum: float, maximum: float) -> Check:
    """Accept a number from ``minimum`` to ``maximum``."""

    def check(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValueError("must be a number")
        if not minimum <= value <= maximum:
            raise ValueError(f"must lie between {minimum} and {maximum}")
        return value

    return check


def integer(minimum: int, maximum: int) -> Check:
    """Accept a whole number from ``minimum`` to ``maximum``."""

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError("must be a whole number")
        if not minimum <= value <= maximum:
            raise ValueError(f"must lie between {minimum} and {maximum}")
        return value

    return check


def text(value: Any) -> str:
    """Accept a non-empty string."""
    if not isinstance(value, str) or not value.strip():
        raise ValueError("must be a non-empty string")
    return value


def settings_table(value: Any) -> Any:
    """Accept a table, whose fields are checked separately."""
    if not isinstance(value, dict):
        raise ValueError("must be a table of settings")
    return value


def boolean(value: Any) -> bool:
    """Accept true or false."""
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def one_of(*choices: str) -> Check:
    """Accept one of the given strings."""

    def check(value: Any) -> str:
        if value not in choices:
            listed = ", ".join(choices)
            raise ValueError(f"must be one of {listed}")
        return str(value)

    return check


def address(value: Any) -> str:
    """Accept ``IP:port`` with a numeric IPv4 address."""
    if not isinstance(value, str):
        raise ValueError("must be an address such as 10.0.0.1:7000")
    ip, separator, port = value.rpartition(":")
    parts = ip.split(".")
    is_ipv4 = len(parts) == 4 and all(
        part.isdigit() and int(part) <= 255 for part in parts
    )
    if not (separator and is_ipv4 and port.isdigit() and int(port) <= 65535):
        raise ValueError("must be a numeric address such as 10.0.0.1:7000")
    return value


def list_of(
    check_item: Check, *, min_items: int = 0, max_items: int = 100_000
) -> Check:
    """Accept a list whose items all pass ``check_item``."""

    def check(value: Any) -> Sequence[Any]:
        if not isinstance(value, list):
            raise ValueError("must be a list")
        if not min_items <= len(value) <= max_items:
            raise ValueError(f"must have between {min_items} and {max_items} items")
        return tuple(check_item(item) for item in value)

    return check


class Document:
    """A parsed YAML file with the location of each value."""

    def __init__(self, path: str, value: Any, places: Mapping[tuple, str]) -> None:
        self.path = path
        self.value = value
        self._places = places
        self.findings: list[Finding] = []

    def place(self, *keys: object) -> str:
        """Return ``file:line:column`` of a value, or of its closest located parent."""
        for length in range(len(keys), -1, -1):
            if keys[:length] in self._places:
                return self._places[keys[:length]]
        return f"{self.path}:1:1"

    def report(self, problem: str, *keys: object) -> None:
        """Add a finding at the location of ``keys``."""
        self.findings.append(Finding(self.place(*keys), problem))

    def check_table(
        self, fields: Mapping[str, Field], value: Any, *keys: object
    ) -> dict[str, Any]:
        """Check a table against its fields and return it with defaults.

        If a nested value is not a table, the check of the enclosing table has
        already reported it.
        """
        if not isinstance(value, dict):
            if not keys:
                self.report("must be a table of settings")
            return {name: field.default for name, field in fields.items()}
        for name in value:
            if name not in fields:
                self._report_unknown_setting(name, fields, keys)
        checked = {}
        for name, field in fields.items():
            checked[name] = self._check_field(name, field, value, keys)
        return checked

    def _report_unknown_setting(
        self, name: object, fields: Mapping[str, Field], keys: tuple
    ) -> None:
        close_matches = difflib.get_close_matches(
            str(name), list(fields), n=1, cutoff=0.4
        )
        suggestion = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
        self.report(f"unknown setting {name!r}{suggestion}", *keys, name)

    def _check_field(
        self, name: str, field: Field, value: Mapping[str, Any], keys: tuple
    ) -> Any:
        if name not in value:
            if field.required:
                self.report(f"setting {name!r} is missing: {field.help}", *keys)
            return field.default
        try:
            return field.check(value[name])
        except ValueError as error:
            self.report(f"{name}: {error}", *keys, name)
            return field.default

    def finish(self) -> None:
        """Raise a :class:`SettingsError` with all findings, if there are any."""
        if self.findings:
            raise SettingsError(self.findings)


def parse_document(path: str, source: str) -> Document:
    """Parse YAML text; report duplicate names and invalid syntax as findings."""
    places: dict[tuple, str] = {}
    findings: list[Finding] = []
    try:
        loader = yaml.SafeLoader(source)
        node = loader.get_single_node()
        value = _build_value(loader, node, path, (), places, findings)
        loader.dispose()
    except yaml.MarkedYAMLError as error:
        yaml_mark = error.problem_mark or error.context_mark
        place = _format_place(path, yaml_mark) if yaml_mark else f"{path}:1:1"
        raise SettingsError([Finding(place, str(error.problem))]) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise SettingsError(
            [Finding(f"{path}:1:1", "cannot be parsed as YAML")]
        ) from error
    document = Document(path, value, places)
    document.findings.extend(findings)
    return document


def read_document(path: Path) -> Document:
    """Read and parse a YAML file."""
    try:
        source = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = f"cannot be read: {error}"
        raise SettingsError([Finding(f"{path}:1:1", problem)]) from error
    return parse_document(str(path), source)


def _format_place(path: str, yaml_mark: Any) -> str:
    line = yaml_mark.line + 1
    column = yaml_mark.column + 1
    return f"{path}:{line}:{column}"


def _build_value(
    loader: yaml.SafeLoader,
    node: Any,
    path: str,
    keys: tuple,
    places: dict[tuple, str],
    findings: list[Finding],
) -> Any:
    if node is None:
        return None
    places[keys] = _format_place(path, node.start_mark)
    if isinstance(node, yaml.MappingNode):
        table: dict[Any, Any] = {}
        for key_node, value_node in node.value:
            name = loader.construct_object(key_node, deep=True)
            if not isinstance(name, (str, int, float, bool)):
                findings.append(
                    Finding(
                        _format_place(path, key_node.start_mark),
                        "the name of a setting must be a string, a number or a boolean",
                    )
                )
                continue
            if name in table:
                findings.append(
                    Finding(
                        _format_place(path, key_node.start_mark),
                        f"{name!r} is set twice",
                    )
                )
            child = keys + (name,)
            table[name] = _build_value(
                loader, value_node, path, child, places, findings
            )
            places[child] = _format_place(path, key_node.start_mark)
        return table
    if isinstance(node, yaml.SequenceNode):
        return [
            _build_value(loader, item, path, keys + (index,), places, findings)
            for index, item in enumerate(node.value)
        ]
    return loader.construct_object(node, deep=True)
