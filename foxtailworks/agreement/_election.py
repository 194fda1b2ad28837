"""Pre-vote, vote, and how a candidate becomes leader."""

import dataclasses

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _core
from foxtailworks.agreement import _leader
from foxtailworks.agreement import _messages
from foxtailworks import ids


def stand(core: _core.Core, now: float) -> None:
    """Ask first whether an election would succeed (pre-vote)."""
    core.restart_election_timer(now)
    if not core.is_voter():
        core.change_role(_actions.Role.FOLLOWER, None)
        return
    core.change_role(_actions.Role.CANDIDATE, None)
    core.pre_voting = True
    core.votes = {core.keeper}
    _ask(core, core.state.term + 1, pre=True, transfer=False)
    _count(core, now)


def elect(core: _core.Core, now: float, transfer: bool) -> None:
    """Start a term; the requests leave when term and vote are on disk."""
    core.restart_election_timer(now)
    core.state = dataclasses.replace(
        core.state, term=core.state.term + 1, voted_for=core.keeper
    )
    core.pre_voting = False
    core.votes = set()
    core.change_role(_actions.Role.CANDIDATE, None)
    core.persist()
    core.election_number = core.number
    _ask(core, core.state.term, pre=False, transfer=transfer)


def on_persisted(core: _core.Core, now: float) -> None:
    """Count the own vote as soon as it is on the disk."""
    if core.role is not _actions.Role.CANDIDATE or core.pre_voting:
        return
    if core.persisted >= core.election_number:
        core.votes.add(core.keeper)
        _count(core, now)


def on_request(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.VoteRequest,
    now: float,
) -> None:
    """Answer a candidate."""
    if _has_leader(core, now) and not msg.is_transfer:
        _answer(core, src, msg, granted=False)
        return
    if msg.is_pre_vote:
        granted = msg.term > core.state.term and _up_to_date(core, msg)
        _answer(core, src, msg, granted)
        return
    if msg.term > core.state.term:
        core.follow(msg.term, None, now)
    granted = _may_vote(core, src, msg)
    if granted:
        _vote(core, src, now)
    _answer(core, src, msg, granted)


def on_answer(
    core: _core.Core, src: ids.KeeperId, msg: _messages.VoteAnswer, now: float
) -> None:
    """Count a vote."""
    if not msg.granted:
        if msg.term > core.state.term:
            core.follow(msg.term, None, now)
        return
    if (
        core.role is not _actions.Role.CANDIDATE
        or msg.is_pre_vote != core.pre_voting
    ):
        return
    if msg.term != core.state.term + (1 if msg.is_pre_vote else 0):
        return
    core.votes.add(src)
    _count(core, now)


def on_elect_now(
    core: _core.Core, src: ids.KeeperId, msg: _messages.ElectNow, now: float
) -> None:
    """Stand at once because the leader leaves."""
    if msg.term == core.state.term and core.is_voter():
        if core.role is not _actions.Role.LEADER:
            elect(core, now, transfer=True)


def _ask(core: _core.Core, term: int, pre: bool, transfer: bool) -> None:
    """Send a vote request to every other voter."""
    msg = _messages.VoteRequest(
        core.state.group,
        term,
        core.log.last_index,
        core.log.last_term,
        pre,
        transfer,
    )
    for item in core.log.membership.voters():
        if item != core.keeper:
            core.send(item, msg)


def _count(core: _core.Core, now: float) -> None:
    """Go one step further when a majority has answered yes."""
    voters = core.log.membership.voters()
    in_favour = sum(item in core.votes for item in voters)
    if 2 * in_favour <= len(voters):
        return
    if core.pre_voting:
        elect(core, now, transfer=False)
    else:
        _leader.start(core, now)


def _has_leader(core: _core.Core, now: float) -> bool:
    """Tell whether a leader was heard lately, or is this keeper."""
    if core.role is _actions.Role.LEADER:
        return True
    return now - core.heard_at < core.timing.election_min_s


def _up_to_date(core: _core.Core, msg: _messages.VoteRequest) -> bool:
    """Tell whether the candidate's log holds all that this one does."""
    theirs = (msg.last_term, msg.last_index)
    return theirs >= (core.log.last_term, core.log.last_index)


def _may_vote(
    core: _core.Core, src: ids.KeeperId, msg: _messages.VoteRequest
) -> bool:
    """Tell whether this term's vote is still free for ``src``."""
    if msg.term != core.state.term or not _up_to_date(core, msg):
        return False
    return core.state.voted_for in (None, src)


def _vote(core: _core.Core, src: ids.KeeperId, now: float) -> None:
    """Write the vote down."""
    core.restart_election_timer(now)
    if core.state.voted_for != src:
        core.state = dataclasses.replace(core.state, voted_for=src)
        core.persist()


def _answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.VoteRequest,
    granted: bool,
) -> None:
    """Answer a request, after the disk when something was written."""
    term = msg.term if granted else core.state.term
    core.send(
        src, _messages.VoteAnswer(msg.group, term, granted, msg.is_pre_vote)
    )
