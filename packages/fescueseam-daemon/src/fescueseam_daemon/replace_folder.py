"""Replacement of a folder by another in one step, so that no reader finds it missing."""

import ctypes
import os
import sys

AT_FDCWD = -100
RENAME_EXCHANGE = 2


def replace_folder(new: str, path: str) -> None:
    """Put a folder in the place of another, which is then found under the name of the new one."""
    try:
        os.rename(new, path)
        return
    except OSError:
        if not os.path.isdir(path):
            raise
    # A folder with content is not replaced by a rename, only exchanged.
    if not _exchange(new, path):
        # The file system or the C library has no exchange: the folder is missing for a moment.
        aside = f"{path}.{os.getpid()}"
        os.rename(path, aside)
        os.rename(new, path)
        os.rename(aside, new)


def _exchange(new: str, path: str) -> bool:
    """Exchange two folders; return False if that is not supported."""
    libc = ctypes.CDLL(None, use_errno=True)
    args = (AT_FDCWD, os.fsencode(new), AT_FDCWD, os.fsencode(path), RENAME_EXCHANGE)
    try:
        return bool(libc.renameat2(*args) == 0)
    except AttributeError:
        return False


if __name__ == "__main__":
    replace_folder(sys.argv[1], sys.argv[2])
