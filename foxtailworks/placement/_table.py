"""Computed table of one service, which maps slots to default upstreams.

The table of an availability zone prefers the upstreams of that zone.  Flows
above their capacity spill over to zones with spare capacity, so that over
all zones each upstream gets its share of the flows.
"""

import collections
from collections import abc
import dataclasses
import heapq

from foxtailworks import ids
from foxtailworks.placement import _hashing
from foxtailworks.placement import _types

WEIGHT_STEPS = 16
"""Weights are rounded to multiples of 1/16, so tables rarely change."""

ZoneShares = tuple[tuple[ids.ZoneId, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An upstream with a share in a table."""

    upstream: ids.UpstreamId
    """Address and incarnation of the upstream."""
    zone: ids.ZoneId
    """Its availability zone."""
    weight: float
    """Weight after rounding, above 0."""
    seed: int
    """Hash seed that is derived from the id."""


def round_weight(weight: float) -> float:
    """Round ``weight`` to steps; a weight above 0 stays above 0."""
    if weight <= 0:
        return 0.0
    return max(1, round(weight * WEIGHT_STEPS)) / WEIGHT_STEPS


def members_of(
    views: abc.Iterable[_types.UpstreamView],
) -> tuple[Member, ...]:
    """Return the upstreams with a weight above 0, sorted by id."""
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
    members: tuple[Member, ...], host_shares: ZoneShares, zone: ids.ZoneId
) -> dict[ids.ZoneId, float]:
    """Return the share of a zone's flows that each zone's upstreams get.

    :param host_shares: share of all flows that each zone's hosts own
    :param zone: zone whose table is computed
    """
    total = sum(member.weight for member in members)
    supply: dict[ids.ZoneId, float] = collections.defaultdict(float)
    for member in members:
        supply[member.zone] += member.weight / total
    demand = dict(host_shares)
    own = demand.get(zone, 0.0)
    if own <= 0:
        return dict(supply)
    kept = min(own, supply.get(zone, 0.0))
    spare = {
        name: max(0.0, supply[name] - demand.get(name, 0.0)) for name in supply
    }
    total_spare = sum(spare.values())
    spill = (own - kept) / own
    if total_spare <= 0 or spill <= 0:
        return {zone: 1.0}
    shares = {name: spill * spare[name] / total_spare for name in spare}
    shares[zone] = shares.get(zone, 0.0) + kept / own
    return shares


def _member_shares(
    members: tuple[Member, ...], zones: dict[ids.ZoneId, float]
) -> list[float]:
    """Return the share of each member in the table of one zone."""
    weight: dict[ids.ZoneId, float] = collections.defaultdict(float)
    for member in members:
        weight[member.zone] += member.weight
    return [
        zones.get(member.zone, 0.0) * member.weight / weight[member.zone]
        for member in members
    ]


def _quotas(shares: list[float]) -> list[int]:
    """Return the number of slots for each share, by largest remainders."""
    exact = [share * _hashing.TABLE_SLOTS for share in shares]
    quotas = [int(value) for value in exact]
    order = sorted(range(len(exact)), key=lambda i: (quotas[i] - exact[i], i))
    for i in order[: _hashing.TABLE_SLOTS - sum(quotas)]:
        quotas[i] += 1
    return quotas


def build_table(
    members: tuple[Member, ...], host_shares: ZoneShares, zone: ids.ZoneId
) -> tuple[ids.UpstreamId, ...]:
    """Return the default upstream of each slot.

    Slots and upstreams are matched by deferred acceptance: a slot proposes
    in order of its weighted rendezvous scores, a full upstream keeps the
    slots with the highest scores.  So few slots move when the set changes.
    """
    shares = _member_shares(members, zone_shares(members, host_shares, zone))
    quotas = _quotas(shares)
    accepted: list[list[tuple[float, int]]] = [[] for _ in members]
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
        score, i = choices[slot].pop()
        if len(accepted[i]) < quotas[i]:
            heapq.heappush(accepted[i], (score, slot))
            continue
        waiting.append(heapq.heappushpop(accepted[i], (score, slot))[1])
    table = [members[0].upstream] * _hashing.TABLE_SLOTS
    for i, slots in enumerate(accepted):
        for _, slot in slots:
            table[slot] = members[i].upstream
    return tuple(table)
