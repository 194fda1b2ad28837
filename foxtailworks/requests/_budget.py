"""How many retries fresh traffic pays for."""

import dataclasses

RETRY_SHARE = 0.1
MAX_SAVED = 50.0
FIRST_SAVED = 3.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Lets retries be a share of fresh requests, and no more.

    Without fresh requests nothing is added, so that retries of retries
    can't keep an outage going.
    """

    share: float = RETRY_SHARE
    """Retries for each fresh request."""
    saved: float = FIRST_SAVED
    """Retries that may be made at once."""
    spent: int = 0
    """Retries made so far."""
    denied: int = 0
    """Retries that weren't made."""

    def earn(self) -> None:
        """Count a fresh request."""
        self.saved = min(self.saved + self.share, MAX_SAVED)

    def spend(self) -> bool:
        """Return whether one more retry may be made, and count it."""
        if self.saved < 1.0:
            self.denied += 1
            return False
        self.saved -= 1.0
        self.spent += 1
        return True
