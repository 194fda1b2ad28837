"""Collection of the verdicts of a key's groups on one message."""

import dataclasses

from foxtailworks import ids
from foxtailworks.requests import _groups
from foxtailworks.requests import _messages

FIRST_RESEND_S = 0.05
MAX_RESEND_S = 5.0


@dataclasses.dataclass(slots=True)
class Ballot:
    """Counts verdicts until every group has a majority, or one can't."""

    groups: tuple[_groups.Group, ...]
    members: tuple[ids.HostId, ...]
    message: _messages.Claim | _messages.Withdraw | _messages.RecordOutcome
    """Sent to each member, and again until it replies."""
    until: float
    """Monotonic seconds after which grants are ignored."""
    resend_at: float
    interval_s: float = FIRST_RESEND_S
    verdicts: dict[ids.HostId, _messages.Verdict] = dataclasses.field(
        default_factory=dict
    )
    granted_claims: dict[ids.HostId, _messages.GrantedClaim] = (
        dataclasses.field(default_factory=dict)
    )

    @property
    def is_won(self) -> bool:
        """Return whether a majority of every group has granted."""
        return all(
            self._count(group, True) >= group.majority for group in self.groups
        )

    @property
    def is_lost(self) -> bool:
        """Return whether some group can no longer reach a majority."""
        return any(
            self._count(group, False) > len(group.members) - group.majority
            for group in self.groups
        )

    @property
    def pending_members(self) -> list[ids.HostId]:
        """Return the members that haven't replied."""
        return [host for host in self.members if host not in self.verdicts]

    def has_verdict(self, verdict: _messages.Verdict) -> bool:
        """Return whether some member replied with ``verdict``."""
        return verdict in self.verdicts.values()

    def back_off(self, now: float) -> None:
        """Double the resend interval and schedule the next resend."""
        self.interval_s = min(self.interval_s * 2, MAX_RESEND_S)
        self.resend_at = now + self.interval_s

    def _count(self, group: _groups.Group, is_grant: bool) -> int:
        """Return how many members of ``group`` granted, or didn't grant."""
        granted = _messages.Verdict.GRANTED
        return sum(
            (self.verdicts[host] is granted) is is_grant
            for host in group.members
            if host in self.verdicts
        )
