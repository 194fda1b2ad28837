"""What a restarted member must read before it may vouch for a key."""

import array
import dataclasses
import itertools
import typing

import xxhash

from foxtailworks import ids
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages

SETTLE_S = 3.0
ASK_EVERY_S = 0.5
MAX_PAGE_FINGERPRINTS = 250
MAX_PAGES = 8192
PAGES_IN_FLIGHT = 4


def fingerprint(key: ids.RequestKey) -> int:
    """Return four bytes that stand for ``key``; equal ones are refused."""
    return xxhash.xxh32_intdigest(key)


def make_page(
    request: _messages.PageRequest,
    known: typing.Iterable[int],
    is_heir: bool,
) -> _messages.Page:
    """Return the fingerprints of one page."""
    pages = max(1, min(request.pages, MAX_PAGES))
    found = array.array(
        "I", (item for item in known if item % pages == request.page)
    )
    if len(found) > MAX_PAGE_FINGERPRINTS:
        return _messages.Page(request.page, request.pages, b"", True)
    return _messages.Page(
        request.page, request.pages, found.tobytes(), False, is_heir
    )


@dataclasses.dataclass(slots=True)
class _Peer:
    """What has been read of one host."""

    pages: int = 1
    done: set[int] = dataclasses.field(default_factory=set)
    is_heir: bool = False
    """It keeps all that this host knew before its planned restart."""

    @property
    def is_whole(self) -> bool:
        """Return whether every page was read."""
        return len(self.done) == self.pages


class Recovery:
    """Tells whether a member that restarted may vouch for a key.

    It may once the longest retention has passed since its start, or once it
    has read every other member of the key's groups and none remembers the
    key.  After a planned restart one that has kept its hand-over is enough.
    It asks only after ``SETTLE_S``: by then each claim that counted a
    grant from before the restart has its other grants too, so that they are
    in what is read.

    :param started_at: when the process started
    :param retention_s: the longest retention of any contract
    :param fresh: the first start of this host under its first roster
    """

    def __init__(
        self, started_at: float, retention_s: float, is_first_start: bool
    ) -> None:
        self._started_at = started_at
        self._is_fresh = is_first_start
        kept_s = retention_s + _groups.KEEP_SLACK_S
        self._over_at = started_at if is_first_start else started_at + kept_s
        self._peers: dict[ids.HostId, _Peer] = {}
        self._seen: set[int] = set()
        self._asked_at = started_at

    def set_retention(self, seconds: float) -> None:
        """Take in a longer retention; a shorter one changes nothing."""
        if not self._is_fresh:
            over_at = self._started_at + seconds
            self._over_at = max(self._over_at, over_at)

    def is_over(self, now: float) -> bool:
        """Return whether the member may vouch for all keys."""
        return now >= self._over_at

    def vouches(
        self,
        now: float,
        key: ids.RequestKey,
        others: typing.Iterable[ids.HostId],
    ) -> bool:
        """Return whether the member knows all it may have granted."""
        if self.is_over(now):
            return True
        peers = [self._peers.get(host) for host in others]
        whole = [item for item in peers if item and item.is_whole]
        is_read = len(whole) == len(peers)
        if not is_read and not any(item.is_heir for item in whole):
            return False
        return fingerprint(key) not in self._seen

    def ask(
        self,
        now: float,
        hosts: typing.Iterable[ids.HostId],
        incarnation: ids.Incarnation,
    ) -> list[tuple[ids.HostId, _messages.PageRequest]]:
        """Return what to ask of which host now."""
        if self.is_over(now) or now < self._asked_at + ASK_EVERY_S:
            return []
        if now < self._started_at + SETTLE_S:
            return []
        self._asked_at = now
        asked = []
        for host in hosts:
            peer = self._peers.setdefault(host, _Peer())
            pages = self._missing(peer)
            asked += [
                (
                    host,
                    _messages.PageRequest(page, peer.pages, incarnation),
                )
                for page in pages
            ]
        return asked

    def read(self, host: ids.HostId, page: _messages.Page) -> None:
        """Take in a page; the pages restart when they are too large."""
        peer = self._peers.get(host)
        if peer is None or page.pages != peer.pages:
            return
        if page.too_many:
            peer.pages = min(peer.pages * 4, MAX_PAGES)
            peer.done.clear()
            return
        if peer.done and peer.is_heir is not page.is_heir:
            # The other host has restarted meanwhile: read it anew.
            peer.done.clear()
        peer.is_heir = page.is_heir
        if len(page.fingerprints) % 4 or not 0 <= page.page < peer.pages:
            return
        self._seen.update(array.array("I", page.fingerprints))
        peer.done.add(page.page)

    def _missing(self, peer: _Peer) -> list[int]:
        """Return the next few pages to ask for."""
        left = (page for page in range(peer.pages) if page not in peer.done)
        return list(itertools.islice(left, PAGES_IN_FLIGHT))
