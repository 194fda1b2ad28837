"""Submits edits of contracts and waits until they are in force."""

import secrets

from foxtailworks import contracts
from foxtailworks.ctl import _keepers
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _session
from foxtailworks import errors
from foxtailworks import ids

EDIT_ID_BYTES = 8
_REQUEST_NUMBER = 1


def edit_id_or_new(given: str | None) -> ids.EditId:
    """Return ``given``, or a new random id, for an edit and its resends."""
    return ids.EditId(given or secrets.token_hex(EDIT_ID_BYTES))


async def submit(
    session: _session.Session,
    edit: contracts.PutContract | contracts.RollbackContract,
    wait_s: float,
    resend: str,
) -> _session.Outcome:
    """Send an edit, resending it until its outcome is known.

    :param wait_s: how long to wait until it is in force; 0 for not at all
    :param resend: start of the command that resends it, shown if its
        outcome stays unknown
    :raises FoxtailError: the edit wasn't accepted, or ``EDIT_UNKNOWN``
    """
    try:
        answer = await session.keepers().edit(edit)
    except errors.FoxtailError as exc:
        exc.context["edit_id"] = edit.edit_id
        if exc.code is errors.Code.EDIT_UNKNOWN:
            exc.context["learn"] = (
                f"{resend} --base {edit.base_version} --edit-id {edit.edit_id}"
            )
        raise
    if answer.code != errors.Code.OK:
        raise _rejection(answer, edit.customer)
    report = _reports.EditReport(edit.edit_id, edit.customer, answer.version)
    return await _wait_in_force(session, report, wait_s)


def _rejection(
    answer: contracts.EditAnswer, customer: ids.CustomerId
) -> errors.FoxtailError:
    """Return the error for an edit that wasn't accepted."""
    return errors.FoxtailError(
        _keepers.code_of(answer.code),
        answer.detail,
        edit_id=answer.edit_id,
        customer=customer,
        current_version=answer.version,
    )


async def _wait_in_force(
    session: _session.Session, report: _reports.EditReport, wait_s: float
) -> _session.Outcome:
    """Wait until an accepted edit is in force, unless ``wait_s`` is 0.

    :raises FoxtailError: ``NOT_IN_FORCE`` when no keeper answered
    """
    if not wait_s:
        return _session.Outcome(report)
    request = contracts.AwaitInForce(_REQUEST_NUMBER, report.version, wait_s)
    try:
        answer = await session.keepers().query(
            request, contracts.InForceAnswer, wait_s
        )
    except errors.FoxtailError as exc:
        raise errors.FoxtailError(
            errors.Code.NOT_IN_FORCE,
            "accepted, but no keeper reported where it is in force",
            edit_id=report.edit_id,
            version=report.version,
            reason=exc,
        ) from exc
    code = errors.Code.NOT_IN_FORCE if answer.lagging else errors.Code.OK
    complete_report = _reports.EditReport(
        report.edit_id, report.customer, report.version, answer
    )
    return _session.Outcome(complete_report, code)
