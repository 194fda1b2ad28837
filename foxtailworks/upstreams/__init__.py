"""Directory of upstreams and of the candidates for new work.

Upstreams announce themselves to any host. Records are replicated by
membership; the newest record of an address wins, and a new incarnation or
service at an address is another upstream. This host's own observations of an
upstream outweigh reported ones.

Example::

    directory = upstreams.Directory(me, zone, random.Random(1), now=0.0)
    core = membership.Membership(..., tables=(directory,))
    for action in directory.announce(announcement, now=1.0):
        ...  # a Send, or an UpstreamChanged
    directory.candidates(customer, service, now=1.0)
"""

from foxtailworks.upstreams._candidates import Candidate
from foxtailworks.upstreams._config import Config
from foxtailworks.upstreams._directory import Directory
from foxtailworks.upstreams._events import AnnouncementRefused
from foxtailworks.upstreams._events import UpstreamChanged
from foxtailworks.upstreams._health import HealthState
from foxtailworks.upstreams._health import Outcome
from foxtailworks.upstreams._messages import MESSAGES
from foxtailworks.upstreams._record import Announcement
from foxtailworks.upstreams._record import make_upstream_id
from foxtailworks.upstreams._record import ServiceKey
from foxtailworks.upstreams._record import Upstream
from foxtailworks.upstreams._record import UpstreamState

__all__ = [
    "MESSAGES",
    "Announcement",
    "AnnouncementRefused",
    "Candidate",
    "Config",
    "Directory",
    "HealthState",
    "Outcome",
    "ServiceKey",
    "Upstream",
    "UpstreamChanged",
    "UpstreamState",
    "make_upstream_id",
]
