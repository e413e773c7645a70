import attrs
import pytest
from attrs import evolve

from fescueseam.conf.models import Configuration, Service
from fescueseam.versions.configuration import (
    HEAD_KEY,
    ConfigurationView,
    apply_configuration,
    join_configuration,
    split_configuration,
)
from fescueseam.versions.values import VersionedMap


def sort_parts(cfg):
    lists = {
        field.name: tuple(sorted(getattr(cfg, field.name), key=repr))
        for field in attrs.fields(Configuration)
        if field.name != "version"
    }
    return evolve(cfg, **lists)


def test_every_part_survives_splitting_and_joining(cfg):
    assert all(
        getattr(cfg, field.name) for field in attrs.fields(Configuration)
    ), "extend the fixture and the split with each new part"
    joined = join_configuration(split_configuration(cfg, "op"))
    assert joined is not None
    assert sort_parts(joined) == sort_parts(cfg)


def test_nothing_is_in_force_until_every_entry_is_there(cfg, rng):
    entries = split_configuration(cfg, "op")
    rng.shuffle(entries)
    values = VersionedMap()
    view = ConfigurationView(values)
    for entry in entries[:-1]:
        values.put(entry)
        assert not view.refresh()
        assert view.in_force.version == 0
    assert join_configuration(entries[:-1]) is None
    values.put(entries[-1])
    assert view.refresh()
    assert view.in_force == join_configuration(entries)


def test_one_changed_service_is_two_small_entries(cfg):
    values = VersionedMap()
    apply_configuration(values, cfg, "op")
    changed = evolve(cfg.services[3], address="10.9.9.9")
    services = (*cfg.services[:3], changed, *cfg.services[4:])
    entries = apply_configuration(values, evolve(cfg, version=2, services=services), "op")
    assert [entry.key for entry in entries] == ["config/service/service-3", HEAD_KEY]
    assert sum(len(entry.value) for entry in entries) < 300


def test_a_removed_service_leaves_a_deletion_and_comes_into_force(cfg):
    values = VersionedMap()
    view = ConfigurationView(values)
    apply_configuration(values, cfg, "op")
    view.refresh()
    entries = apply_configuration(values, evolve(cfg, version=2, services=cfg.services[1:]), "op")
    assert [(entry.key, entry.deleted) for entry in entries] == [
        ("config/service/service-0", True),
        (HEAD_KEY, False),
    ]
    assert view.refresh()
    assert len(view.in_force.services) == len(cfg.services) - 1


@pytest.mark.parametrize("stale", [1, 2])
def test_a_stale_read_changes_nothing(cfg, stale):
    values = VersionedMap()
    view = ConfigurationView(values)
    newer = evolve(cfg, version=3, services=(Service("only", "10.0.0.1"),))
    apply_configuration(values, newer, "op")
    view.refresh()
    assert apply_configuration(values, evolve(cfg, version=stale), "op") == []
    assert not view.refresh()
    assert view.in_force.version == 3
