"""Tables of peers that cannot be read."""

import pytest

from fescueseam.exceptions import StoreError
from fescueseam.upkeep.codec import TABLES_PREFIX, unpack_table
from fescueseam.versions.values import VersionedValue


@pytest.mark.parametrize("data", [b"[" * 30_000, b'{"x":' * 10_000, b"9" * 5000, b"\xff", b"[]"])
def test_unreadable_table_raises_store_error(data: bytes) -> None:
    # Guards against: a table that is nested deeply ends the handling with another error.
    with pytest.raises(StoreError):
        unpack_table(VersionedValue(f"{TABLES_PREFIX}katalog", 3, data, "balancer-1"))
