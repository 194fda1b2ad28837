"""Addresses that no other test process listens on."""

import itertools
import os

from foxtailworks import ids

FIRST_PORT = 10_000
PORTS = 20_000
_COUNT = itertools.count()


def free_address():
    """Return a loopback address of this process alone, and a new port.

    The ports stand below those that the kernel hands out, so that no
    outgoing connection takes one between its choice and its use.
    """
    pid = os.getpid()
    ip = f"127.{128 + (pid >> 8) % 127}.{pid % 256}.1"
    return ids.Address(ip, FIRST_PORT + next(_COUNT) % PORTS)
