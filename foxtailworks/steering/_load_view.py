"""Choice of an upstream by the load of all hosts' requests.

Designed for 72 hosts before 60 upstreams of 2 slots, at up to 2.4 times the
usual load for 6 s, when a host has 0.6 flows on average and can't tell a free
upstream from a full one by its own flows.

The view is about 0.2 s old and a request takes 60 ms.  So it shows lasting
conditions, and hosts must not all choose the upstream that is the least
loaded in it: they draw one, with weights that grow with its free capacity.
"""

from collections import abc
import random

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks.steering import _config
from foxtailworks.steering import _flows
from foxtailworks.steering import _tokens
from foxtailworks.steering import _zone_share

Penalty = abc.Callable[[discovery.KnownInstance], float]
_Candidate = tuple[discovery.KnownInstance, float]
# Candidate and how many more requests it takes.


class LoadView:
    """View of the load, merged with this host's own flows.

    :param flows: this host's own flows
    :param tokens: finds the instances that a view lists
    :param zone: availability zone of this host
    """

    def __init__(
        self,
        flows: _flows.Flows,
        tokens: _tokens.TokenIndex,
        zone: ids.ZoneId,
        rng: random.Random,
        config: _config.Config,
    ) -> None:
        self._flows = flows
        self._tokens = tokens
        self._zone = zone
        self._rng = rng
        self._cfg = config
        self._seen: dict[_flows.InstanceKey, int] = {}
        self._reported: dict[_flows.InstanceKey, int] = {}
        self._included: dict[_flows.InstanceKey, int] = {}
        self._put_at = float("-inf")
        self._shares: dict[ids.ServiceId, _zone_share.ZoneShare] = {}
        self.sent_away_count = 0
        """New flows sent to another zone, which had more free capacity."""

    @property
    def listed_count(self) -> int:
        """Number of known upstreams in the last view."""
        return len(self._seen)

    @property
    def has_own_load(self) -> bool:
        """Whether this host has requests in progress."""
        return bool(self._flows.busy_counts())

    def age_s(self, now: float) -> float:
        """Return the time since the last view; infinite before the first."""
        return now - self._put_at

    def is_valid(self, now: float) -> bool:
        """Return whether the choice of an upstream uses the view."""
        return self.age_s(now) < self._cfg.view_valid_s

    def take_report(self) -> dict[int, int]:
        """Return this host's requests in progress, to be reported now."""
        self._reported = self._flows.busy_counts()
        return {
            _tokens.token_of(*key): count
            for key, count in self._reported.items()
        }

    def put(self, loads: abc.Mapping[int, int], now: float) -> None:
        """Replace the view; upstreams that aren't known here are left out."""
        known = (
            (self._tokens.find(_tokens.Token(token)), count)
            for token, count in loads.items()
        )
        self._seen = {
            item.instance.key: count
            for item, count in known
            if item is not None
        }
        self._included = self._reported
        self._put_at = now

    def choose(
        self,
        candidates: abc.Sequence[discovery.KnownInstance],
        penalty: Penalty,
    ) -> discovery.KnownInstance | None:
        """Return a candidate; None without any.

        Drawn are those with the fewest requests of this host: on a played day
        without this rule, upstreams reset connections over their cap.

        :param penalty: returns the evidence against a candidate; by so many
            requests per slot of this host the others must be more loaded
        """
        if not candidates:
            return None
        usable = _keep_least(
            self._without_full(candidates),
            lambda item: self._own_load(item.instance) + penalty(item),
        )
        rooms = [(item, self._room(item.instance)) for item in usable]
        zone = self._draw_zone(rooms, candidates)
        near = [pair for pair in rooms if pair[0].instance.zone == zone]
        chosen = self._pick(near or rooms)
        self.sent_away_count += chosen.instance.zone != self._zone
        return chosen

    def load(self, key: _flows.InstanceKey) -> int:
        """Return the number of requests in progress at an upstream.

        The view contains this host's last report before it; the flows that
        were placed or have ended since then are corrected for.
        """
        own = self._flows.busy_count(key)
        since = own - self._included.get(key, 0)
        return max(own, self._seen.get(key, 0) + since)

    def _own_load(self, instance: discovery.Instance) -> float:
        """Return this host's requests in progress, per slot."""
        own = self._flows.busy_count(instance.key)
        return own / max(1, instance.slots)

    def _room(self, instance: discovery.Instance) -> float:
        """Return how many more requests an upstream takes.

        A cold one counts as more loaded, as without a view.
        """
        slots = max(1, instance.slots)
        cold_load = self._cfg.cold_load * slots * bool(instance.cold_ms)
        load = self.load(instance.key) + cold_load
        return max(0.0, slots + self._cfg.upstream_queue - load)

    def _without_full(
        self, candidates: abc.Sequence[discovery.KnownInstance]
    ) -> abc.Sequence[discovery.KnownInstance]:
        """Return the candidates that aren't full, or all if few are left.

        All hosts see the same few, and would fill them within the age of a
        view.
        """
        free = [item for item in candidates if self._room(item.instance)]
        return free if 2 * len(free) >= len(candidates) else candidates

    def _pick(
        self, usable: abc.Sequence[_Candidate]
    ) -> discovery.KnownInstance:
        """Draw a candidate by its free capacity, within limits.

        Free slots count no more than an empty queue, and one nearly full
        keeps a small weight: the view is older than a request lasts, so hosts
        would all meet at the few upstreams that it shows with most room.
        """
        queue = self._cfg.upstream_queue
        weights = [
            min(1.0, max(self._cfg.full_weight, room / queue))
            for _, room in usable
        ]
        items = [item for item, _ in usable]
        return self._rng.choices(items, weights)[0]

    def _draw_zone(
        self,
        usable: abc.Sequence[_Candidate],
        candidates: abc.Sequence[discovery.KnownInstance],
    ) -> ids.ZoneId:
        """Draw the zone for a new flow; other zones get the excess only."""
        service = candidates[0].instance.service
        share = self._shares.setdefault(
            service, _zone_share.ZoneShare(self._zone, self._cfg)
        )
        if share.updated_at < self._put_at:
            share.update(self._zone_loads(candidates), self._put_at)
        if self._rng.random() >= share.away:
            return self._zone
        rooms = _zone_share.sum_by_zone(
            (item.instance.zone, room)
            for item, room in usable
            if item.instance.zone != self._zone
        )
        if not any(rooms.values()):
            return self._zone
        return self._rng.choices(list(rooms), list(rooms.values()))[0]

    def _zone_loads(
        self, candidates: abc.Sequence[discovery.KnownInstance]
    ) -> dict[ids.ZoneId, _zone_share.ZoneLoad]:
        """Return the requests and slots of each zone of a service."""
        slots = _zone_share.sum_by_zone(
            (item.instance.zone, max(1, item.instance.slots))
            for item in candidates
        )
        loads = _zone_share.sum_by_zone(
            (item.instance.zone, self.load(item.instance.key))
            for item in candidates
        )
        return {
            zone: _zone_share.ZoneLoad(loads[zone], count)
            for zone, count in slots.items()
        }


def _keep_least(
    items: abc.Sequence[discovery.KnownInstance],
    rating: abc.Callable[[discovery.KnownInstance], float],
) -> list[discovery.KnownInstance]:
    """Return the items with the lowest rating."""
    rated = [(rating(item), item) for item in items]
    lowest = min(rate for rate, _ in rated)
    return [item for rate, item in rated if rate <= lowest]
