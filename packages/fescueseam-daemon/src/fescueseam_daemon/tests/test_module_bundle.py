"""Imports of a start: from one file, and without child processes."""

import subprocess
import sys
from pathlib import Path

import pytest

from fescueseam_daemon import module_bundle
from fescueseam_daemon.module_bundle import ModuleBundle
from fescueseam_daemon.replace_folder import replace_folder

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
    assert bundle.problems == ["the bundle is of another interpreter"]
    assert bundle not in sys.meta_path


@pytest.mark.parametrize("content", [None, b"", b"\x00", b"\x00\x00\x00\x08damaged!"])
def test_missing_or_damaged_bundle_is_not_used(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "modules"
    if content is not None:
        path.write_bytes(content)
    bundle = ModuleBundle(str(path))
    assert not bundle.start()
    assert bundle not in sys.meta_path


def test_bundle_is_replaced_while_a_process_imports_from_it(folder: Path) -> None:
    path = folder / "modules"
    reader = ModuleBundle(str(path))
    assert reader.start()
    # The new bundle is of other modules, so the old offsets would lead into other code.
    run(folder, f"{WRITE} write_bundle({str(path)!r}, ['json'])")
    try:
        for name in reader._entries:
            assert reader.find_spec(name) is not None
            reader.get_code(name)
    finally:
        reader.close()
    assert reader.problems == []
    assert [item.name for item in folder.iterdir() if item.name.startswith("modules.")] == []


def test_processes_import_while_the_bundle_is_written_again_and_again(folder: Path) -> None:
    path = str(folder / "modules")
    write = f"{WRITE}[write_bundle({path!r}, ['example']) for _ in range(200)]"
    code = f"import sys; sys.path.insert(0, {str(folder)!r}); {write}"
    writer = subprocess.Popen([sys.executable, "-c", code])
    try:
        turns = 0
        while writer.poll() is None and turns < 40:
            start = f"{READ} b = ModuleBundle({path!r}); b.start();"
            assert (
                run(folder, f"{start} import example; print(example.VALUE, b.problems)") == "7 []"
            )
            turns += 1
    finally:
        writer.kill()
        writer.wait()
    assert turns


def test_module_with_damaged_code_is_imported_as_usual(folder: Path) -> None:
    path = folder / "modules"
    content = path.read_bytes()
    path.write_bytes(content[:-40] + b"\0" * 40)
    start = f"{READ} b = ModuleBundle({str(path)!r}); print(b.start());"
    everything = "[b.find_spec(name) for name in b._entries]"
    printed = run(
        folder, f"{start} import example; print(example.VALUE); {everything}; print(b.problems)"
    )
    assert printed.splitlines()[:2] == ["True", "7"]
    assert "its code is damaged" in printed


def test_bundle_that_is_cut_off_while_open_is_not_used_further(folder: Path) -> None:
    path = folder / "modules"
    cut = f"import os; os.truncate({str(path)!r}, 60);"
    start = f"{READ} b = ModuleBundle({str(path)!r}); b.start(); {cut}"
    printed = run(folder, f"{start} import example; print(example.VALUE, bool(b.problems))")
    assert printed == "7 True"


@pytest.mark.parametrize("can_exchange", [True, False])
def test_folder_is_replaced_by_another(
    tmp_path: Path, can_exchange: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not can_exchange:
        monkeypatch.setattr("fescueseam_daemon.replace_folder._exchange", lambda new, path: False)
    for name in ("new", "old"):
        (tmp_path / name).mkdir()
        (tmp_path / name / "content").write_text(name)
    replace_folder(str(tmp_path / "new"), str(tmp_path / "first"))
    replace_folder(str(tmp_path / "old"), str(tmp_path / "first"))
    assert (tmp_path / "first" / "content").read_text() == "old"
    assert (tmp_path / "old" / "content").read_text() == "new"


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
