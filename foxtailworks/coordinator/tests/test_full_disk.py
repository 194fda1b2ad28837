"""Tests of coordinators whose disk is full when they open it."""

import errno
import os
import random

import pytest

from foxtailworks import agreement
from foxtailworks.coordinator.tests import test_promises as promises
from foxtailworks.coordinator.tests import world
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import replicated
from foxtailworks import revisions


class RealFolders(world.World):
    """Coordinators whose journals are in folders of a real disk."""

    def __init__(self, folder, full=()):
        self.full = set(full)
        super().__init__(3, folder=folder)

    def open_files(self, host):
        folder = self.folder / f"journal-{host.number}"
        return FolderThatFills(folder, lambda: host.number in self.full)


class FolderThatFills(journal.DiskFiles):
    def __init__(self, folder, is_full):
        super().__init__(folder, synced=False)
        self._is_full = is_full

    def write(self, name, data):
        if self._is_full():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(name, data)


def has_opened(sim, number):
    return sim.hosts[world.address(number)].program.node is not None


# A coordinator whose disk was full at the first start never opened it again,
# so that no group was founded (review/2).
def test_a_group_is_founded_once_a_full_disk_has_room(tmp_path):
    sim = RealFolders(tmp_path, full={1})
    sim.run(3.0)
    assert not has_opened(sim, 1) and promises.put(sim, 1) is not True
    sim.full.clear()
    sim.run(promises.SETTLE_S)
    assert has_opened(sim, 1)
    assert promises.put(sim, 1) is True
    assert promises.read(sim).revision == 1


# A snapshot of a later release left the folder locked in the same way, so
# that each further attempt failed for another reason than the first one.
def test_a_folder_with_an_unreadable_snapshot_is_released(tmp_path):
    def open_node():
        disk = journal.Journal(
            journal.DiskFiles(tmp_path, synced=False),
            lambda: ids.KeeperId("k1"),
        )
        rng = random.Random(1)
        return replicated.Node(disk, revisions.restore, rng, 0.0)

    state = agreement.HardState("g", 1, None)
    snapshot = agreement.Snapshot(1, 1, agreement.Membership(), b"later")
    disk = open_node().disk
    disk.write([agreement.PersistSnapshot(1, state, snapshot, 1, 1, ())])
    disk.close()
    for _ in range(2):
        with pytest.raises(errors.FoxtailError) as info:
            open_node()
        assert info.value.code is not errors.Code.JOURNAL_UNWRITABLE
