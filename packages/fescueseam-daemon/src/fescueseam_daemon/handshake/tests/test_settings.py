"""Tests of the settings of a process and of the faults that are reported."""

import json
from typing import Any

import pytest

from fescueseam.exceptions import SettingsError
from fescueseam.handshake.member import Role
from fescueseam_daemon.handshake.settings import SocketAddress, parse_settings

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


def test_valid_settings_are_parsed() -> None:
    settings = parse()
    assert settings.role is Role.AGENT
    assert settings.seeds == (SocketAddress("10.1.0.10", 8166),)
    assert settings.heartbeat_interval_s == pytest.approx(0.77)


def test_size_of_the_machine_may_be_unknown() -> None:
    assert parse().processor_share is parse(link_mbps=None).link_mbps is None
    settings = parse(processor_share=0.5, processors=3, link_mbps=10.0)
    assert (settings.processor_share, settings.processors, settings.link_mbps) == (0.5, 3, 10.0)


def test_last_ports_can_be_used() -> None:
    settings = parse(peer_port=65_533, peer_port_last=65_535, metrics_port=65_535)
    assert settings.peer_port == 65_533


def test_balancer_settings_need_no_backend_server() -> None:
    settings = parse(role="balancer", heartbeats="", answers="", backend="", service="")
    assert settings.backend is None


@pytest.mark.parametrize(
    ("changes", "fault_id"),
    [
        ({"role": "other"}, "E005"),
        ({"address": "10.1.0"}, "E011"),
        ({"store": "10.1.0.1"}, "E011"),
        ({"store": "10.1.0.1:99999"}, "E011"),
        ({"seeds": ["x"]}, "E011"),
        ({"peer_port": 70_000}, "E012"),
        ({"peer_port": "7720"}, "E004"),
        ({"peer_port": 65_534, "peer_port_last": 65_535}, "E012"),
        ({"peer_port": 0}, "E012"),
        ({"peer_port": 7720, "peer_port_last": 7721}, "E012"),
        ({"metrics_port": 0}, "E012"),
        ({"metrics_port": 65_536}, "E012"),
        ({"remote_penalty_ms": -1}, "E017"),
        ({"remote_penalty_ms": 20_000}, "E017"),
        ({"processor_share": -0.1}, "E017"),
        ({"processors": -1}, "E017"),
        ({"link_mbps": float("nan")}, "E017"),
        ({"link_mbps": float("inf")}, "E017"),
        ({"store_silence_limit_ms": 1999}, "E017"),
        ({"store_silence_limit_ms": 60_001}, "E017"),
        ({"store_silence_limit_ms": "4000"}, "E004"),
        ({"store_rewrites_per_s": 0}, "E017"),
        ({"store_rewrites_per_s": 10_001}, "E017"),
        ({"store_rewrites_per_s": True}, "E004"),
        ({"heartbeat_interval_ms": 0}, "E017"),
        ({"service": ""}, "E023"),
        ({"other": 1}, "E002"),
    ],
)
def test_invalid_value_is_reported_with_its_fault_id(
    changes: dict[str, Any], fault_id: str
) -> None:
    with pytest.raises(SettingsError, match=fault_id):
        parse(**changes)


def test_all_faults_are_reported() -> None:
    with pytest.raises(SettingsError) as exc_info:
        parse(role="other", address="x", store=7)
    assert len(exc_info.value.faults) == 3


@pytest.mark.parametrize("text", ["", "[]", "{", "null"])
def test_text_other_than_a_json_object_is_rejected(text: str) -> None:
    with pytest.raises(SettingsError):
        parse_settings(text, "settings.json")


@pytest.mark.parametrize("key", ["instance", "address", "store", "peer_port"])
def test_missing_setting_is_reported(key: str) -> None:
    values = {name: value for name, value in VALUES.items() if name != key}
    with pytest.raises(SettingsError, match="E003"):
        parse_settings(json.dumps(values), "settings.json")
