"""Puts the pieces of updates together."""

from foxtailworks.contracts import _distribution_messages
from foxtailworks.contracts import _view
from foxtailworks import errors
from foxtailworks import ids

MAX_UPDATES = 4
"""Updates that are put together at once; the oldest goes first."""
EXPIRY_S = 60.0
"""An update without a new piece for so long is dropped."""

_Key = tuple[ids.Version, ids.Version, int, int]


class Assembly:
    """Pieces by update; any host may have sent them."""

    def __init__(self) -> None:
        self._parts: dict[
            _Key, dict[int, _distribution_messages.UpdateChunk]
        ] = {}
        self._touched: dict[_Key, float] = {}

    def add(
        self, piece: _distribution_messages.UpdateChunk, now: float
    ) -> _view.Update | None:
        """Take a piece; return the update when it is whole.

        :raises FoxtailError: ``MESSAGE_MALFORMED``
        """
        if (
            not 0
            <= piece.number
            < piece.total
            <= _distribution_messages.MAX_PIECES
        ):
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED, "no such piece"
            )
        key = (piece.since, piece.version, piece.check, piece.total)
        parts = self._open(key, now)
        parts[piece.number] = piece
        if len(parts) < piece.total:
            return None
        self._close(key)
        return _distribution_messages.unpack(
            [parts[n] for n in range(piece.total)]
        )

    def expire(self, now: float) -> None:
        """Drop what got no piece for long."""
        for key, at in list(self._touched.items()):
            if now - at > EXPIRY_S:
                self._close(key)

    def _open(
        self, key: _Key, now: float
    ) -> dict[int, _distribution_messages.UpdateChunk]:
        """Return the parts of one update."""
        if key not in self._parts and len(self._parts) >= MAX_UPDATES:
            oldest = min(self._touched, key=lambda k: self._touched[k])
            self._close(oldest)
        self._touched[key] = now
        return self._parts.setdefault(key, {})

    def _close(self, key: _Key) -> None:
        """Forget one update."""
        del self._parts[key]
        del self._touched[key]
