"""A host's memory lies on the disk between two starts, for one use."""

import errno
import random

import pytest

from foxtailworks.entry import _saved_state
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import requests

HOST = ids.HostId("h1")
KEY = ids.RequestKey(b"k" * 16)
MEMORY = requests.SavedState(
    HOST, 3, (requests.HandOver(KEY, None, None, 0, (7, 8)),), ()
)


@pytest.fixture
def files():
    return journal.MemoryFiles()


def folder(files, host=HOST):
    return _saved_state.MemoryFolder(files, host)


def test_what_is_left_is_taken_once(files):
    folder(files).leave(MEMORY)
    assert folder(files).take() == MEMORY
    assert folder(files).take() is None


def test_it_is_gone_from_the_disk_before_anything_is_granted(files):
    folder(files).leave(MEMORY)
    folder(files).take()
    files.crash(random.Random(1))
    assert folder(files).take() is None


def test_it_survives_a_loss_of_power_once_it_is_left(files):
    folder(files).leave(MEMORY)
    files.crash(random.Random(1))
    assert folder(files).take() == MEMORY


def test_a_later_memory_takes_the_place_of_an_earlier_one(files):
    folder(files).leave(MEMORY)
    later = requests.SavedState(HOST, 4, (), ())
    folder(files).leave(later)
    assert folder(files).take() == later


def test_nothing_is_taken_that_is_another_hosts_or_broken(files):
    folder(files, ids.HostId("h2")).leave(MEMORY)
    assert folder(files, ids.HostId("h2")).take() is None
    files.write("memory", b"\xff torn")
    assert folder(files).take() is None
    assert folder(files).take() is None


def test_a_memory_that_is_not_whole_is_not_left(files):
    folder(files).leave(None)
    assert folder(files).take() is None


def test_a_disk_that_refuses_ends_nothing(files):
    files.fail_with = errno.ENOSPC
    folder(files).leave(MEMORY)
    assert folder(files).take() is None
