"""foxtailctl reports the true outcome of an edit, whatever keepers do."""

import asyncio
import contextlib
import itertools

import hypothesis
from hypothesis import strategies as st
import pytest
import uvloop

from foxtailworks import contracts
from foxtailworks.ctl import _keepers
from foxtailworks.ctl.tests import standins
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links
from foxtailworks.links.tests import addresses
from foxtailworks import settings

FUZZ = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
Code = errors.Code
EDIT = contracts.PutContract(
    1,
    ids.EditId("e1"),
    standins.BALANS,
    ids.ZERO_VERSION,
    '{customer: "balans"}',
)
RIVAL = contracts.PutContract(
    1,
    ids.EditId("e2"),
    standins.BALANS,
    ids.ZERO_VERSION,
    '{customer: "balans", services: []}',
)
ACTS = st.sampled_from(
    [
        "answer",
        "lose_question",
        "lose_answer",
        "not_leader",
        "unknown",
        "no_quorum",
        "wrong_ask",
        "wrong_edit",
        "rival",
    ]
)


class Scripted:
    """A keeper that follows a script, then answers that it has no quorum."""

    def __init__(self, group, script, other):
        self._group = group
        self._script = list(script)
        self._other = other

    async def handle(self, link):
        async for msg in link:
            act = self._script.pop(0) if self._script else "no_quorum"
            reply = self._act(act, msg)
            if reply is None:
                return
            await link.send(reply)

    def _act(self, act, msg):
        if act == "lose_question":
            return None
        if act in REPLIES:
            return REPLIES[act]
        if act == "not_leader":
            return _refused(Code.NOT_LEADER, self._other)
        if act == "rival":
            self._group.answer(RIVAL)
        answer = self._group.answer(msg)
        if act == "lose_answer":
            return None
        return _refused(Code.EDIT_UNKNOWN) if act == "unknown" else answer


def _refused(code, leader=None):
    return contracts.Refused(1, code.value, "", leader)


# Replies of a keeper that did nothing; two belong to another request.
REPLIES = {
    "no_quorum": _refused(Code.NO_QUORUM),
    "wrong_ask": contracts.EditAnswer(9, EDIT.edit_id, 0, ids.Version(1), ""),
    "wrong_edit": contracts.EditAnswer(1, RIVAL.edit_id, 0, 1, ""),
}


async def submit(scripts, group):
    """Submit the edit to scripted keepers; return the answer or error."""
    chosen = [addresses.free_address() for _ in scripts]
    cfg = settings.OperatorSettings(keepers=tuple(chosen), timeout_s=5)
    ticks = itertools.count()
    async with contextlib.AsyncExitStack() as stack:
        for n, script in enumerate(scripts):
            keeper = Scripted(group, script, chosen[n - 1])
            serving = links.serve(
                chosen[n], standins.KEEPER_CODEC, keeper.handle
            )
            await stack.enter_async_context(serving)
        keepers = _keepers.Keepers(
            cfg, retry_timeout_s=12, pause_s=0, clock=lambda: next(ticks)
        )
        try:
            return await keepers.edit(EDIT)
        except errors.FoxtailError as exc:
            return exc


def run(scripts, group):
    return uvloop.run(asyncio.wait_for(submit(scripts, group), 20))


@FUZZ
@hypothesis.given(st.lists(st.lists(ACTS, max_size=4), min_size=2, max_size=3))
def test_what_is_said_of_an_edit_is_true(scripts):
    group = standins.Group()
    said = run(scripts, group)
    records = group.catalogue.history(standins.BALANS)
    applied = [r for r in records if r.edit_id == EDIT.edit_id]
    assert len(applied) <= 1
    if isinstance(said, contracts.EditAnswer):
        assert (said.code == Code.OK) == bool(applied)
        assert not applied or said.version == applied[0].version
    elif said.code is not Code.EDIT_UNKNOWN:
        assert not applied


@pytest.mark.parametrize(
    ("scripts", "code"),
    [
        ([["lose_answer"], ["answer"]], Code.OK),
        ([["lose_answer", "answer"]], Code.OK),
        ([["lose_question"], ["not_leader"], ["answer"]], Code.OK),
        ([["rival"], []], Code.VERSION_CONFLICT),
        ([["lose_answer"], []], Code.EDIT_UNKNOWN),
        ([["unknown"], []], Code.EDIT_UNKNOWN),
        ([["not_leader"] * 9, ["not_leader"] * 9], Code.NOT_LEADER),
        ([[], []], Code.NO_QUORUM),
    ],
)
def test_codes_of_lost_and_refused_edits(scripts, code):
    assert run(scripts, standins.Group()).code == code


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (None, Code.EDIT_UNKNOWN),
        (_refused(Code.EDIT_UNKNOWN), Code.EDIT_UNKNOWN),
        # A keeper also answers this when an added learner lags.
        (_refused(Code.NO_QUORUM), Code.NO_QUORUM),
    ],
)
def test_a_change_of_keepers_is_never_sent_twice(reply, code):
    received = []

    async def refuse(link):
        async for msg in link:
            received.append(msg)
            if reply is None:
                return
            await link.send(reply)

    async def scenario():
        address = addresses.free_address()
        cfg = settings.OperatorSettings(keepers=(address,), timeout_s=5)
        async with links.serve(address, standins.KEEPER_CODEC, refuse):
            request = contracts.AddKeeper(1, address)
            with pytest.raises(errors.FoxtailError) as info:
                await _keepers.Keepers(cfg).change(
                    request, contracts.KeeperChanged, 1
                )
        assert info.value.code is code

    uvloop.run(scenario())
    assert len(received) == 1
