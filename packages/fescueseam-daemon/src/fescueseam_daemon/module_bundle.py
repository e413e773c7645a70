"""Bundle of compiled modules, so that a start reads one file instead of searching for hundreds.

The build writes the bundle; a process that finds none, or one of another interpreter, imports its
modules as usual. Only standard modules that every start needs are imported here.
"""

import importlib
import marshal
import os
import sys
from importlib.machinery import ModuleSpec, SourceFileLoader
from types import CodeType, ModuleType

STANDARD_LIBRARY = os.path.dirname(os.__file__)
LENGTH_BYTES = 4
"""Size of the field before the index that holds its length."""
Entry = tuple[str, str, bool, int, int]
"""Root and path below it, whether the module is a package, and offset and size of its code."""


def get_interpreter() -> str:
    """Return what identifies the interpreter and the standard library of compiled modules."""
    return f"{sys.implementation.cache_tag} {sys.version} {STANDARD_LIBRARY}"


def write_bundle(path: str, names: list[str]) -> int:
    """Import modules and write all that are then loaded; return their number.

    Modules outside the folder of the bundle and the standard library are left out.
    """
    for name in names:
        importlib.import_module(name)
    roots = {"deps": os.path.dirname(os.path.abspath(path)), "std": STANDARD_LIBRARY}
    entries: dict[str, Entry] = {}
    codes: list[bytes] = []
    offset = 0
    for name, module in sorted(sys.modules.items()):
        # Some modules put objects of other types there.
        spec = module.__spec__ if isinstance(module, ModuleType) else None
        if spec is None or spec.origin is None or not isinstance(spec.loader, SourceFileLoader):
            continue
        origin = os.path.abspath(spec.origin)
        root = next((key for key in roots if origin.startswith(roots[key] + os.sep)), None)
        if root is None or name == "__main__":
            continue
        code = marshal.dumps(spec.loader.get_code(name))
        is_package = spec.submodule_search_locations is not None
        entries[name] = (root, os.path.relpath(origin, roots[root]), is_package, offset, len(code))
        codes.append(code)
        offset += len(code)
    index = marshal.dumps((get_interpreter(), entries))
    with open(path, "wb") as file:
        file.write(len(index).to_bytes(LENGTH_BYTES, "big") + index + b"".join(codes))
    return len(entries)


class ModuleBundle:
    """Finder and loader of the modules in a bundle, for use during the imports of a start."""

    def __init__(self, path: str) -> None:
        """Store the path; `start` opens the file."""
        self._path = path
        self._roots = {"deps": os.path.dirname(os.path.abspath(path)), "std": STANDARD_LIBRARY}
        self._fd = -1
        self._entries: dict[str, Entry] = {}
        self._first_offset = 0

    def start(self) -> bool:
        """Serve imports from the bundle; return whether it fits this interpreter."""
        try:
            self._fd = os.open(self._path, os.O_RDONLY)
        except OSError:
            return False
        size = int.from_bytes(os.pread(self._fd, LENGTH_BYTES, 0), "big")
        self._first_offset = LENGTH_BYTES + size
        try:
            interpreter, entries = marshal.loads(os.pread(self._fd, size, LENGTH_BYTES))
        except (ValueError, EOFError, TypeError):
            interpreter, entries = "", {}
        if interpreter != get_interpreter():
            self.close()
            return False
        self._entries = entries
        sys.meta_path.insert(0, self)
        return True

    def close(self) -> None:
        """Leave further imports to the usual finders."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def find_spec(
        self, name: str, path: object = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a module in the bundle, or None if it has none."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        root, relative_path, is_package, _, _ = entry
        origin = os.path.join(self._roots[root], relative_path)
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Let the import system create the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Execute the code of a module."""
        exec(self.get_code(module.__name__), module.__dict__)

    def get_code(self, name: str) -> CodeType:
        """Return the code of a module in the bundle."""
        _, _, _, offset, size = self._entries[name]
        code: CodeType = marshal.loads(os.pread(self._fd, size, self._first_offset + offset))
        return code


if __name__ == "__main__":
    write_bundle(sys.argv[1], sys.argv[2:])
