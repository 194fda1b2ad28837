"""Duplicate filter for received records."""

import xxhash

ROTATE_S = 30.0
MAX_ITEMS = 8_192


class SeenItems:
    """Two-generation set of item hashes, which saves decoding duplicates.

    An item stays for 30 to 60 s, or shorter when many items arrive.
    """

    def __init__(self, now: float) -> None:
        self._new: set[int] = set()
        self._old: set[int] = set()
        self._rotated_at = now

    def add(self, item: bytes) -> bool:
        """Add ``item``; return whether it is new."""
        key = xxhash.xxh64_intdigest(item)
        if key in self._new or key in self._old:
            return False
        if len(self._new) >= MAX_ITEMS:
            self._rotate()
        self._new.add(key)
        return True

    def _rotate(self) -> None:
        """Discard the older generation and start a new one."""
        self._old, self._new = self._new, set()

    def on_tick(self, now: float) -> None:
        """Rotate the generations every 30 s."""
        if now - self._rotated_at >= ROTATE_S:
            self._rotated_at = now
            self._rotate()
