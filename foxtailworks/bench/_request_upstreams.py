"""Upstreams of the model, which log the requests they run."""

import functools
import typing

from foxtailworks.bench import _request_links
from foxtailworks.bench import _request_parts
from foxtailworks import ids
from foxtailworks import requests


class Upstreams(_request_links.Links):
    """Simulates upstreams that run placements, shed, fence and crash.

    :param seed: seed of all random choices
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.upstreams: dict[ids.UpstreamId, _request_parts.Upstream] = {}

    def crash_upstream(self, name: ids.UpstreamId) -> None:
        """Replace an upstream by one with another id and no state."""
        old = self.upstreams.pop(name)
        old.is_up = False
        new = ids.UpstreamId(f"{name}'")
        self.upstreams[new] = _request_parts.Upstream(new, old.zone)

    def _to_upstream(
        self,
        host: _request_parts.Host,
        action: requests.Place | requests.Cancel,
    ) -> None:
        """Send a datagram to an upstream, or drop it if that is gone."""
        target = self.upstreams.get(action.upstream)
        if target is None:
            return
        if isinstance(action, requests.Place):
            step = functools.partial(self._on_place, host, target, action)
        else:
            step = functools.partial(self._on_cancel, host, target, action)
        self._carry(host.zone, target.zone, step)

    def _on_place(
        self,
        host: _request_parts.Host,
        target: _request_parts.Upstream,
        action: requests.Place,
    ) -> None:
        """Run a placement unless it is fenced or shed."""
        key, claim = action.key, action.claim
        if not target.is_up or claim in target.started:
            return
        if claim in target.fenced or target.is_shedding:
            target.fenced.add(claim)
            self._reply(
                host,
                target,
                lambda: host.coordinator.on_shed(self.now, key, claim),
            )
            return
        target.started[claim] = self.now
        self._record_run(key)
        self.schedule(
            target.run_s,
            lambda: self._reply(
                host,
                target,
                lambda: host.coordinator.on_answer(
                    self.now, key, claim, _request_parts.expected_answer(key)
                ),
            ),
        )

    def _on_cancel(
        self,
        host: _request_parts.Host,
        target: _request_parts.Upstream,
        action: requests.Cancel,
    ) -> None:
        """Fence a placement, or reply that it has started."""
        key, claim = action.key, action.claim
        if not target.is_up:
            return
        started = target.started.get(claim)
        result = requests.CancelResult.STARTED
        answer = None
        if started is None:
            target.fenced.add(claim)
            result = requests.CancelResult.NEVER_STARTED
        elif self.now >= started + target.run_s:
            answer = _request_parts.expected_answer(key)
        self._reply(
            host,
            target,
            lambda: host.coordinator.on_cancel_result(
                self.now, key, claim, result, answer
            ),
        )

    def _reply(
        self,
        host: _request_parts.Host,
        target: _request_parts.Upstream,
        event: typing.Callable[[], tuple[requests.Action, ...]],
    ) -> None:
        """Send an upstream's reply to the host."""
        if target.is_up:
            self._carry(
                target.zone, host.zone, lambda: self._handle_event(host, event)
            )
