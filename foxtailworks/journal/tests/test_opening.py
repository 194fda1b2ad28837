"""Tests of a journal that can't be opened at the first attempt."""

import errno
import os

import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal


def open_journal(folder):
    return journal.Journal(
        journal.DiskFiles(folder), lambda: ids.KeeperId("k1")
    )


def refuse(monkeypatch, operation):
    """Let one operation of all folders fail as on a full disk."""

    def fail(*_args):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(journal.DiskFiles, operation, fail)


def open_after_failure(folder, operation, code):
    with pytest.MonkeyPatch.context() as patch:
        refuse(patch, operation)
        with pytest.raises(errors.FoxtailError) as info:
            open_journal(folder)
    assert info.value.code is code
    opened = open_journal(folder)
    opened.close()
    return opened


# A coordinator whose disk was full at its first attempt kept the lock on its
# folder and could never open it again (review/2).
@pytest.mark.parametrize(
    "operation", ["names", "write", "rename", "sync_folder"]
)
def test_an_empty_folder_is_opened_after_a_failure(tmp_path, operation):
    code = errors.Code.JOURNAL_UNWRITABLE
    assert open_after_failure(tmp_path, operation, code).keeper == "k1"


@pytest.mark.parametrize("operation", ["names", "read", "truncate"])
def test_a_folder_with_a_torn_log_is_opened_after_a_failure(
    tmp_path, operation
):
    open_journal(tmp_path).close()
    (log,) = tmp_path.glob("log-*")
    log.write_bytes(log.read_bytes() + b"torn")
    code = errors.Code.JOURNAL_UNWRITABLE
    assert open_after_failure(tmp_path, operation, code).keeper == "k1"


def test_a_damaged_folder_is_released(tmp_path):
    open_journal(tmp_path).close()
    (log,) = tmp_path.glob("log-*")
    whole = log.read_bytes()
    log.write_bytes(b"damaged" + whole)
    with pytest.raises(errors.FoxtailError) as info:
        open_journal(tmp_path)
    assert info.value.code is errors.Code.JOURNAL_DAMAGED
    log.write_bytes(whole)
    open_journal(tmp_path).close()


def test_closing_twice_closes_no_file_of_others(tmp_path):
    files = journal.DiskFiles(tmp_path / "journal")
    files.close()
    with open(tmp_path / "other", "wb", buffering=0) as other:
        files.close()
        other.write(b"content")
    assert (tmp_path / "other").read_bytes() == b"content"
