"""Ids as distinct types, so that none is passed for another."""

import typing

CustomerId = typing.NewType("CustomerId", str)
EditId = typing.NewType("EditId", str)
HostId = typing.NewType("HostId", str)
KeeperId = typing.NewType("KeeperId", str)
RegionId = typing.NewType("RegionId", str)
ServiceId = typing.NewType("ServiceId", str)
ZoneId = typing.NewType("ZoneId", str)

# Address and incarnation together: an address that comes back under a new
# incarnation or another service is another upstream.
UpstreamId = typing.NewType("UpstreamId", str)

# Grows with every start of a process; a larger one ends older claims.
Incarnation = typing.NewType("Incarnation", int)

# Index of an accepted edit in the contract log.
Version = typing.NewType("Version", int)

# 64-bit hash of service, caller address.
FlowKey = typing.NewType("FlowKey", int)

# 16 bytes that name one request that may not be repeated.
RequestKey = typing.NewType("RequestKey", bytes)

ZERO_VERSION = Version(0)
