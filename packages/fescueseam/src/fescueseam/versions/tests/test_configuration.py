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


def sort_fields(cfg):
    lists = {
        field.name: tuple(sorted(getattr(cfg, field.name), key=repr))
        for field in attrs.fields(Configuration)
        if field.name != "version"
    }
    return evolve(cfg, **lists)


def test_split_and_join_round_trip(cfg):
    assert all(
        getattr(cfg, field.name) for field in attrs.fields(Configuration)
    ), "extend the fixture and split_configuration with each new field"
    joined = join_configuration(split_configuration(cfg, "op"))
    assert joined is not None
    assert sort_fields(joined) == sort_fields(cfg)


def test_configuration_comes_into_force_only_when_complete(cfg, rng):
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


def test_changed_service_changes_two_small_entries(cfg):
    values = VersionedMap()
    apply_configuration(values, cfg, "op")
    changed = evolve(cfg.services[3], address="10.9.9.9")
    services = (*cfg.services[:3], changed, *cfg.services[4:])
    entries = apply_configuration(values, evolve(cfg, version=2, services=services), "op")
    assert [entry.key for entry in entries] == ["config/service/service-3", HEAD_KEY]
    assert sum(len(entry.value) for entry in entries) < 300


def test_removed_service_leaves_a_tombstone(cfg):
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
def test_stale_configuration_is_ignored(cfg, stale):
    values = VersionedMap()
    view = ConfigurationView(values)
    newer = evolve(cfg, version=3, services=(Service("only", "10.0.0.1"),))
    apply_configuration(values, newer, "op")
    view.refresh()
    assert apply_configuration(values, evolve(cfg, version=stale), "op") == []
    assert not view.refresh()
    assert view.in_force.version == 3
