"""Registrations of upstreams, announced to the directory."""

from collections import abc

from foxtailworks import coap
from foxtailworks import errors
from foxtailworks import observe
from foxtailworks import upstreams

_EVENTS = observe.Events("upstreams")
_STATES = {
    coap.AnnouncedState.READY: upstreams.UpstreamState.READY,
    coap.AnnouncedState.DRAINING: upstreams.UpstreamState.DRAINING,
    coap.AnnouncedState.GONE: upstreams.UpstreamState.ENDED,
}


class RegistrationHandler:
    """Processes upstreams' registrations and answers them."""

    def __init__(
        self,
        directory: upstreams.Directory,
        metrics: observe.Metrics,
        perform: abc.Callable[[abc.Iterable[object]], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._directory = directory
        self._metrics = metrics
        self._perform = perform
        self._clock = clock

    def handle(self, data: bytes) -> bytes | None:
        """Process a registration and return the answer to it."""
        try:
            req = coap.read_request(data)
            item = coap.read_registration(req)
            self._announce(item)
        except errors.FoxtailError as exc:
            _EVENTS.failed("registration_refused", exc)
            return coap.bad_request(data)
        return coap.registration_confirmed(req)

    def _announce(self, item: coap.Registration) -> None:
        """Announce the registered upstream to the directory."""
        now = self._clock()
        self._metrics.count(observe.Counter.UPSTREAMS_ANNOUNCED)
        announcement = upstreams.Announcement(
            address=item.address,
            customer=item.customer,
            service=item.service,
            zone=item.zone,
            incarnation=item.incarnation,
            slots=item.slots,
            lifetime_s=float(max(item.lifetime_s, 1)),
            state=_STATES[item.state],
            load=min(item.load, 1.0),
        )
        self._perform(self._directory.announce(announcement, now))
