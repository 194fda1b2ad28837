"""Answers to many hosts at once cost one encoding."""

import random

import pytest

from foxtailworks.coordinator import _edge_hosts
from foxtailworks.coordinator import _peers
from foxtailworks.coordinator.tests import world
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import revisions

HOSTS = 700


class Answering:
    """The answers of one coordinator, whose encodings are counted."""

    def __init__(self):
        self.encoded = []
        self.registry = discovery.Registry(5, 3.0)
        peers = _peers.Peers(world.address(1), (), 0.0)
        self.edge_hosts = _edge_hosts.EdgeHosts(
            self.registry, peers, world.read_table, self.encode, rng()
        )
        self.document = document(7)

    def encode(self, msg):
        self.encoded.append(msg)
        return (b"%d" % len(self.encoded),)

    def poll(self, number, session=0, version=0, revision=0, **changes):
        msg = polling.Poll(
            ids.HostId(f"e{number}"), session, version, revision, **changes
        )
        return self.edge_hosts.encoded_answer(
            msg, world.edge_address(number), self.document, True, 0.0
        )


def rng():
    return random.Random(1)


def document(revision):
    register = revisions.Register()
    put = revisions.Put.of(revision, b"document %d" % revision)
    register.apply(1, revisions.encode_put(put))
    return register.current


@pytest.fixture(name="answering")
def make_answering():
    made = Answering()
    made.registry.announce(making.instance(), 0.0)
    return made


def test_the_return_of_all_hosts_costs_one_encoding(answering):
    answers = {answering.poll(number) for number in range(HOSTS)}
    assert len(answers) == len(answering.encoded) == 1
    assert len(answering.encoded[0].changes.listed) == 1
    assert answering.encoded[0].table


def test_a_change_costs_one_encoding_for_all_that_follow(answering):
    version = answering.registry.version
    draining = making.instance(state=making.DRAINING, sequence=2)
    answering.registry.announce(draining, 0.0)
    for number in range(HOSTS):
        answering.poll(number, 5, version, 7, is_follower=True)
    (answer,) = answering.encoded
    (item,) = answer.changes.listed
    assert item.instance.state is making.DRAINING
    assert answer.table == b""


def test_hosts_with_other_versions_get_other_answers(answering):
    version = answering.registry.version
    answering.poll(1)
    answering.poll(2, 5, version, 7)
    answering.poll(3, 5, version, 6)
    answering.poll(4, 99, version, 7)
    tables = [bool(item.table) for item in answering.encoded]
    listed = [len(item.changes.listed) for item in answering.encoded]
    assert tables == [True, False, True, False]
    assert listed == [1, 0, 0, 1]


def test_a_cached_answer_ends_with_the_state_that_it_tells(answering):
    answering.poll(1)
    answering.document = document(8)
    answering.poll(1)
    other = making.instance("i-2", address=ids.Address("10.0.0.8", 80))
    answering.registry.announce(other, 0.0)
    answering.poll(1)
    suspects = (other.key,)
    for number in (1, 2):
        answering.poll(number, suspected=suspects)
    revisions_told = [item.revision for item in answering.encoded]
    assert revisions_told == [7, 8, 8, 8]
    assert len(answering.encoded[2].changes.listed) == 2
    assert answering.encoded[-1].suspected == suspects


def test_the_cache_is_bounded(answering):
    for version in range(3 * _edge_hosts.MAX_CACHED_ANSWERS):
        answering.poll(1, 5, version, 0)
    assert len(answering.edge_hosts._encoded) <= (
        _edge_hosts.MAX_CACHED_ANSWERS
    )
