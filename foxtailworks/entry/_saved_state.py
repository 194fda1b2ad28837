"""State of requests, saved by a planned stop for the next start."""

import pathlib

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import observe
from foxtailworks import requests

_FILE_NAME = "memory"
_TEMPORARY_NAME = "memory.new"

_EVENTS = observe.Events("memory")


class SavedStateFolder:
    """Stores the saved state between two starts, for one use.

    A host whose state can't be saved or read continues as after a crash: it
    decides on requests once it has read the state of the other hosts.

    :param files: the folder, locked for this process
    :param host: host whose saved state is accepted
    """

    def __init__(self, files: journal.Files, host: ids.HostId) -> None:
        self._files = files
        self._host = host

    def take(self) -> requests.SavedState | None:
        """Return the saved state after removing it from the disk.

        The file must be gone before this start grants anything.
        """
        try:
            if _FILE_NAME not in self._files.names():
                return None
            data = self._files.read(_FILE_NAME)
            self._files.remove(_FILE_NAME)
            self._files.sync_folder()
            saved_state = requests.decode_saved_state(data)
        except (OSError, errors.FoxtailError) as exc:
            _EVENTS.warning("memory_unreadable", reason=str(exc))
            return None
        if saved_state.host != self._host:
            _EVENTS.warning("memory_of_another_host", of=saved_state.host)
            return None
        _EVENTS.info("memory_taken", keys=len(saved_state.records))
        return saved_state

    def save(self, saved_state: requests.SavedState | None) -> None:
        """Save the state for the next start; ``None`` if incomplete."""
        if saved_state is None:
            _EVENTS.info("memory_not_whole")
            return
        try:
            self._files.write(
                _TEMPORARY_NAME, requests.encode_saved_state(saved_state)
            )
            self._files.rename(_TEMPORARY_NAME, _FILE_NAME)
            self._files.sync_folder()
        except OSError as exc:
            _EVENTS.warning("memory_not_kept", reason=str(exc))
            return
        _EVENTS.info("memory_kept", keys=len(saved_state.records))

    def close(self) -> None:
        """Release the lock on the folder."""
        self._files.close()


def open_folder(
    folder: pathlib.Path | None, host: ids.HostId
) -> SavedStateFolder | None:
    """Open the configured folder; return ``None`` without one.

    :raises FoxtailError: ``JOURNAL_UNWRITABLE`` when another process locked it
    """
    if folder is None:
        return None
    return SavedStateFolder(journal.DiskFiles(folder), host)
