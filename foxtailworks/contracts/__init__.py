"""Contracts of customers: format, edits, and distribution to entry hosts.

Example::

    contract = contracts.parse_contract(text)
    contract.service(ids.ServiceId("slot-desk")).kind

    catalogue = contracts.Catalogue()
    outcome = catalogue.apply(1, contracts.encode_command(edit))
"""

from foxtailworks.contracts._catalogue import Catalogue
from foxtailworks.contracts._catalogue import check_document
from foxtailworks.contracts._catalogue import MAX_CUSTOMERS
from foxtailworks.contracts._catalogue import MAX_DOCUMENT_BYTES
from foxtailworks.contracts._catalogue import MAX_OUTCOMES
from foxtailworks.contracts._contract import Contract
from foxtailworks.contracts._contract import Limits
from foxtailworks.contracts._contract import Priority
from foxtailworks.contracts._contract import RequestClass
from foxtailworks.contracts._contract import Service
from foxtailworks.contracts._contract import ServiceKind
from foxtailworks.contracts._distribution import Distribution
from foxtailworks.contracts._distribution import DistributionConfig
from foxtailworks.contracts._distribution import DistributionMode
from foxtailworks.contracts._distribution import PutInForce
from foxtailworks.contracts._distribution import SendToHost
from foxtailworks.contracts._distribution import tree_order
from foxtailworks.contracts._distribution_messages import DISTRIBUTION_MESSAGES
from foxtailworks.contracts._distribution_messages import UpdateChunk
from foxtailworks.contracts._distribution_messages import VersionDigest
from foxtailworks.contracts._edits import Command
from foxtailworks.contracts._edits import decode_command
from foxtailworks.contracts._edits import Edit
from foxtailworks.contracts._edits import encode_command
from foxtailworks.contracts._edits import Outcome
from foxtailworks.contracts._edits import Rollback
from foxtailworks.contracts._edits import Roster
from foxtailworks.contracts._edits import RosterEdit
from foxtailworks.contracts._edits import RosterHost
from foxtailworks.contracts._entry import ENTRY_MESSAGES
from foxtailworks.contracts._entry import InForce
from foxtailworks.contracts._entry import InForceReports
from foxtailworks.contracts._entry import Subscribe
from foxtailworks.contracts._history import Record
from foxtailworks.contracts._operator import AddKeeper
from foxtailworks.contracts._operator import AwaitInForce
from foxtailworks.contracts._operator import ContractAnswer
from foxtailworks.contracts._operator import ContractLine
from foxtailworks.contracts._operator import ContractList
from foxtailworks.contracts._operator import EditAnswer
from foxtailworks.contracts._operator import GetContract
from foxtailworks.contracts._operator import GetHistory
from foxtailworks.contracts._operator import GetStatus
from foxtailworks.contracts._operator import HistoryAnswer
from foxtailworks.contracts._operator import HostLine
from foxtailworks.contracts._operator import HostRemoved
from foxtailworks.contracts._operator import InForceAnswer
from foxtailworks.contracts._operator import KeeperChanged
from foxtailworks.contracts._operator import KeeperLine
from foxtailworks.contracts._operator import KeeperList
from foxtailworks.contracts._operator import ListContracts
from foxtailworks.contracts._operator import ListKeepers
from foxtailworks.contracts._operator import OPERATOR_MESSAGES
from foxtailworks.contracts._operator import PutContract
from foxtailworks.contracts._operator import Refused
from foxtailworks.contracts._operator import RemoveHost
from foxtailworks.contracts._operator import RemoveKeeper
from foxtailworks.contracts._operator import ReplaceKeeper
from foxtailworks.contracts._operator import RollbackContract
from foxtailworks.contracts._operator import StatusAnswer
from foxtailworks.contracts._parse import parse_contract
from foxtailworks.contracts._parse import render_contract
from foxtailworks.contracts._view import Update
from foxtailworks.contracts._view import VersionedContract
from foxtailworks.contracts._view import View

__all__ = [
    "DISTRIBUTION_MESSAGES",
    "ENTRY_MESSAGES",
    "MAX_CUSTOMERS",
    "MAX_DOCUMENT_BYTES",
    "MAX_OUTCOMES",
    "OPERATOR_MESSAGES",
    "AddKeeper",
    "AwaitInForce",
    "Catalogue",
    "Command",
    "Contract",
    "ContractAnswer",
    "ContractLine",
    "ContractList",
    "Distribution",
    "DistributionConfig",
    "DistributionMode",
    "Edit",
    "EditAnswer",
    "GetContract",
    "GetHistory",
    "GetStatus",
    "HistoryAnswer",
    "HostLine",
    "HostRemoved",
    "InForce",
    "InForceAnswer",
    "InForceReports",
    "KeeperChanged",
    "KeeperLine",
    "KeeperList",
    "Limits",
    "ListContracts",
    "ListKeepers",
    "Outcome",
    "Priority",
    "PutContract",
    "PutInForce",
    "Record",
    "Refused",
    "RemoveHost",
    "RemoveKeeper",
    "ReplaceKeeper",
    "RequestClass",
    "Rollback",
    "RollbackContract",
    "Roster",
    "RosterEdit",
    "RosterHost",
    "SendToHost",
    "Service",
    "ServiceKind",
    "StatusAnswer",
    "Subscribe",
    "Update",
    "UpdateChunk",
    "VersionDigest",
    "VersionedContract",
    "View",
    "check_document",
    "decode_command",
    "encode_command",
    "parse_contract",
    "render_contract",
    "tree_order",
]
