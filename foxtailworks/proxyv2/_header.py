"""Header of the PROXY protocol, version 2, over UDP.

Source: the specification "The PROXY protocol, Versions 1 & 2", section 2.2.
"""

import dataclasses
import functools
import socket
import struct

from foxtailworks import errors
from foxtailworks import ids

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"

_PREFIX = struct.Struct("!12sBBH")
_VERSION_PROXY = 0x21
_UDP4 = 0x12
_UDP6 = 0x22
_IP_BYTES = {_UDP4: 4, _UDP6: 16}
_PORTS_BYTES = 4
_TLV = struct.Struct("!BH")
# First type of the range that the specification leaves to applications.
_TLV_HOPS = 0xE0
_CACHED_ADDRESSES = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A datagram with the two ends that its header names."""

    source: ids.Address
    """Who sent the payload."""
    target: ids.Address
    """Whom it was sent to."""
    payload: bytes
    """What follows the header."""
    hops: int = 0
    """How often entry hosts have relayed it."""


@functools.lru_cache(_CACHED_ADDRESSES)
def _address(ip: bytes, port: bytes) -> ids.Address:
    """Return the address in network byte order as a value."""
    family = socket.AF_INET if len(ip) == 4 else socket.AF_INET6
    return ids.Address(
        socket.inet_ntop(family, ip), int.from_bytes(port, "big")
    )


@functools.lru_cache(_CACHED_ADDRESSES)
def _pack(address: ids.Address) -> tuple[bytes, bytes]:
    """Return IP number and port in network byte order."""
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    return (
        socket.inet_pton(family, address.ip),
        address.port.to_bytes(2, "big"),
    )


def encode(
    source: ids.Address,
    target: ids.Address,
    payload: bytes,
    hops: int = 0,
) -> bytes:
    """Return ``payload`` behind a header; ``hops`` is sent when not 0."""
    source_ip, source_port = _pack(source)
    target_ip, target_port = _pack(target)
    family = _UDP4 if len(source_ip) == 4 else _UDP6
    tlv = _TLV.pack(_TLV_HOPS, 1) + bytes((hops,)) if hops else b""
    ends = source_ip + target_ip + source_port + target_port + tlv
    prefix = _PREFIX.pack(SIGNATURE, _VERSION_PROXY, family, len(ends))
    return prefix + ends + payload


def _hops(tlvs: bytes) -> int:
    """Return the hop count among ``tlvs``; other types are passed over."""
    place = 0
    while place + _TLV.size <= len(tlvs):
        kind, size = _TLV.unpack_from(tlvs, place)
        place += _TLV.size
        if place + size > len(tlvs):
            raise _malformed("a value is cut short")
        if kind == _TLV_HOPS and size == 1:
            return tlvs[place]
        place += size
    return 0


def _malformed(reason: str) -> errors.FoxtailError:
    """Return the error for a header that can't be read."""
    return errors.FoxtailError(
        errors.Code.MESSAGE_MALFORMED, "PROXY header", reason=reason
    )


def decode(data: bytes) -> Packet:
    """Split a datagram into its ends and its payload.

    :raises FoxtailError: ``MESSAGE_MALFORMED``
    """
    if len(data) < _PREFIX.size:
        raise _malformed("shorter than a header")
    signature, version, family, size = _PREFIX.unpack_from(data)
    width = _IP_BYTES.get(family)
    if signature != SIGNATURE or version != _VERSION_PROXY or width is None:
        raise _malformed("not a UDP header of version 2")
    end = _PREFIX.size + size
    ports = _PREFIX.size + 2 * width
    if size < 2 * width + _PORTS_BYTES or end > len(data):
        raise _malformed("addresses are cut short")
    source_ip = data[_PREFIX.size : _PREFIX.size + width]
    target_ip = data[_PREFIX.size + width : ports]
    tlvs = data[ports + _PORTS_BYTES : end]
    try:
        source = _address(source_ip, data[ports : ports + 2])
        target = _address(target_ip, data[ports + 2 : ports + _PORTS_BYTES])
    except errors.FoxtailError as exc:
        raise _malformed("port 0") from exc
    return Packet(source, target, data[end:], _hops(tlvs) if tlvs else 0)
