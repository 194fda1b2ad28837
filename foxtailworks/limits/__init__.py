"""Limits over all hosts: shares moved by leases, admission, job counts.

Example::

    shares = limits.Shares(host, now, is_first_start=True, rng=rng)
    shares.set_limit(limit, amount=1000.0, divisor=len(roster.hosts))
    admission = limits.Admission(customer, service, shares, rng)
    for decision in admission.offer(now, ticket):
        perform(decision)
"""

from foxtailworks.limits._admission import Admission
from foxtailworks.limits._admission import Admit
from foxtailworks.limits._admission import Decision
from foxtailworks.limits._admission import Reject
from foxtailworks.limits._admission import Ticket
from foxtailworks.limits._flows import FlowGate
from foxtailworks.limits._jobs import JobCounter
from foxtailworks.limits._messages import LeaseGrant
from foxtailworks.limits._messages import LeaseRequest
from foxtailworks.limits._messages import make_codec
from foxtailworks.limits._messages import Message
from foxtailworks.limits._messages import MESSAGES
from foxtailworks.limits._shares import LimitId
from foxtailworks.limits._shares import Resource
from foxtailworks.limits._shares import Send
from foxtailworks.limits._shares import Shares

__all__ = [
    "MESSAGES",
    "Admission",
    "Admit",
    "Decision",
    "FlowGate",
    "JobCounter",
    "LeaseGrant",
    "LeaseRequest",
    "LimitId",
    "Message",
    "Reject",
    "Resource",
    "Send",
    "Shares",
    "Ticket",
    "make_codec",
]
