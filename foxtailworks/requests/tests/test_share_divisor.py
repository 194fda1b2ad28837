"""Shares never sum up to more than the limit while a roster changes."""

import itertools

import pytest

from foxtailworks import ids
from foxtailworks import requests


def _roster(epoch, names):
    return requests.Roster(
        epoch, tuple((ids.HostId(name), ids.ZoneId(name)) for name in names)
    )


@pytest.mark.parametrize(("old", "new"), [("abc", "abcd"), ("abcd", "abce")])
def test_shares_sum_up_to_the_limit_at_most(old, new):
    everyone = sorted(set(old) | set(new))
    for changed in itertools.product((False, True), repeat=len(everyone)):
        total = 0.0
        for name, has_changed in zip(everyone, changed, strict=True):
            groups = requests.KeyGroups(_roster(1, old), 300.0)
            if has_changed:
                groups.adopt(1.0, _roster(2, new))
            divisor = groups.share_divisor(ids.HostId(name))
            total += 1 / divisor if divisor else 0.0
        assert total <= 1.0 + 1e-9
