"""Loopback addresses that no other test process listens on."""

import itertools
import os

from foxtailworks import ids

FIRST_PORT = 10_000
PORTS = 20_000
_COUNT = itertools.count()


def free_address():
    """Return a loopback address derived from the process id, and a new port.

    The ports lie below the kernel's ephemeral range, so that no outgoing
    connection can take one before it is used.
    """
    pid = os.getpid()
    ip = f"127.{128 + (pid >> 8) % 127}.{pid % 256}.1"
    return ids.Address(ip, FIRST_PORT + next(_COUNT) % PORTS)
