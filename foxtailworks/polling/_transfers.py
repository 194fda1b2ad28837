"""Large answers, which an edge host requests part by part.

An answer that brings a whole table takes many datagrams.  Coordinators that
all sent theirs at once would fill the link of a small host, so that parts
get lost and the next polls ask for all of them again.  So a host grants how
many parts may come: few with a poll, the rest by request, from one
coordinator at a time, and only those that are missing.
"""

from collections import abc
import dataclasses

from foxtailworks import ids

MAX_OUTSTANDING = 24
"""Most parts granted or requested and not received, from all coordinators:
29 KB, which take 0.12 s on a link of 2 Mbit/s."""
FIRST_PARTS = 8
"""Parts of an answer that a coordinator may send without a request."""
MIN_TIMEOUT_S = 0.1
"""First time after which a part that hasn't arrived counts as lost."""
MAX_TIMEOUT_S = 1.6
"""Longest such time; it doubles with each loss in a row."""
MAX_FAILURES = 2
"""Timeouts in a row without any part after which a download ends."""
_MAX_DOUBLINGS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class MissingParts:
    """Parts of a large answer to request now."""

    source: ids.Address
    """Coordinator that sends the answer."""
    number: int
    """Number of the message."""
    indexes: tuple[int, ...]
    """Positions of the parts."""


@dataclasses.dataclass(slots=True)
class _Grant:
    """Parts that a coordinator may send with its answer to a poll."""

    parts: int
    """Number of parts that haven't arrived."""
    expires_at: float
    """Time at which they count as lost, monotonic seconds."""


@dataclasses.dataclass(slots=True)
class _Download:
    """The large answer that is being received."""

    source: ids.Address
    """Coordinator that sends it."""
    number: int
    """Number of the message."""
    missing: abc.Set[int]
    """Parts that haven't arrived."""
    requested: set[int]
    """Those of them that were granted or requested."""
    timeout_at: float
    """Time at which requested parts count as lost, monotonic seconds."""
    window: int = FIRST_PARTS
    """Most parts requested at a time."""
    failures: int = 0
    """Timeouts in a row without any part."""


