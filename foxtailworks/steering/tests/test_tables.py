"""Tests for the encoding of large tables of which few routes change."""

import dataclasses

import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import steering


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
    codec = steering.TableCodec()
    assert codec.decode(codec.encode(make_table(3))) == make_table(3)


def test_only_changed_routes_are_decoded_again():
    # 99 hosts decoded 45 revisions of 1,600 routes within seconds.
    writer, reader = steering.TableCodec(), steering.TableCodec()
    first = reader.decode(writer.encode(make_table(1)))
    second = reader.decode(writer.encode(make_table(2, timeout_ms=900)))
    assert second == make_table(2, timeout_ms=900)
    decoded_again = [
        number
        for number, item in enumerate(second.routes)
        if item is not first.routes[number]
    ]
    assert decoded_again == [7]


def test_removed_routes_are_removed_from_the_cache():
    codec = steering.TableCodec()
    codec.decode(codec.encode(make_table(1, count=50)))
    codec.decode(codec.encode(make_table(2, count=2)))
    assert len(codec._decoded_routes) == len(codec._encoded_routes) == 2


def test_an_unreadable_table_leaves_the_cache_as_it_is():
    codec = steering.TableCodec()
    first = codec.decode(codec.encode(make_table(1, count=2)))
    with pytest.raises(errors.FoxtailError):
        codec.decode(b"no table")
    again = codec.decode(codec.encode(dataclasses.replace(first, revision=2)))
    assert again.routes[0] is first.routes[0]
