"""A text that can't be read leaves the last readable contract in force."""

from foxtailworks import contracts
from foxtailworks.entry import _services
from foxtailworks import errors
from foxtailworks import ids

GOOD = """{customer: "%s", services: [
    {name: "a", kind: "flow", address: "127.0.0.1:%d"}]}"""


def _text(customer, version, document):
    return contracts.VersionedContract(
        ids.CustomerId(customer), ids.Version(version), document
    )


def test_unreadable_text_keeps_the_last_contract_and_the_others_change():
    index = _services.ServiceIndex()
    first = [
        _text("balans", 1, GOOD % ("balans", 7001)),
        _text("huaylas", 2, GOOD % ("huaylas", 7002)),
    ]
    assert index.set_texts(first) == ()
    second = [
        _text("balans", 3, "{customer: 'balans', future: 1}"),
        _text("huaylas", 4, GOOD % ("huaylas", 7003)),
        _text("newer", 5, "not a contract"),
    ]
    faults = index.set_texts(second)
    assert {item.code for item in faults} == {errors.Code.CONTRACT_INVALID}
    assert len(faults) == 2
    found = {str(route.address) for route in index.all()}
    assert found == {"127.0.0.1:7001", "127.0.0.1:7003"}
