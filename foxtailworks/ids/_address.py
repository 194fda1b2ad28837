"""An IP address and port."""

import dataclasses
import functools
import ipaddress

from foxtailworks import errors

MAX_PORT = 65535
_CACHED_IPS = 8192
# Cached valid IP addresses: more than the hosts of the largest fleet.


@functools.lru_cache(_CACHED_IPS)
def _validate_ip(ip: str) -> None:
    """Validate an IP address; cached, as messages repeat the same few.

    :raises ValueError: not an IP address; failures are not cached
    """
    ipaddress.ip_address(ip)


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """Address of a socket."""

    ip: str
    """Numeric IPv4 or IPv6 address, not a host name."""
    port: int
    """Port number, 1 to 65535."""

    def __post_init__(self) -> None:
        """Reject host names and ports out of range.

        :raises FoxtailError: ``SETTINGS_INVALID``
        """
        try:
            _validate_ip(self.ip)
        except ValueError as exc:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID,
                "not an IP number",
                ip=self.ip,
            ) from exc
        if not 1 <= self.port <= MAX_PORT:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID,
                "port must be 1 to 65535",
                port=self.port,
            )

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``ip:port``; an IPv6 address is enclosed in brackets.

        :raises FoxtailError: ``SETTINGS_INVALID``
        """
        ip, _, port = text.rpartition(":")
        if not port.isascii() or not port.isdigit():
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "expected ip:port", text=text
            )
        return cls(ip.strip("[]"), int(port))

    def __str__(self) -> str:
        """Return the address in the form that ``parse`` reads."""
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"
