"""Retry budget that first attempts pay for."""

import dataclasses

RETRY_SHARE = 0.1
MAX_BALANCE = 50.0
INITIAL_BALANCE = 3.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Limits retries to a share of new requests.

    Only new requests add to the budget, so that retries of retries can't
    prolong an outage.
    """

    share: float = RETRY_SHARE
    """Retries allowed for each new request."""
    balance: float = INITIAL_BALANCE
    """Retries currently available."""
    spent: int = 0
    """Retries made so far."""
    denied: int = 0
    """Retries refused for lack of budget."""

    def deposit(self) -> None:
        """Add the share of a new request to the balance."""
        self.balance = min(self.balance + self.share, MAX_BALANCE)

    def spend(self) -> bool:
        """Take one retry from the balance; return whether it sufficed."""
        if self.balance < 1.0:
            self.denied += 1
            return False
        self.balance -= 1.0
        self.spent += 1
        return True
