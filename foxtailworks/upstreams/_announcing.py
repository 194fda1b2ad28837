"""Conversion of announcements to records or refusals."""

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.upstreams import _events
from foxtailworks.upstreams import _record


def first_record(
    announcement: _record.Announcement, holder: ids.HostId
) -> _record.Upstream:
    """Return the first record of a newly announced incarnation."""
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
    """Return ``old`` with the announced values, never undoing a drain."""
    states = (old.state, announcement.state)
    return old.with_changes(
        zone=announcement.zone,
        slots=announcement.slots,
        weight=announcement.weight,
        lifetime_s=announcement.lifetime_s,
        state=max(states, key=lambda state: state.value),
        expired=False,
    )


def make_refusal(
    announcement: _record.Announcement, old: _record.Upstream | None
) -> _events.AnnouncementRefused:
    """Return the answer to an announcement that is rejected.

    :param old: record that supersedes it, ``None`` if the table is full
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
