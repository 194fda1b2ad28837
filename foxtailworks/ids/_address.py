"""An IP number and a port."""

import dataclasses
import ipaddress

from foxtailworks import errors

MAX_PORT = 65535


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
            ipaddress.ip_address(self.ip)
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
