import itertools

from hypothesis import given
from hypothesis import strategies as st

from fescueseam.versions.values import VersionedMap, VersionedValue

values = st.builds(
    VersionedValue,
    key=st.sampled_from(["config/a", "config/b", "tables/c"]),
    version=st.integers(1, 6),
    value=st.just(b""),
    deleted=st.booleans(),
).map(
    # A version of a key always has the same content.
    lambda item: VersionedValue(
        item.key,
        item.version,
        b"" if item.version % 3 == 0 else f"{item.key}@{item.version}".encode(),
        deleted=item.version % 3 == 0,
    )
)


@given(st.lists(values, max_size=12), st.randoms(use_true_random=False))
def test_order_and_duplicates_do_not_affect_the_map(items, rng):
    first, second = VersionedMap(), VersionedMap()
    for item in items:
        first.put(item)
    shuffled = items + items
    rng.shuffle(shuffled)
    for item in shuffled:
        second.put(item)
    assert list(first.select("")) == list(second.select(""))
    assert first.get_group_hashes() == second.get_group_hashes()


@given(st.lists(values, max_size=12))
def test_versions_never_decrease(items):
    value_map = VersionedMap()
    for item in items:
        before = value_map.get_version(item.key)
        assert value_map.put(item) == (item.version > before)
        assert value_map.get_version(item.key) == max(before, item.version)


def test_tombstone_rejects_older_values():
    value_map = VersionedMap()
    value_map.put(VersionedValue("config/a", 2, b"", deleted=True))
    assert not value_map.put(VersionedValue("config/a", 1, b"old"))
    assert value_map.get("config/a") is None


def test_full_map_rejects_new_keys_and_accepts_new_versions():
    value_map = VersionedMap(entries_limit=2, tombstones_limit=2)
    for key, version in itertools.product("ab", (1, 2)):
        assert value_map.put(VersionedValue(key, version, b"x"))
    assert not value_map.put(VersionedValue("c", 1, b"x"))
    assert value_map.turned_down == 1
    for index in range(5):
        value_map.put(VersionedValue(f"gone-{index}", index + 1, b"", deleted=True))
    assert [value_map.get_version(f"gone-{index}") for index in range(5)] == [0, 0, 0, 4, 5]


def test_hash_does_not_depend_on_the_version():
    first, second = VersionedMap(), VersionedMap()
    first.put(VersionedValue("config/a", 3, b"x"))
    second.put(VersionedValue("config/a", 7, b"x"))
    assert first.get_group_hashes() == second.get_group_hashes()
