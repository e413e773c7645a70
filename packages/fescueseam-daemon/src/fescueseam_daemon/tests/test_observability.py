import json
import re
from pathlib import Path

import pytest

from fescueseam.effects import Metric
from fescueseam.exceptions import ErrorKind
from fescueseam_daemon.handshake.events import EventLog
from fescueseam_daemon.reference import (
    MEANINGS,
    PAGE_PATH,
    get_served_name,
    list_metrics,
    make_registry,
    render_metrics_page,
)

ROOT = Path(__file__).parents[5]
EXAMPLES = ROOT / "examples" / "observability"
ADDED_LABELS = {"job", "instance", "le"}
"""Labels that the scraper adds, or that every histogram has."""
SERIES_SUFFIXES = {"histogram": ("_bucket", "_sum", "_count"), "counter": ("",), "gauge": ("",)}


@pytest.fixture(scope="module")
def labels_by_series() -> dict[str, set[str]]:
    """Return the labels of each served series."""
    served = {}
    for metric in list_metrics(make_registry()):
        kind = next(iter(metric.describe())).type
        for suffix in SERIES_SUFFIXES[kind]:
            served[get_served_name(metric) + suffix] = set(metric._labelnames)
    return served


def list_expressions() -> list[str]:
    rules = json.loads((EXAMPLES / "alerts.json").read_text())["groups"][0]["rules"]
    panels = json.loads((EXAMPLES / "dashboard.json").read_text())["panels"]
    targets = [target for panel in panels for target in panel["targets"]]
    return [item["expr"] for item in (*rules, *targets)]


def test_metrics_page_is_current() -> None:
    page = (ROOT / PAGE_PATH).read_text()
    assert page == render_metrics_page(), "run python -m fescueseam_daemon.reference"


def test_every_histogram_has_a_meaning() -> None:
    assert len(MEANINGS) == len(Metric)


def test_registry_contains_store_and_packet_metrics(labels_by_series: dict[str, set[str]]) -> None:
    assert {"fescueseam_store_calls_total", "fescueseam_refused_total"} <= set(labels_by_series)


@pytest.mark.parametrize("expression", list_expressions())
def test_expressions_use_existing_series_and_labels(
    expression: str, labels_by_series: dict[str, set[str]]
) -> None:
    named = set(re.findall(r"\bfescueseam_\w+", expression))
    assert named <= set(labels_by_series)
    known = ADDED_LABELS.union(*(labels_by_series[name] for name in named))
    selected = set(re.findall(r"(\w+)=", expression))
    grouped = {
        label
        for labels in re.findall(r"\bby \(([^)]*)\)", expression)
        for label in labels.split(", ")
    }
    assert selected | grouped <= known
    kinds = re.findall(r'kind=~?"([^"]+)"', expression)
    assert {kind for text in kinds for kind in text.split("|")} <= set(ErrorKind)
    assert expression.count("(") == expression.count(")")


def test_alert_runbooks_exist() -> None:
    rules = json.loads((EXAMPLES / "alerts.json").read_text())["groups"][0]["rules"]
    assert len({rule["alert"] for rule in rules}) == len(rules)
    for rule in rules:
        assert (ROOT / rule["annotations"]["runbook"]).exists()


PAGES = [*(ROOT / "docs").rglob("*.md")]


def list_handshake_series() -> set[str]:
    """Return the series that the processes of the handshake serve."""
    events = EventLog(1.0)
    events.log_event("started", {}, 0.0)
    for metric in ("opening_seconds", "service_seconds"):
        events.observe(metric, "alerts", 0.0)
    text = events.render({"members": 0.0, "datagrams_not_sent": 0.0}).decode()
    served = set(re.findall(r"^(fescueseam_\w+)", text, re.MULTILINE))
    return served | set(re.findall(r"^# TYPE (fescueseam_\w+)", text, re.MULTILINE))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_pages_name_existing_metrics(page: Path, labels_by_series: dict[str, set[str]]) -> None:
    families = {get_served_name(metric) for metric in list_metrics(make_registry())}
    packages = {
        "fescueseam_cli",
        "fescueseam_daemon",
        "fescueseam_platform",
        "fescueseam_standins",
    }
    named = set(re.findall(r"\bfescueseam_[a-z_]+", page.read_text()))
    assert named - packages <= families | set(labels_by_series) | list_handshake_series()


HANDSHAKE_SOURCES = [
    *(ROOT / "packages/fescueseam/src/fescueseam/handshake").glob("*.py"),
    *(ROOT / "packages/fescueseam/src/fescueseam/overload").glob("*.py"),
    *(ROOT / "packages/fescueseam-daemon/src/fescueseam_daemon/handshake").glob("*.py"),
]


def test_operations_page_explains_every_event() -> None:
    sources = "".join(path.read_text() for path in HANDSHAKE_SOURCES)
    written = set(re.findall(r'\b(?:log_event|LogEvent)\(\s*"([a-z-]+)"', sources))
    written |= set(re.findall(r'"(dependency-[a-z-]+)"', sources))
    assert {
        "flow-offered",
        "member-state",
        "dependency-lost",
        "server-set-aside",
    } <= written, "the pattern is stale"
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    assert {name for name in written if f"`{name}`" not in page} == set()
