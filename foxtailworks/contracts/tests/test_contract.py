"""Validation of contracts, with the path of every error."""

import pytest

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import wire

TEXT = """
{ // Zadruga Balans
  customer: "balans",
  services: [
    {name: "slot-desk", kind: "request", address: "127.0.0.1:7001",
     classes: [{name: "confirm", methods: ["POST"], path_prefix: "/book",
                priority: "high"}]},
    {name: "letter-vault", kind: "flow", address: "127.0.0.1:7002"},
  ],
}
"""


def test_parse_and_render_agree():
    contract = contracts.parse_contract(TEXT)
    again = contracts.parse_contract(contracts.render_contract(contract))
    assert again == contract
    assert contract.services[0].classes[0].priority is contracts.Priority.HIGH


def test_a_contract_survives_encoding():
    contract = contracts.parse_contract(TEXT)
    codec = wire.Codec({1: contracts.Contract})
    assert codec.decode(codec.encode(contract)) == contract


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("7002", "7001", "share one address"),
        ('"flow"', '"tcp"', "services.1.kind"),
        ("customer:", "client:", "client"),
        ("127.0.0.1:7001", "host:7001", "IP number"),
        ('"high"', '"urgent"', "services.0.classes.0.priority"),
        ("services: [", "services: [[", "JSON"),
        ('"POST"', '"SEND"', "services.0.classes.0.methods"),
        ('"/book"', '"book"', "services.0.classes.0.path_prefix"),
        ('"/book"', '"/b", deadline_ms: 600000', "key_retention_s"),
        ('"flow"', '"flow", limits: {in_flight: 0}', "limits.in_flight"),
    ],
)
def test_errors_name_their_path(old, new, path):
    with pytest.raises(errors.FoxtailError) as info:
        contracts.parse_contract(TEXT.replace(old, new))
    assert info.value.code == errors.Code.CONTRACT_INVALID
    assert path in str(info.value)
