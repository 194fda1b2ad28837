"""The journal: a keeper's identity, log and snapshot in one folder."""

from collections import abc
import contextlib
import typing

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.journal import _files
from foxtailworks.journal import _frames

Write = agreement.Persist | agreement.PersistSnapshot

_TEMPORARY_SUFFIX = ".new"


class Journal:
    """Durable state of a keeper.

    After a failed write all further writes are refused: what a failed sync
    left on the disk isn't known, so the disk must be read again by a new
    journal.

    :param files: the folder, which the journal owns from now on
    :param new_keeper: creates an identity for an empty disk
    :raises FoxtailError: ``JOURNAL_DAMAGED``, ``JOURNAL_UNWRITABLE``; the
        folder is closed then and can be opened again
    """

    def __init__(
        self,
        files: _files.Files,
        new_keeper: abc.Callable[[], ids.KeeperId],
    ) -> None:
        self._files = files
        self._failed = False
        self._sequence = 0
        self._generation = 0
        self._log_bytes = 0
        self._snapshot_bytes = 0
        with _files.closed_on_error(files), self._refuse_after_failure():
            name = self._newest_log()
            if name is None:
                self._create(new_keeper())
            else:
                self._load(name)

    @property
    def keeper(self) -> ids.KeeperId:
        """Identity of the keeper, stored on this disk."""
        return self._keeper

    @property
    def restored(self) -> agreement.RestoredState:
        """State that was on the disk when the journal was opened."""
        return self._restored

    @property
    def size_bytes(self) -> int:
        """Size of log and snapshot on the disk, in bytes."""
        return self._log_bytes + self._snapshot_bytes

    @property
    def log_bytes(self) -> int:
        """Size of the log file, in bytes."""
        return self._log_bytes

    def write(self, writes: abc.Iterable[Write]) -> None:
        """Make writes durable, in order; successive appends share one sync.

        :raises FoxtailError: ``JOURNAL_UNWRITABLE``
        """
        with self._refuse_after_failure():
            batch: list[agreement.Persist] = []
            for item in writes:
                if isinstance(item, agreement.Persist):
                    batch.append(item)
                    continue
                self._append(batch)
                batch = []
                self._write_snapshot(item)
            self._append(batch)

    def close(self) -> None:
        """Close the folder and release its lock."""
        self._files.close()

    def _append(self, batch: list[agreement.Persist]) -> None:
        """Append the writes of a batch as one frame and sync it."""
        if not batch:
            return
        entries = tuple(entry for item in batch for entry in item.entries)
        body = _frames.Batch(batch[-1].state, entries)
        data = _frames.encode(body, self._sequence)
        name = _log_name(self._generation)
        self._files.append(name, data)
        self._files.sync(name)
        self._sequence += 1
        self._log_bytes += len(data)

    def _write_snapshot(self, item: agreement.PersistSnapshot) -> None:
        """Write a snapshot, then a new log that refers to it."""
        data = _frames.encode(item.snapshot, 0)
        self._write_atomically(_snapshot_name(item.snapshot.index), data)
        self._snapshot_bytes = len(data)
        start = _frames.LogStart(
            _frames.FORMAT_VERSION,
            self._generation + 1,
            self._keeper,
            item.state,
            item.snapshot.index,
            item.base_index,
            item.base_term,
            item.entries,
        )
        self._start_log(start)
        self._remove_other_files(item.snapshot.index)

    def _create(self, keeper: ids.KeeperId) -> None:
        """Initialize an empty disk with a new identity."""
        state = agreement.HardState()
        start = _frames.LogStart(
            _frames.FORMAT_VERSION, 1, keeper, state, 0, 0, 0, ()
        )
        self._start_log(start)
        self._keeper = keeper
        self._restored = agreement.RestoredState()

    def _start_log(self, start: _frames.LogStart) -> None:
        """Start a new log file; it is valid from its rename on."""
        data = _frames.encode(start, 0)
        self._write_atomically(_log_name(start.generation), data)
        self._generation = start.generation
        self._sequence = 1
        self._log_bytes = len(data)

    def _write_atomically(self, name: str, data: bytes) -> None:
        """Write a file under a temporary name, then rename it."""
        self._files.write(name + _TEMPORARY_SUFFIX, data)
        self._files.rename(name + _TEMPORARY_SUFFIX, name)
        self._files.sync_folder()

    def _newest_log(self) -> str | None:
        """Return the name of the newest log, or None on an empty disk.

        :raises FoxtailError: ``JOURNAL_DAMAGED`` if there are only other
            files
        """
        names = self._files.names()
        complete = [
            name for name in names if not name.endswith(_TEMPORARY_SUFFIX)
        ]
        logs = [name for name in complete if name.startswith("log-")]
        if not logs and complete:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED, "the log file is missing"
            )
        return max(logs, default=None)

    def _load(self, name: str) -> None:
        """Read log and snapshot; remove a torn tail and obsolete files.

        What the process before this one wrote last may not be synced.
        """
        data = self._files.read(name)
        scanned = _frames.scan(data, name)
        start = _require_start(scanned, name)
        if scanned.size < len(data):
            self._files.truncate(name, scanned.size)
        else:
            self._files.sync(name)
        self._files.sync_folder()
        self._keeper = start.keeper
        self._generation = start.generation
        self._sequence = len(scanned.bodies)
        self._log_bytes = scanned.size
        self._restored = _replay(
            start, scanned.bodies[1:], self._load_snapshot(start)
        )
        self._remove_other_files(start.snapshot_index)

    def _load_snapshot(
        self, start: _frames.LogStart
    ) -> agreement.Snapshot | None:
        """Read the snapshot that the log refers to, if any.

        :raises FoxtailError: ``JOURNAL_DAMAGED``
        """
        if start.snapshot_index == 0:
            return None
        name = _snapshot_name(start.snapshot_index)
        if name not in self._files.names():
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED, "a snapshot is missing", file=name
            )
        data = self._files.read(name)
        bodies = _frames.scan(data, name).bodies
        if not bodies or not isinstance(bodies[0], agreement.Snapshot):
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED,
                "a snapshot has a wrong checksum",
                file=name,
            )
        self._snapshot_bytes = len(data)
        return bodies[0]

    def _remove_other_files(self, snapshot_index: int) -> None:
        """Delete the files of earlier generations."""
        kept = {_log_name(self._generation), _snapshot_name(snapshot_index)}
        for name in self._files.names():
            if name not in kept:
                with contextlib.suppress(OSError):
                    self._files.remove(name)

    @contextlib.contextmanager
    def _refuse_after_failure(self) -> typing.Iterator[None]:
        """Convert ``OSError``; refuse all writes after the first one.

        :raises FoxtailError: ``JOURNAL_UNWRITABLE``
        """
        if self._failed:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_UNWRITABLE, "an earlier write failed"
            )
        try:
            yield
        except OSError as exc:
            self._failed = True
            raise errors.FoxtailError(
                errors.Code.JOURNAL_UNWRITABLE,
                "the disk refused a write or a sync",
                reason=exc.strerror,
            ) from exc


