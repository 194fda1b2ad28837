"""Edits of contracts: conflicts, resends, rollbacks and snapshots."""

import hypothesis
from hypothesis import strategies as st

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids


def document(customer, port):
    return (
        f'{{customer: "{customer}", services: [{{name: "s", kind: "flow",'
        f' address: "127.0.0.1:{port}"}}]}}'
    )


def edit(edit_id, customer, base, port):
    return contracts.Edit(
        ids.EditId(edit_id),
        ids.CustomerId(customer),
        ids.Version(base),
        document(customer, port),
    )


def apply(catalogue, command):
    data = contracts.encode_command(command)
    return catalogue.apply(catalogue.index + 1, data)


def test_exactly_one_of_two_racing_edits_wins():
    catalogue = contracts.Catalogue()
    first = apply(catalogue, edit("a", "balans", 0, 7001))
    second = apply(catalogue, edit("b", "balans", 0, 7002))
    assert (first.code, first.version) == (errors.Code.OK, 1)
    assert second.code == errors.Code.VERSION_CONFLICT
    assert second.version == 1


def test_an_address_belongs_to_one_customer():
    catalogue = contracts.Catalogue()
    apply(catalogue, edit("a", "balans", 0, 7001))
    taken = apply(catalogue, edit("b", "paseos", 0, 7001))
    assert taken.code == errors.Code.CONTRACT_INVALID
    assert "127.0.0.1:7001 belongs to 'balans'" in taken.detail
    apply(catalogue, edit("c", "balans", 1, 7002))
    freed = apply(catalogue, edit("d", "paseos", 0, 7001))
    assert freed.accepted


def test_a_rollback_is_a_new_version():
    catalogue = contracts.Catalogue()
    apply(catalogue, edit("a", "balans", 0, 7001))
    apply(catalogue, edit("b", "balans", 1, 7002))
    back = contracts.Rollback(
        ids.EditId("c"), ids.CustomerId("balans"), 2, ids.Version(1)
    )
    assert apply(catalogue, back).version == 3
    found = catalogue.view.find(ids.CustomerId("balans"))
    assert found.document == document("balans", 7001)
    unkept = contracts.Rollback(
        ids.EditId("d"), ids.CustomerId("balans"), 3, ids.Version(9)
    )
    assert apply(catalogue, unkept).code == errors.Code.VERSION_MISSING


def test_an_edit_id_names_one_edit():
    catalogue = contracts.Catalogue()
    apply(catalogue, edit("a", "balans", 0, 7001))
    other = apply(catalogue, edit("a", "balans", 0, 7002))
    assert other.code == errors.Code.EDIT_ID_REUSED


EDITS = st.builds(
    edit,
    st.sampled_from("abcdefgh"),
    st.sampled_from(["balans", "paseos"]),
    st.integers(0, 6),
    st.integers(7001, 7003),
)
ROSTERS = st.builds(
    contracts.RosterEdit,
    st.lists(
        st.builds(
            contracts.RosterHost,
            st.sampled_from("xyz"),
            st.sampled_from(["z1", "z2"]),
            st.builds(ids.Address, st.just("127.0.0.1"), st.integers(1, 2)),
        ),
        max_size=2,
    ).map(tuple),
    st.lists(st.sampled_from("xyz"), max_size=1).map(tuple),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=80)
@hypothesis.given(
    st.lists(EDITS | ROSTERS, max_size=14), st.integers(0, 14), st.data()
)
def test_resends_and_snapshots_change_no_outcome(commands, cut, data):
    plain = contracts.Catalogue()
    outcomes = {}
    for command in commands:
        found = apply(plain, command)
        if isinstance(command, contracts.Edit):
            outcomes.setdefault((command.edit_id, command), found)
    restarted = contracts.Catalogue()
    for place, command in enumerate(commands):
        if place == cut:
            restarted = contracts.Catalogue.restore(
                restarted.index, restarted.snapshot()
            )
        apply(restarted, command)
    assert restarted.snapshot() == plain.snapshot()
    before = plain.view.version
    for (_, command), outcome in outcomes.items():
        assert apply(restarted, command) == outcome
    assert restarted.view.version == before


@hypothesis.settings(derandomize=True, deadline=None, max_examples=80)
@hypothesis.given(st.lists(EDITS | ROSTERS, max_size=14), st.data())
def test_a_delta_from_any_version_gives_the_same_view(commands, data):
    catalogue = contracts.Catalogue()
    views = [contracts.View()]
    for command in commands:
        apply(catalogue, command)
        later = contracts.View()
        later.apply(catalogue.view.since(ids.ZERO_VERSION))
        views.append(later)
    for view in views:
        pieces = contracts.View()
        pieces.apply(view.since(ids.ZERO_VERSION))
        for part in catalogue.view.parts(view.version, 1):
            assert pieces.apply(part) and len(part.contracts) <= 1
        assert pieces.contracts == catalogue.view.contracts
        assert pieces.roster == catalogue.view.roster
        assert pieces.version == catalogue.view.version
        old = view.version
        took = view.apply(catalogue.view.since(old))
        assert took == (old < catalogue.view.version)
        assert view.contracts == catalogue.view.contracts
        assert view.roster == catalogue.view.roster
        assert not view.apply(views[0].since(ids.ZERO_VERSION))


def test_outcomes_are_bounded_and_old_resends_conflict(monkeypatch):
    catalogue = contracts.Catalogue()
    first = edit("first", "balans", 0, 7001)
    apply(catalogue, first)
    for number in range(contracts.MAX_OUTCOMES + 5):
        apply(catalogue, edit(f"e{number}", "other", 99, 7002))
    assert catalogue.outcome(ids.EditId("first")) is None
    assert apply(catalogue, first).code == errors.Code.VERSION_CONFLICT


def test_a_delta_over_a_gap_is_refused():
    catalogue = contracts.Catalogue()
    apply(catalogue, edit("a", "balans", 0, 7001))
    apply(catalogue, edit("b", "paseos", 0, 7002))
    lagging = contracts.View()
    assert not lagging.apply(catalogue.view.since(ids.Version(1)))
    assert lagging.version == ids.ZERO_VERSION
