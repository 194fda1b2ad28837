"""Encoding and decoding returns messages and memberships unchanged."""

from foxtailworks import agreement
from foxtailworks import ids
from foxtailworks import wire


def test_round_trip():
    codec = wire.Codec(agreement.MESSAGES)
    member = agreement.Member(
        ids.KeeperId("k"), "k", ids.Address("127.0.0.1", 1), True
    )
    entry = agreement.Entry(1, 1, agreement.EntryKind.COMMAND, b"x")
    samples = [
        agreement.Append("g", 1, 0, 0, (entry,), 0, 1),
        agreement.VoteRequest("g", 1, 0, 0, True),
        agreement.SnapshotPart(
            "g", 1, 2, 1, agreement.Membership((member,)), 0, 1, b"x", 3
        ),
    ]
    for item in samples:
        assert codec.decode(codec.encode(item)) == item
