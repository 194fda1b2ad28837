"""Discovery of the other coordinators, starting from the seeds."""

from collections import abc

from foxtailworks.coordinator import _messages
from foxtailworks import ids
from foxtailworks import upkeep

PRESENCE_INTERVAL_S = 0.25
"""Interval between the presence messages of a coordinator."""
RECENT_S = 15.0
"""Time since the last contact after which an address isn't passed on."""
DROP_AFTER_S = 60.0
"""Time since the last contact after which a coordinator is discarded;
seeds stay."""
MAX_ADDRESSES = 64
"""Maximum number of known addresses, far above that of hosts with a disk."""


class Peers:
    """Addresses of the other coordinators and their last announcements.

    :param me: listen address of this coordinator
    :param seeds: listen addresses of coordinators to begin with
    :param now: monotonic seconds, as in all methods
    """

    def __init__(
        self, me: ids.Address, seeds: abc.Iterable[ids.Address], now: float
    ) -> None:
        self._me = me
        self._seeds = frozenset(seeds)
        self._last_contact_at: dict[ids.Address, float] = dict.fromkeys(
            self._seeds - {me}, now
        )
        self._statuses: dict[ids.KeeperId, upkeep.PeerStatus] = {}
        self._sessions: dict[ids.Address, int] = {}
        self._announced: set[ids.Address] = set()
        self._list_forms: dict[ids.Address, int] = {}

    @property
    def statuses(self) -> dict[ids.KeeperId, upkeep.PeerStatus]:
        """Last announcement of each identity."""
        return self._statuses

    def put_seeds(self, seeds: abc.Iterable[ids.Address], now: float) -> None:
        """Replace the seeds; addresses known otherwise stay."""
        self._seeds = frozenset(seeds)
        for address in self._seeds - {self._me}:
            self._last_contact_at.setdefault(address, now)

    def addresses(self) -> tuple[ids.Address, ...]:
        """Return all addresses that presence messages are sent to."""
        return tuple(self._last_contact_at)

    def reading_lists(self, form: int) -> frozenset[ids.Address]:
        """Return the addresses that announced that they read such lists.

        One that hasn't announced itself yet may have the last release.
        """
        return frozenset(
            address
            for address in self._last_contact_at
            if self._list_forms.get(address, 0) >= form
        )

    def recent_addresses(self, now: float) -> tuple[ids.Address, ...]:
        """Return the addresses with recent contact, and this one."""
        recent = (
            address
            for address in self._announced
            if now - self._last_contact_at.get(address, now - RECENT_S)
            < RECENT_S
        )
        return tuple(sorted((self._me, *recent)))

    def count_live(self, now: float, within_s: float) -> int:
        """Return how many others announced themselves within ``within_s``."""
        return sum(
            now - item.last_contact_at < within_s
            for item in self._statuses.values()
        )

    def update(self, msg: _messages.Presence, now: float) -> bool:
        """Record a presence message.

        :return: whether its sender has started since its last message
        """
        if msg.address == self._me:
            return False
        self._record(msg.address, now, is_direct=True)
        for address in msg.recent_addresses:
            self._record(address, now, is_direct=False)
        self._statuses[msg.keeper] = upkeep.PeerStatus(
            msg.keeper,
            msg.name,
            msg.address,
            msg.group,
            msg.is_first_start,
            now,
            _command_form(msg),
            msg.is_leaving,
        )
        has_restarted = self._sessions.get(msg.address) != msg.session
        self._sessions[msg.address] = msg.session
        self._list_forms[msg.address] = msg.list_form
        return has_restarted

    def on_tick(self, now: float) -> None:
        """Discard coordinators without contact for ``DROP_AFTER_S``."""
        for address, last_contact_at in list(self._last_contact_at.items()):
            if (
                address not in self._seeds
                and now - last_contact_at > DROP_AFTER_S
            ):
                del self._last_contact_at[address]
                self._announced.discard(address)
                self._list_forms.pop(address, None)
        for keeper, item in list(self._statuses.items()):
            if now - item.last_contact_at > DROP_AFTER_S:
                del self._statuses[keeper]

    def _record(
        self, address: ids.Address, now: float, is_direct: bool
    ) -> None:
        """Record an address.

        :param is_direct: whether the message came from the address itself
            and not from another coordinator that lists it
        """
        if address == self._me:
            return
        if (
            address not in self._last_contact_at
            and len(self._last_contact_at) >= MAX_ADDRESSES
        ):
            return
        if is_direct:
            self._announced.add(address)
            self._last_contact_at[address] = now
        else:
            self._last_contact_at.setdefault(address, now)


def _command_form(msg: _messages.Presence) -> int:
    """Return the form of commands that a coordinator applies.

    The release that first understood lists also applies evacuations, but
    doesn't tell.
    """
    return max(msg.command_form, int(msg.list_form > 0))
