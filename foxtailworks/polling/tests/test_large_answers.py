"""Large answers stay available, within a bound of memory."""

from foxtailworks import datagram
from foxtailworks import polling


def split(number, size):
    """Return the datagrams of a message that can't be compressed."""
    data = b"".join(bytes([number, n % 256, n // 256]) for n in range(size))
    return tuple(datagram.split(number, data))


def test_parts_are_returned_by_position():
    large = polling.LargeAnswers()
    datagrams = split(3, 9000)
    large.keep(datagrams)
    assert large.parts(3, (2, 0)) == (datagrams[2], datagrams[0])
    assert large.parts(3, (len(datagrams),)) == ()
    assert large.parts(4, (0,)) is None


def test_kept_answers_are_bounded_and_the_unused_go_first():
    large = polling.LargeAnswers()
    size = 1 << 20
    for number in range(8):
        datagrams = (number.to_bytes(4, "big") + bytes(size),)
        large.keep(datagrams)
        large.parts(0, (0,))
    kept = [n for n in range(8) if large.parts(n, ()) is not None]
    assert kept == [0, 6, 7]
