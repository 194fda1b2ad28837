"""Packed loads: what is refused, and what old receivers do with them."""

import pytest

from foxtailworks import errors
from foxtailworks import polling
from foxtailworks import wire

OLD_CODEC = wire.Codec(
    {n: kind for n, kind in polling.MESSAGES.items() if n < 10}
)


def test_loads_survive_packing_and_the_most_loaded_are_listed():
    loads = {number: number for number in range(1, 251)}
    found = polling.unpack_loads(polling.pack_loads(loads))
    assert found == {number: number for number in range(51, 251)}
    assert polling.unpack_loads(polling.pack_loads({7: 300, 8: 0})) == {7: 255}


@pytest.mark.parametrize(
    "data",
    [
        polling.pack_loads({1: 2, 3: 4})[:-1],
        polling.pack_loads({1: 2}) * 2,
        b"\0\0\0\0\1",
        b"\0\0\0\1\0",
        polling.pack_loads(dict.fromkeys(range(1, 202), 1), 201),
    ],
    ids=["truncated", "repeated token", "no token", "no count", "too many"],
)
def test_malformed_loads_are_refused(data):
    with pytest.raises(errors.FoxtailError):
        polling.unpack_loads(data)


@pytest.mark.parametrize("kind", [polling.LoadReport, polling.LoadView])
def test_a_receiver_of_the_last_release_refuses_the_message_as_unknown(kind):
    """Guards against a number that an old receiver takes for another kind."""
    data = polling.CODEC.encode(kind(polling.pack_loads({1: 2})))
    assert polling.CODEC.decode(data) == kind(polling.pack_loads({1: 2}))
    with pytest.raises(errors.FoxtailError) as caught:
        OLD_CODEC.decode(data)
    assert caught.value.code is errors.Code.MESSAGE_MALFORMED
