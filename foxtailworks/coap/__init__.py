"""CoAP messages that entry hosts read and write (RFC 7252, RFC 7959).

aiocoap supplies the codec; this package adds typed requests with keys,
deadlines and blocks, and the responses that an entry host itself sends.

Example::

    req = coap.read_request(data)
    data = coap.not_run(req, retry_after_s=2)
"""

from foxtailworks.coap._message import Kind
from foxtailworks.coap._message import kind_of
from foxtailworks.coap._message import Method
from foxtailworks.coap._message import Option
from foxtailworks.coap._message import read_answer
from foxtailworks.coap._message import read_request
from foxtailworks.coap._message import Request
from foxtailworks.coap._message import UpstreamAnswer
from foxtailworks.coap._registration import AnnouncedState
from foxtailworks.coap._registration import read_registration
from foxtailworks.coap._registration import Registration
from foxtailworks.coap._registration import registration_confirmed
from foxtailworks.coap._registration import write_registration
from foxtailworks.coap._write import answer_from_upstream
from foxtailworks.coap._write import bad_request
from foxtailworks.coap._write import cancel_request
from foxtailworks.coap._write import compose
from foxtailworks.coap._write import forward_request
from foxtailworks.coap._write import is_cancel_confirmed
from foxtailworks.coap._write import not_run
from foxtailworks.coap._write import outcome_unknown
from foxtailworks.coap._write import reset

__all__ = [
    "AnnouncedState",
    "Kind",
    "Method",
    "Option",
    "Registration",
    "Request",
    "UpstreamAnswer",
    "answer_from_upstream",
    "bad_request",
    "cancel_request",
    "compose",
    "forward_request",
    "is_cancel_confirmed",
    "kind_of",
    "not_run",
    "outcome_unknown",
    "read_answer",
    "read_registration",
    "read_request",
    "registration_confirmed",
    "reset",
    "write_registration",
]
