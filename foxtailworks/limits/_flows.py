"""Admission of new flows of one service."""

from foxtailworks import ids
from foxtailworks.limits import _admission
from foxtailworks.limits import _bucket
from foxtailworks.limits import _shares


class FlowGate:
    """Count of open flows, and admission of new ones within the shares.

    :param customer: customer that the service belongs to
    :param service: name of the service
    :param shares: this host's shares of the limits
    """

    def __init__(
        self,
        customer: ids.CustomerId,
        service: ids.ServiceId,
        shares: _shares.Shares,
    ) -> None:
        self._shares = shares
        self._open_limit = _shares.LimitId(
            customer, service, _shares.Resource.OPEN_FLOWS
        )
        self._rate_limit = _shares.LimitId(
            customer, service, _shares.Resource.NEW_FLOWS_PER_S
        )
        self._bucket = _bucket.TokenBucket()
        self._max_open = 0
        self._share_valid_until = 0.0
        self._offered = 0
        self._measured_at = 0.0
        self._rate = 0.0
        self.open_flows = 0

    def admit(self, now: float) -> bool:
        """Return whether one more flow may open, and count it if so."""
        self._offered += 1
        self._refresh(now)
        if self.open_flows >= self._max_open or self._bucket.tokens < 1.0:
            return False
        self._bucket.take()
        self.open_flows += 1
        return True

    def count_existing(self) -> None:
        """Count an open flow that was taken over from another host."""
        self.open_flows += 1

    def on_closed(self) -> None:
        """Remove a flow that has ended from the count."""
        self.open_flows = max(0, self.open_flows - 1)

    def tick(self, now: float) -> None:
        """Update the demand from the traffic since the last measurement."""
        span_s = now - self._measured_at
        if span_s < _admission.MEASURE_S:
            return
        change = self._offered / span_s - self._rate
        self._rate += _admission.SMOOTHING * change
        self._offered = 0
        self._measured_at = now
        self._shares.set_demand(self._rate_limit, self._rate)
        self._shares.set_demand(self._open_limit, self.open_flows + self._rate)

    def _refresh(self, now: float) -> None:
        """Update the limits from the shares, at most every ``REFRESH_S``."""
        if now < self._share_valid_until:
            self._bucket.refill(now, self._bucket.rate)
            return
        self._share_valid_until = now + _admission.REFRESH_S
        self._bucket.refill(now, self._shares.share(now, self._rate_limit))
        share = self._shares.share(now, self._open_limit)
        self._max_open = int(share + _shares.ROUNDING)
