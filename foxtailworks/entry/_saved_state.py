"""Where a planned stop leaves what this host remembers of requests."""

import pathlib

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import observe
from foxtailworks import requests

_NAME = "memory"
_ASIDE = "memory.new"

_EVENTS = observe.Events("memory")


class MemoryFolder:
    """Holds a memory between two starts, for one use.

    A host whose memory can't be kept or read goes on as after a crash: it
    vouches for requests once it has read what the others remember.

    :param files: the folder, locked for this process
    :param host: whose memory is taken
    """

    def __init__(self, files: journal.Files, host: ids.HostId) -> None:
        self._files = files
        self._host = host

    def take(self) -> requests.SavedState | None:
        """Return what was left and remove it first.

        It must not be there any more once this start has granted anything.
        """
        try:
            if _NAME not in self._files.names():
                return None
            data = self._files.read(_NAME)
            self._files.remove(_NAME)
            self._files.sync_folder()
            memory = requests.decode_saved_state(data)
        except (OSError, errors.FoxtailError) as exc:
            _EVENTS.warning("memory_unreadable", reason=str(exc))
            return None
        if memory.host != self._host:
            _EVENTS.warning("memory_of_another_host", of=memory.host)
            return None
        _EVENTS.info("memory_taken", keys=len(memory.records))
        return memory

    def leave(self, memory: requests.SavedState | None) -> None:
        """Keep a memory for the next start of this host."""
        if memory is None:
            _EVENTS.info("memory_not_whole")
            return
        try:
            self._files.write(_ASIDE, requests.encode_saved_state(memory))
            self._files.rename(_ASIDE, _NAME)
            self._files.sync_folder()
        except OSError as exc:
            _EVENTS.warning("memory_not_kept", reason=str(exc))
            return
        _EVENTS.info("memory_kept", keys=len(memory.records))

    def close(self) -> None:
        """Let go of the folder."""
        self._files.close()


def open_folder(
    folder: pathlib.Path | None, host: ids.HostId
) -> MemoryFolder | None:
    """Open the folder of the settings; none when there is none.

    :raises FoxtailError: ``JOURNAL_UNWRITABLE`` when another process has it
    """
    if folder is None:
        return None
    return MemoryFolder(journal.DiskFiles(folder), host)
