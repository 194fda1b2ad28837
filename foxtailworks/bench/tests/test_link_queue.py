"""Tests of what callers get over a slow link, in virtual time.

The load is that of a host of the newswire deployment: uploads whose packets
arrive at once, small requests and polls, on a link whose own queue holds four
packets and drops the others.
"""

import pytest

from foxtailworks.bench import _link_queue
from foxtailworks.bench import _upload_model

SECONDS = 60.0
TAIL = _upload_model.TAIL


def play(load, policy, queue=TAIL):
    return _link_queue.play(load, queue, policy, SECONDS)


def policy_named(name):
    (found,) = (p for p in _link_queue.POLICIES if p.name == name)
    return found


@pytest.mark.parametrize("load", [0.1, 0.3])
def test_uploads_and_small_requests_are_in_time(load):
    """Guards against losses in the link's queue and waits behind uploads."""
    whole = play(load, _link_queue.WHOLE)
    assert whole.lost == 0
    assert whole.uploads_in_time() >= 0.99
    assert max(whole.uploads_s) < 0.6
    assert whole.smalls_in_time() == 1.0
    assert max(whole.smalls_s) < 0.05


@pytest.mark.parametrize("load", [0.1, 0.3])
def test_direct_sending_loses_uploads(load):
    """Guards against a model whose link is too kind to show the fault."""
    direct = play(load, _link_queue.DIRECT)
    assert direct.lost > 0.2 * direct.sent
    assert direct.uploads_in_time() < 0.1
    assert direct.smalls_in_time() < 1.0


def test_small_requests_are_in_time_under_overload():
    """Guards against SYNs that are lost or late when the queue is full."""
    whole = _link_queue.play(1.2, TAIL, _link_queue.WHOLE, 20.0)
    assert whole.dropped > 0
    assert whole.smalls_in_time() == 1.0
    assert max(whole.smalls_s) < 0.05


def test_each_part_serves_what_it_is_for():
    """Guards against a part of the queue that has lost its effect."""
    load = 0.6
    whole = play(load, _link_queue.WHOLE)
    assert max(play(load, policy_named("no_bands")).smalls_s) > 2 * max(
        whole.smalls_s
    )
    assert max(play(load, policy_named("no_turns")).uploads_s) > max(
        whole.uploads_s
    )
    assert play(load, policy_named("rate_1.05")).lost > 0
    assert whole.lost == 0
