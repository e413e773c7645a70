import os
import random

import pytest

from fescueseam.conf.models import Configuration, DataCentre, Service, ServiceClass
from fescueseam_standins.capacity.cluster import Cluster

DATA_CENTRES = ("semarang", "solo", "magelang")


@pytest.fixture
def rng():
    return random.Random(int(os.environ.get("SEED", "1")))


@pytest.fixture
def cfg():
    return Configuration(
        version=1,
        services=(
            Service("katalog", "10.99.0.1", (ServiceClass("listing", 443),)),
            Service("foto-cocok", "10.99.0.2", (ServiceClass("photo", 443),)),
        ),
        data_centres=tuple(DataCentre(data_centre, "jawa-tengah") for data_centre in DATA_CENTRES),
    )


@pytest.fixture
def cluster(rng, cfg):
    """Return a settled cluster of six balancers and ten agents in three data centres."""
    cluster = Cluster(rng)
    cluster.write_configuration(cfg)
    for index in range(6):
        cluster.add_balancer(f"b{index}", DATA_CENTRES[index % 3])
    for index in range(7):
        cluster.add_agent(f"katalog-{index}", DATA_CENTRES[index % 3], "katalog")
    for index in range(3):
        cluster.add_agent(f"foto-{index}", DATA_CENTRES[index % 3], "foto-cocok")
    cluster.run_for(15.0)
    assert {item.view.cfg.version for item in cluster.processes.values()} == {1}
    assert len(cluster.processes["b0"].view.find_table("katalog").members) == 7
    return cluster
