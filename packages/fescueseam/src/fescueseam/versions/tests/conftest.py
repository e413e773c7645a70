import os
import random

import pytest

from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentre,
    EndpointRule,
    Service,
    ServiceClass,
    SiteAdmission,
)


@pytest.fixture
def rng():
    return random.Random(int(os.environ.get("SEED", "1")))


@pytest.fixture
def cfg():
    return Configuration(
        version=1,
        services=tuple(
            Service(f"service-{index}", f"10.0.0.{index}", (ServiceClass("listing", 443),))
            for index in range(20)
        ),
        data_centres=(DataCentre("magelang", "jawa-tengah"), DataCentre("solo", "jawa-tengah")),
        endpoints=(EndpointRule("katalog-1", drain=True),),
        sites=(SiteAdmission("solo", "service-1", AdmissionRules(slots=5)),),
    )
