"""Recovery of a restarted member, which must read the others' keys."""

import array
import dataclasses
import itertools
import typing

import xxhash

from foxtailworks import ids
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages

SETTLE_S = 3.0
REQUEST_INTERVAL_S = 0.5
MAX_PAGE_FINGERPRINTS = 250
MAX_PAGES = 8192
MAX_PAGES_IN_FLIGHT = 4


def fingerprint(key: ids.RequestKey) -> int:
    """Return a 32-bit digest of ``key``; a collision counts as recorded."""
    return xxhash.xxh32_intdigest(key)


def make_page(
    request: _messages.KeyPageRequest,
    known: typing.Iterable[int],
    has_hand_over: bool,
) -> _messages.KeyPage:
    """Return the requested page of fingerprints."""
    pages = max(1, min(request.pages, MAX_PAGES))
    found = array.array(
        "I", (item for item in known if item % pages == request.page)
    )
    if len(found) > MAX_PAGE_FINGERPRINTS:
        return _messages.KeyPage(request.page, request.pages, b"", True)
    return _messages.KeyPage(
        request.page, request.pages, found.tobytes(), False, has_hand_over
    )


@dataclasses.dataclass(slots=True)
class _Peer:
    """Progress of reading the keys of one host."""

    pages: int = 1
    read_pages: set[int] = dataclasses.field(default_factory=set)
    has_hand_over: bool = False
    """It has all that this host had recorded before a planned restart."""

    @property
    def is_complete(self) -> bool:
        """Return whether every page has been read."""
        return len(self.read_pages) == self.pages


class Recovery:
    """Determines which keys a restarted member can decide on.

    It can decide once the longest retention has passed since its start, or
    once it has read the keys of every other member of the key's groups and
    none has recorded the key.  After a planned restart, one member with its
    complete hand-over is enough.  Reading starts only after ``SETTLE_S``: by
    then each claim that counted a grant from before the restart has its other
    grants too, so that they are among the keys read.

    :param started_at: start of the process, in monotonic seconds
    :param retention_s: the longest retention of any contract, in seconds
    :param is_first_start: whether this host starts for the first time under
        its first roster
    """

    def __init__(
        self, started_at: float, retention_s: float, is_first_start: bool
    ) -> None:
        self._started_at = started_at
        self._is_first_start = is_first_start
        kept_s = retention_s + _groups.RETENTION_MARGIN_S
        self._complete_at = (
            started_at if is_first_start else started_at + kept_s
        )
        self._peers: dict[ids.HostId, _Peer] = {}
        self._known_fingerprints: set[int] = set()
        self._requested_at = started_at

    def set_retention(self, seconds: float) -> None:
        """Raise the longest retention; a shorter one is ignored."""
        if not self._is_first_start:
            complete_at = self._started_at + seconds
            self._complete_at = max(self._complete_at, complete_at)

    def is_complete(self, now: float) -> bool:
        """Return whether the member can decide on all keys."""
        return now >= self._complete_at

    def is_authoritative(
        self,
        now: float,
        key: ids.RequestKey,
        others: typing.Iterable[ids.HostId],
    ) -> bool:
        """Return whether the member can decide on ``key``."""
        if self.is_complete(now):
            return True
        peers = [self._peers.get(host) for host in others]
        complete = [item for item in peers if item and item.is_complete]
        is_read = len(complete) == len(peers)
        if not is_read and not any(item.has_hand_over for item in complete):
            return False
        return fingerprint(key) not in self._known_fingerprints

    def requests_due(
        self,
        now: float,
        hosts: typing.Iterable[ids.HostId],
        incarnation: ids.Incarnation,
    ) -> list[tuple[ids.HostId, _messages.KeyPageRequest]]:
        """Return the page requests that are due, with their receivers."""
        if (
            self.is_complete(now)
            or now < self._requested_at + REQUEST_INTERVAL_S
        ):
            return []
        if now < self._started_at + SETTLE_S:
            return []
        self._requested_at = now
        due = []
        for host in hosts:
            peer = self._peers.setdefault(host, _Peer())
            pages = self._missing_pages(peer)
            due += [
                (
                    host,
                    _messages.KeyPageRequest(page, peer.pages, incarnation),
                )
                for page in pages
            ]
        return due

    def on_page(self, host: ids.HostId, page: _messages.KeyPage) -> None:
        """Process a page; if it was too large, restart with more pages."""
        peer = self._peers.get(host)
        if peer is None or page.pages != peer.pages:
            return
        if page.is_too_large:
            peer.pages = min(peer.pages * 4, MAX_PAGES)
            peer.read_pages.clear()
            return
        if peer.read_pages and peer.has_hand_over is not page.has_hand_over:
            # The other host has restarted meanwhile: read all its pages again.
            peer.read_pages.clear()
        peer.has_hand_over = page.has_hand_over
        if len(page.fingerprints) % 4 or not 0 <= page.page < peer.pages:
            return
        self._known_fingerprints.update(array.array("I", page.fingerprints))
        peer.read_pages.add(page.page)

    def _missing_pages(self, peer: _Peer) -> list[int]:
        """Return the next pages to request, up to the limit in flight."""
        left = (
            page for page in range(peer.pages) if page not in peer.read_pages
        )
        return list(itertools.islice(left, MAX_PAGES_IN_FLIGHT))
