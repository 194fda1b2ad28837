"""Sets of fingerprints, packed as variable-length gaps in sorted order."""

from collections import abc

from foxtailworks.placement import _hashing

_CONTINUATION_BIT = 0x80
_PAYLOAD_BITS = 0x7F
_FINGERPRINT_LIMIT = 1 << _hashing.FINGERPRINT_BITS


def _append_gap(out: bytearray, gap: int) -> None:
    """Append ``gap`` as a variable-length integer, seven bits a byte."""
    while gap > _PAYLOAD_BITS:
        out.append(gap & _PAYLOAD_BITS | _CONTINUATION_BIT)
        gap >>= 7
    out.append(gap)


def pack(
    fingerprints: abc.Iterable[int], max_bytes: int
) -> abc.Iterator[bytes]:
    """Yield the fingerprints, sorted, packed and cut into pieces.

    :param max_bytes: maximum size of a piece
    """
    out = bytearray()
    last = 0
    for fingerprint in sorted(fingerprints):
        encoded = bytearray()
        _append_gap(encoded, fingerprint - last)
        if len(out) + len(encoded) > max_bytes:
            yield bytes(out)
            out = bytearray()
            encoded = bytearray()
            _append_gap(encoded, fingerprint)
        out += encoded
        last = fingerprint
    if out:
        yield bytes(out)


def unpack(data: bytes) -> abc.Iterator[int]:
    """Yield the fingerprints in ``data`` up to the first invalid one."""
    fingerprint = 0
    gap = 0
    shift = 0
    for byte in data:
        gap |= (byte & _PAYLOAD_BITS) << shift
        if byte & _CONTINUATION_BIT:
            shift += 7
            if shift >= _hashing.FINGERPRINT_BITS:
                return
            continue
        fingerprint += gap
        if fingerprint >= _FINGERPRINT_LIMIT:
            return
        yield fingerprint
        gap = 0
        shift = 0
