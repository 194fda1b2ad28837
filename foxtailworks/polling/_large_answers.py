"""Large answers that hosts request part by part."""

import typing

from foxtailworks import datagram

MAX_KEPT_BYTES = 4 << 20
"""Most bytes of answers kept; the one unused for longest is dropped."""


class LargeAnswers:
    """Keeps the datagrams of large answers, by the number of the message.

    Example::

        large.keep(datagrams)
        for item in large.parts(request.number, request.positions()):
            send(item, host)
    """

    def __init__(self) -> None:
        self._answers: dict[int, tuple[bytes, ...]] = {}
        self._kept_bytes = 0

    def keep(self, datagrams: tuple[bytes, ...]) -> None:
        """Keep the datagrams of one message."""
        number = datagram.message_number(datagrams[0])
        if number in self._answers:
            return
        self._answers[number] = datagrams
        self._kept_bytes += _size(datagrams)
        while self._kept_bytes > MAX_KEPT_BYTES and len(self._answers) > 1:
            self._drop(next(iter(self._answers)))

    def parts(
        self, number: int, positions: typing.Iterable[int]
    ) -> tuple[bytes, ...] | None:
        """Return the parts at some positions; those beyond it are left out.

        :returns: None when the message isn't kept any more
        """
        datagrams = self._answers.pop(number, None)
        if datagrams is None:
            return None
        self._answers[number] = datagrams
        return tuple(
            datagrams[item] for item in positions if item < len(datagrams)
        )

    def _drop(self, number: int) -> None:
        """Drop one message if it is kept."""
        self._kept_bytes -= _size(self._answers.pop(number, ()))


def _size(datagrams: typing.Iterable[bytes]) -> int:
    """Return the number of bytes of datagrams."""
    return sum(len(item) for item in datagrams)
