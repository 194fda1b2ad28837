"""Tests for the encoding of large tables of which few routes change."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import steering
from foxtailworks.steering.tests import encoded


def make_table(revision, count=1600, timeout_ms=500):
    routes = tuple(
        steering.Route(
            ids.Address(f"198.18.{number // 200}.{number % 200 + 1}", 443),
            (steering.Share(ids.ServiceId("desk"), 1),),
            steering.RequestKind.IDEMPOTENT,
            timeout_ms if number == 7 else 500,
            100,
            1,
        )
        for number in range(count)
    )
    return steering.RouteTable(revision, routes, 15_000)


def test_a_decoded_table_equals_the_encoded_one():
    decoder = steering.TableDecoder()
    assert decoder.decode(encoded.encode(make_table(3))) == make_table(3)


def test_only_changed_routes_are_decoded_again():
    # 99 hosts decoded 45 revisions of 1,600 routes within seconds.
    reader = steering.TableDecoder()
    first = reader.decode(encoded.encode(make_table(1)))
    second = reader.decode(encoded.encode(make_table(2, timeout_ms=900)))
    assert second == make_table(2, timeout_ms=900)
    decoded_again = [
        number
        for number, item in enumerate(second.routes)
        if item is not first.routes[number]
    ]
    assert decoded_again == [7]


def test_removed_routes_are_removed_from_the_cache():
    encoder = steering.TableEncoder()
    decoder = steering.TableDecoder()
    for table in (make_table(1, count=50), make_table(2, count=2)):
        encoder.put(table)
        decoder.decode(encoder.encode())
    assert len(decoder._decoded) == len(encoder._encoded) == 2


def test_an_unreadable_table_leaves_the_cache_as_it_is():
    decoder = steering.TableDecoder()
    first = decoder.decode(encoded.encode(make_table(1, count=2)))
    with pytest.raises(errors.FoxtailError):
        decoder.decode(b"no table")
    again = decoder.decode(
        encoded.encode(dataclasses.replace(first, revision=2))
    )
    assert again.routes[0] is first.routes[0]


def by_destination(table):
    return {item.destination: item for item in table.routes}


def test_a_change_of_one_route_of_many_is_small():
    encoder = steering.TableEncoder()
    encoder.put(make_table(127))
    whole = encoder.encode()
    reader = steering.TableDecoder()
    reader.decode(whole)
    encoder.put(make_table(129, timeout_ms=900))
    changes = encoder.encode(base=127)
    assert len(changes) < 200 < 50_000 < len(whole)
    expected = make_table(129, timeout_ms=900)
    assert by_destination(reader.decode(changes)) == by_destination(expected)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.integers(0, 1 << 32))
def test_changes_between_any_two_revisions_lead_to_the_newest(seed):
    rng = random.Random(seed)
    encoder = steering.TableEncoder()
    tables, readers = {}, {}
    for revision in range(1, 12):
        tables[revision] = table = random_table(rng, revision)
        encoder.put(table)
        for base, reader in readers.items():
            if rng.random() < 0.5:
                decoded = reader.decode(encoder.encode(base))
                assert by_destination(decoded) == by_destination(table)
                assert decoded.idle_timeout_ms == table.idle_timeout_ms
                readers[base] = steering.TableDecoder()
                readers[base].decode(encoded.encode(tables[base]))
        readers[revision] = steering.TableDecoder()
        readers[revision].decode(encoder.encode())


def random_table(rng, revision):
    numbers = rng.sample(range(9), rng.randrange(9))
    routes = tuple(
        dataclasses.replace(
            make_table(revision, count=9).routes[number],
            timeout_ms=rng.choice([100, 200]),
        )
        for number in numbers
    )
    return steering.RouteTable(revision, routes, rng.choice([1, 2]))


def test_a_revision_that_the_encoder_has_not_had_gets_the_whole_table():
    # Between 3 and 7 the table may have had other routes than both.
    encoder = steering.TableEncoder()
    for revision in (3, 7):
        encoder.put(make_table(revision, count=9))
    assert encoder.knows(3)
    assert not encoder.knows(5)
    assert encoder.encode(base=5) == encoder.encode()


def test_the_known_revisions_are_bounded():
    encoder = steering.TableEncoder()
    for revision in range(1, 200):
        encoder.put(make_table(revision, count=2))
    assert not encoder.knows(1)
    assert encoder.knows(199)
    assert sum(encoder.knows(number) for number in range(200)) == 64


def test_changes_to_another_table_are_not_applied():
    encoder = steering.TableEncoder()
    reader = steering.TableDecoder()
    encoder.put(make_table(1, count=9))
    reader.decode(encoder.encode())
    encoder.put(make_table(2, count=9, timeout_ms=700))
    late = encoder.encode(base=1)
    reader.decode(encoder.encode(base=1))
    encoder.put(make_table(3, count=9))
    assert reader.decode(late) is None
    last = reader.decode(encoder.encode(base=2))
    assert by_destination(last) == by_destination(make_table(3, count=9))


def test_changes_that_lead_elsewhere_are_refused_and_the_table_stays():
    encoder, other = steering.TableEncoder(), steering.TableEncoder()
    encoder.put(make_table(1, count=9))
    other.put(make_table(1, count=8))
    other.put(make_table(2, count=8, timeout_ms=700))
    reader = steering.TableDecoder()
    reader.decode(encoder.encode())
    with pytest.raises(errors.FoxtailError):
        reader.decode(other.encode(base=1))
    encoder.put(make_table(2, count=9, timeout_ms=700))
    assert reader.decode(encoder.encode(base=1)) is not None
