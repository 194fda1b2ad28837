"""A keeper's disk: identity, log and snapshots in one folder."""

from collections import abc
import contextlib
import typing

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.journal import _files
from foxtailworks.journal import _frames

Write = agreement.Persist | agreement.PersistSnapshot

_ASIDE = ".new"


class Journal:
    """What a keeper has on its disk.

    After a failed write nothing more is written: what a failed sync left
    behind isn't known, so the process must end and read the disk anew.

    :param files: the folder, which the journal takes over
    :param new_keeper: makes an identity for an empty disk
    :raises FoxtailError: ``JOURNAL_DAMAGED``, ``JOURNAL_UNWRITABLE``
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
        with self._numbered_errors():
            name = self._newest_log()
            if name is None:
                self._create(new_keeper())
            else:
                self._load(name)

    @property
    def keeper(self) -> ids.KeeperId:
        """Identity that lives on this disk."""
        return self._keeper

    @property
    def restored(self) -> agreement.RestoredState:
        """What the disk held when it was opened."""
        return self._restored

    @property
    def size_bytes(self) -> int:
        """Size of log and snapshot on the disk."""
        return self._log_bytes + self._snapshot_bytes

    @property
    def log_bytes(self) -> int:
        """Size of the log file."""
        return self._log_bytes

    def write(self, writes: abc.Iterable[Write]) -> None:
        """Make writes durable, in order; one sync for many.

        :raises FoxtailError: ``JOURNAL_UNWRITABLE``
        """
        with self._numbered_errors():
            batch: list[agreement.Persist] = []
            for item in writes:
                if isinstance(item, agreement.Persist):
                    batch.append(item)
                    continue
                self._append(batch)
                batch = []
                self._replace(item)
            self._append(batch)

    def close(self) -> None:
        """Let go of the folder."""
        self._files.close()

    def _append(self, batch: list[agreement.Persist]) -> None:
        """Write one frame and sync it."""
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

    def _replace(self, item: agreement.PersistSnapshot) -> None:
        """Write a snapshot, then a log that goes with it."""
        data = _frames.encode(item.snapshot, 0)
        self._write_aside(_snapshot_name(item.snapshot.index), data)
        self._snapshot_bytes = len(data)
        start = _frames.Start(
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
        self._remove_all_but(item.snapshot.index)

    def _create(self, keeper: ids.KeeperId) -> None:
        """Put a new identity on an empty disk."""
        state = agreement.HardState()
        start = _frames.Start(
            _frames.FORMAT_VERSION, 1, keeper, state, 0, 0, 0, ()
        )
        self._start_log(start)
        self._keeper = keeper
        self._restored = agreement.RestoredState()

    def _start_log(self, start: _frames.Start) -> None:
        """Begin a log file; from its rename on it is in force."""
        data = _frames.encode(start, 0)
        self._write_aside(_log_name(start.generation), data)
        self._generation = start.generation
        self._sequence = 1
        self._log_bytes = len(data)

    def _write_aside(self, name: str, data: bytes) -> None:
        """Write a file under another name, then rename it."""
        self._files.write(name + _ASIDE, data)
        self._files.rename(name + _ASIDE, name)
        self._files.sync_folder()

    def _newest_log(self) -> str | None:
        """Return the log in force, if the disk has one."""
        names = self._files.names()
        whole = [name for name in names if not name.endswith(_ASIDE)]
        logs = [name for name in whole if name.startswith("log-")]
        if not logs and whole:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED, "the log file is gone"
            )
        return max(logs, default=None)

    def _load(self, name: str) -> None:
        """Read log and snapshot; cut a torn tail."""
        data = self._files.read(name)
        found = _frames.scan(data, name)
        start = _require_start(found, name)
        if found.size < len(data):
            self._files.truncate(name, found.size)
        self._keeper = start.keeper
        self._generation = start.generation
        self._sequence = len(found.bodies)
        self._log_bytes = found.size
        self._restored = _assemble(
            start, found.bodies[1:], self._load_snapshot(start)
        )
        self._remove_all_but(start.snapshot_index)

    def _load_snapshot(
        self, start: _frames.Start
    ) -> agreement.Snapshot | None:
        """Read the snapshot that the log names."""
        if start.snapshot_index == 0:
            return None
        name = _snapshot_name(start.snapshot_index)
        if name not in self._files.names():
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED, "a snapshot is gone", file=name
            )
        data = self._files.read(name)
        bodies = _frames.scan(data, name).bodies
        if not bodies or not isinstance(bodies[0], agreement.Snapshot):
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED,
                "a snapshot fails its checksum",
                file=name,
            )
        self._snapshot_bytes = len(data)
        return bodies[0]

    def _remove_all_but(self, snapshot_index: int) -> None:
        """Delete what an earlier generation left behind."""
        kept = {_log_name(self._generation), _snapshot_name(snapshot_index)}
        for name in self._files.names():
            if name not in kept:
                with contextlib.suppress(OSError):
                    self._files.remove(name)

    @contextlib.contextmanager
    def _numbered_errors(self) -> typing.Iterator[None]:
        """Refuse all later writes after the first failure."""
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


def _require_start(found: _frames.Scan, name: str) -> _frames.Start:
    """Return the first frame, which is never torn: a rename followed it."""
    start = found.bodies[0] if found.bodies else None
    if not isinstance(start, _frames.Start):
        raise errors.FoxtailError(
            errors.Code.JOURNAL_DAMAGED, "the first frame is bad", file=name
        )
    if start.format_version != _frames.FORMAT_VERSION:
        raise errors.FoxtailError(
            errors.Code.JOURNAL_DAMAGED,
            "the stored format has another version",
            found=start.format_version,
            known=_frames.FORMAT_VERSION,
        )
    return start


def _assemble(
    start: _frames.Start,
    bodies: abc.Iterable[_frames.Body],
    snapshot: agreement.Snapshot | None,
) -> agreement.RestoredState:
    """Replay batches over the start of a log."""
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
    """Return the name of a log file."""
    return f"log-{generation:010d}"


def _snapshot_name(index: int) -> str:
    """Return the name of a snapshot file."""
    return f"snapshot-{index:020d}"
