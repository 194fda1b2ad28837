"""Types of identifiers and addresses that all packages share.

Example::

    ids.Address.parse("127.0.0.1:5683")
"""

from foxtailworks.ids._address import Address
from foxtailworks.ids._ids import CustomerId
from foxtailworks.ids._ids import EditId
from foxtailworks.ids._ids import FlowKey
from foxtailworks.ids._ids import HostId
from foxtailworks.ids._ids import Incarnation
from foxtailworks.ids._ids import KeeperId
from foxtailworks.ids._ids import RegionId
from foxtailworks.ids._ids import RequestKey
from foxtailworks.ids._ids import ServiceId
from foxtailworks.ids._ids import UpstreamId
from foxtailworks.ids._ids import Version
from foxtailworks.ids._ids import ZERO_VERSION
from foxtailworks.ids._ids import ZoneId

__all__ = [
    "ZERO_VERSION",
    "Address",
    "CustomerId",
    "EditId",
    "FlowKey",
    "HostId",
    "Incarnation",
    "KeeperId",
    "RegionId",
    "RequestKey",
    "ServiceId",
    "UpstreamId",
    "Version",
    "ZoneId",
]
