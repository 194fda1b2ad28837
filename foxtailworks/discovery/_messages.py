"""What coordinators tell one another and edge hosts of instances."""

import dataclasses

from foxtailworks.discovery import _instance


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """A heartbeat that one coordinator relays to the others."""

    instance: _instance.Instance
    """Content of the heartbeat."""
    age_ms: int
    """Time since its receipt; an age, since the receivers' clocks differ."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unshared:
    """Heartbeats received since the last relay."""

    changes: tuple[RelayedHeartbeat, ...]
    """Those that lists don't replace: of changes, of instances that are cold
    or have gone, and those that came late."""
    others: tuple[RelayedHeartbeat, ...]
    """Those that lists of tokens replace."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeardInstance:
    """An instance that sent its last heartbeat a short time ago."""

    token: _instance.ContentToken
    """Token of its content."""
    age_ms: int
    """Time since the heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance in a coordinator's registry."""

    instance: _instance.Instance
    """Latest state of the instance."""
    is_live: bool
    """Whether its lease hasn't expired."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Instances of a registry that changed since one of its versions."""

    session: int
    """Session of the registry; its versions start anew in each session."""
    since: int
    """Version that the receiver must have at least; 0 for a full copy."""
    version: int
    """Version that the receiver has after applying the changes."""
    listed: tuple[ListedInstance, ...]
    """Instances that changed after ``since``."""
    digest: int = 0
    """Digest of all live instances, equal in registries that have the same;
    0 if it isn't known."""
