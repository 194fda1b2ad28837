"""The other coordinators: found from seeds, heard of lately."""

from collections import abc

from foxtailworks.coordinator import _messages
from foxtailworks import ids
from foxtailworks import upkeep

PRESENCE_S = 0.25
"""A coordinator says so often that it is there."""
KNOWN_S = 15.0
"""An address unheard for so long is passed on no more."""
FORGET_S = 60.0
"""An address unheard for so long is dropped, unless it is a seed."""
MAX_KNOWN = 64
"""Cap of the addresses; far more than hosts with a disk."""


class Peers:
    """Which coordinators there are, and what each said of itself."""

    def __init__(
        self, me: ids.Address, seeds: abc.Iterable[ids.Address], now: float
    ) -> None:
        self._me = me
        self._seeds = frozenset(seeds)
        self._heard: dict[ids.Address, float] = dict.fromkeys(
            self._seeds - {me}, now
        )
        self._sightings: dict[ids.KeeperId, upkeep.PeerStatus] = {}
        self._sessions: dict[ids.Address, int] = {}
        self._present: set[ids.Address] = set()

    @property
    def sightings(self) -> dict[ids.KeeperId, upkeep.PeerStatus]:
        """What each identity said last."""
        return self._sightings

    def put_seeds(self, seeds: abc.Iterable[ids.Address], now: float) -> None:
        """Take other seeds; what is known otherwise stays."""
        self._seeds = frozenset(seeds)
        for address in self._seeds - {self._me}:
            self._heard.setdefault(address, now)

    def addresses(self) -> tuple[ids.Address, ...]:
        """Return every address that presence is told to."""
        return tuple(self._heard)

    def known(self, now: float) -> tuple[ids.Address, ...]:
        """Return the addresses heard lately, the own one included."""
        heard = (
            address
            for address in self._present
            if now - self._heard.get(address, now - KNOWN_S) < KNOWN_S
        )
        return tuple(sorted((self._me, *heard)))

    def live(self, now: float, within_s: float) -> int:
        """Return how many others were heard within a time."""
        return sum(
            now - item.heard_at < within_s for item in self._sightings.values()
        )

    def take(self, msg: _messages.Presence, now: float) -> bool:
        """Take a presence; true when its sender has just started."""
        if msg.address == self._me:
            return False
        self._note(msg.address, now, heard=True)
        for address in msg.known:
            self._note(address, now, heard=False)
        self._sightings[msg.keeper] = upkeep.PeerStatus(
            msg.keeper, msg.name, msg.address, msg.group, msg.founder, now
        )
        is_new = self._sessions.get(msg.address) != msg.session
        self._sessions[msg.address] = msg.session
        return is_new

    def on_tick(self, now: float) -> None:
        """Forget what is long silent."""
        for address, heard_at in list(self._heard.items()):
            if address not in self._seeds and now - heard_at > FORGET_S:
                del self._heard[address]
                self._present.discard(address)
        for keeper, item in list(self._sightings.items()):
            if now - item.heard_at > FORGET_S:
                del self._sightings[keeper]

    def _note(self, address: ids.Address, now: float, heard: bool) -> None:
        """Keep an address, heard itself or named by another."""
        if address == self._me:
            return
        if address not in self._heard and len(self._heard) >= MAX_KNOWN:
            return
        if heard:
            self._present.add(address)
            self._heard[address] = now
        else:
            self._heard.setdefault(address, now)
