"""One request at one upstream, from its sending to its end."""

from collections import abc

from foxtailworks import coap
from foxtailworks.entry import _choice
from foxtailworks import ids
from foxtailworks import placement

# Called with the answer and its bytes.
TakeAnswer = abc.Callable[[coap.UpstreamAnswer, bytes], None]


class Try:
    """Reports to the choice of upstreams how a request went.

    :param take: called with the answer
    """

    __slots__ = ("_choice", "_clock", "_sent_at", "_take", "_upstream")

    def __init__(
        self,
        choice: _choice.Choice,
        upstream: ids.UpstreamId,
        take: TakeAnswer,
        clock: abc.Callable[[], float],
    ) -> None:
        self._choice = choice
        self._upstream = upstream
        self._take = take
        self._clock = clock
        self._sent_at = clock()
        choice.on_sent(upstream)

    def _waited_ms(self) -> float:
        """Return the time since the request was sent."""
        return (self._clock() - self._sent_at) * 1000

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Take the answer."""
        outcome = (
            placement.Outcome.SHED
            if answer.is_shed
            else placement.Outcome.ANSWERED
        )
        self._choice.on_ended(self._upstream, outcome, self._waited_ms())
        self._take(answer, data)

    def on_silence(self) -> None:
        """Hold the silence against the upstream."""
        self._choice.on_silence(self._upstream, self._waited_ms())

    def on_end(self) -> None:
        """Count the request as in flight no more."""
        self._choice.on_dropped(self._upstream)
