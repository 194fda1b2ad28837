"""One question to the members of a key's groups, and their answers."""

import dataclasses

from foxtailworks import ids
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages

FIRST_RESEND_S = 0.05
MAX_RESEND_S = 5.0


@dataclasses.dataclass(slots=True)
class Ballot:
    """Counts verdicts until every group has a majority, or none can."""

    groups: tuple[_groups.Group, ...]
    members: tuple[ids.HostId, ...]
    message: _messages.Claim | _messages.Withdraw | _messages.RecordOutcome
    """Sent to each member, again while it is silent."""
    until: float
    """Grants count no longer after this."""
    resend_at: float
    interval_s: float = FIRST_RESEND_S
    verdicts: dict[ids.HostId, _messages.Verdict] = dataclasses.field(
        default_factory=dict
    )
    holders: dict[ids.HostId, _messages.Holder] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_won(self) -> bool:
        """Return whether a majority of every group has granted."""
        return all(
            self._count(group, True) >= group.majority for group in self.groups
        )

    @property
    def is_lost(self) -> bool:
        """Return whether a majority of some group can't grant any more."""
        return any(
            self._count(group, False) > len(group.members) - group.majority
            for group in self.groups
        )

    @property
    def silent(self) -> list[ids.HostId]:
        """Return the members that haven't answered."""
        return [host for host in self.members if host not in self.verdicts]

    def has(self, verdict: _messages.Verdict) -> bool:
        """Return whether some member answered ``verdict``."""
        return verdict in self.verdicts.values()

    def back_off(self, now: float) -> None:
        """Set the time of the next repetition."""
        self.interval_s = min(self.interval_s * 2, MAX_RESEND_S)
        self.resend_at = now + self.interval_s

    def _count(self, group: _groups.Group, is_grant: bool) -> int:
        """Return how many members of ``group`` granted, or didn't."""
        granted = _messages.Verdict.GRANTED
        return sum(
            (self.verdicts[host] is granted) is is_grant
            for host in group.members
            if host in self.verdicts
        )
