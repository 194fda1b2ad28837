"""Responses to operators' requests that weren't decided here."""

from foxtailworks.coordinator import _program
from foxtailworks import errors
from foxtailworks import httpd
from foxtailworks import ids
from foxtailworks import logs

_EVENTS = logs.Events("control")


def undecided_response(
    program: _program.Coordinator,
    exc: errors.FoxtailError,
    port: int,
    path: str,
) -> httpd.Response:
    """Return a redirect to the leader, or 503 when there is none.

    :param port: control port, which is the same on all hosts
    :param path: path of the request, which is to be sent to the leader
    """
    leader = program.leader_address()
    if exc.code is errors.Code.NOT_LEADER and leader is not None:
        return httpd.redirect(ids.Address(leader.ip, port), path)
    _EVENTS.failed("not_decided", exc)
    return httpd.error_response(503, exc.detail)
