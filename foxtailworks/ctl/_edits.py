"""Sends an edit until its outcome is known."""

import secrets

from foxtailworks import contracts
from foxtailworks.ctl import _keepers
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _session
from foxtailworks import errors
from foxtailworks import ids

EDIT_ID_BYTES = 8
_ASK = 1


def new_id(given: str | None) -> ids.EditId:
    """Return the id that names an edit and its resends."""
    return ids.EditId(given or secrets.token_hex(EDIT_ID_BYTES))


async def submit(
    session: _session.Session,
    edit: contracts.PutContract | contracts.RollbackContract,
    wait_s: float,
    resend: str,
) -> _session.Done:
    """Send an edit until its outcome is known."""
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
        raise _refusal(answer, edit.customer)
    report = _reports.EditReport(edit.edit_id, edit.customer, answer.version)
    return await _wait(session, report, wait_s)


def _refusal(
    answer: contracts.EditAnswer, customer: ids.CustomerId
) -> errors.FoxtailError:
    """Return why an edit wasn't accepted."""
    return errors.FoxtailError(
        _keepers.code_of(answer.code),
        answer.detail,
        edit_id=answer.edit_id,
        customer=customer,
        current_version=answer.version,
    )


async def _wait(
    session: _session.Session, report: _reports.EditReport, wait_s: float
) -> _session.Done:
    """Wait until an accepted edit is in force, if that is wanted."""
    if not wait_s:
        return _session.Done(report)
    question = contracts.AwaitInForce(_ASK, report.version, wait_s)
    try:
        answer = await session.keepers().query(
            question, contracts.InForceAnswer, wait_s
        )
    except errors.FoxtailError as exc:
        raise errors.FoxtailError(
            errors.Code.NOT_IN_FORCE,
            "accepted, but no keeper says where it is in force",
            edit_id=report.edit_id,
            version=report.version,
            reason=exc,
        ) from exc
    lagging = errors.Code.NOT_IN_FORCE if answer.lagging else errors.Code.OK
    shown = _reports.EditReport(
        report.edit_id, report.customer, report.version, answer
    )
    return _session.Done(shown, lagging)
