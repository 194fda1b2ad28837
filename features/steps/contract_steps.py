"""Steps for the validation of contracts."""

import json

import behave

from foxtailworks import contracts
from foxtailworks import errors


@behave.given('a contract with two services at "{address}"')
def given_contract(context, address):
    names = ("a", "b")
    services = [
        {"name": name, "kind": "flow", "address": address} for name in names
    ]
    context.document = json.dumps({"customer": "c", "services": services})


@behave.when("the contract is parsed")
def when_parsed(context):
    try:
        contracts.parse_contract(context.document)
        context.code = errors.Code.OK
    except errors.FoxtailError as exc:
        context.code = exc.code


@behave.then("it is refused with code {code:d}")
def then_refused(context, code):
    assert context.code == code
