"""File operations that the journal needs, and their implementation."""

import contextlib
import errno
import fcntl
import os
import pathlib
import typing

from foxtailworks import errors

_LOCK_NAME = "lock"


class Files(typing.Protocol):
    """Interface of a flat folder; every call may raise ``OSError``."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def write(self, name: str, data: bytes) -> None:
        """Create or replace a file and sync its content."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without a sync."""

    def sync(self, name: str) -> None:
        """Sync the content of a file."""

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to ``size`` bytes and sync it."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing ``new`` is replaced."""

    def remove(self, name: str) -> None:
        """Delete a file from the folder."""

    def sync_folder(self) -> None:
        """Sync creations, renames and removals."""

    def close(self) -> None:
        """Close all open files."""


class Closable(typing.Protocol):
    """An object that holds a resource until it is closed."""

    def close(self) -> None:
        """Release the resource."""


@contextlib.contextmanager
def closed_on_error(owner: Closable) -> typing.Iterator[None]:
    """Close an object if the block that takes it over fails."""
    try:
        yield
    except BaseException:
        owner.close()
        raise


class DiskFiles:
    """A folder on the disk, locked for one process.

    :param folder: path, created if it is missing
    :param synced: false only in tests; a crash may then lose any data
    :raises FoxtailError: ``JOURNAL_UNWRITABLE`` if it can't be locked
    """

    def __init__(self, folder: pathlib.Path, synced: bool = True) -> None:
        self._folder = folder
        self._fsync = os.fsync if synced else _no_sync
        self._open: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock: int | None = _lock(folder / _LOCK_NAME)
        except OSError as exc:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_UNWRITABLE,
                "the data folder can't be locked for this process",
                folder=folder,
                reason=exc.strerror,
            ) from exc

    def names(self) -> list[str]:
        """Return the names of all files."""
        file_names = (item.name for item in self._folder.iterdir())
        return sorted(name for name in file_names if _is_journal_file(name))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._folder / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Create or replace a file and sync its content."""
        with open(self._folder / name, "wb") as file:
            file.write(data)
            file.flush()
            self._fsync(file.fileno())

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without a sync."""
        fd = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def sync(self, name: str) -> None:
        """Sync the content of a file."""
        self._fsync(self._descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to ``size`` bytes and sync it."""
        fd = self._descriptor(name)
        os.ftruncate(fd, size)
        self._fsync(fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing ``new`` is replaced."""
        os.rename(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Delete a file from the folder."""
        fd = self._open.pop(name, None)
        if fd is not None:
            os.close(fd)
        os.unlink(self._folder / name)

    def sync_folder(self) -> None:
        """Sync creations, renames and removals."""
        fd = os.open(self._folder, os.O_RDONLY)
        try:
            self._fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        """Close all open files and release the lock."""
        for fd in self._open.values():
            os.close(fd)
        self._open.clear()
        lock, self._lock = self._lock, None
        if lock is not None:
            os.close(lock)

    def _descriptor(self, name: str) -> int:
        """Return a descriptor for appending to a file; open it if needed."""
        if name not in self._open:
            flags = os.O_WRONLY | os.O_APPEND
            self._open[name] = os.open(self._folder / name, flags)
        return self._open[name]


def _is_journal_file(name: str) -> bool:
    """Return whether a file belongs to the journal.

    Files of others in the folder have names that start with a dot.
    """
    return name != _LOCK_NAME and not name.startswith(".")


def _no_sync(_fd: int) -> None:
    """Do nothing, in place of ``os.fsync``."""


def _lock(path: pathlib.Path) -> int:
    """Lock a file until its descriptor is closed.

    :raises OSError: ``EBUSY`` if another process holds the lock
    """
    fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(fd)
        raise OSError(errno.EBUSY, "another process uses it") from exc
    return fd
