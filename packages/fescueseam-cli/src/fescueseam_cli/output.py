"""Print results as tables or as JSON."""

import json
import sys
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any

import attrs
from rich.console import Console
from rich.table import Table

from fescueseam.checks.faults import Fault
from fescueseam.conf.differences import Difference
from fescueseam.exceptions import KINDS, FescueseamError, SettingsError

NON_TERMINAL_WIDTH = 200
"""Width of tables in columns if the output is not a terminal."""


class OutputFormat(StrEnum):
    """Output formats: tables for people, JSON for programs."""

    TABLE = "table"
    JSON = "json"


class Printer:
    """Prints results and errors in one format."""

    def __init__(self, output: OutputFormat) -> None:
        """Initialise the printer with an output format."""
        self.output = output

    @property
    def is_json(self) -> bool:
        """Return whether the output is JSON."""
        return self.output is OutputFormat.JSON

    def print_json(self, value: Any) -> None:
        """Print a value as JSON on one line."""
        print(json.dumps(to_json_value(value), sort_keys=True), flush=True)

    def print_lines(self, lines: Iterable[object]) -> None:
        """Print lines of text."""
        for line in lines:
            print(line, flush=True)

    def print_table(self, headings: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
        """Print a table without trailing blanks."""
        width = None if sys.stdout.isatty() else NON_TERMINAL_WIDTH
        table = Table(*headings, box=None, pad_edge=False, header_style="bold")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        console = Console(width=width, highlight=False, markup=False)
        with console.capture() as capture:
            console.print(table)
        self.print_lines(line.rstrip() for line in capture.get().splitlines())

    def print_error(self, exc: FescueseamError) -> None:
        """Print an error to the error stream."""
        if self.is_json:
            print(json.dumps(encode_error(exc), sort_keys=True), file=sys.stderr)
            return
        print(f"error ({exc.kind}): {exc}", file=sys.stderr)


def to_json_value(value: Any) -> Any:
    """Convert a value, which may contain attrs objects, to JSON types."""
    if attrs.has(type(value)):
        return {
            field.name: to_json_value(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    if isinstance(value, dict):
        return {str(key): to_json_value(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_json_value(item) for item in value]
    return str(value) if isinstance(value, StrEnum) else value


def encode_error(exc: FescueseamError) -> dict[str, Any]:
    """Return an error as a JSON object."""
    faults = exc.faults if isinstance(exc, SettingsError) else ()
    return {
        "error": str(exc.kind),
        "detail": str(exc),
        "exit_code": KINDS[exc.kind].exit_code,
        "faults": [encode_fault(fault) for fault in faults],
    }


def encode_fault(fault: Fault) -> dict[str, Any]:
    """Return a fault as a JSON object."""
    encoded: dict[str, Any] = to_json_value(fault)
    return {**encoded, "level": str(fault.level)}


def encode_differences(differences: Iterable[Difference]) -> list[Any]:
    """Return differences as a list of JSON objects."""
    return [to_json_value(difference) for difference in differences]
