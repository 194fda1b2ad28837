"""Tests of the decisions on a slow link, each without a network."""

import random

import pytest

from foxtailworks import ids
from foxtailworks import shaping
from foxtailworks.shaping import _packet
from foxtailworks.shaping import _shaper

TARGET = ids.Address("10.0.1.1", 80)
LINK = 250_000.0
RATE = 237_500.0
FULL = _packet.FULL_BYTES
SMALL = 72


def packet(flow, number, size=FULL, token=0):
    """Return a packet that takes ``size`` bytes on the link."""
    name = flow.encode()
    body = name + number.to_bytes(4, "big")
    data = token.to_bytes(4, "big") + body
    data += bytes(size - shaping.HEADER_BYTES - len(data))
    return shaping.Packet(name, body, data, TARGET)


def number_of(sent):
    return int.from_bytes(sent.body[-4:], "big")


class DrivenShaper:
    """A shaper whose time the test controls, with a record of what it sent."""

    def __init__(self, link=LINK):
        self.shaper = shaping.Shaper(link)
        self.sent = []
        self.next_at = None

    def put(self, item, now):
        self.run_until(now)
        self._record(self.shaper.put(item, now), now)

    def run_until(self, end):
        """Advance at each time that the shaper has named, up to ``end``."""
        while self.next_at is not None and self.next_at <= end:
            now = self.next_at
            self._record(self.shaper.advance(now), now)

    def drain(self):
        self.run_until(float("inf"))

    def advance(self, now):
        """Advance at one time only, as after a pause of the process."""
        self._record(self.shaper.advance(now), now)

    def dropped(self, reason):
        return self.shaper.counters.dropped[reason]

    def flows(self):
        return [sent.flow.decode() for _, sent in self.sent]

    def _record(self, step, now):
        assert step.next_at is None or step.next_at > now
        self.sent += [(now, sent) for sent in step.packets]
        self.next_at = step.next_at


def put_all(driven, flow, numbers, now=0.0, size=FULL):
    for number in numbers:
        driven.put(packet(flow, number, size), now)


def test_an_idle_link_sends_at_once_without_a_timer():
    """Guards against a delay or a timer for each packet at low load."""
    driven = DrivenShaper()
    for number in range(100):
        driven.put(packet("a", number), number * 0.02)
        assert len(driven.sent) == number + 1
        assert driven.next_at is None


@pytest.mark.parametrize("seed", range(5))
def test_no_window_carries_more_than_the_rate_and_the_burst(seed):
    """Guards against bursts that the link's own queue drops."""
    rng = random.Random(seed)
    driven = DrivenShaper()
    now = 0.0
    for number in range(600):
        now += rng.choice((0.0, 0.0, 0.001, 0.004, 0.05))
        size = rng.choice((FULL, FULL, 700, SMALL))
        driven.put(packet(f"f{rng.randrange(9)}", number, size), now)
    driven.drain()
    times = [at for at, _ in driven.sent]
    for first in range(len(times)):
        total = 0
        for at, sent in driven.sent[first:]:
            total += sent.size
            window = RATE * (at - times[first])
            assert total <= window + _shaper.BURST_BYTES + 1


def test_a_burst_after_a_pause_is_two_full_packets():
    """Guards against unlimited credit for the time that a link was idle."""
    driven = DrivenShaper()
    driven.put(packet("a", 0), 0.0)
    put_all(driven, "a", range(1, 18), 60.0)
    assert len(driven.sent) == 1 + 2
    driven.drain()
    assert driven.sent[-1][0] == pytest.approx(60.0 + 15 * FULL / RATE)


def test_a_packet_larger_than_the_burst_is_sent_in_the_end():
    """Guards against a queue that stands still behind one packet."""
    driven = DrivenShaper()
    put_all(driven, "a", range(3), size=2 * _shaper.BURST_BYTES)
    driven.drain()
    assert len(driven.sent) == 3


def test_flows_take_turns():
    """Guards against an upload that waits for others that came before it."""
    driven = DrivenShaper()
    for flow in ("a", "b", "c"):
        put_all(driven, flow, range(10))
    driven.drain()
    queued = driven.flows()[2:]
    for start in range(0, 24, 3):
        assert sorted(queued[start : start + 3]) == ["a", "b", "c"]


