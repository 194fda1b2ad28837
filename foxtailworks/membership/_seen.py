"""Memory of items that were taken in lately."""

import xxhash

ROTATE_S = 30.0
MAX_ITEMS = 8_192


class SeenItems:
    """Tells items that came before, so that they aren't decoded again.

    Two generations: an item is remembered for 30 to 60 s.
    """

    def __init__(self, now: float) -> None:
        self._new: set[int] = set()
        self._old: set[int] = set()
        self._rotated_at = now

    def add(self, item: bytes) -> bool:
        """Remember ``item``; tell whether it is new."""
        key = xxhash.xxh64_intdigest(item)
        if key in self._new or key in self._old:
            return False
        if len(self._new) >= MAX_ITEMS:
            self._rotate()
        self._new.add(key)
        return True

    def _rotate(self) -> None:
        """Forget the older generation."""
        self._old, self._new = self._new, set()

    def on_tick(self, now: float) -> None:
        """Rotate the generations when it is time."""
        if now - self._rotated_at >= ROTATE_S:
            self._rotated_at = now
            self._rotate()
