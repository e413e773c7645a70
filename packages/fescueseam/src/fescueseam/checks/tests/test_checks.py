import pytest
from attrs import evolve, frozen

from fescueseam.checks import configuration
from fescueseam.checks.faults import SUMMARIES, Fault, FaultId, FaultLevel, has_errors
from fescueseam.checks.keys import MIN_SECRET_LENGTH
from fescueseam.checks.registry import register_check, run_checks
from fescueseam.conf.models import (
    AdmissionRules,
    BackendSettings,
    Configuration,
    DataCentre,
    DataCentreState,
    EndpointRule,
    FlowKind,
    KeySettings,
    ProcessSettings,
    Role,
    Service,
    ServiceClass,
    SiteAdmission,
    Transport,
)

ALERTS = ServiceClass("alerts", 443, kind=FlowKind.STREAM, idle_timeout_s=60.0)
BITACORA = Service("bitacora", "10.40.0.10", (ALERTS,))
SOLO = DataCentre("solo", "jawa-tengah")
CFG = Configuration(services=(BITACORA,), data_centres=(SOLO,))
KEY = KeySettings(1, "x" * 32)
AGENT = ProcessSettings(
    name="bitacora-1",
    data_centre="solo",
    region="jawa-tengah",
    address="127.0.0.21",
    control_port=7411,
    store_url="http://127.0.0.1:7400",
    keys=(KEY,),
    metrics_port=7412,
    fabric_address="127.0.0.2",
    service="bitacora",
    backend=BackendSettings("127.0.0.21", "http://127.0.0.21:7480/load"),
)


def build_configuration_with_class(**changes) -> Configuration:
    return evolve(CFG, services=(evolve(BITACORA, classes=(evolve(ALERTS, **changes),)),))


def build_configuration_with_rules(**changes) -> Configuration:
    return evolve(CFG, services=(evolve(BITACORA, admission=AdmissionRules(**changes)),))


def build_agent_with_backend(**changes) -> ProcessSettings:
    return evolve(AGENT, backend=evolve(AGENT.backend, **changes))


