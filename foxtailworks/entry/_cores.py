"""Decision cores of one entry host; they do no input or output."""

import random
import typing

from foxtailworks import contracts
from foxtailworks.entry import _cluster_view
from foxtailworks.entry import _rosters
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import membership
from foxtailworks import placement
from foxtailworks import requests
from foxtailworks import settings
from foxtailworks import upstreams

MESSAGES: typing.Final[dict[int, type]] = {
    **membership.MESSAGES,
    **upstreams.MESSAGES,
    **placement.MESSAGES,
    **requests.MESSAGES,
    **limits.MESSAGES,
    **_rosters.MESSAGES,
    **contracts.DISTRIBUTION_MESSAGES,
}


class Cores:
    """Membership, directory, placer and the state that they share."""

    def __init__(
        self,
        cfg: settings.EntrySettings,
        incarnation: ids.Incarnation,
        rng: random.Random,
        now: float,
    ) -> None:
        me = membership.Host(
            id=cfg.host,
            zone=cfg.zone,
            region=cfg.region,
            address=cfg.peer_address,
            incarnation=incarnation,
        )
        self.contracts = contracts.View()
        self.distribution = contracts.Distribution(
            cfg.host, cfg.zone, self.contracts, rng, now
        )
        self.directory = upstreams.Directory(cfg.host, cfg.zone, rng, now)
        seeds = tuple(item for item in cfg.seeds if item != cfg.peer_address)
        self.members = membership.Membership(
            me, seeds, rng, now, tables=(self.directory,)
        )
        self.placer = placement.Placer(cfg.host, cfg.zone, now, incarnation)
        self.cluster_view = _cluster_view.ClusterView(
            self.members, self.directory, self.placer
        )
