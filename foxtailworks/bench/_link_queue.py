"""Ablation of the queue in front of a host's slow link.

Plays the load of :mod:`foxtailworks.bench._upload_model` with direct sending,
with the shaper, and with the shaper without one of its parts.
"""

from collections import abc
import dataclasses
import statistics

from foxtailworks.bench import _figure
from foxtailworks.bench import _upload_model
from foxtailworks import shaping

LOADS = (0.1, 0.3, 0.6, 0.8)
"""Bytes of uploads as a share of the shaper's rate."""
SECONDS = 200.0
"""Virtual seconds of arrivals in one run."""
SEED = 1


class _BulkPacket(shaping.Packet):
    """A packet that never goes ahead of others."""

    @property
    def is_small(self) -> bool:
        """Return whether the packet goes ahead of bulk."""
        return False


def _as_bulk(packet: shaping.Packet) -> shaping.Packet:
    """Return a packet that takes its turn like bulk."""
    return _BulkPacket(packet.flow, packet.body, packet.data, packet.target)


def _in_one_flow(packet: shaping.Packet) -> shaping.Packet:
    """Return a bulk packet as one of a flow that all share."""
    if packet.is_small:
        return packet
    return dataclasses.replace(packet, flow=b"")


def _in_order(packet: shaping.Packet) -> shaping.Packet:
    """Return a packet that is sent in the order of arrival."""
    return _as_bulk(dataclasses.replace(packet, flow=b""))


DIRECT = _upload_model.Policy("direct", None)
"""Sends at once, without a rate: no queue forms, so that nothing is left of
bands and turns either."""
WHOLE = _upload_model.Policy("whole")
POLICIES = (
    DIRECT,
    WHOLE,
    _upload_model.Policy("no_bands", change=_as_bulk),
    _upload_model.Policy("no_turns", change=_in_one_flow),
    _upload_model.Policy("rate_only", change=_in_order),
    _upload_model.Policy("rate_1.05", 1.05 / 0.95),
    _upload_model.Policy("rate_1.00", 1 / 0.95),
    _upload_model.Policy("rate_0.90", 0.9 / 0.95),
)
CASES = (
    (_upload_model.TAIL, POLICIES),
    (_upload_model.RANDOM, (DIRECT, WHOLE)),
)
"""Queues of the link and the policies that are played on each."""


def play(
    load: float,
    queue: _upload_model.LinkQueue,
    policy: _upload_model.Policy,
    seconds: float = SECONDS,
) -> _upload_model.Outcome:
    """Play the load with one policy and return what callers got."""
    return _upload_model.Model(load, queue, policy, SEED).run(seconds)


def figures() -> abc.Iterator[_figure.Figure]:
    """Yield the figures of each queue of the link, load and policy."""
    for queue, policies in CASES:
        for load in LOADS:
            for policy in policies:
                found = play(load, queue, policy)
                where = f"link.{queue.name}.{load:g}.{policy.name}"
                for (name, unit), value in _values(found).items():
                    yield _figure.Figure(
                        f"{where}.{name}", round(value, 4), unit
                    )


def _values(found: _upload_model.Outcome) -> dict[tuple[str, str], float]:
    """Return the figures of one run by name and unit."""
    return {
        ("uploads_in_aim", "share"): found.uploads_in_time(),
        ("uploads_median", "ms"): _median_ms(found.uploads_s),
        ("uploads_longest", "ms"): max(found.uploads_s) * 1000,
        ("smalls_in_aim", "share"): found.smalls_in_time(),
        ("smalls_p99", "ms"): _p99_ms(found.smalls_s),
        ("smalls_longest", "ms"): max(found.smalls_s) * 1000,
        ("lost", "count"): found.lost,
        ("dropped", "count"): found.dropped,
        ("sent", "count"): found.sent,
    }


def _median_ms(times_s: list[float]) -> float:
    """Return the median in milliseconds."""
    return statistics.median(times_s) * 1000


def _p99_ms(times_s: list[float]) -> float:
    """Return the 99th percentile in milliseconds."""
    return sorted(times_s)[int(len(times_s) * 0.99)] * 1000
