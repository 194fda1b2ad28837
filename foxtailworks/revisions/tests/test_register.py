"""The highest revision wins, in any order."""

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import errors
from foxtailworks import revisions


def put(revision, text=b"text"):
    return revisions.encode_put(revisions.Put.of(revision, text))


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.lists(st.integers(1, 9), min_size=1))
def test_any_order_ends_with_the_highest(order):
    register = revisions.Register()
    for index, revision in enumerate(order, 1):
        outcome = register.apply(index, put(revision, b"%d" % revision))
        newest = revision > max(order[: index - 1], default=0)
        assert (outcome is revisions.Outcome.IN_FORCE) == newest
    assert register.current.revision == max(order)
    assert register.current.text() == b"%d" % max(order)


def test_other_content_under_the_same_number_is_not_kept():
    register = revisions.Register()
    register.apply(1, put(7, b"first"))
    assert register.apply(2, put(7, b"second")) is revisions.Outcome.OVERTAKEN
    assert register.current.text() == b"first"


def test_a_snapshot_gives_the_same_register():
    register = revisions.Register()
    register.apply(3, put(7, b"first"))
    again = revisions.restore(3, register.snapshot())
    assert (again.index, again.current) == (3, register.current)


def test_an_entry_is_applied_once():
    register = revisions.Register()
    register.apply(3, put(7))
    with pytest.raises(errors.FoxtailError):
        register.apply(3, put(8))
