"""The result rows of the benchmarks, and their output as table and JSON file."""

import json
from collections.abc import Sequence
from pathlib import Path

BUILD = Path(__file__).resolve().parents[1] / "build"


class Row:
    """A measured value, optionally with a value to compare it with.

    The baseline is a value measured in the same run or a fixed goal. A row without a
    baseline has an empty ``baseline_name`` and a ``baseline_value`` of None.
    """

    __slots__ = ("name", "value", "unit", "baseline_name", "baseline_value")

    def __init__(
        self,
        name: str,
        value: float,
        unit: str,
        baseline_name: str = "",
        baseline_value: float | None = None,
    ) -> None:
        self.name = name
        self.value = round(value, 4)
        self.unit = unit
        self.baseline_name = baseline_name
        self.baseline_value = baseline_value
        if baseline_value is not None:
            self.baseline_value = round(baseline_value, 4)

    def as_document(self) -> dict[str, object]:
        """Return the row as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


def write_rows(rows: Sequence[Row], name: str = "bench.json") -> None:
    """Print the rows as a table and write them to a file in the build folder."""
    for row in rows:
        baseline = ""
        if row.baseline_value is not None:
            baseline = f"{row.baseline_name}: {row.baseline_value}"
        print(f"{row.name:<58} {row.value:>12} {row.unit:<14} {baseline}")
    BUILD.mkdir(exist_ok=True)
    documents = [row.as_document() for row in rows]
    (BUILD / name).write_text(json.dumps(documents, indent=1) + "\n")
