"""Admission of heartbeats to a registry, by the services that they name."""

from collections import abc
import typing

from foxtailworks.discovery import _instance
from foxtailworks.discovery import _table
from foxtailworks import ids

MAX_SET_ASIDE = 1024
"""Maximum number of heartbeats set aside; older ones are dropped."""

NamesService: typing.TypeAlias = abc.Callable[[ids.ServiceId], bool]
"""Function that returns whether a service is in use."""


class Admission:
    """Sets heartbeats aside whose service isn't in use.

    They may come from another writer and must not affect other instances. If
    the service comes into use later, the last one of each instance counts.

    :param names_service: returns whether a service is in use
    :param valid_s: seconds for which a heartbeat counts
    """

    def __init__(self, names_service: NamesService, valid_s: float) -> None:
        self.names_service = names_service
        """Returns whether a service is in use."""
        self._valid_s = valid_s
        self._set_aside: dict[
            _table.Key, tuple[_instance.Instance, float]
        ] = {}

    def admits(
        self, instance: _instance.Instance, row: _table.Row | None, at: float
    ) -> bool:
        """Return whether a heartbeat counts now; set it aside if it doesn't.

        An instance keeps its service for its lifetime, also if the service
        isn't in use any more, since it may have open flows.

        :param row: the row of the same identity
        :param at: time of the heartbeat, monotonic seconds
        """
        if row is not None:
            return row.instance.service == instance.service
        if self.names_service(instance.service):
            return True
        self._set_aside.pop(instance.key, None)
        if len(self._set_aside) >= MAX_SET_ASIDE:
            del self._set_aside[next(iter(self._set_aside))]
        self._set_aside[instance.key] = instance, at
        return False

    def forget(self, name: _instance.InstanceId) -> None:
        """Drop the heartbeats of an id that are set aside."""
        for key in tuple(self._set_aside):
            if key[0] == name:
                del self._set_aside[key]

    def take_admitted(
        self, now: float
    ) -> tuple[tuple[_instance.Instance, float], ...]:
        """Return the heartbeats whose service has come into use since.

        :returns: heartbeats with their times; those that have expired are
            dropped
        """
        if not self._set_aside:
            return ()
        set_aside, self._set_aside = self._set_aside, {}
        admitted = []
        for key, (instance, at) in set_aside.items():
            if self.names_service(instance.service):
                admitted.append((instance, at))
            elif now - at <= self._valid_s:
                self._set_aside[key] = instance, at
        return tuple(admitted)
