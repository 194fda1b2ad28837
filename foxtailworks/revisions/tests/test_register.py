"""The highest revision wins, in whatever order commands are applied."""

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import errors
from foxtailworks import revisions


def encoded_put(revision, text=b"text"):
    return revisions.encode_put(revisions.Put.of(revision, text))


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.lists(st.integers(1, 9), min_size=1))
def test_highest_revision_wins_in_any_order(order):
    register = revisions.Register()
    for index, revision in enumerate(order, 1):
        outcome = register.apply(
            index, encoded_put(revision, b"%d" % revision)
        )
        is_highest = revision > max(order[: index - 1], default=0)
        assert (outcome is revisions.Outcome.IN_FORCE) == is_highest
    assert register.current.revision == max(order)
    assert register.current.text() == b"%d" % max(order)


def test_same_revision_with_other_text_is_ignored():
    register = revisions.Register()
    register.apply(1, encoded_put(7, b"first"))
    assert (
        register.apply(2, encoded_put(7, b"second"))
        is revisions.Outcome.OVERTAKEN
    )
    assert register.current.text() == b"first"


def test_snapshot_restores_the_same_register():
    register = revisions.Register()
    register.apply(3, encoded_put(7, b"first"))
    restored = revisions.restore(3, register.snapshot())
    assert (restored.index, restored.current) == (3, register.current)


def test_applying_an_entry_twice_is_an_error():
    register = revisions.Register()
    register.apply(3, encoded_put(7))
    with pytest.raises(errors.FoxtailError):
        register.apply(3, encoded_put(8))
