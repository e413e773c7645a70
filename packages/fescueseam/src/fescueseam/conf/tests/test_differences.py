from attrs import evolve

from fescueseam.conf.differences import find_common_paths, find_differences
from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentre,
    DataCentreState,
    EndpointRule,
    Service,
    ServiceClass,
    SiteAdmission,
)

KATALOG = Service("katalog", "10.50.0.10", (ServiceClass("listings", 443),))
BEFORE = Configuration(
    version=3,
    services=(KATALOG, Service("foto-cocok", "10.50.0.20", (ServiceClass("photos", 443),))),
    data_centres=(DataCentre("solo", "jawa-tengah"), DataCentre("semarang", "jawa-tengah")),
)


def test_differences_list_changed_values_and_whole_items(snapshot) -> None:
    listings = evolve(KATALOG.classes[0], wait_s=0.5)
    after = evolve(
        BEFORE,
        version=9,
        services=(evolve(KATALOG, classes=(listings, ServiceClass("prices", 5683))),),
        data_centres=(evolve(BEFORE.data_centres[0], state=DataCentreState.OUT),),
        endpoints=(EndpointRule("katalog-1", drain=True),),
        sites=(SiteAdmission("solo", "katalog", AdmissionRules(slots=4)),),
    )
    assert [str(item) for item in find_differences(BEFORE, after)] == snapshot
    assert [str(item) for item in find_differences(after, BEFORE)] == snapshot
    assert find_differences(BEFORE, evolve(BEFORE, version=4)) == ()


def test_common_paths_include_values_inside_a_changed_item() -> None:
    changed = evolve(KATALOG, classes=(evolve(KATALOG.classes[0], wait_s=0.5),))
    first = find_differences(BEFORE, evolve(BEFORE, services=(changed, BEFORE.services[1])))
    second = find_differences(BEFORE, evolve(BEFORE, services=BEFORE.services[1:]))
    assert find_common_paths(first, second) == ("services[katalog].classes[listings].wait_s",)
    third = find_differences(BEFORE, evolve(BEFORE, endpoints=(EndpointRule("katalog-1"),)))
    assert find_common_paths(first, third) == ()