def _require_start(scanned: _frames.ScanResult, name: str) -> _frames.LogStart:
    """Return the first frame, which is never torn.

    It was synced before the rename that made the file valid.

    :raises FoxtailError: ``JOURNAL_DAMAGED``
    """
    start = scanned.bodies[0] if scanned.bodies else None
    if not isinstance(start, _frames.LogStart):
        raise errors.FoxtailError(
            errors.Code.JOURNAL_DAMAGED,
            "the first frame is damaged",
            file=name,
        )
    if start.format_version != _frames.FORMAT_VERSION:
        raise errors.FoxtailError(
            errors.Code.JOURNAL_DAMAGED,
            "the stored format has another version",
            found=start.format_version,
            known=_frames.FORMAT_VERSION,
        )
    return start


def _replay(
    start: _frames.LogStart,
    bodies: abc.Iterable[_frames.Body],
    snapshot: agreement.Snapshot | None,
) -> agreement.RestoredState:
    """Return the state after replaying all batches of a log."""
    state = start.state
    entries = list(start.entries)
    for item in bodies:
        if not isinstance(item, _frames.Batch):
            continue
        state = item.state
        for entry in item.entries:
            del entries[entry.index - start.base_index - 1 :]
            entries.append(entry)
    return agreement.RestoredState(
        state, snapshot, start.base_index, start.base_term, tuple(entries)
    )


def _log_name(generation: int) -> str:
    """Return the file name of the log of a generation."""
    return f"log-{generation:010d}"


def _snapshot_name(index: int) -> str:
    """Return the file name of the snapshot as of ``index``."""
    return f"snapshot-{index:020d}"
