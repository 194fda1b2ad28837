"""In-memory folder for tests that simulates crashes and disk faults."""

import dataclasses
import errno
import os
import random


@dataclasses.dataclass
class _File:
    """Content of a file as written and as synced."""

    data: bytearray
    """Content as seen by reads."""
    synced: bytes = b""
    """Content that is certain to survive a crash."""


class MemoryFiles:
    """Replacement of a disk in tests of the journal and its users."""

    def __init__(self) -> None:
        self._files: dict[str, _File] = {}
        self._durable: dict[str, _File] = {}
        self._unsynced_changes: list[tuple[str | None, str | None, _File]] = []
        self.fail_with: int | None = None
        """Error number that all writes and syncs raise while it is set."""

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return bytes(self._find(name).data)

    def write(self, name: str, data: bytes) -> None:
        """Create or replace a file and sync its content."""
        self._raise_if_failing()
        file = _File(bytearray(data), bytes(data))
        self._files[name] = file
        self._unsynced_changes.append((None, name, file))

    def append(self, name: str, data: bytes) -> None:
        """Append to a file without a sync."""
        if self.fail_with == errno.ENOSPC:
            self._find(name).data += data[: len(data) // 2]
        if self.fail_with != errno.EIO:
            self._raise_if_failing()
        self._find(name).data += data

    def sync(self, name: str) -> None:
        """Sync the content of a file."""
        self._raise_if_failing()
        file = self._find(name)
        file.synced = bytes(file.data)

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to ``size`` bytes and sync it."""
        self._raise_if_failing()
        file = self._find(name)
        del file.data[size:]
        file.synced = bytes(file.data)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing ``new`` is replaced."""
        self._raise_if_failing()
        file = self._files.pop(old)
        self._files[new] = file
        self._unsynced_changes.append((old, new, file))

    def remove(self, name: str) -> None:
        """Delete a file from the folder."""
        self._raise_if_failing()
        file = self._files.pop(name)
        self._unsynced_changes.append((name, None, file))

    def sync_folder(self) -> None:
        """Sync creations, renames and removals."""
        self._raise_if_failing()
        self._make_durable(self._unsynced_changes)

    def close(self) -> None:
        """Do nothing: there are no descriptors."""

    def crash(self, rng: random.Random) -> None:
        """Simulate a crash: keep synced data and a random part of the rest."""
        survivors = [
            item for item in self._unsynced_changes if rng.random() < 0.5
        ]
        self._make_durable(survivors)
        self._files = dict(self._durable)
        for file in self._files.values():
            file.data = bytearray(_torn_content(file, rng))
            file.synced = bytes(file.data)

    def flip_bit(self, name: str, offset: int) -> None:
        """Flip one bit of a file, as a faulty disk may."""
        file = self._find(name)
        file.data[offset] ^= 1
        file.synced = bytes(file.data)

    def _find(self, name: str) -> _File:
        """Return a file, or raise ``FileNotFoundError``."""
        if name not in self._files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self._files[name]

    def _raise_if_failing(self) -> None:
        """Raise the error set as ``fail_with``."""
        if self.fail_with is not None:
            raise OSError(self.fail_with, os.strerror(self.fail_with))

    def _make_durable(
        self, changes: list[tuple[str | None, str | None, _File]]
    ) -> None:
        """Make created, renamed and removed names durable."""
        for old, new, file in changes:
            if old is not None and self._durable.get(old) is file:
                del self._durable[old]
            if new is not None:
                self._durable[new] = file
        self._unsynced_changes = []


def _torn_content(file: _File, rng: random.Random) -> bytes:
    """Return the synced content and a random, maybe damaged, tail."""
    rest = bytes(file.data[len(file.synced) :])
    if not bytes(file.data).startswith(file.synced):
        return file.synced
    cut = bytearray(rest[: rng.randint(0, len(rest))])
    if cut and rng.random() < 0.5:
        # Pages reach the disk in any order; one not written reads as zeros.
        start = rng.randrange(len(cut))
        cut[start:] = bytes(len(cut) - start)
    return file.synced + bytes(cut)
