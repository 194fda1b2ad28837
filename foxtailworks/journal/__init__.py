"""Storage of a keeper's log, snapshots and identity on disk.

Example::

    disk = journal.Journal(journal.DiskFiles(folder), new_keeper)
    disk.write([persist])
"""

from foxtailworks.journal._files import closed_on_error
from foxtailworks.journal._files import DiskFiles
from foxtailworks.journal._files import Files
from foxtailworks.journal._journal import Journal
from foxtailworks.journal._journal import Write
from foxtailworks.journal._memory import MemoryFiles

__all__ = [
    "DiskFiles",
    "Files",
    "Journal",
    "MemoryFiles",
    "Write",
    "closed_on_error",
]
