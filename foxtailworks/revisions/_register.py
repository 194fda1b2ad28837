"""The state machine of one document with a growing revision."""

import dataclasses
import enum
import functools

from foxtailworks import errors
from foxtailworks.revisions import _commands


class Outcome(enum.Enum):
    """Result of applying a command."""

    IN_FORCE = "in_force"
    OVERTAKEN = "overtaken"


class Register:
    """State machine that stores the document and the evacuated zones.

    :param index: last log entry that is contained in ``state``
    """

    def __init__(
        self, index: int = 0, state: _commands.State | None = None
    ) -> None:
        self._index = index
        self.state = state or _commands.State()
        """Document and evacuation in force."""

    @property
    def index(self) -> int:
        """Index of the last log entry that was applied or skipped."""
        return self._index

    @property
    def current(self) -> _commands.StoredDocument:
        """Document in force."""
        return self.state.document

    def apply(self, index: int, data: bytes) -> Outcome:
        """Apply the command at ``index``; deterministic on all replicas.

        :raises FoxtailError: ``MESSAGE_MALFORMED`` for a command of a later
            release; nothing has changed then
        """
        command = _commands.decode_command(data)
        self.skip(index)
        return _apply(command, self)

    def skip(self, index: int) -> None:
        """Advance ``index`` past an entry that isn't a command.

        :raises FoxtailError: ``INTERNAL`` if the entry was applied before
        """
        if index <= self._index:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "an entry was applied twice", index=index
            )
        self._index = index

    def snapshot(self) -> bytes:
        """Return the encoded state, without the index."""
        return _commands.encode_state(self.state)


@functools.singledispatch
def _apply(command: object, register: Register) -> Outcome:
    """Apply a command to the register's state."""
    raise errors.FoxtailError(errors.Code.INTERNAL, "unknown command")


@_apply.register
def _(command: _commands.Put, register: Register) -> Outcome:
    if command.revision <= register.current.revision:
        return Outcome.OVERTAKEN
    document = _commands.StoredDocument(command.revision, command.document)
    register.state = dataclasses.replace(register.state, document=document)
    return Outcome.IN_FORCE


@_apply.register
def _(command: _commands.Evacuate, register: Register) -> Outcome:
    evacuation = register.state.evacuation.apply(command)
    register.state = dataclasses.replace(register.state, evacuation=evacuation)
    return Outcome.IN_FORCE


def restore(index: int, data: bytes | None) -> Register:
    """Create a register from a snapshot, or an empty one without data."""
    if data is None:
        return Register()
    return Register(index, _commands.decode_state(data))
