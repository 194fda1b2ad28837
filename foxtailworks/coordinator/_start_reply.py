"""The answer to polls that a coordinator saves for its next start.

After a loss of all power edge hosts wait for routes, which they have only
in memory.  A coordinator that has to load its program first would answer
them half a second later.
"""

from collections import abc
import random

from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import warmstart

_TYPE_BYTES = 2
# Bytes of an encoded message up to the end of the number of its type.
_NUMBER_BITS = 32


def make_reply(
    live: abc.Iterable[discovery.Instance],
    revision: int,
    table: bytes,
    coordinators: tuple[ids.Address, ...],
    rng: random.Random,
) -> warmstart.Reply:
    """Return the reply to any poll of an edge host that has just started.

    :param live: instances that hold a lease now
    :param table: encoded routes of ``revision``, which is committed
    :param rng: draws a session, so that a host polls for everything again
        once the coordinator runs
    """
    listed = tuple(discovery.ListedInstance(item, True) for item in live)
    changes = discovery.Changes(rng.getrandbits(62), 0, 1, listed)
    answer = polling.PollAnswer(changes, revision, table, coordinators)
    poll = polling.Poll(ids.HostId(""), 0, 0, 0)
    offset, signature = datagram.signature(
        polling.CODEC.encode(poll), _TYPE_BYTES
    )
    # The number of the message differs from those of the endpoint, which
    # counts from 0, so that fragments of both aren't mixed.
    number = rng.getrandbits(_NUMBER_BITS) | 1 << _NUMBER_BITS - 1
    datagrams = datagram.split(number, polling.CODEC.encode(answer))
    return warmstart.Reply(offset, signature, tuple(datagrams))
