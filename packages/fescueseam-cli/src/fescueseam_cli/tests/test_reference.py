import re
from pathlib import Path

import attrs
import pytest
import typer

from fescueseam.conf import models
from fescueseam.exceptions import KINDS
from fescueseam_cli.main import app
from fescueseam_cli.reference import EXIT_CODE_MEANINGS, RENDERERS

ROOT = Path(__file__).parents[5]
REFERENCE_FOLDER = ROOT / "docs" / "reference"
SETTINGS_CLASSES = (
    models.Service,
    models.ServiceClass,
    models.AdmissionRules,
    models.DataCentre,
    models.EndpointRule,
    models.ProcessSettings,
    models.KeySettings,
    models.BackendSettings,
)


@pytest.mark.parametrize("name", RENDERERS)
def test_generated_files_are_current(name: str) -> None:
    assert (ROOT / name).read_text() == RENDERERS[name](), "run python -m fescueseam_cli.reference"


def test_every_exit_code_has_a_meaning() -> None:
    assert {row.exit_code for row in KINDS.values()} <= set(EXIT_CODE_MEANINGS)


@pytest.mark.parametrize("settings", SETTINGS_CLASSES)
def test_settings_page_has_each_key_with_its_default(settings: type) -> None:
    page = (REFERENCE_FOLDER / "settings.md").read_text()
    for setting in attrs.fields(settings):
        rows = re.findall(rf"^\| `{setting.name}` \| [^|]* \| ([^|]*) \|", page, re.MULTILINE)
        assert rows, setting.name
        if isinstance(setting.default, bool):
            assert f"`{str(setting.default).lower()}`" in rows, setting.name
        elif isinstance(setting.default, int | float):
            assert f"`{setting.default}`" in rows, setting.name
        elif setting.default is attrs.NOTHING:
            assert "required" in rows, setting.name


def list_commands_and_options(command):
    for param in command.params:
        if param.param_type_name == "option":
            yield from param.opts
    for subcommand in getattr(command, "commands", {}).values():
        yield subcommand.name
        yield from list_commands_and_options(subcommand)


def test_commands_page_has_each_command_and_option() -> None:
    page = (REFERENCE_FOLDER / "commands.md").read_text()
    names = set(list_commands_and_options(typer.main.get_command(app)))
    assert {"drain", "--undo", "--peer"} <= names
    missing = [name for name in names if name not in page]
    assert set(missing) <= {"--help"}, missing


PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_point_to_existing_files(page: Path) -> None:
    for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
        if "://" not in target:
            assert (page.parent / target).exists(), target


def test_index_has_a_row_for_each_page() -> None:
    docs = ROOT / "docs"
    index = (docs / "README.md").read_text()
    pages = {str(page.relative_to(docs)) for page in docs.rglob("*.md")} - {"README.md"}
    missing = [page for page in sorted(pages) if f"]({page})" not in index]
    assert not missing, "add a row to docs/README.md"


TOPIC_PAGES = sorted((ROOT / "docs" / "topics").glob("*.md"))


@pytest.mark.parametrize("page", TOPIC_PAGES, ids=lambda page: page.name)
def test_topics_use_existing_error_kinds(page: Path) -> None:
    kinds_on_page = set(re.findall(r'kind="([a-z-]+)"', page.read_text()))
    assert kinds_on_page <= {str(kind) for kind in KINDS}
