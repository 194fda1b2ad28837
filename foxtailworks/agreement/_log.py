"""The part of the replicated log that a replica keeps in memory."""

from collections import abc

from foxtailworks.agreement import _messages
from foxtailworks import errors


class Log:
    """Log entries after a base index, and the memberships among them.

    :param base_index: index of the entry before the first one kept
    :param base_term: term of the entry at ``base_index``
    :param membership: membership as of ``membership_index``
    """

    def __init__(
        self,
        base_index: int,
        base_term: int,
        membership: _messages.Membership,
        membership_index: int,
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[_messages.Entry] = []
        self._memberships = [(membership_index, membership)]

    @property
    def last_index(self) -> int:
        """Index of the last entry, committed or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at ``last_index``."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> _messages.Membership:
        """The newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry with the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> _messages.Membership:
        """Return the membership in effect after the entry at ``index``."""
        known = (m for at, m in reversed(self._memberships) if at <= index)
        return next(known, self._memberships[0][1])

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it isn't in memory."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def slice(
        self, first: int, last: int, limit_bytes: int | None = None
    ) -> tuple[_messages.Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included.

        :param limit_bytes: cap of their data; the first entry is always
            returned
        """
        start = first - self.base_index - 1
        found = self._entries[start : last - self.base_index]
        if limit_bytes is None:
            return tuple(found)
        return tuple(_within_limit(found, limit_bytes))

    def append(self, entries: abc.Iterable[_messages.Entry]) -> None:
        """Append entries; remove a conflicting tail first.

        :raises FoxtailError: ``INTERNAL`` if an index is skipped
        """
        for item in entries:
            if item.index <= self.last_index:
                self._truncate(item.index)
            if item.index != self.last_index + 1:
                raise errors.FoxtailError(
                    errors.Code.INTERNAL,
                    "the log would have a gap",
                    index=item.index,
                )
            self._entries.append(item)
            self._record_membership(item)

    def first_of_term(self, index: int) -> int:
        """Return the first index in memory with the term of ``index``."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def drop_up_to(self, index: int) -> None:
        """Discard the entries up to ``index``, which becomes the base.

        :raises FoxtailError: ``INTERNAL`` if ``index`` isn't in memory
        """
        term = self.term_at(index)
        if term is None:
            raise errors.FoxtailError(
                errors.Code.INTERNAL,
                "the new base isn't in the log",
                index=index,
            )
        self._entries = self._entries[index - self.base_index :]
        self.base_index, self.base_term = index, term
        self._drop_memberships(index)

    def _truncate(self, index: int) -> None:
        """Remove the entries and memberships from ``index`` on."""
        del self._entries[index - self.base_index - 1 :]
        while len(self._memberships) > 1 and self.membership_index >= index:
            self._memberships.pop()

    def _record_membership(self, item: _messages.Entry) -> None:
        """Record a membership as soon as it is in the log."""
        if item.index <= self.membership_index:
            # The snapshot's membership is newer than this one.
            return
        if item.kind is _messages.EntryKind.MEMBERSHIP:
            decoded = _messages.decode_membership(item.data)
            self._memberships.append((item.index, decoded))

    def _drop_memberships(self, index: int) -> None:
        """Discard all memberships before the one in effect at ``index``."""
        while len(self._memberships) > 1 and self._memberships[1][0] <= index:
            self._memberships.pop(0)


def _within_limit(
    entries: abc.Iterable[_messages.Entry], limit_bytes: int
) -> abc.Iterator[_messages.Entry]:
    """Yield entries up to a total size, and at least the first one."""
    size = 0
    for item in entries:
        size += len(item.data)
        if size > limit_bytes and size != len(item.data):
            return
        yield item
