"""A coordinator counts edge hosts by their polls."""

from foxtailworks.coordinator import _host_count
from foxtailworks import ids


def poll(count, hosts, now):
    for number in range(hosts):
        count.on_poll(ids.HostId(f"e{number}"), now)


def test_the_number_is_unknown_until_all_hosts_have_had_time_to_poll():
    # A wrong one would replace the number in the saved reply.
    count = _host_count.HostCount()
    assert count.count(0.0) == 0
    poll(count, 1, 1.0)
    assert count.count(3.0) == 0
    poll(count, 9, 3.0)
    assert count.count(6.0) == 9


def test_hosts_that_no_longer_poll_are_not_counted():
    count = _host_count.HostCount()
    for second in range(10):
        poll(count, 9, float(second))
    assert count.count(9.0) == 9
    for second in range(10, 20):
        poll(count, 4, float(second))
    assert count.count(19.0) == 4


def test_the_number_changes_once_a_second_at_most():
    count = _host_count.HostCount()
    poll(count, 2, 0.0)
    assert count.count(5.0) == 2
    poll(count, 9, 5.1)
    assert count.count(5.2) == 2
    assert count.count(6.1) == 9
