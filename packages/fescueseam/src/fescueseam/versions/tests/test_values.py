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
    # One version of one key has one content, whoever carries it.
    lambda item: VersionedValue(
        item.key,
        item.version,
        b"" if item.version % 3 == 0 else f"{item.key}@{item.version}".encode(),
        deleted=item.version % 3 == 0,
    )
)


@given(st.lists(values, max_size=12), st.randoms(use_true_random=False))
def test_any_order_and_duplicates_lead_to_the_same_map(items, shuffler):
    one, other = VersionedMap(), VersionedMap()
    for item in items:
        one.put(item)
    again = items + items
    shuffler.shuffle(again)
    for item in again:
        other.put(item)
    assert list(one.select("")) == list(other.select(""))
    assert one.get_group_hashes() == other.get_group_hashes()


@given(st.lists(values, max_size=12))
def test_a_version_never_goes_back(items):
    held = VersionedMap()
    for item in items:
        before = held.get_version(item.key)
        assert held.put(item) == (item.version > before)
        assert held.get_version(item.key) == max(before, item.version)


def test_a_deletion_outlives_older_values_of_its_key():
    held = VersionedMap()
    held.put(VersionedValue("config/a", 2, b"", deleted=True))
    assert not held.put(VersionedValue("config/a", 1, b"old"))
    assert held.get("config/a") is None


def test_a_full_map_turns_new_keys_down_and_goes_on_taking_new_versions():
    held = VersionedMap(entries_limit=2, tombstones_limit=2)
    for key, version in itertools.product("ab", (1, 2)):
        assert held.put(VersionedValue(key, version, b"x"))
    assert not held.put(VersionedValue("c", 1, b"x"))
    assert held.turned_down == 1
    for index in range(5):
        held.put(VersionedValue(f"gone-{index}", index + 1, b"", deleted=True))
    assert [held.get_version(f"gone-{index}") for index in range(5)] == [0, 0, 0, 4, 5]


def test_the_same_content_under_another_version_has_the_same_hash():
    one, other = VersionedMap(), VersionedMap()
    one.put(VersionedValue("config/a", 3, b"x"))
    other.put(VersionedValue("config/a", 7, b"x"))
    assert one.get_group_hashes() == other.get_group_hashes()
