"""A malformed document leaves the last readable contract in force."""

from foxtailworks import contracts
from foxtailworks.entry import _services
from foxtailworks import errors
from foxtailworks import ids

GOOD = """{customer: "%s", services: [
    {name: "a", kind: "flow", address: "127.0.0.1:%d"}]}"""


def _versioned(customer, version, document):
    return contracts.VersionedContract(
        ids.CustomerId(customer), ids.Version(version), document
    )


def test_malformed_document_keeps_the_last_contract_and_others_change():
    index = _services.ServiceIndex()
    first = [
        _versioned("balans", 1, GOOD % ("balans", 7001)),
        _versioned("huaylas", 2, GOOD % ("huaylas", 7002)),
    ]
    assert index.set_documents(first) == ()
    second = [
        _versioned("balans", 3, "{customer: 'balans', future: 1}"),
        _versioned("huaylas", 4, GOOD % ("huaylas", 7003)),
        _versioned("newer", 5, "not a contract"),
    ]
    faults = index.set_documents(second)
    assert {item.code for item in faults} == {errors.Code.CONTRACT_INVALID}
    assert len(faults) == 2
    found = {str(route.address) for route in index.all()}
    assert found == {"127.0.0.1:7001", "127.0.0.1:7003"}