SETTINGS_WITH_FAULTS = [
    (evolve(CFG, services=(evolve(BITACORA, name="Bit@"),)), FaultId.BAD_NAME),
    (evolve(CFG, services=(BITACORA, BITACORA)), FaultId.DUPLICATE_NAME),
    (evolve(CFG, endpoints=(EndpointRule("a"),) * 2), FaultId.DUPLICATE_NAME),
    (evolve(CFG, services=(evolve(BITACORA, address="::ffff"),)), None),
    (evolve(CFG, services=(evolve(BITACORA, address="224.0.0.1"),)), FaultId.BAD_ADDRESS),
    (evolve(CFG, services=(evolve(BITACORA, address="10.0.0.1/8"),)), FaultId.BAD_ADDRESS),
    (
        evolve(CFG, services=(BITACORA, evolve(BITACORA, name="acopio"))),
        FaultId.DUPLICATE_ADDRESS,
    ),
    (
        evolve(CFG, services=(evolve(BITACORA, classes=(ALERTS, evolve(ALERTS, name="b"))),)),
        FaultId.DUPLICATE_PORT,
    ),
    (evolve(CFG, services=(evolve(BITACORA, classes=()),)), FaultId.NO_CLASSES),
    (evolve(CFG, data_centres=()), FaultId.MISSING_KEY),
    (
        evolve(CFG, data_centres=(evolve(SOLO, state=DataCentreState.OUT),)),
        FaultId.ALL_DATA_CENTRES_OUT,
    ),
    (
        evolve(CFG, sites=(SiteAdmission("s", "bitacora", AdmissionRules()),)),
        FaultId.UNKNOWN_DATA_CENTRE,
    ),
    (evolve(CFG, sites=(SiteAdmission("solo", "b", AdmissionRules()),)), FaultId.UNKNOWN_SERVICE),
    (build_configuration_with_class(port=0), FaultId.BAD_PORT),
    (build_configuration_with_class(wait_s=5.0), FaultId.WAIT_NOT_BELOW_DEADLINE),
    (build_configuration_with_class(wait_s=-0.1), FaultId.OUT_OF_RANGE),
    (
        build_configuration_with_class(opening_deadline_s=60.5, idle_timeout_s=61.0),
        FaultId.OUT_OF_RANGE,
    ),
    (build_configuration_with_class(opening_deadline_s=float("nan")), FaultId.OUT_OF_RANGE),
    (build_configuration_with_class(idle_timeout_s=2.0), FaultId.SHORT_IDLE_TIMEOUT),
    (build_configuration_with_class(repeatable=False), FaultId.NOT_REPEATABLE_STREAM),
    (
        build_configuration_with_class(
            repeatable=False, kind=FlowKind.REQUEST, transport=Transport.UDP
        ),
        FaultId.NOT_REPEATABLE_UDP,
    ),
    (build_configuration_with_rules(cold_slots=3), FaultId.COLD_LIMIT_TOO_HIGH),
    (build_configuration_with_rules(cold_connections=2001), FaultId.COLD_LIMIT_TOO_HIGH),
    (build_configuration_with_rules(cold_slots=0), FaultId.OUT_OF_RANGE),
    (build_configuration_with_rules(connections=0, cold_connections=0), FaultId.OUT_OF_RANGE),
    (build_configuration_with_rules(slots=10**9), FaultId.OUT_OF_RANGE),
    (build_configuration_with_rules(slots=0), None),
    (evolve(AGENT, name=""), FaultId.BAD_NAME),
    (evolve(AGENT, address="0.0.0.0"), FaultId.BAD_ADDRESS),
    (evolve(AGENT, store_url="http://[::1"), FaultId.BAD_URL),
    (evolve(AGENT, metrics_port=70_000), FaultId.BAD_PORT),
    (evolve(AGENT, keys=()), FaultId.BAD_KEY),
    (evolve(AGENT, keys=(KEY, KEY)), FaultId.BAD_KEY),
    (evolve(AGENT, keys=(KeySettings(256, "x" * 32),)), FaultId.OUT_OF_RANGE),
    (evolve(AGENT, seeds=("127.0.0.21:7411",)), FaultId.BAD_SEED),
    (evolve(AGENT, seeds=("127.0.0.1:²",)), FaultId.BAD_SEED),
    (evolve(AGENT, service=""), FaultId.MISSING_FOR_ROLE),
    (evolve(AGENT, backend=None), FaultId.MISSING_FOR_ROLE),
    (build_agent_with_backend(port_offset=-1), FaultId.OUT_OF_RANGE),
    (build_agent_with_backend(load_url="file:///load"), FaultId.BAD_URL),
    (evolve(AGENT, role=Role.BALANCER), FaultId.UNUSED_FOR_ROLE),
    (
        evolve(AGENT, role=Role.BALANCER, backend=None, service="", packet_port=7411),
        FaultId.DUPLICATE_PORT,
    ),
    (evolve(AGENT, drain_timeout_s=float("inf")), FaultId.OUT_OF_RANGE),
    (evolve(AGENT, log_format="yaml"), FaultId.UNKNOWN_CHOICE),
]


@pytest.mark.parametrize(("settings", "expected"), SETTINGS_WITH_FAULTS)
def test_faulty_settings_report_only_the_expected_fault(settings, expected: FaultId | None) -> None:
    faults = run_checks(settings)
    assert {fault.id for fault in faults} == ({expected} if expected else set()), faults
    assert all(fault.path and fault.message for fault in faults)


def test_valid_settings_have_no_faults() -> None:
    assert run_checks(CFG) == run_checks(AGENT) == ()
    assert AdmissionRules().slots < configuration.MAX_SLOTS
    assert len(KEY.secret) >= MIN_SECRET_LENGTH


def test_every_fault_id_has_a_summary_and_a_level() -> None:
    assert set(SUMMARIES) == set(FaultId)
    warning = Fault(
        FaultId.ALL_DATA_CENTRES_OUT, "data_centres", "every data centre is out of service"
    )
    assert warning.level is FaultLevel.WARNING
    assert not has_errors((warning,))
    assert has_errors((warning, Fault(FaultId.BAD_PORT, "port", "0 is not a valid port")))


def test_checks_run_only_for_their_settings_type() -> None:
    @frozen
    class OtherSettings:
        """Settings of another package."""

    @register_check(OtherSettings)
    def check_other(settings: OtherSettings):
        yield Fault(FaultId.BAD_NAME, "name", "no name")

    assert [fault.path for fault in run_checks(OtherSettings())] == ["name"]
