"""Reassembly of contract updates from their chunks."""

from foxtailworks.contracts import _distribution_messages
from foxtailworks.contracts import _view
from foxtailworks import errors
from foxtailworks import ids

MAX_UPDATES = 4
"""Updates reassembled at the same time; the least recent is dropped first."""
EXPIRY_S = 60.0
"""Seconds without a new chunk after which an update is dropped."""

_Key = tuple[ids.Version, ids.Version, int, int]


class ChunkAssembler:
    """Chunks by update, received from any number of hosts."""

    def __init__(self) -> None:
        self._chunks: dict[
            _Key, dict[int, _distribution_messages.UpdateChunk]
        ] = {}
        self._updated_at: dict[_Key, float] = {}

    def add(
        self, chunk: _distribution_messages.UpdateChunk, now: float
    ) -> _view.Update | None:
        """Add a chunk; return the update once it is complete.

        :raises FoxtailError: ``MESSAGE_MALFORMED``
        """
        if (
            not 0
            <= chunk.index
            < chunk.total
            <= _distribution_messages.MAX_CHUNKS
        ):
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "the index of a chunk is out of range",
            )
        key = (chunk.since, chunk.version, chunk.checksum, chunk.total)
        chunks = self._get_or_create(key, now)
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.total:
            return None
        self._remove(key)
        return _distribution_messages.unpack(
            [chunks[n] for n in range(chunk.total)]
        )

    def expire(self, now: float) -> None:
        """Drop updates that have received no chunk for ``EXPIRY_S``."""
        for key, at in list(self._updated_at.items()):
            if now - at > EXPIRY_S:
                self._remove(key)

    def _get_or_create(
        self, key: _Key, now: float
    ) -> dict[int, _distribution_messages.UpdateChunk]:
        """Return the chunks of one update, a new table if need be."""
        if key not in self._chunks and len(self._chunks) >= MAX_UPDATES:
            oldest = min(self._updated_at, key=lambda k: self._updated_at[k])
            self._remove(oldest)
        self._updated_at[key] = now
        return self._chunks.setdefault(key, {})

    def _remove(self, key: _Key) -> None:
        """Remove the chunks of one update."""
        del self._chunks[key]
        del self._updated_at[key]
