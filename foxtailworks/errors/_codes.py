"""The table of result codes; docs/ERRORS.md is checked against it."""

import enum

_MEANINGS: dict[int, str] = {}


class Code(enum.IntEnum):
    """Number of each kind of result that a user or operator can get."""

    def __new__(cls, value: int, meaning: str) -> "Code":
        """Create a member and store its meaning by number."""
        member = int.__new__(cls, value)
        member._value_ = value
        _MEANINGS[value] = meaning
        return member

    OK = 0, "Done."
    INTERNAL = 1, "A fault of the program itself; report it."
    # 1000: settings
    SETTINGS_INVALID = 1001, "A settings file has a wrong or unknown field."
    SETTINGS_UNREADABLE = 1002, "A settings file can't be read or parsed."
    REPORT_INVALID = 1003, "A day's report or log can't be used."
    # 2000: wire and links
    MESSAGE_MALFORMED = 2001, "A message is truncated, unknown or ill-typed."
    MESSAGE_TOO_LARGE = 2002, "A message is larger than its limit."
    LINK_REFUSED = 2003, "The other side refused the link (certificate)."
    LINK_LOST = 2004, "The link broke before an answer arrived."
    NOT_LEADER = 2005, "This keeper isn't the leader; ask the one it names."
    # 3000: contracts
    CONTRACT_INVALID = 3001, "A contract is contradictory or malformed."
    VERSION_CONFLICT = 3002, "Another edit replaced the base version first."
    EDIT_UNKNOWN = 3003, "It isn't known whether the edit was accepted."
    CONTRACT_MISSING = 3004, "There is no contract for this customer."
    EDIT_ID_REUSED = 3005, "This edit id belongs to a different edit."
    VERSION_MISSING = 3006, "This version is no longer kept."
    # 4000: agreement and journal
    JOURNAL_DAMAGED = 4001, "The log on disk is damaged before its end."
    JOURNAL_UNWRITABLE = 4002, "The disk refused a write or a sync."
    NO_QUORUM = 4003, "A majority of keepers can't be reached."
    COMMAND_UNREADABLE = 4007, "The log has a command of a later release."
    GROUP_OUTDATED = 4008, "A keeper of an earlier release can't apply it."
    KEEPER_MISSING = 4009, "No such keeper, or it doesn't answer."
    KEEPER_BUSY = 4004, "Too many entries await a majority; try again later."
    MEMBERSHIP_BUSY = 4005, "Another change of keepers is under way."
    MEMBERSHIP_REFUSED = 4006, "This change of keepers isn't safe now."
    # 5000: flows and placement
    NO_UPSTREAM = 5001, "No upstream of the service can take new work."
    TABLE_FULL = 5002, "A bounded table is full."
    OWNER_STARTING = 5003, "The hosts don't agree yet on the flow's owner."
    # 6000: requests
    REQUEST_NOT_RUN = 6001, "The request was not run and won't be."
    OUTCOME_UNKNOWN = 6002, "It isn't known whether the request ran."
    REQUEST_MALFORMED = 6003, "The request is malformed."
    # 7000: limits
    LIMIT_REACHED = 7001, "The contract's limit is reached."
    # 8000: membership and upstreams
    UPSTREAM_SUPERSEDED = 8001, "The address has a newer incarnation."
    ANNOUNCEMENT_INVALID = 8002, "A field of an announcement is out of bounds."
    HOST_INVALID = 8003, "A record of a host is out of bounds."
    # 9000: operator's tool
    NOT_IN_FORCE = 9001, "Accepted; not yet in force on all reachable hosts."
    HOSTS_UNREACHED = 9002, "Some hosts didn't answer; they are named."


def describe(code: Code) -> str:
    """Return the meaning of ``code`` in one sentence."""
    return _MEANINGS[code.value]
