"""Identifiers as distinct types, so that they can't be mixed up."""

import typing

CustomerId = typing.NewType("CustomerId", str)
EditId = typing.NewType("EditId", str)
HostId = typing.NewType("HostId", str)
KeeperId = typing.NewType("KeeperId", str)
RegionId = typing.NewType("RegionId", str)
ServiceId = typing.NewType("ServiceId", str)
ZoneId = typing.NewType("ZoneId", str)

# Address and incarnation: the same address with a new incarnation or for
# another service is a different upstream.
UpstreamId = typing.NewType("UpstreamId", str)

# Number that grows with every start of a process; a larger one supersedes
# all that an earlier start announced.
Incarnation = typing.NewType("Incarnation", int)

# Index of an accepted edit in the contract log.
Version = typing.NewType("Version", int)

# 64-bit hash of the service and the caller's address.
FlowKey = typing.NewType("FlowKey", int)

# 16 bytes that identify one request that must run at most once.
RequestKey = typing.NewType("RequestKey", bytes)

ZERO_VERSION = Version(0)
