"""Acknowledged writes survive crashes; damaged files are refused."""

import errno
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import agreement
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal


def open_journal(files, name="k1"):
    return journal.Journal(files, lambda: ids.KeeperId(name))


def entry(index, term=1):
    data = b"%d-%d" % (index, term)
    kind = agreement.EntryKind.COMMAND
    return agreement.Entry(index, term, kind, data)


def persist(number, first, last, term=1):
    entries = tuple(entry(n, term) for n in range(first, last + 1))
    state = agreement.HardState("g", term, None)
    return agreement.Persist(number, state, entries)


def snapshot(number, index, base, last):
    kept = tuple(entry(n) for n in range(base + 1, last + 1))
    state = agreement.HardState("g", 1, None)
    whole = agreement.Snapshot(index, 1, agreement.Membership(), b"s" * 50)
    return agreement.PersistSnapshot(number, state, whole, base, 1, kept)


def indexes(disk):
    return [item.index for item in disk.restored.entries]


def test_identity_is_stored_on_the_disk():
    files = journal.MemoryFiles()
    assert open_journal(files, "a").keeper == "a"
    assert open_journal(files, "b").keeper == "a"
    assert open_journal(journal.MemoryFiles(), "b").keeper == "b"


def test_a_later_entry_replaces_the_tail():
    files = journal.MemoryFiles()
    open_journal(files).write([persist(1, 1, 5), persist(2, 3, 3, term=2)])
    again = open_journal(files).restored
    assert [item.term for item in again.entries] == [1, 1, 2]
    assert again.state.term == 2


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    st.lists(st.integers(0, 3), min_size=1, max_size=25), st.integers(0, 999)
)
def test_acknowledged_writes_survive_any_crash(steps, seed):
    files, rng = journal.MemoryFiles(), random.Random(seed)
    disk, last, snap = open_journal(files), 0, 0
    for step in steps:
        if step == 0 and last:
            disk.write([snapshot(1, last, max(0, last - 2), last)])
            snap = last
        elif step == 1:
            files.append(files.names()[0], rng.randbytes(40))
            files.crash(rng)
            disk = open_journal(files)
        else:
            disk.write([persist(1, last + 1, last + step)])
            last += step
        files_now = open_journal(files).restored
        assert files_now.base_index + len(files_now.entries) == last
        assert (files_now.snapshot.index if snap else 0) == snap
        assert len(files.names()) <= 2


@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_failing_disk_acknowledges_nothing(fault):
    files = journal.MemoryFiles()
    disk = open_journal(files)
    disk.write([persist(1, 1, 3)])
    files.fail_with = fault
    for _ in range(2):
        with pytest.raises(errors.FoxtailError) as info:
            disk.write([persist(2, 4, 5)])
        assert info.value.code == errors.Code.JOURNAL_UNWRITABLE
        files.fail_with = None
    files.crash(random.Random(1))
    assert indexes(open_journal(files))[:3] == [1, 2, 3]


def test_damage_in_the_middle_is_refused_and_kept():
    files = journal.MemoryFiles()
    disk = open_journal(files)
    for number in range(1, 6):
        disk.write([persist(number, number, number)])
    name = files.names()[0]
    size = len(files.read(name))
    for offset in range(0, size * 4 // 5, 7):
        files.flip_bit(name, offset)
        with pytest.raises(errors.FoxtailError) as info:
            open_journal(files)
        assert info.value.code == errors.Code.JOURNAL_DAMAGED
        files.flip_bit(name, offset)
        assert len(files.read(name)) == size


def test_damaged_snapshot_and_lost_log_are_refused():
    files = journal.MemoryFiles()
    disk = open_journal(files)
    disk.write([persist(1, 1, 9), snapshot(2, 9, 7, 9)])
    log, snap = files.names()
    files.flip_bit(snap, 40)
    with pytest.raises(errors.FoxtailError):
        open_journal(files)
    files.flip_bit(snap, 40)
    files.remove(log)
    with pytest.raises(errors.FoxtailError) as info:
        open_journal(files)
    assert info.value.code == errors.Code.JOURNAL_DAMAGED


def test_real_folder_is_locked_and_read_back(tmp_path):
    first = open_journal(journal.DiskFiles(tmp_path))
    first.write([persist(1, 1, 9), snapshot(2, 9, 7, 9), persist(3, 10, 12)])
    with pytest.raises(errors.FoxtailError):
        journal.DiskFiles(tmp_path)
    first.close()
    again = open_journal(journal.DiskFiles(tmp_path), "other")
    assert (again.keeper, indexes(again)) == ("k1", [8, 9, 10, 11, 12])
    assert again.size_bytes == first.size_bytes
    again.close()


class Killed(BaseException):
    """End of the process in an operation on the disk."""


def kill_in(files, operation, after):
    """Write two entries and a snapshot; the process is killed meanwhile.

    :param after: number of calls of the operation that succeed before
    """
    disk = open_journal(files)
    disk.write([persist(1, 1, 1)])
    real, left = getattr(files, operation), [None] * after

    def run_or_end(*args):
        if not left:
            raise Killed
        left.pop()
        real(*args)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(files, operation, run_or_end)
        with pytest.raises(Killed):
            disk.write([persist(2, 2, 2), snapshot(3, 2, 1, 2)])


# What a start read back without a sync counted as durable, so that the next
# loss of power took what had been confirmed meanwhile.
@pytest.mark.parametrize(
    ("operation", "after"),
    [("sync", 0), ("sync_folder", 0), ("sync_folder", 1), ("remove", 0)],
)
@pytest.mark.parametrize("seed", range(20))
def test_what_was_read_back_after_a_kill_survives_a_loss_of_power(
    operation, after, seed
):
    files = journal.MemoryFiles()
    kill_in(files, operation, after)
    read_back = open_journal(files).restored
    assert read_back.entries[-1].index == 2
    files.crash(random.Random(seed))
    assert open_journal(files).restored == read_back
