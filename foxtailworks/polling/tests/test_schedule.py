"""Tests of how few polls keep a host up to date when coordinators fail."""

import random

import pytest

from foxtailworks import ids
from foxtailworks import polling

TICK_S = 0.02
CHANGES = polling.Need.CHANGES


def address(number):
    return ids.Address(f"10.0.0.{number}", 7000)


class Driven:
    """A schedule whose coordinators answer after a tick, unless silent."""

    def __init__(self, count, host="e1", seed=1):
        self.now = 0.0
        self.addresses = [address(n) for n in range(1, count + 1)]
        self.schedule = polling.Schedule(
            ids.HostId(host), self.addresses, random.Random(seed), self.now
        )
        self.silent = set()
        self.behind = set()
        self.polls = []

    def run(self, seconds, need=CHANGES):
        """Run for a while; return the polls as (time, poll)."""
        first = len(self.polls)
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for due in self.schedule.due(self.now, need):
                self.polls.append((self.now, due))
                if due.address not in self.silent:
                    is_current = due.address not in self.behind
                    self.schedule.on_answer(due.address, is_current, self.now)
        return self.polls[first:]

    def followed(self):
        """Return the coordinators followed according to further polls."""
        return {
            due.address for _, due in self.run(3.0)[-20:] if due.is_follower
        }


def test_an_idle_host_polls_a_fraction_of_what_it_did():
    driven = Driven(7)
    driven.run(2.0)
    polls = driven.run(20.0)
    # Four polls a second of each coordinator were 560; two followed ones
    # and five others need a poll in a second and in two, with jitter less.
    assert len(polls) <= 20 * (2 * 1.4 + 5 * 0.7)
    assert {due.address for _, due in polls} == set(driven.addresses)


@pytest.mark.parametrize("hosts", [200, 690])
def test_the_load_on_a_coordinator_is_its_share_of_the_hosts(hosts):
    counts = dict.fromkeys(map(address, range(1, 8)), 0)
    for number in range(hosts):
        driven = Driven(7, f"e{number}", number)
        driven.run(1.0)
        for _, due in driven.run(4.0):
            counts[due.address] += 1
    per_s = {key: count / 4 for key, count in counts.items()}
    # A seventh of all polls: 0.9 a second for each host, 4.0 before.
    assert max(per_s.values()) < 1.2 * hosts
    assert max(per_s.values()) < 1.6 * min(per_s.values())


def test_two_are_followed_and_hosts_choose_different_ones():
    chosen = [Driven(7, f"e{number}").followed() for number in range(30)]
    assert all(len(item) == 2 for item in chosen)
    assert len(set().union(*chosen)) == 7


def test_another_is_followed_when_one_falls_silent():
    driven = Driven(6)
    first = driven.followed()
    gone = sorted(first)[0]
    driven.silent.add(gone)
    driven.run(2.0)
    later = driven.followed()
    assert gone not in later and len(later) == 2
    assert first - {gone} <= later


def test_a_silent_coordinator_is_replaced_within_a_stated_time():
    driven = Driven(6)
    first = driven.followed()
    driven.silent |= first
    start = driven.now
    found = next(
        when
        for when, due in driven.run(4.0)
        if due.is_follower and due.address not in first
    )
    assert found - start <= 2.0


def test_one_that_is_behind_is_not_followed_and_still_polled():
    driven = Driven(6)
    first = driven.followed()
    driven.behind |= first
    driven.run(2.0)
    later = driven.followed()
    assert not later & first
    polled = {due.address for _, due in driven.run(3.0)}
    assert first <= polled


def test_all_are_polled_often_while_none_is_usable():
    driven = Driven(3)
    driven.run(2.0)
    driven.behind |= set(driven.addresses)
    driven.run(2.0)
    polls = driven.run(2.0)
    assert len(polls) in range(20, 26)


def test_a_single_coordinator_suffices_for_few_polls():
    driven = Driven(1)
    driven.run(2.0)
    assert len(driven.run(10.0)) <= 15


def test_without_routes_all_are_polled_in_quick_succession():
    driven = Driven(3)
    polls = driven.run(0.6, polling.Need.ROUTES)
    assert len(polls) >= 24


def test_a_notice_brings_a_poll_at_the_next_tick():
    driven = Driven(6)
    driven.run(3.0)
    target = driven.addresses[2]
    driven.schedule.request_poll(target)
    polls = driven.run(TICK_S * 4)
    assert target in {due.address for _, due in polls}


def test_requests_in_quick_succession_are_merged():
    driven = Driven(6)
    driven.run(3.0)
    first = len(driven.polls)
    for _ in range(50):
        driven.schedule.request_polls_of_all()
        driven.run(TICK_S)
    # One second; at most a poll in 50 ms of each, twenty in all.
    assert len(driven.polls) - first <= 6 * 20


def test_a_coordinator_that_was_lost_is_reported_once():
    driven = Driven(2)
    driven.run(2.0)
    target = driven.addresses[0]
    driven.now += polling.LOST_S + 0.1
    assert driven.schedule.on_answer(target, True, driven.now)
    assert not driven.schedule.on_answer(target, True, driven.now + 0.1)


def test_others_than_seeds_are_dropped_when_they_stay_silent():
    driven = Driven(2)
    extra = address(9)
    driven.schedule.add([extra], driven.now)
    driven.silent |= {extra, driven.addresses[0]}
    driven.run(70.0)
    polled = {due.address for _, due in driven.run(5.0)}
    assert extra not in polled
    assert driven.addresses[0] in polled


def test_the_number_of_coordinators_is_bounded():
    driven = Driven(2)
    many = [ids.Address(f"10.1.{n // 250}.{n % 250}", 1) for n in range(500)]
    driven.schedule.add(many, driven.now)
    assert len(driven.schedule.due(1.0, CHANGES)) <= 64


def test_followers_are_notified_once_of_each_change():
    followers = polling.Followers()
    followers.on_poll(address(1), True, 0.0)
    followers.on_poll(address(2), False, 0.0)
    assert followers.to_notify((1, 1, 0), 0.1) == (address(1),)
    assert followers.to_notify((1, 1, 0), 0.3) == ()
    assert followers.to_notify((2, 1, 0), 0.4) == (address(1),)
    assert followers.to_notify((2, 1, 1), 0.7) == (address(1),)


def test_changes_in_quick_succession_share_a_notice():
    followers = polling.Followers()
    followers.on_poll(address(1), True, 0.0)
    notified = [
        followers.to_notify((number, 1, 0), number / 100)
        for number in range(100)
    ]
    assert sum(map(len, notified)) <= 11


def test_a_follower_that_stopped_polling_is_forgotten():
    followers = polling.Followers()
    followers.on_poll(address(1), True, 0.0)
    assert followers.to_notify((1, 1, 0), 9.0) == ()
    assert len(followers) == 0


def test_hosts_without_routes_poll_less_often_the_longer_they_wait():
    """Guards against polls that take all of a coordinator's time.

    300 hosts at a first start polled each 0.06 s until routes came, which
    never came.
    """
    driven = Driven(3)
    for seconds, most in ((0.4, 7), (3.6, 25), (12.0, 20)):
        polls = driven.run(seconds, polling.Need.ROUTES)
        first = [due for _, due in polls if due.address == address(1)]
        assert len(first) <= most
    driven.schedule.request_poll(address(1))
    polls = driven.run(0.1, polling.Need.ROUTES)
    assert address(1) in [due.address for _, due in polls]
    driven.run(1.0)
    again = driven.run(0.3, polling.Need.ROUTES)
    assert len(again) > 6
