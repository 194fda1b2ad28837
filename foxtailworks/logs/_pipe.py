"""A stream that never waits for its reader."""

import os
import select
import typing

MAX_LINE_BYTES = select.PIPE_BUF
"""A pipe that is writable takes so much at once; longer lines are cut."""


class Pipe:
    """Writes lines whole, or drops and counts them.

    :param stream: standard output, a pipe that may have no reader
    """

    def __init__(self, stream: typing.TextIO) -> None:
        self._fd = stream.fileno()
        self._poll = select.poll()
        self._poll.register(self._fd, select.POLLOUT)
        self.dropped = 0
        """Lines that nobody read in time."""

    def write(self, text: str) -> int:
        """Write a line if the reader has left room for it."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            self.dropped += 1
            return len(text)
        data = text.encode("utf-8", "replace")
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            # Past the stream's own buffer, which would keep what fails.
            os.write(self._fd, data)
        except OSError:
            # The reader is gone; there is nowhere to say so but here.
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: each line is written at once."""
