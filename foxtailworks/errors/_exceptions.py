"""Defines the only exception type that this project raises."""

from foxtailworks.errors import _codes


class FoxtailError(Exception):
    """An error with a numbered code, a message and its context.

    :param code: the numbered result code
    :param detail: what happened, in a sentence
    :param context: names and values that help to locate the cause
    """

    def __init__(
        self, code: _codes.Code, detail: str, **context: object
    ) -> None:
        self.code = code
        self.detail = detail
        self.context = context
        super().__init__(str(self))

    def __str__(self) -> str:
        """Format code, detail and context on one line."""
        pairs = "".join(f" {k}={v}" for k, v in self.context.items())
        return f"[{self.code.value}] {self.detail}{pairs}"
