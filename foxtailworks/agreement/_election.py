"""Elections: pre-votes, votes, and the change from candidate to leader."""

import dataclasses

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _core
from foxtailworks.agreement import _leader
from foxtailworks.agreement import _messages
from foxtailworks import ids


def start_pre_vote(core: _core.Core, now: float) -> None:
    """Start a pre-vote, which finds out whether an election would succeed."""
    core.restart_election_timer(now)
    if not core.is_voter():
        core.change_role(_actions.Role.FOLLOWER, None)
        return
    core.change_role(_actions.Role.CANDIDATE, None)
    core.pre_voting = True
    core.votes = {core.keeper}
    _request_votes(
        core, core.hard_state.term + 1, is_pre_vote=True, transfer=False
    )
    _count_votes(core, now)


def start_election(core: _core.Core, now: float, transfer: bool) -> None:
    """Start a term; vote requests are sent once term and vote are on disk."""
    core.restart_election_timer(now)
    core.hard_state = dataclasses.replace(
        core.hard_state, term=core.hard_state.term + 1, voted_for=core.keeper
    )
    core.pre_voting = False
    core.votes = set()
    core.change_role(_actions.Role.CANDIDATE, None)
    core.persist()
    core.election_write = core.last_write
    _request_votes(
        core, core.hard_state.term, is_pre_vote=False, transfer=transfer
    )


def on_persisted(core: _core.Core, now: float) -> None:
    """Count this keeper's own vote as soon as it is on disk."""
    if core.role is not _actions.Role.CANDIDATE or core.pre_voting:
        return
    if core.last_persisted_write >= core.election_write:
        core.votes.add(core.keeper)
        _count_votes(core, now)


def on_request(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.VoteRequest,
    now: float,
) -> None:
    """Decide on a candidate's request and answer it."""
    if _has_live_leader(core, now) and not msg.is_transfer:
        _send_answer(core, src, msg, granted=False)
        return
    if msg.is_pre_vote:
        granted = msg.term > core.hard_state.term and _is_up_to_date(core, msg)
        _send_answer(core, src, msg, granted)
        return
    if msg.term > core.hard_state.term:
        core.become_follower(msg.term, None, now)
    granted = _can_vote_for(core, src, msg)
    if granted:
        _record_vote(core, src, now)
    _send_answer(core, src, msg, granted)


def on_answer(
    core: _core.Core, src: ids.KeeperId, msg: _messages.VoteAnswer, now: float
) -> None:
    """Count a granted vote; follow a newer term."""
    if not msg.granted:
        if msg.term > core.hard_state.term:
            core.become_follower(msg.term, None, now)
        return
    if (
        core.role is not _actions.Role.CANDIDATE
        or msg.is_pre_vote != core.pre_voting
    ):
        return
    if msg.term != core.hard_state.term + (1 if msg.is_pre_vote else 0):
        return
    core.votes.add(src)
    _count_votes(core, now)


def on_elect_now(
    core: _core.Core, src: ids.KeeperId, msg: _messages.ElectNow, now: float
) -> None:
    """Start an election immediately because the leader is departing."""
    if msg.term == core.hard_state.term and core.is_voter():
        if core.role is not _actions.Role.LEADER:
            start_election(core, now, transfer=True)


def _request_votes(
    core: _core.Core, term: int, is_pre_vote: bool, transfer: bool
) -> None:
    """Send a vote request to all other voters."""
    msg = _messages.VoteRequest(
        core.hard_state.group,
        term,
        core.log.last_index,
        core.log.last_term,
        is_pre_vote,
        transfer,
    )
    for item in core.log.membership.voters():
        if item != core.keeper:
            core.send(item, msg)


def _count_votes(core: _core.Core, now: float) -> None:
    """Start the election, or the term, once a majority granted its votes."""
    voters = core.log.membership.voters()
    granted = sum(item in core.votes for item in voters)
    if 2 * granted <= len(voters):
        return
    if core.pre_voting:
        start_election(core, now, transfer=False)
    else:
        _leader.start_term(core, now)


def _has_live_leader(core: _core.Core, now: float) -> bool:
    """Tell whether this keeper leads or recently had contact with a leader."""
    if core.role is _actions.Role.LEADER:
        return True
    return now - core.last_contact_at < core.timing.election_min_s


def _is_up_to_date(core: _core.Core, msg: _messages.VoteRequest) -> bool:
    """Tell whether the candidate's log is at least as recent as this one."""
    theirs = (msg.last_term, msg.last_index)
    return theirs >= (core.log.last_term, core.log.last_index)


def _can_vote_for(
    core: _core.Core, src: ids.KeeperId, msg: _messages.VoteRequest
) -> bool:
    """Tell whether this keeper may vote for ``src`` in the request's term."""
    if msg.term != core.hard_state.term or not _is_up_to_date(core, msg):
        return False
    return core.hard_state.voted_for in (None, src)


def _record_vote(core: _core.Core, src: ids.KeeperId, now: float) -> None:
    """Record the vote for ``src`` and write it to disk."""
    core.restart_election_timer(now)
    if core.hard_state.voted_for != src:
        core.hard_state = dataclasses.replace(core.hard_state, voted_for=src)
        core.persist()


def _send_answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.VoteRequest,
    granted: bool,
) -> None:
    """Answer a request, after any write that it caused is on disk."""
    term = msg.term if granted else core.hard_state.term
    core.send(
        src, _messages.VoteAnswer(msg.group, term, granted, msg.is_pre_vote)
    )
