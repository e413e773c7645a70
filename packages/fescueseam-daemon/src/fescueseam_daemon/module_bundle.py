"""Bundle of compiled modules, so that a start reads one file instead of searching for hundreds.

The build writes the bundle; a process that finds none, or one that is damaged or of another
interpreter, imports its modules as usual. Only standard modules that every start needs are imported
here.
"""

import _imp
import importlib
import marshal
import os
import sys
from importlib.machinery import ModuleSpec, SourceFileLoader
from types import CodeType, ModuleType

STANDARD_LIBRARY = os.path.dirname(os.__file__)
LENGTH_BYTES = 4
"""Size of the field before the index that holds its length."""
DIGEST_BYTES = 8
"""Size of the field that holds the digest of the index."""
Entry = tuple[str, str, bool, int, int, bytes]
"""Root and path below it, whether the module is a package, and offset, size and digest of its
code."""


def get_interpreter() -> str:
    """Return what identifies the interpreter and the standard library of compiled modules."""
    return f"{sys.implementation.cache_tag} {sys.version} {STANDARD_LIBRARY}"


def compute_digest(data: bytes) -> bytes:
    """Return what tells whether bytes of a bundle are as they were written."""
    return _imp.source_hash(0, data)


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
        place = os.path.relpath(origin, roots[root])
        entries[name] = (root, place, is_package, offset, len(code), compute_digest(code))
        codes.append(code)
        offset += len(code)
    index = marshal.dumps((get_interpreter(), entries))
    # A process may be reading the bundle that is there, so it is replaced and never overwritten.
    new_path = f"{path}.{os.getpid()}"
    with open(new_path, "wb") as file:
        file.write(len(index).to_bytes(LENGTH_BYTES, "big") + compute_digest(index))
        file.write(index + b"".join(codes))
    os.replace(new_path, path)
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
        self._codes: dict[str, bytes] = {}
        """Checked code of modules that are about to be executed."""
        self.problems: list[str] = []
        """Why the bundle, or parts of it, could not be used. Logging is set up later."""

    def start(self) -> bool:
        """Serve imports from the bundle; return whether it fits this interpreter."""
        try:
            self._fd = os.open(self._path, os.O_RDONLY)
            self._entries = self._read_index()
        except FileNotFoundError:
            return False
        except (OSError, ValueError) as exc:
            self.problems.append(str(exc))
            self.close()
            return False
        sys.meta_path.insert(0, self)
        return True

    def verify(self) -> bool:
        """Return whether every module in a started bundle is as it was written."""
        return self._fd >= 0 and all(self._read_code(name) is not None for name in self._entries)

    def _read_index(self) -> dict[str, Entry]:
        head_bytes = LENGTH_BYTES + DIGEST_BYTES
        head = os.pread(self._fd, head_bytes, 0)
        size = int.from_bytes(head[:LENGTH_BYTES], "big")
        index = os.pread(self._fd, size, head_bytes) if len(head) == head_bytes else b""
        if len(index) != size or compute_digest(index) != head[LENGTH_BYTES:]:
            raise ValueError("the index is damaged")
        interpreter, entries = marshal.loads(index)
        if interpreter != get_interpreter():
            raise ValueError("the bundle is of another interpreter")
        self._first_offset = head_bytes + size
        result: dict[str, Entry] = entries
        return result

    def _read_code(self, name: str) -> bytes | None:
        _, _, _, offset, size, digest = self._entries[name]
        try:
            data = os.pread(self._fd, size, self._first_offset + offset)
        except OSError as exc:
            self.problems.append(f"{name}: {exc}")
            return None
        if compute_digest(data) != digest:
            self.problems.append(f"{name}: its code is damaged")
            return None
        return data

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
        data = None if entry is None else self._read_code(name)
        if entry is None or data is None:
            return None
        root, relative_path, is_package, _, _, _ = entry
        origin = os.path.join(self._roots[root], relative_path)
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        # The code that was checked is the code that is executed, whatever is written meanwhile.
        self._codes[name] = data
        if is_package:
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Let the import system create the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Execute the code of a module."""
        exec(self.get_code(module.__name__), module.__dict__)

    def get_code(self, name: str) -> CodeType:
        """Return the code of a module whose spec was found."""
        code: CodeType = marshal.loads(self._codes.pop(name))
        return code


if __name__ == "__main__":
    if sys.argv[1] == "--check":
        bundle = ModuleBundle(sys.argv[2])
        sys.exit(0 if bundle.start() and bundle.verify() else 1)
    write_bundle(sys.argv[1], sys.argv[2:])