def test_turns_are_fair_by_bytes():
    """Guards against turns by packets, which favour flows of large ones."""
    driven = DrivenShaper()
    put_all(driven, "large", range(20))
    put_all(driven, "half", range(40), size=FULL // 2)
    driven.run_until(0.1)
    sizes = {"large": 0, "half": 0}
    for _, sent in driven.sent[2:]:
        sizes[sent.flow.decode()] += sent.size
    assert abs(sizes["large"] - sizes["half"]) <= 2 * FULL


def test_a_flow_keeps_its_order():
    """Guards against reordering, which a receiver takes for a loss."""
    driven = DrivenShaper()
    for number, size in enumerate([FULL, 700, FULL, SMALL, FULL, SMALL]):
        driven.put(packet("a", number, size), 0.0)
        driven.put(packet("b", number, FULL), 0.0)
    driven.drain()
    for flow in ("a", "b"):
        numbers = [
            number_of(sent)
            for _, sent in driven.sent
            if sent.flow.decode() == flow
        ]
        assert numbers == sorted(numbers)


def test_small_packets_go_ahead_of_bulk():
    """Guards against a SYN that waits for whole uploads of others."""
    driven = DrivenShaper()
    put_all(driven, "bulk", range(17))
    driven.put(packet("small", 0, SMALL), 0.001)
    driven.run_until(0.001 + FULL / RATE)
    assert "small" in driven.flows()


def test_bulk_keeps_a_tenth_beside_endless_small_packets():
    """Guards against uploads that starve while small packets keep coming."""
    driven = DrivenShaper()
    put_all(driven, "bulk", range(40))
    for number in range(4000):
        driven.put(packet("small", number, SMALL), number * SMALL / RATE)
    bulk = sum(s.size for _, s in driven.sent if s.flow == b"bulk")
    total = sum(s.size for _, s in driven.sent)
    assert 0.08 <= bulk / total <= 0.12


def test_a_full_queue_drops_the_oldest_bulk_of_the_longest_flow():
    """Guards against one flow's overload that costs others their packets."""
    driven = DrivenShaper()
    put_all(driven, "small", range(3), size=SMALL)
    put_all(driven, "short", range(5))
    for number in range(100):
        driven.put(packet("long", number), number * 1e-6)
    put_all(driven, "small", range(10, 50), 0.0001, SMALL)
    assert driven.shaper.queued_bytes <= _shaper.MAX_QUEUED_BYTES
    assert driven.dropped(shaping.DropReason.FULL) > 50
    driven.drain()
    assert driven.flows().count("short") == 5
    assert driven.flows().count("small") == 43
    kept = [number_of(s) for _, s in driven.sent if s.flow == b"long"]
    assert kept == list(range(100 - len(kept), 100))


def test_a_copy_is_not_the_oldest_and_does_not_lengthen_its_flow():
    """Guards against dropping what its caller has just sent again."""
    driven = DrivenShaper()
    put_all(driven, "short", range(7))
    put_all(driven, "long", range(40))
    for _ in range(50):
        put_all(driven, "short", range(2, 7), 0.001)
    driven.put(packet("long", 0), 0.001)
    put_all(driven, "long", range(40, 60), 0.002)
    driven.drain()
    assert driven.flows().count("short") == 7
    numbers = [number_of(s) for _, s in driven.sent if s.flow == b"long"]
    assert numbers[0] == 0
    assert numbers[1:] == list(range(61 - len(numbers), 60))


def test_small_packets_are_bounded_too():
    """Guards against unbounded memory under a flood of SYNs."""
    driven = DrivenShaper()
    put_all(driven, "small", range(2000), size=SMALL)
    assert driven.shaper.queued_bytes <= _shaper.MAX_QUEUED_BYTES
    driven.drain()
    assert number_of(driven.sent[-1][1]) == 1999


def test_a_repeated_packet_takes_the_place_of_the_queued_one():
    """Guards against copies that fill the link, and against old tokens."""
    driven = DrivenShaper()
    put_all(driven, "a", range(6))
    driven.put(packet("a", 3, token=9), 0.002)
    assert driven.dropped(shaping.DropReason.REPEATED) == 1
    driven.drain()
    assert [number_of(sent) for _, sent in driven.sent] == list(range(6))
    assert driven.sent[3][1].data[:4] == (9).to_bytes(4, "big")
    assert driven.shaper.queued_bytes == 0


def test_a_packet_that_was_sent_is_sent_again():
    """Guards against retransmissions that are taken for queued packets."""
    driven = DrivenShaper()
    driven.put(packet("a", 0), 0.0)
    driven.put(packet("a", 0), 0.2)
    assert len(driven.sent) == 2


def test_packets_are_too_old_after_a_pause_of_the_process():
    """Guards against a resumed host that sends what callers gave up."""
    driven = DrivenShaper()
    put_all(driven, "a", range(10))
    driven.advance(30.0)
    assert len(driven.sent) == 2
    assert driven.dropped(shaping.DropReason.OLD) == 8
    assert driven.next_at is None
    driven.put(packet("a", 20), 30.0)
    assert len(driven.sent) == 3


def test_the_age_of_a_repeated_packet_starts_anew():
    """Guards against dropping a copy that its caller has just sent."""
    driven = DrivenShaper()
    put_all(driven, "a", range(10))
    repeated = driven.shaper.put(packet("a", 5), _shaper.MAX_AGE_S * 0.9)
    assert not [s for s in repeated.packets if number_of(s) == 5]
    step = driven.shaper.advance(_shaper.MAX_AGE_S * 1.5)
    assert [number_of(sent) for sent in step.packets] == [5]
    assert driven.dropped(shaping.DropReason.OLD) > 0


def test_the_age_of_the_oldest_packet_is_known():
    """Guards against a queue whose delay operators can't see."""
    driven = DrivenShaper(link=1000.0)
    assert driven.shaper.oldest_age_s(5.0) == 0.0
    put_all(driven, "a", range(4), now=5.0)
    assert driven.shaper.oldest_age_s(5.25) == 0.25


def test_control_messages_are_charged_to_the_rate():
    """Guards against a link that is overfilled by polls beside uploads."""
    driven = DrivenShaper()
    put_all(driven, "a", range(10))
    for number in range(30):
        driven.run_until(number * 0.001)
        driven.shaper.charge(100, number * 0.001)
    driven.drain()
    control = 30 * (100 + shaping.HEADER_BYTES)
    assert driven.shaper.counters.charged_bytes == control
    bulk = 10 * FULL
    end = (control + bulk - _shaper.BURST_BYTES) / RATE
    assert driven.sent[-1][0] == pytest.approx(end, abs=0.001)


def test_a_flush_returns_all_that_waits():
    """Guards against packets that a planned stop loses."""
    driven = DrivenShaper()
    put_all(driven, "a", range(10))
    put_all(driven, "small", range(3), size=SMALL)
    assert len(driven.shaper.flush()) == 11
    assert driven.shaper.queued_bytes == 0
    put_all(driven, "small", range(3, 6), size=SMALL)
    assert len(driven.shaper.flush()) == 3
    assert driven.shaper.flush() == ()
