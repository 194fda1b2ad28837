"""Sets of fingerprints, packed as variable-length gaps in sorted order."""

from collections import abc

from foxtailworks.placement import _hashing

_MORE = 0x80
_LOW = 0x7F
_LIMIT = 1 << _hashing.FINGERPRINT_BITS


def _append_gap(out: bytearray, gap: int) -> None:
    """Append ``gap``, seven bits a byte."""
    while gap > _LOW:
        out.append(gap & _LOW | _MORE)
        gap >>= 7
    out.append(gap)


def pack(marks: abc.Iterable[int], limit: int) -> abc.Iterator[bytes]:
    """Yield the sorted ``marks`` in pieces of at most ``limit`` bytes."""
    out = bytearray()
    last = 0
    for mark in sorted(marks):
        piece = bytearray()
        _append_gap(piece, mark - last)
        if len(out) + len(piece) > limit:
            yield bytes(out)
            out = bytearray()
            piece = bytearray()
            _append_gap(piece, mark)
        out += piece
        last = mark
    if out:
        yield bytes(out)


def unpack(data: bytes) -> abc.Iterator[int]:
    """Yield the fingerprints in ``data``; stop at what can't be one."""
    mark = 0
    gap = 0
    shift = 0
    for byte in data:
        gap |= (byte & _LOW) << shift
        if byte & _MORE:
            shift += 7
            if shift >= _hashing.FINGERPRINT_BITS:
                return
            continue
        mark += gap
        if mark >= _LIMIT:
            return
        yield mark
        gap = 0
        shift = 0
