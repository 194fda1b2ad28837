"""A folder in memory that forgets what wasn't synced and fails on demand."""

import dataclasses
import errno
import os
import random


@dataclasses.dataclass
class _File:
    """Content as written, and what of it a crash can't take."""

    data: bytearray
    """What reads see."""
    synced: bytes = b""
    """What is certain to be there after a crash."""


class MemoryFiles:
    """Stands in for a disk in tests of the journal's users."""

    def __init__(self) -> None:
        self._files: dict[str, _File] = {}
        self._durable: dict[str, _File] = {}
        self._pending: list[tuple[str | None, str | None, _File]] = []
        self.fail_with: int | None = None
        """Error number that every write and sync raises from now on."""

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the whole of a file."""
        return bytes(self._find(name).data)

    def write(self, name: str, data: bytes) -> None:
        """Create or replace a file and sync its content."""
        self._may_fail()
        file = _File(bytearray(data), bytes(data))
        self._files[name] = file
        self._pending.append((None, name, file))

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file, without a sync."""
        if self.fail_with == errno.ENOSPC:
            self._find(name).data += data[: len(data) // 2]
        if self.fail_with != errno.EIO:
            self._may_fail()
        self._find(name).data += data

    def sync(self, name: str) -> None:
        """Sync the content of a file."""
        self._may_fail()
        file = self._find(name)
        file.synced = bytes(file.data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file and sync it."""
        self._may_fail()
        file = self._find(name)
        del file.data[size:]
        file.synced = bytes(file.data)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        self._may_fail()
        file = self._files.pop(old)
        self._files[new] = file
        self._pending.append((old, new, file))

    def remove(self, name: str) -> None:
        """Delete a file."""
        self._may_fail()
        file = self._files.pop(name)
        self._pending.append((name, None, file))

    def sync_folder(self) -> None:
        """Sync creations, renames and removals."""
        self._may_fail()
        self._settle(self._pending)

    def close(self) -> None:
        """Do nothing; there are no descriptors."""

    def crash(self, rng: random.Random) -> None:
        """Keep what is synced, and any part of what isn't."""
        kept = [item for item in self._pending if rng.random() < 0.5]
        self._settle(kept)
        self._files = dict(self._durable)
        for file in self._files.values():
            file.data = bytearray(_torn(file, rng))
            file.synced = bytes(file.data)

    def damage(self, name: str, offset: int) -> None:
        """Flip one bit of a file, as a failing disk does."""
        file = self._find(name)
        file.data[offset] ^= 1
        file.synced = bytes(file.data)

    def _find(self, name: str) -> _File:
        """Return a file or fail as a disk does."""
        if name not in self._files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self._files[name]

    def _may_fail(self) -> None:
        """Raise the error that was asked for."""
        if self.fail_with is not None:
            raise OSError(self.fail_with, os.strerror(self.fail_with))

    def _settle(
        self, changes: list[tuple[str | None, str | None, _File]]
    ) -> None:
        """Make changes of names durable."""
        for old, new, file in changes:
            if old is not None and self._durable.get(old) is file:
                del self._durable[old]
            if new is not None:
                self._durable[new] = file
        self._pending = []


def _torn(file: _File, rng: random.Random) -> bytes:
    """Return the synced content and a damaged piece of the rest."""
    rest = bytes(file.data[len(file.synced) :])
    if not bytes(file.data).startswith(file.synced):
        return file.synced
    cut = bytearray(rest[: rng.randint(0, len(rest))])
    if cut and rng.random() < 0.5:
        # Pages reach the disk in any order, so that a hole reads as zeros.
        start = rng.randrange(len(cut))
        cut[start:] = bytes(len(cut) - start)
    return file.synced + bytes(cut)
