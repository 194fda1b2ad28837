"""Tables of a thousand routes, of which a few change at a time."""

import dataclasses

import pytest

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import steering


def table(revision, count=1600, timeout_ms=500):
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


def test_a_table_survives_the_wire():
    codec = steering.TableCodec()
    assert codec.decode(codec.encode(table(3))) == table(3)


def test_only_routes_that_changed_are_read_anew():
    # Ninety-nine hosts read 45 revisions of 1,600 routes within seconds.
    writer, reader = steering.TableCodec(), steering.TableCodec()
    first = reader.decode(writer.encode(table(1)))
    second = reader.decode(writer.encode(table(2, timeout_ms=900)))
    assert second == table(2, timeout_ms=900)
    anew = [
        number
        for number, item in enumerate(second.routes)
        if item is not first.routes[number]
    ]
    assert anew == [7]


def test_routes_that_were_taken_away_are_forgotten():
    codec = steering.TableCodec()
    codec.decode(codec.encode(table(1, count=50)))
    codec.decode(codec.encode(table(2, count=2)))
    assert len(codec._read) == len(codec._written) == 2


def test_a_table_that_is_refused_leaves_the_last_one():
    codec = steering.TableCodec()
    first = codec.decode(codec.encode(table(1, count=2)))
    with pytest.raises(errors.FoxtailError):
        codec.decode(b"no table")
    again = codec.decode(codec.encode(dataclasses.replace(first, revision=2)))
    assert again.routes[0] is first.routes[0]
