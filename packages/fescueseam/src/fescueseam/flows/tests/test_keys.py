from fescueseam.flows.keys import PROTOCOL_UDP, FlowKey, compute_bucket


def test_bucket_depends_on_the_seed() -> None:
    keys = [
        FlowKey(PROTOCOL_UDP, b"\x0a\x00\x00\x01", port, b"\x0a\x01\x00\x01", 443)
        for port in range(1024, 1280)
    ]
    first = [compute_bucket(key, 1, 64) for key in keys]
    second = [compute_bucket(key, 2, 64) for key in keys]
    assert first != second
    assert set(first) <= set(range(64))


def test_key_is_formatted_as_addresses_and_ports() -> None:
    key = FlowKey(PROTOCOL_UDP, b"\x0a\x00\x00\x01", 7, b"\x0a\x01\x00\x01", 443)
    assert str(key) == "10.0.0.1:7>10.1.0.1:443"
