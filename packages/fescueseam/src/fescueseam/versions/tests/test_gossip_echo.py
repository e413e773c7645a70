"""Guard against peers that answer each other without end about a key that both deleted."""

import random

from attrs import evolve

from fescueseam.conf.models import Configuration, EndpointRule
from fescueseam.versions.gossip import Gossip
from fescueseam.versions.pages import pack_values
from fescueseam.versions.values import VersionedMap

EXCHANGES_LIMIT = 10


def test_peers_with_the_same_tombstone_stop_answering():
    drained = Configuration(version=1, endpoints=(EndpointRule("bitacora-1", drain=True),))
    first, second = (Gossip(VersionedMap(), random.Random(seed), 0.0) for seed in (1, 2))
    for gossip in (first, second):
        gossip.put_configuration(drained, "operator")
        gossip.put_configuration(evolve(drained, version=2, endpoints=()), "operator")
    pending = pack_values(first.take_hot())
    receiver, sender = second, first
    for _ in range(EXCHANGES_LIMIT):
        pending = [answer for body in pending for answer in receiver.on_values(body)]
        receiver, sender = sender, receiver
    assert pending == []
