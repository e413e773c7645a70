"""Imports of a start: from one file, and without child processes."""

import subprocess
import sys
from pathlib import Path

import pytest

from fescueseam_daemon import module_bundle
from fescueseam_daemon.module_bundle import ModuleBundle

WRITE = "import sys; from fescueseam_daemon.module_bundle import write_bundle; "
READ = "import sys; from fescueseam_daemon.module_bundle import ModuleBundle; "
WATCH_CHILDREN = """
import sys
started = []
sys.addaudithook(lambda name, args: started.append(args) if name == "subprocess.Popen" else None)
"""


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a folder with a package and its bundle."""
    package = tmp_path / "example"
    package.mkdir()
    (package / "__init__.py").write_text("from example.part import VALUE\n")
    (package / "part.py").write_text("from pathlib import Path\nVALUE = 7\nPLACE = __file__\n")
    run(tmp_path, f"{WRITE} write_bundle({str(tmp_path / 'modules')!r}, ['example'])")
    return tmp_path


def run(folder: Path, code: str) -> str:
    """Run code in an interpreter that searches the folder; return what it prints."""
    code = f"import sys; sys.path.insert(0, {str(folder)!r}); {code}"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    return result.stdout.strip()


def test_modules_are_imported_from_the_bundle_alone(folder: Path) -> None:
    for path in (folder / "example").glob("*.py"):
        path.unlink()
    start = f"{READ} ModuleBundle({str(folder / 'modules')!r}).start();"
    printed = run(folder, f"{start} import example, example.part as p; print(p.VALUE, p.PLACE)")
    assert printed == f"7 {folder / 'example' / 'part.py'}"


def test_module_outside_the_bundle_is_found_as_usual(folder: Path) -> None:
    (folder / "example" / "later.py").write_text("VALUE = 8\n")
    start = f"{READ} ModuleBundle({str(folder / 'modules')!r}).start();"
    assert run(folder, f"{start} import example.later as p; print(p.VALUE)") == "8"


def test_closed_bundle_serves_no_imports(folder: Path) -> None:
    bundle = ModuleBundle(str(folder / "modules"))
    assert bundle.start()
    assert bundle.find_spec("example") is not None
    bundle.close()
    assert bundle not in sys.meta_path


def test_bundle_of_another_interpreter_is_not_used(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module_bundle, "get_interpreter", lambda: "another")
    bundle = ModuleBundle(str(folder / "modules"))
    assert not bundle.start()
    assert bundle not in sys.meta_path


@pytest.mark.parametrize("content", [None, b"", b"\x00", b"\x00\x00\x00\x08damaged!"])
def test_missing_or_damaged_bundle_is_not_used(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "modules"
    if content is not None:
        path.write_bytes(content)
    bundle = ModuleBundle(str(path))
    assert not bundle.start()
    assert bundle not in sys.meta_path


@pytest.mark.parametrize(
    ("imports", "children"),
    [
        ("from fescueseam_daemon.trio_import import import_trio; import_trio(); import trio", 0),
        ("import trio", 1),
    ],
)
def test_import_of_trio_starts_no_child_processes(imports: str, children: int) -> None:
    code = f"{WATCH_CHILDREN}{imports}\nprint(min(1, len(started)))"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert result.stdout.strip() == str(children), result.stderr
