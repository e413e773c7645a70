"""Read and write the settings files of a deployment."""

from importlib import resources
from pathlib import Path

from fescueseam.checks.schema import render_configuration_schema
from fescueseam.conf.documents import SettingsFile
from fescueseam.conf.loading import LoadedConfiguration, inspect_configuration
from fescueseam.exceptions import SettingsError

BASE_FILE = "base.json"
SITES_FOLDER = "sites"
SCHEMA_FILE = "configuration.schema.json"
TEMPLATE_FILES = ("base.json", "sites/north.json")


def read_settings_file(path: Path, root: Path | None = None) -> SettingsFile:
    """Read one file; if a root is given, its name is relative to the root."""
    name = str(path.relative_to(root)) if root else str(path)
    try:
        return SettingsFile(name, path.read_bytes())
    except OSError as exc:
        raise SettingsError(f"{path} cannot be read: {exc.strerror}") from exc


def read_deployment(folder: Path) -> LoadedConfiguration:
    """Read and check the base file of a folder and the overlay of each site."""
    base = read_settings_file(folder / BASE_FILE, folder)
    sites = {
        path.stem: read_settings_file(path, folder)
        for path in sorted((folder / SITES_FOLDER).glob("*.json"))
    }
    return inspect_configuration(base, sites)


def write_example_files(folder: Path) -> tuple[Path, ...]:
    """Write an example configuration; raise SettingsError if any of its files exists."""
    contents = {name: _read_template(name) for name in TEMPLATE_FILES}
    contents[SCHEMA_FILE] = render_configuration_schema()
    paths = {folder / name: text for name, text in contents.items()}
    existing = [str(path) for path in paths if path.exists()]
    if existing:
        raise SettingsError(
            "nothing was written, because these files already exist: " + ", ".join(existing)
        )
    for path, text in paths.items():
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return tuple(paths)


def _read_template(name: str) -> str:
    return resources.files(__package__).joinpath("templates", name).read_text()
