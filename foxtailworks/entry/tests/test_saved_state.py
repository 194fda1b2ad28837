"""A host's saved state is on the disk between two starts, for one use."""

import errno
import random

import pytest

from foxtailworks.entry import _saved_state
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import requests

HOST = ids.HostId("h1")
KEY = ids.RequestKey(b"k" * 16)
SAVED_STATE = requests.SavedState(
    HOST, 3, (requests.HandOver(KEY, None, None, 0, (7, 8)),), ()
)


@pytest.fixture
def files():
    return journal.MemoryFiles()


def folder(files, host=HOST):
    return _saved_state.SavedStateFolder(files, host)


def test_saved_state_is_taken_once(files):
    folder(files).save(SAVED_STATE)
    assert folder(files).take() == SAVED_STATE
    assert folder(files).take() is None


def test_taken_state_is_removed_from_the_disk(files):
    folder(files).save(SAVED_STATE)
    folder(files).take()
    files.crash(random.Random(1))
    assert folder(files).take() is None


def test_saved_state_survives_a_loss_of_power(files):
    folder(files).save(SAVED_STATE)
    files.crash(random.Random(1))
    assert folder(files).take() == SAVED_STATE


def test_later_saved_state_replaces_an_earlier_one(files):
    folder(files).save(SAVED_STATE)
    later = requests.SavedState(HOST, 4, (), ())
    folder(files).save(later)
    assert folder(files).take() == later


def test_state_of_another_host_or_malformed_is_ignored(files):
    folder(files, ids.HostId("h2")).save(SAVED_STATE)
    assert folder(files, ids.HostId("h2")).take() is None
    files.write("memory", b"\xff torn")
    assert folder(files).take() is None
    assert folder(files).take() is None


def test_incomplete_state_is_not_saved(files):
    folder(files).save(None)
    assert folder(files).take() is None


def test_a_full_disk_raises_no_error(files):
    files.fail_with = errno.ENOSPC
    folder(files).save(SAVED_STATE)
    assert folder(files).take() is None
