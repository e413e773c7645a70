from fescueseam.flows.expiring_set import ExpiringFlowSet
from fescueseam.flows.keys import FlowKey


def build_key(number: int) -> FlowKey:
    return FlowKey(17, b"\x64\x40\x00\x01", number, b"\xc6\x12\x00\x01", 443)


def test_short_lifetimes_do_not_linger_behind_long_ones() -> None:
    flows = ExpiringFlowSet(10)
    flows.add(build_key(1), 20.0)
    flows.add(build_key(2), 10.0)
    flows.expire(15.0)
    assert len(flows) == 1
    assert flows.contains(build_key(1), 15.0)


def test_full_set_evicts_the_flow_that_expires_first() -> None:
    flows = ExpiringFlowSet(2)
    for number, expires in ((1, 20.0), (2, 10.0), (3, 15.0)):
        flows.add(build_key(number), expires)
    assert [flows.contains(build_key(number), 1.0) for number in (1, 2, 3)] == [True, False, True]


def test_later_expiry_is_kept() -> None:
    flows = ExpiringFlowSet(2)
    flows.add(build_key(1), 20.0)
    flows.add(build_key(1), 10.0)
    flows.expire(15.0)
    assert flows.contains(build_key(1), 15.0)
    flows.add(build_key(1), 30.0)
    flows.expire(25.0)
    assert flows.contains(build_key(1), 25.0)


def test_repeated_additions_stay_bounded() -> None:
    flows = ExpiringFlowSet(4)
    for number in range(1000):
        flows.add(build_key(number % 3), float(number))
    assert len(flows) == 3
    assert len(flows._queue) <= 2 * flows.limit
