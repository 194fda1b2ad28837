"""Encodes and decodes the header of the PROXY protocol, version 2.

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
# First TLV type that the specification reserves for applications.
_TLV_HOPS = 0xE0
_CACHED_ADDRESSES = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A datagram with the source and target in its header."""

    source: ids.Address
    """Address that sent the payload."""
    target: ids.Address
    """Address that the payload was sent to."""
    payload: bytes
    """Bytes after the header."""
    hops: int = 0
    """Number of times that entry hosts have relayed it."""


@functools.lru_cache(_CACHED_ADDRESSES)
def _address(ip: bytes, port: bytes) -> ids.Address:
    """Decode an address in network byte order."""
    family = socket.AF_INET if len(ip) == 4 else socket.AF_INET6
    return ids.Address(
        socket.inet_ntop(family, ip), int.from_bytes(port, "big")
    )


@functools.lru_cache(_CACHED_ADDRESSES)
def _packed(address: ids.Address) -> tuple[bytes, bytes]:
    """Encode IP address and port in network byte order."""
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
    """Return ``payload`` with a header in front.

    :param hops: relays so far; a TLV carries it unless it is 0
    """
    source_ip, source_port = _packed(source)
    target_ip, target_port = _packed(target)
    family = _UDP4 if len(source_ip) == 4 else _UDP6
    tlv = _TLV.pack(_TLV_HOPS, 1) + bytes((hops,)) if hops else b""
    addresses = source_ip + target_ip + source_port + target_port + tlv
    prefix = _PREFIX.pack(SIGNATURE, _VERSION_PROXY, family, len(addresses))
    return prefix + addresses + payload


def _hop_count(tlvs: bytes) -> int:
    """Return the hop count in ``tlvs``, 0 if absent; skip other types."""
    offset = 0
    while offset + _TLV.size <= len(tlvs):
        kind, size = _TLV.unpack_from(tlvs, offset)
        offset += _TLV.size
        if offset + size > len(tlvs):
            raise _malformed("TLV truncated")
        if kind == _TLV_HOPS and size == 1:
            return tlvs[offset]
        offset += size
    return 0


def _malformed(reason: str) -> errors.FoxtailError:
    """Return the error for a header that cannot be decoded."""
    return errors.FoxtailError(
        errors.Code.MESSAGE_MALFORMED, "PROXY header", reason=reason
    )


def decode(data: bytes) -> Packet:
    """Decode the header of a datagram and separate its payload.

    :raises FoxtailError: ``MESSAGE_MALFORMED``
    """
    if len(data) < _PREFIX.size:
        raise _malformed("shorter than the header")
    signature, version, family, size = _PREFIX.unpack_from(data)
    width = _IP_BYTES.get(family)
    if signature != SIGNATURE or version != _VERSION_PROXY or width is None:
        raise _malformed("not a version 2 header for UDP")
    end = _PREFIX.size + size
    ports = _PREFIX.size + 2 * width
    if size < 2 * width + _PORTS_BYTES or end > len(data):
        raise _malformed("addresses truncated")
    source_ip = data[_PREFIX.size : _PREFIX.size + width]
    target_ip = data[_PREFIX.size + width : ports]
    tlvs = data[ports + _PORTS_BYTES : end]
    try:
        source = _address(source_ip, data[ports : ports + 2])
        target = _address(target_ip, data[ports + 2 : ports + _PORTS_BYTES])
    except errors.FoxtailError as exc:
        raise _malformed("port 0") from exc
    return Packet(source, target, data[end:], _hop_count(tlvs) if tlvs else 0)
