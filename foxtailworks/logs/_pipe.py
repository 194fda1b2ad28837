"""An output stream that never blocks on a slow reader."""

import os
import select
import typing

MAX_LINE_BYTES = select.PIPE_BUF
"""Most bytes that a writable pipe takes atomically; lines are cut to it."""


class Pipe:
    """Writes each line completely, or drops and counts it.

    :param stream: standard output, possibly a pipe without a reader
    """

    def __init__(self, stream: typing.TextIO) -> None:
        self._fd = stream.fileno()
        self._poll = select.poll()
        self._poll.register(self._fd, select.POLLOUT)
        self.dropped = 0
        """Number of lines dropped since the start."""

    def write(self, text: str) -> int:
        """Write a line if the pipe has room for it, else drop it."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            self.dropped += 1
            return len(text)
        data = text.encode("utf-8", "replace")
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            # Bypasses the stream's buffer, which would keep a line after a
            # failed write.
            os.write(self._fd, data)
        except OSError:
            # The reader has closed the pipe, so this can't be logged.
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written without a buffer."""
