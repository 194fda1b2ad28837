"""Exit codes, each for a group of result codes, for scripts."""

import enum

from foxtailworks import errors

_MEANINGS: dict[int, str] = {}


class Exit(enum.IntEnum):
    """Exit codes of ``foxtailctl``, on which scripts can act."""

    def __new__(cls, value: int, meaning: str) -> "Exit":
        """Create a member and store its meaning by number."""
        member = int.__new__(cls, value)
        member._value_ = value
        _MEANINGS[value] = meaning
        return member

    DONE = 0, "Done."
    FAULT = 1, "A fault of the program itself; report it."
    USAGE = 2, "The command line is wrong; see --help."
    INVALID = 3, "Settings, a contract or an edit id is wrong; correct it."
    CONFLICT = 4, "Another change came first; read it, then decide again."
    MISSING = 5, "The named item doesn't exist."
    UNKNOWN = 6, "It isn't known whether it was done; resend as shown."
    UNREACHED = 7, "Nothing was done: no process could serve it; try again."
    PARTLY = 8, "Done, but not on all hosts; the others are named."

    @property
    def meaning(self) -> str:
        """Meaning of the number, in one sentence."""
        return _MEANINGS[self.value]


_EXITS: dict[errors.Code, Exit] = {
    errors.Code.OK: Exit.DONE,
    errors.Code.SETTINGS_INVALID: Exit.INVALID,
    errors.Code.SETTINGS_UNREADABLE: Exit.INVALID,
    errors.Code.REPORT_INVALID: Exit.INVALID,
    errors.Code.CONTRACT_INVALID: Exit.INVALID,
    errors.Code.EDIT_ID_REUSED: Exit.INVALID,
    errors.Code.VERSION_CONFLICT: Exit.CONFLICT,
    errors.Code.MEMBERSHIP_BUSY: Exit.CONFLICT,
    errors.Code.GROUP_OUTDATED: Exit.CONFLICT,
    errors.Code.MEMBERSHIP_REFUSED: Exit.CONFLICT,
    errors.Code.CONTRACT_MISSING: Exit.MISSING,
    errors.Code.VERSION_MISSING: Exit.MISSING,
    errors.Code.NO_UPSTREAM: Exit.MISSING,
    errors.Code.KEEPER_MISSING: Exit.MISSING,
    errors.Code.EDIT_UNKNOWN: Exit.UNKNOWN,
    errors.Code.LINK_LOST: Exit.UNREACHED,
    errors.Code.LINK_REFUSED: Exit.UNREACHED,
    errors.Code.MESSAGE_MALFORMED: Exit.UNREACHED,
    errors.Code.MESSAGE_TOO_LARGE: Exit.UNREACHED,
    errors.Code.NOT_LEADER: Exit.UNREACHED,
    errors.Code.NO_QUORUM: Exit.UNREACHED,
    errors.Code.KEEPER_BUSY: Exit.UNREACHED,
    errors.Code.NOT_IN_FORCE: Exit.PARTLY,
    errors.Code.HOSTS_UNREACHED: Exit.PARTLY,
}


def exit_of(code: errors.Code) -> Exit:
    """Return the exit code of the group that ``code`` belongs to."""
    return _EXITS.get(code, Exit.FAULT)
