"""How an announcement becomes a record."""

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.upstreams import _events
from foxtailworks.upstreams import _record


def first_record(
    announcement: _record.Announcement, holder: ids.HostId
) -> _record.Upstream:
    """Return the first record of an incarnation."""
    return _record.Upstream(
        address=announcement.address,
        customer=announcement.customer,
        service=announcement.service,
        zone=announcement.zone,
        incarnation=announcement.incarnation,
        slots=announcement.slots,
        weight=announcement.weight,
        lifetime_s=announcement.lifetime_s,
        state=announcement.state,
        expired=False,
        sequence=1,
        holder=holder,
    )


def next_record(
    announcement: _record.Announcement, old: _record.Upstream
) -> _record.Upstream:
    """Return ``old`` as announced; a drain is never undone."""
    states = (old.state, announcement.state)
    return old.with_changes(
        zone=announcement.zone,
        slots=announcement.slots,
        weight=announcement.weight,
        lifetime_s=announcement.lifetime_s,
        state=max(states, key=lambda state: state.value),
        expired=False,
    )


def refuse(
    announcement: _record.Announcement, old: _record.Upstream | None
) -> _events.AnnouncementRefused:
    """Return the answer to an announcement that isn't taken in.

    Without an old record there is no room for a new one.
    """
    if old is None:
        return _events.AnnouncementRefused(
            errors.Code.TABLE_FULL, announcement.address, ids.Incarnation(0)
        )
    return _events.AnnouncementRefused(
        errors.Code.UPSTREAM_SUPERSEDED,
        announcement.address,
        old.incarnation,
    )
