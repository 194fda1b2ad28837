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
_NUMBER_FIELD_BYTES = 6
# Bytes of the fields' array and of the number in an encoded request of parts.


def make_reply(
    live: abc.Iterable[discovery.Instance],
    revision: int,
    table: bytes,
    coordinators: tuple[ids.Address, ...],
    host_count: int,
    evacuation: polling.Evacuation,
    rng: random.Random,
) -> warmstart.Reply:
    """Return the reply to any poll of an edge host that has just started.

    :param live: instances that hold a lease now
    :param table: encoded routes of ``revision``, which is committed
    :param host_count: number of edge hosts that polled before
    :param evacuation: committed evacuation
    :param rng: draws a session, so that a host polls for everything again
        once the coordinator runs
    """
    listed = tuple(discovery.ListedInstance(item, True) for item in live)
    changes = discovery.Changes(rng.getrandbits(62), 0, 1, listed)
    answer = polling.PollAnswer(
        changes,
        revision,
        table,
        coordinators,
        (),
        True,
        host_count,
        evacuation,
    )
    # The numbers of the messages differ from those of the endpoint, which
    # are below, so that fragments of both aren't mixed.
    number = rng.getrandbits(_NUMBER_BITS) | 1 << _NUMBER_BITS - 1
    datagrams = datagram.split(number, polling.CODEC.encode(answer))
    summary = polling.Summary(
        changes.session, 1, revision, coordinators, (), True, evacuation
    )
    summaries = datagram.split(number ^ 1, polling.CODEC.encode(summary))
    offset, polls = _signature(polling.Poll(ids.HostId(""), 0, 0, 0))
    request = polling.PartRequest(number, b"")
    _, requests = _signature(request, _TYPE_BYTES + _NUMBER_FIELD_BYTES)
    return warmstart.Reply(
        offset, polls, requests, tuple(summaries), tuple(datagrams)
    )


def _signature(msg: object, size: int = _TYPE_BYTES) -> tuple[int, bytes]:
    """Return where and by which first bytes a message is recognized."""
    return datagram.signature(polling.CODEC.encode(msg), size)
