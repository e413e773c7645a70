"""Turn tables into values of the store and of gossip, and back."""

import json
from typing import Any

import cattrs.preconf.json
from cattrs.errors import BaseValidationError

from fescueseam.exceptions import ErrorKind, StoreError
from fescueseam.routing.table import Table
from fescueseam.versions.values import VersionedValue

TABLES_PREFIX = "tables/"

_converter = cattrs.preconf.json.make_converter()


def encode_table(table: Table) -> Any:
    """Return the JSON value of a table."""
    return _converter.unstructure(table)


def decode_table(value: Any) -> Table:
    """Return the table that a JSON value holds; raise StoreError on anything else."""
    try:
        return _converter.structure(value, Table)
    except (BaseValidationError, TypeError, ValueError, KeyError) as exc:
        raise StoreError(f"no table: {exc}", ErrorKind.MALFORMED_MESSAGE) from exc


def pack_table(table: Table) -> VersionedValue:
    """Return the versioned value of a table, its epoch being the version."""
    data = json.dumps(encode_table(table), separators=(",", ":"), sort_keys=True).encode()
    return VersionedValue(TABLES_PREFIX + table.service, table.epoch, data, table.writer)


def unpack_table(value: VersionedValue) -> Table:
    """Return the table that a versioned value holds."""
    try:
        return decode_table(json.loads(value.value))
    except ValueError as exc:
        raise StoreError(f"no table: {exc}", ErrorKind.MALFORMED_MESSAGE) from exc
