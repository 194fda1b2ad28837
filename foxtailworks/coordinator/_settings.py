"""Settings that a coordinator receives at its start."""

import dataclasses
import pathlib

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import upkeep


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one coordinator, checked when created."""

    name: str
    """Name of the coordinator's host."""
    zone: ids.ZoneId
    """Availability zone of the host."""
    listen_address: ids.Address
    """UDP address for coordinators and edge hosts."""
    data_folder: pathlib.Path
    """Folder with the journal and the hints, which survive a restart."""
    seeds: tuple[ids.Address, ...]
    """Listen addresses of the first coordinators to contact."""
    is_first_start: bool
    """Whether the whole system starts for the first time, with empty disks."""
    lease_s: float
    """Seconds without a heartbeat after which an instance isn't live."""
    policy: upkeep.Policy = upkeep.Policy()
    """Limits for automatic changes of the group's membership."""
    shares_load: bool = False
    """Whether reports of load are collected and views are sent."""

    def __post_init__(self) -> None:
        """Reject settings without seeds or with an invalid lease.

        :raises FoxtailError: ``SETTINGS_INVALID``
        """
        if not self.seeds:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "seeds: at least one is needed"
            )
        if self.lease_s <= 0:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "lease_s: must be positive"
            )
