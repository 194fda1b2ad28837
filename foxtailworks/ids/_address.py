"""An IP number and a port."""

import dataclasses
import functools
import ipaddress

from foxtailworks import errors

MAX_PORT = 65535
_CHECKED_NUMBERS = 8192
# Numbers remembered as valid: more than the hosts of the largest fleet.


@functools.lru_cache(_CHECKED_NUMBERS)
def _check_number(ip: str) -> None:
    """Refuse what isn't an IP number; messages repeat the same few.

    :raises ValueError: it isn't one; errors aren't remembered
    """
    ipaddress.ip_address(ip)


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """Where a socket is reached."""

    ip: str
    """IPv4 or IPv6 number; never a name."""
    port: int
    """1 to 65535."""

    def __post_init__(self) -> None:
        """Refuse a name or a port out of range."""
        try:
            _check_number(self.ip)
        except ValueError as exc:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "not an IP number", ip=self.ip
            ) from exc
        if not 1 <= self.port <= MAX_PORT:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID,
                "port must be 1 to 65535",
                port=self.port,
            )

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Read ``ip:port``; an IPv6 number stands in brackets.

        :raises FoxtailError: ``SETTINGS_INVALID``
        """
        ip, _, port = text.rpartition(":")
        if not port.isascii() or not port.isdigit():
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "expected ip:port", text=text
            )
        return cls(ip.strip("[]"), int(port))

    def __str__(self) -> str:
        """Show as ``ip:port``."""
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"
