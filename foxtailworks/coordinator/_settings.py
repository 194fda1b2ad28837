"""What a coordinator is told at its start."""

import dataclasses
import pathlib

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import upkeep


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one coordinator."""

    name: str
    """Name of its host."""
    zone: ids.ZoneId
    """Its availability zone."""
    listen_address: ids.Address
    """UDP, for coordinators and edge hosts."""
    data_folder: pathlib.Path
    """Holds all that must survive a restart."""
    seeds: tuple[ids.Address, ...]
    """Listen addresses of coordinators to begin with."""
    is_first_start: bool
    """The whole system starts for the first time, with empty disks."""
    lease_s: float
    """An instance unheard for so long is no longer live."""
    policy: upkeep.Policy = upkeep.Policy()
    """How the group is kept whole."""

    def __post_init__(self) -> None:
        """Refuse settings without a way to the others."""
        if not self.seeds:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "seeds: at least one is needed"
            )
        if self.lease_s <= 0:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "lease_s: must be positive"
            )
