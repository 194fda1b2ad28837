"""Hints on disk: recent state for a fast start after a power loss."""

from collections import abc
import dataclasses
import os
import pathlib
import typing

from foxtailworks import discovery
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import revisions
from foxtailworks import warmstart
from foxtailworks import wire

SAVE_INTERVAL_S = 1.0
"""Shortest interval between two writes."""
DISK_SHARE = 0.05
"""Share of the disk's time that hints may take; after a slow write the next
one waits for longer."""
PAUSE_S = 10.0
"""Pause after a failed write, and the longest one after a slow write."""

_EVENTS = logs.Events("hints")


@dataclasses.dataclass(frozen=True, slots=True)
class SavedHints:
    """Content of the file with the hints."""

    instances: tuple[discovery.Instance, ...] = ()
    """Instances that were live."""
    document: revisions.StoredDocument = revisions.NO_DOCUMENT
    """A committed document: perhaps not the newest, never a rejected one."""
    gone: tuple[discovery.Instance, ...] = ()
    """Instances that have left; a late heartbeat must not bring them back."""
    evacuation: revisions.Evacuation = revisions.NO_EVACUATION
    """A committed evacuation, as the document."""
    returned: tuple[tuple[ids.ZoneId, int], ...] = ()
    """As in ``polling.Evacuation``, at the time of the write."""

    @property
    def state(self) -> revisions.State:
        """The operators' state in these hints."""
        return revisions.State(self.document, self.evacuation)


class _Versions(typing.NamedTuple):
    """What was saved last."""

    registry: int = 0
    """Version of the registry."""
    revision: int = 0
    """Revision of the document."""
    number: int = 0
    """Number of the evacuation."""
    returned: frozenset[ids.ZoneId] = frozenset()
    """Zones whose evacuation had ended a short time before; once it isn't a
    short time any more, hosts that start mustn't wait for them."""


_CODEC = wire.Codec({1: SavedHints}, limit=16 << 20)


class Hints:
    """Saves and loads the hints.

    Losing the file delays a start by about a second and breaks no guarantee.

    :param folder: the coordinator's data folder
    :param clock: returns monotonic seconds
    """

    def __init__(
        self, folder: pathlib.Path, clock: abc.Callable[[], float]
    ) -> None:
        self._path = folder / warmstart.FILE_NAME
        self._clock = clock
        self._saved_versions = _Versions()
        self._retry_at = clock()
        self._next_save_at = clock() + SAVE_INTERVAL_S

    def load(self) -> SavedHints:
        """Return the saved hints; empty ones if they can't be read."""
        try:
            _, data = warmstart.split(self._path.read_bytes())
            saved: SavedHints = _CODEC.decode(data)
        except FileNotFoundError:
            return SavedHints()
        except (OSError, errors.FoxtailError) as exc:
            _EVENTS.warning("hints_unreadable", reason=str(exc))
            return SavedHints()
        self._saved_versions = _Versions(number=saved.evacuation.number)
        return saved

    def save_if_due(
        self,
        registry: discovery.Registry,
        committed: revisions.State,
        returned: tuple[tuple[ids.ZoneId, int], ...],
        make_reply: abc.Callable[
            [tuple[discovery.Instance, ...]], warmstart.Reply
        ],
        now: float,
    ) -> None:
        """Write the hints if they have changed and the interval has passed.

        :param committed: newest state known to be committed
        :param returned: as in ``polling.Evacuation``
        :param make_reply: returns the answer to polls during the next start,
            given the live instances
        """
        number = committed.evacuation.number
        versions = _Versions(
            registry.version,
            committed.document.revision,
            number,
            frozenset(zone for zone, _ in returned),
        )
        if versions == self._saved_versions or not self._is_due(number, now):
            return
        gone, instances = _by_presence(registry)
        data = warmstart.pack(make_reply(instances))
        data += _CODEC.encode(
            SavedHints(
                instances,
                committed.document,
                gone,
                committed.evacuation,
                returned,
            )
        )
        begun_at = self._clock()
        try:
            self._write(data)
        except OSError as exc:
            _EVENTS.warning("hints_unwritten", reason=exc.strerror)
            self._next_save_at = self._retry_at = now + PAUSE_S
            return
        self._saved_versions = versions
        pause_s = (self._clock() - begun_at) / DISK_SHARE
        self._next_save_at = now + min(PAUSE_S, max(SAVE_INTERVAL_S, pause_s))

    def _is_due(self, number: int, now: float) -> bool:
        """Return whether the interval allows a write now.

        A changed evacuation is written at once, except after a failure: an
        edge host that starts from an old reply sends flows to the zone until
        its next poll.
        """
        if number != self._saved_versions.number:
            return now >= self._retry_at
        return now >= self._next_save_at

    def _write(self, data: bytes) -> None:
        """Replace the file atomically, so that a loss of power keeps it."""
        temporary = self._path.with_name(warmstart.FILE_NAME + ".new")
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.rename(temporary, self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _by_presence(
    registry: discovery.Registry,
) -> tuple[tuple[discovery.Instance, ...], tuple[discovery.Instance, ...]]:
    """Return the instances that have left, and the live ones that haven't."""
    left = discovery.InstanceState.GONE
    listed = tuple(registry.listed())
    return (
        tuple(i.instance for i in listed if i.instance.state is left),
        tuple(
            i.instance
            for i in listed
            if i.is_live and i.instance.state is not left
        ),
    )
