"""One attempt at a request: sent to one upstream until it ends."""

from collections import abc

from foxtailworks import coap
from foxtailworks.entry import _selector
from foxtailworks import ids
from foxtailworks import placement

# Receives the decoded answer and its bytes.
AnswerHandler = abc.Callable[[coap.UpstreamAnswer, bytes], None]


class UpstreamAttempt:
    """Reports the outcome of an attempt to the upstream selector.

    :param on_answer: called with the answer and its bytes
    """

    __slots__ = (
        "_selector",
        "_clock",
        "_sent_at",
        "_handle_answer",
        "_upstream",
    )

    def __init__(
        self,
        selector: _selector.UpstreamSelector,
        upstream: ids.UpstreamId,
        on_answer: AnswerHandler,
        clock: abc.Callable[[], float],
    ) -> None:
        self._selector = selector
        self._upstream = upstream
        self._handle_answer = on_answer
        self._clock = clock
        self._sent_at = clock()
        selector.on_sent(upstream)

    def _waited_ms(self) -> float:
        """Return the milliseconds since the request was sent."""
        return (self._clock() - self._sent_at) * 1000

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Report the outcome and pass the answer on."""
        outcome = (
            placement.Outcome.SHED
            if answer.is_shed
            else placement.Outcome.ANSWERED
        )
        self._selector.on_ended(self._upstream, outcome, self._waited_ms())
        self._handle_answer(answer, data)

    def on_unresponsive(self) -> None:
        """Report that the upstream hasn't answered so far."""
        self._selector.on_unresponsive(self._upstream, self._waited_ms())

    def on_abandoned(self) -> None:
        """Report that the attempt ended without an answer."""
        self._selector.on_abandoned(self._upstream)
