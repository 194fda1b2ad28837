"""What operators edit: one contract for each customer.

Example::

    contract = contracts.parse_contract(text)
    contract.service(ids.ServiceId("slot-desk")).kind
"""

from foxtailworks.contracts._contract import Contract
from foxtailworks.contracts._contract import Limits
from foxtailworks.contracts._contract import Priority
from foxtailworks.contracts._contract import RequestClass
from foxtailworks.contracts._contract import Service
from foxtailworks.contracts._contract import ServiceKind
from foxtailworks.contracts._parse import parse_contract
from foxtailworks.contracts._parse import render_contract

__all__ = [
    "Contract",
    "Limits",
    "Priority",
    "RequestClass",
    "Service",
    "ServiceKind",
    "parse_contract",
    "render_contract",
]
