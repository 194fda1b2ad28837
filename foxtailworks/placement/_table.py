"""The computed table of one service: slot -> upstream.

The table of an availability zone holds its own upstreams first.  What the
zone's upstreams can't carry spills to zones with room, so that over all
zones each upstream gets its share of the flows.
"""

import collections
from collections import abc
import dataclasses
import heapq

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _types

WEIGHT_STEPS = 16
"""Weights are rounded to this part of 1, so that tables rarely change."""

Shares = tuple[tuple[ids.ZoneId, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An upstream with a share in a table."""

    upstream: ids.UpstreamId
    """Its id."""
    zone: ids.ZoneId
    """Its availability zone."""
    weight: float
    """Rounded weight, above 0."""
    seed: int
    """Hash of the id."""


def round_weight(weight: float) -> float:
    """Return ``weight`` in steps; a weight above 0 stays above 0."""
    if weight <= 0:
        return 0.0
    return max(1, round(weight * WEIGHT_STEPS)) / WEIGHT_STEPS


def members_of(
    views: abc.Iterable[_types.UpstreamView],
) -> tuple[Member, ...]:
    """Return the upstreams with a weight, in order of their ids."""
    found = (
        Member(
            view.upstream,
            view.zone,
            round_weight(view.weight),
            _hashing.seed(view.upstream),
        )
        for view in views
        if view.weight > 0
    )
    return tuple(sorted(found, key=lambda member: member.upstream))


def zone_shares(
    members: tuple[Member, ...], hosts: Shares, zone: ids.ZoneId
) -> dict[ids.ZoneId, float]:
    """Return which part of a zone's flows goes to the upstreams of each.

    :param hosts: part of all flows that each zone's hosts place
    :param zone: whose table is computed
    """
    total = sum(member.weight for member in members)
    supply: dict[ids.ZoneId, float] = collections.defaultdict(float)
    for member in members:
        supply[member.zone] += member.weight / total
    demand = dict(hosts)
    own = demand.get(zone, 0.0)
    if own <= 0:
        return dict(supply)
    kept = min(own, supply.get(zone, 0.0))
    spare = {
        name: max(0.0, supply[name] - demand.get(name, 0.0)) for name in supply
    }
    room = sum(spare.values())
    spill = (own - kept) / own
    if room <= 0 or spill <= 0:
        return {zone: 1.0}
    shares = {name: spill * spare[name] / room for name in spare}
    shares[zone] = shares.get(zone, 0.0) + kept / own
    return shares


def _shares(
    members: tuple[Member, ...], zones: dict[ids.ZoneId, float]
) -> list[float]:
    """Return the share of each member in one table."""
    weight: dict[ids.ZoneId, float] = collections.defaultdict(float)
    for member in members:
        weight[member.zone] += member.weight
    return [
        zones.get(member.zone, 0.0) * member.weight / weight[member.zone]
        for member in members
    ]


def _quotas(shares: list[float]) -> list[int]:
    """Return whole slots for each share, by largest remainders."""
    exact = [share * _hashing.TABLE_SLOTS for share in shares]
    quotas = [int(value) for value in exact]
    order = sorted(range(len(exact)), key=lambda i: (quotas[i] - exact[i], i))
    for i in order[: _hashing.TABLE_SLOTS - sum(quotas)]:
        quotas[i] += 1
    return quotas


def build_table(
    members: tuple[Member, ...], hosts: Shares, zone: ids.ZoneId
) -> tuple[ids.UpstreamId, ...]:
    """Return the upstream of each slot.

    Slots and upstreams are matched by deferred acceptance: a slot proposes
    in order of its weighted rendezvous scores, a full upstream keeps the
    slots that score highest there.  So few slots move when the set changes.
    """
    shares = _shares(members, zone_shares(members, hosts, zone))
    quotas = _quotas(shares)
    held: list[list[tuple[float, int]]] = [[] for _ in members]
    choices: list[list[tuple[float, int]]] = []
    for slot in range(_hashing.TABLE_SLOTS):
        ranked = [
            (_hashing.weighted_score(member.seed, slot, share), i)
            for i, (member, share) in enumerate(zip(members, shares))
            if quotas[i]
        ]
        ranked.sort()
        choices.append(ranked)
    waiting = list(range(_hashing.TABLE_SLOTS))
    while waiting:
        slot = waiting.pop()
        points, i = choices[slot].pop()
        if len(held[i]) < quotas[i]:
            heapq.heappush(held[i], (points, slot))
            continue
        waiting.append(heapq.heappushpop(held[i], (points, slot))[1])
    table = [members[0].upstream] * _hashing.TABLE_SLOTS
    for i, slots in enumerate(held):
        for _, slot in slots:
            table[slot] = members[i].upstream
    return tuple(table)
