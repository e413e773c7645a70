"""Import of trio without child processes."""

import ctypes.util


def import_trio() -> None:
    """Import trio without its search for the library that names threads.

    The search runs `ldconfig`, a compiler or a linker. The daemons start no processes and name no
    threads.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library
