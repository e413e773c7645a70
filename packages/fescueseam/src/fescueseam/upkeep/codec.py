"""Encode and decode tables as values of the store and of gossip."""

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
    """Encode a table as a JSON value."""
    return _converter.unstructure(table)


def decode_table(value: Any) -> Table:
    """Decode a table from a JSON value; raise StoreError if it is malformed."""
    try:
        return _converter.structure(value, Table)
    except (BaseValidationError, TypeError, ValueError, KeyError) as exc:
        raise StoreError(f"malformed table: {exc}", ErrorKind.MALFORMED_MESSAGE) from exc


def pack_table(table: Table) -> VersionedValue:
    """Encode a table as a versioned value; the version is its epoch."""
    data = json.dumps(encode_table(table), separators=(",", ":"), sort_keys=True).encode()
    return VersionedValue(TABLES_PREFIX + table.service, table.epoch, data, table.writer)


def unpack_table(value: VersionedValue) -> Table:
    """Decode a table from a versioned value; raise StoreError if it is malformed."""
    try:
        return decode_table(json.loads(value.value))
    except (ValueError, RecursionError) as exc:
        raise StoreError(f"malformed table: {exc}", ErrorKind.MALFORMED_MESSAGE) from exc
