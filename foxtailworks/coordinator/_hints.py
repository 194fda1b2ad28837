"""What was known a little ago, for the start after a loss of power."""

from collections import abc
import dataclasses
import os
import pathlib

from foxtailworks import discovery
from foxtailworks import errors
from foxtailworks import logs
from foxtailworks import revisions
from foxtailworks import wire

NAME = ".hints"
"""A name that the journal in the same folder leaves alone."""
SAVE_S = 1.0
"""Changes are collected so long before they are written."""
SLOW_S = 0.03
"""A write that took longer shows a slow disk."""
REST_S = 10.0
"""A slow or refusing disk is spared so long: hints are worth little."""

_EVENTS = logs.Events("hints")


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """Content of the file."""

    instances: tuple[discovery.Instance, ...] = ()
    """Those that were live."""
    held: revisions.StoredDocument = revisions.NO_DOCUMENT
    """A committed document: perhaps not the newest, never a refused one."""


_CODEC = wire.Codec({1: Hint}, limit=16 << 20)


class Hints:
    """Keeps them in a file; losing it costs a second, no promise.

    :param folder: the coordinator's data folder
    :param clock: steady seconds
    """

    def __init__(
        self, folder: pathlib.Path, clock: abc.Callable[[], float]
    ) -> None:
        self._path = folder / NAME
        self._clock = clock
        self._saved = (0, 0)
        self._due_at = clock() + SAVE_S

    def load(self) -> Hint:
        """Return what was saved; nothing when it can't be read."""
        try:
            hint: Hint = _CODEC.decode(self._path.read_bytes())
        except FileNotFoundError:
            return Hint()
        except (OSError, errors.FoxtailError) as exc:
            _EVENTS.warning("hints_unreadable", reason=str(exc))
            return Hint()
        return hint

    def save_if_due(
        self,
        registry: discovery.Registry,
        held: revisions.StoredDocument,
        now: float,
    ) -> None:
        """Write what has changed, at most once in a while."""
        mark = (registry.version, held.revision)
        if now < self._due_at or mark == self._saved:
            return
        self._due_at = now + SAVE_S
        instances = tuple(i.instance for i in registry.listed() if i.is_live)
        try:
            self._write(_CODEC.encode(Hint(instances, held)))
        except OSError as exc:
            _EVENTS.warning("hints_unwritten", reason=exc.strerror)
            self._due_at = now + REST_S
            return
        self._saved = mark
        if self._clock() - now > SLOW_S:
            self._due_at = now + REST_S

    def _write(self, data: bytes) -> None:
        """Replace the file by a whole one."""
        aside = self._path.with_name(NAME + ".new")
        with open(aside, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.rename(aside, self._path)
