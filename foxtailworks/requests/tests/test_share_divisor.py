"""The shares of a limit never exceed it while a roster changes."""

import itertools

import pytest

from foxtailworks import ids
from foxtailworks import requests


def _roster(epoch, names):
    return requests.Roster(
        epoch, tuple((ids.HostId(name), ids.ZoneId(name)) for name in names)
    )


@pytest.mark.parametrize(("old", "new"), [("abc", "abcd"), ("abcd", "abce")])
def test_shares_never_exceed_the_limit(old, new):
    all_hosts = sorted(set(old) | set(new))
    for changed in itertools.product((False, True), repeat=len(all_hosts)):
        total = 0.0
        for name, has_changed in zip(all_hosts, changed, strict=True):
            groups = requests.KeyGroups(_roster(1, old), 300.0)
            if has_changed:
                groups.adopt(1.0, _roster(2, new))
            divisor = groups.share_divisor(ids.HostId(name))
            total += 1 / divisor if divisor else 0.0
        assert total <= 1.0 + 1e-9
