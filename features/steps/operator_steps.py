"""Steps for edits of contracts by operators."""

import json

import behave

from foxtailworks import contracts
from foxtailworks import ids


def _document(customer, port):
    """Return a contract with one service."""
    service = {"name": "a", "kind": "flow", "address": f"127.0.0.1:{port}"}
    return json.dumps({"customer": customer, "services": [service]})


def _apply(context, edit_id, customer, base, port):
    """Apply one edit as the next entry of the log."""
    edit = contracts.Edit(
        ids.EditId(edit_id),
        ids.CustomerId(customer),
        ids.Version(base),
        _document(customer, port),
    )
    index = context.catalogue.index + 1
    data = contracts.encode_command(edit)
    outcome = context.catalogue.apply(index, data)
    context.outcomes.setdefault(edit_id, []).append(outcome)


@behave.given("an empty catalogue")
def given_catalogue(context):
    context.catalogue = contracts.Catalogue()
    context.outcomes = {}


@behave.when('edit "{edit_id}" replaces version {base:d} of customer "{name}"')
def when_edit(context, edit_id, base, name):
    _apply(context, edit_id, name, base, 7001)


@behave.when(
    'edit "{edit_id}" replaces version {base:d} of customer "{name}" '
    "at the same address"
)
def when_edit_same_address(context, edit_id, base, name):
    _apply(context, edit_id, name, base, 7001)


@behave.when("the catalogue is restored from its snapshot")
def when_restored(context):
    index = context.catalogue.index
    data = context.catalogue.snapshot()
    context.catalogue = contracts.Catalogue.restore(index, data)


@behave.then('edit "{edit_id}" has code {code:d}')
def then_code(context, edit_id, code):
    assert {item.code for item in context.outcomes[edit_id]} == {code}


@behave.then('the last version is the first one of edit "{edit_id}"')
def then_first_version(context, edit_id):
    first = context.outcomes[edit_id][0].version
    assert {item.version for item in context.outcomes[edit_id]} == {first}
    assert context.catalogue.view.version == first