class Transfers:
    """Decides which parts of large answers a host asks for.

    At no time are more than ``MAX_OUTSTANDING`` parts outstanding, whatever
    the number of coordinators.  Times are monotonic seconds.

    Example::

        poll = Poll(..., max_parts=transfers.grant(address, True, now))
        transfers.on_part(address, number, missing, now)
        for due in transfers.due(now):
            send(PartRequest.of(due.number, due.indexes), due.source)
    """

    def __init__(self) -> None:
        self._grants: dict[ids.Address, _Grant] = {}
        self._download: _Download | None = None
        self._deferred: dict[ids.Address, None] = {}
        self._losses = 0
        self.abandoned_count = 0
        """Downloads that ended without the whole answer."""
        self.repeated_count = 0
        """Parts that were requested again."""

    @property
    def is_downloading(self) -> bool:
        """Whether parts of a large answer are awaited."""
        return self._download is not None

    @property
    def outstanding(self) -> int:
        """Number of parts granted or requested and not received."""
        granted = sum(item.parts for item in self._grants.values())
        requested = len(self._download.requested) if self._download else 0
        return granted + requested

    def grant(
        self, source: ids.Address, is_responsive: bool, now: float
    ) -> int:
        """Return how many parts a polled coordinator may send at once.

        :param is_responsive: whether it has answered the last poll; some
            parts are reserved for those that have
        """
        self._expire_grants(now)
        if self._download is not None or source in self._grants:
            return 0
        limit = MAX_OUTSTANDING - (0 if is_responsive else FIRST_PARTS)
        parts = max(0, min(FIRST_PARTS, limit - self.outstanding))
        if parts:
            expires_at = now + _timeout_s(self._losses)
            self._grants[source] = _Grant(parts, expires_at)
        assert self.outstanding <= MAX_OUTSTANDING
        return parts

    def on_part(
        self,
        source: ids.Address,
        number: int,
        missing: abc.Set[int],
        now: float,
    ) -> None:
        """Record a part of a large answer.

        :param number: number of the message among those of its sender
        :param missing: parts of it that haven't arrived
        """
        grant = self._grants.get(source)
        if grant is not None:
            grant.parts = max(0, grant.parts - 1)
        download = self._download
        if download is None:
            download = self._begin(source, number, missing, now)
        elif (source, number) != (download.source, download.number):
            self._deferred[source] = None
            return
        arrived = download.requested - missing
        download.requested -= arrived
        download.window = min(MAX_OUTSTANDING, download.window + len(arrived))
        download.missing = missing
        download.failures = 0
        download.timeout_at = now + MIN_TIMEOUT_S
        if not missing:
            self._download = None
            self._losses = 0

    def on_answer(self, source: ids.Address, is_whole: bool) -> None:
        """Record an answer other than a part.

        :param is_whole: false for a summary, after which a large answer
            remains to be asked for
        """
        self._grants.pop(source, None)
        if is_whole:
            self._losses = 0
            self._deferred.pop(source, None)
        else:
            self._deferred[source] = None

    def on_parts_gone(self, source: ids.Address, number: int) -> None:
        """End a download whose coordinator no longer has the answer."""
        download = self._download
        if download is not None and (
            (source, number) == (download.source, download.number)
        ):
            self._abandon(download)

    def take_deferred(self) -> ids.Address | None:
        """Return and remove a coordinator to poll for its large answer."""
        if self._download is not None or not self._deferred:
            return None
        source = next(iter(self._deferred))
        del self._deferred[source]
        return source

    def due(self, now: float) -> abc.Iterator[MissingParts]:
        """Yield the parts to request now."""
        self._expire_grants(now)
        download = self._download
        if download is None:
            return
        if now >= download.timeout_at:
            self._retry(download, now)
        if self._download is None:
            return
        indexes = self._take_indexes(download)
        assert self.outstanding <= MAX_OUTSTANDING
        if indexes:
            yield MissingParts(download.source, download.number, indexes)

    def _begin(
        self,
        source: ids.Address,
        number: int,
        missing: abc.Set[int],
        now: float,
    ) -> _Download:
        """Begin a download with the first part of a large answer."""
        grant = self._grants.pop(source, None)
        granted = sorted(missing)[: grant.parts if grant else 0]
        self._download = _Download(
            source, number, missing, set(granted), now + MIN_TIMEOUT_S
        )
        return self._download

    def _take_indexes(self, download: _Download) -> tuple[int, ...]:
        """Return the parts to request now, and record that they are.

        None until half of the window has arrived, so that one request asks
        for several.
        """
        granted = sum(item.parts for item in self._grants.values())
        room = min(download.window, MAX_OUTSTANDING - granted)
        if 2 * len(download.requested) > room:
            return ()
        wanted = sorted(download.missing - download.requested)
        indexes = wanted[: max(0, room - len(download.requested))]
        download.requested.update(indexes)
        return tuple(indexes)

    def _retry(self, download: _Download, now: float) -> None:
        """Take requested parts for lost, or give up the download."""
        self._losses += 1
        download.failures += 1
        if download.failures > MAX_FAILURES:
            self._abandon(download)
            return
        self.repeated_count += len(download.requested)
        download.requested.clear()
        download.window = max(1, download.window // 2)
        download.timeout_at = now + _timeout_s(download.failures)

    def _abandon(self, download: _Download) -> None:
        """End a download before the whole answer has arrived."""
        self._download = None
        self._deferred[download.source] = None
        self.abandoned_count += 1

    def _expire_grants(self, now: float) -> None:
        """Take granted parts that are overdue for lost."""
        expired = [
            source
            for source, item in self._grants.items()
            if item.expires_at <= now
        ]
        for source in expired:
            del self._grants[source]
        self._losses += bool(expired)


def _timeout_s(losses: int) -> float:
    """Return a timeout that doubles with each loss in a row."""
    doublings = min(losses, _MAX_DOUBLINGS)
    return min(MAX_TIMEOUT_S, MIN_TIMEOUT_S * (1 << doublings))
