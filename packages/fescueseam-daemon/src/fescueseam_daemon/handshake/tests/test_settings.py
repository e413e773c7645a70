"""Settings: every fault is listed with its id."""

import json
from typing import Any

import pytest

from fescueseam.exceptions import SettingsError
from fescueseam.handshake.members import Role
from fescueseam_daemon.handshake.settings import Listener, parse_settings

VALUES: dict[str, Any] = {
    "instance": "agent-1",
    "role": "agent",
    "data_centre": "a",
    "address": "10.1.0.13",
    "peer_port": 7720,
    "peer_port_last": 7735,
    "packets": "10.1.0.13:8172",
    "readiness": "10.1.0.13:8167",
    "heartbeats": "10.1.0.13:8166",
    "answers": "10.1.0.13:8162",
    "backend": "10.1.0.13:8165",
    "service": "alerts",
    "store": "10.200.1.7:8169",
    "seeds": ["10.1.0.10:8166"],
    "heartbeat_interval_ms": 770,
    "metrics_port": 9464,
}


def parse(**changes: Any) -> Any:
    return parse_settings(json.dumps({**VALUES, **changes}), "settings.json")


def test_settings_are_read() -> None:
    settings = parse()
    assert settings.role is Role.AGENT
    assert settings.seeds == (Listener("10.1.0.10", 8166),)
    assert settings.heartbeat_interval_s == pytest.approx(0.77)


def test_a_balancer_needs_no_backend_server() -> None:
    settings = parse(role="balancer", heartbeats="", answers="", backend="", service="")
    assert settings.backend is None


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"role": "other"}, "E005"),
        ({"address": "10.1.0"}, "E011"),
        ({"store": "10.1.0.1"}, "E011"),
        ({"store": "10.1.0.1:99999"}, "E011"),
        ({"seeds": ["x"]}, "E011"),
        ({"peer_port": 70_000}, "E012"),
        ({"peer_port": "7720"}, "E004"),
        ({"heartbeat_interval_ms": 0}, "E017"),
        ({"service": ""}, "E023"),
        ({"other": 1}, "E002"),
    ],
)
def test_a_fault_is_named(changes: dict[str, Any], fault: str) -> None:
    with pytest.raises(SettingsError, match=fault):
        parse(**changes)


def test_every_fault_is_listed() -> None:
    with pytest.raises(SettingsError) as caught:
        parse(role="other", address="x", store=7)
    assert len(caught.value.faults) == 3


@pytest.mark.parametrize("text", ["", "[]", "{", "null"])
def test_text_that_is_no_object_is_a_fault(text: str) -> None:
    with pytest.raises(SettingsError):
        parse_settings(text, "settings.json")


@pytest.mark.parametrize("key", ["instance", "address", "store", "peer_port"])
def test_a_missing_setting_is_a_fault(key: str) -> None:
    values = {name: value for name, value in VALUES.items() if name != key}
    with pytest.raises(SettingsError, match="E003"):
        parse_settings(json.dumps(values), "settings.json")
