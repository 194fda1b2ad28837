"""Replication, commits and confirmed reads by a leader."""

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _core
from foxtailworks.agreement import _leadership
from foxtailworks.agreement import _messages
from foxtailworks import errors
from foxtailworks import ids

APPEND_BYTES = 256 << 10
"""Maximum size of the entries' data in one message, in bytes."""
SNAPSHOT_PART_BYTES = 256 << 10
"""Size of a snapshot part in one message, in bytes."""
MAX_UNCOMMITTED = 4096
"""Maximum number of uncommitted entries; further proposals are refused."""
MAX_READS = 4096
"""Maximum number of unconfirmed reads; further ones are refused."""


def start_term(core: _core.Core, now: float) -> None:
    """Become leader and append the first entry of the term."""
    core.check(
        core.log.last_index >= core.commit_index, "leader lacks entries"
    )
    core.leadership = _leadership.Leadership(core.keeper, now)
    core.change_role(_actions.Role.LEADER, core.keeper)
    core.leadership.track(core.others(), core.log.last_index + 1)
    core.term_start_index = core.log.last_index + 1
    append(core, _messages.EntryKind.NOOP, (b"",))
    broadcast(core, now)


def append(
    core: _core.Core,
    kind: _messages.EntryKind,
    payloads: tuple[bytes, ...],
) -> int:
    """Append entries to the leader's log and return the last index."""
    first = core.log.last_index + 1
    entries = tuple(
        _messages.Entry(first + n, core.hard_state.term, kind, data)
        for n, data in enumerate(payloads)
    )
    core.persist(entries)
    return entries[-1].index


def require_leadership(core: _core.Core, now: float) -> _leadership.Leadership:
    """Return the state of the leadership.

    :raises FoxtailError: ``NOT_LEADER``; ``NO_QUORUM`` if the lease has
        expired, which ends the leadership
    """
    if core.leadership is not None and is_lease_expired(core, now):
        core.become_follower(core.hard_state.term, None, now)
        raise errors.FoxtailError(
            errors.Code.NO_QUORUM, "a majority of keepers is out of reach"
        )
    if core.leadership is None:
        raise errors.FoxtailError(
            errors.Code.NOT_LEADER,
            "this keeper doesn't lead",
            leader=core.leader,
        )
    return core.leadership


def is_lease_expired(core: _core.Core, now: float) -> bool:
    """Return whether no majority has answered within the lease."""
    assert core.leadership is not None
    voters = core.log.membership.voters()
    confirmed = core.leadership.majority_confirmed_at(voters, now)
    return now - confirmed > core.timing.lease_s


def on_tick(core: _core.Core, now: float) -> None:
    """Step down if the lease has expired, else send due heartbeats."""
    if is_lease_expired(core, now):
        core.become_follower(core.hard_state.term, None, now)
    elif now >= core.heartbeat_due_at:
        broadcast(core, now)


def broadcast(core: _core.Core, now: float) -> None:
    """Start a broadcast and send to all other members."""
    assert core.leadership is not None
    core.heartbeat_due_at = now + core.timing.heartbeat_s
    core.leadership.next_round(now)
    for item in core.others():
        _send_next(core, core.leadership, item)


def replicate(core: _core.Core) -> None:
    """Send new entries to all followers that owe no answer."""
    assert core.leadership is not None
    for keeper, progress in core.leadership.progress.items():
        if (
            not progress.awaits_answer
            and progress.next_index <= core.log.last_index
        ):
            _send_next(core, core.leadership, keeper)


def try_commit(core: _core.Core, now: float) -> None:
    """Commit entries that a majority stores, if of the current term."""
    assert core.leadership is not None
    voters = core.log.membership.voters()
    index = core.leadership.majority_match(voters, core.durable_index)
    if (
        index > core.commit_index
        and core.log.term_at(index) == core.hard_state.term
    ):
        core.advance_commit(index)
        _step_down_if_removed(core, now)


def on_append_answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.AppendAnswer,
    now: float,
) -> None:
    """Update a follower's progress from its answer to an append."""
    progress = _record_answer(core, src, msg.term, msg.round, now)
    if progress is None:
        return
    if msg.matched:
        core.check(
            msg.index <= core.log.last_index, "follower ahead of its leader"
        )
        progress.confirm(msg.index)
    else:
        progress.next_index = max(msg.index, progress.match_index) + 1
    _advance(core, src, progress, now)


def on_snapshot_answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.SnapshotAnswer,
    now: float,
) -> None:
    """Update a follower's progress from its answer to a snapshot part."""
    progress = _record_answer(core, src, msg.term, msg.round, now)
    if progress is None:
        return
    if msg.done:
        progress.confirm(msg.index)
    elif msg.index == progress.snapshot_index:
        progress.snapshot_offset = msg.received
    _advance(core, src, progress, now)


def _record_answer(
    core: _core.Core, src: ids.KeeperId, term: int, round_: int, now: float
) -> _leadership.Progress | None:
    """Record an answer; return the progress if the answer is current."""
    if term > core.hard_state.term:
        core.become_follower(term, None, now)
    if core.leadership is None or term < core.hard_state.term:
        return None
    progress = core.leadership.progress.get(src)
    if progress is not None:
        progress.acked_round = max(progress.acked_round, round_)
        progress.awaits_answer = False
    return progress


def _advance(
    core: _core.Core,
    src: ids.KeeperId,
    progress: _leadership.Progress,
    now: float,
) -> None:
    """Commit, confirm reads and send the follower its next entries."""
    try_commit(core, now)
    if core.leadership is None:
        return
    confirm_reads(core)
    if progress.next_index <= core.log.last_index:
        _send_next(core, core.leadership, src)


def confirm_reads(core: _core.Core) -> None:
    """Complete the reads that a majority has confirmed."""
    assert core.leadership is not None
    voters = core.log.membership.voters()
    for item in core.leadership.take_confirmed_reads(
        voters, core.commit_index
    ):
        core.emit(_actions.ReadReady(item.number))


def _send_next(
    core: _core.Core, leadership: _leadership.Leadership, to: ids.KeeperId
) -> None:
    """Send entries, a snapshot part, or only a heartbeat to ``to``."""
    progress = leadership.progress[to]
    if progress.awaits_answer:
        _send_append(core, leadership, to, progress.next_index, ())
    elif progress.next_index <= core.log.base_index:
        progress.awaits_answer = True
        _send_snapshot_part(core, leadership, to, progress)
    else:
        last = core.log.last_index
        entries = core.log.slice(progress.next_index, last, APPEND_BYTES)
        progress.awaits_answer = bool(entries)
        _send_append(core, leadership, to, progress.next_index, entries)


def _send_append(
    core: _core.Core,
    leadership: _leadership.Leadership,
    to: ids.KeeperId,
    next_index: int,
    entries: tuple[_messages.Entry, ...],
) -> None:
    """Send entries that follow the one at ``next_index - 1``."""
    prev = max(next_index - 1, core.log.base_index)
    prev_term = core.log.term_at(prev)
    assert prev_term is not None
    core.send(
        to,
        _messages.Append(
            core.hard_state.group,
            core.hard_state.term,
            prev,
            prev_term,
            entries,
            core.commit_index,
            leadership.round,
        ),
    )


def _send_snapshot_part(
    core: _core.Core,
    leadership: _leadership.Leadership,
    to: ids.KeeperId,
    progress: _leadership.Progress,
) -> None:
    """Send the next part of the newest snapshot."""
    snapshot = core.snapshot
    assert snapshot is not None
    if progress.snapshot_index != snapshot.index:
        progress.snapshot_index = snapshot.index
        progress.snapshot_offset = 0
    offset = progress.snapshot_offset
    core.send(
        to,
        _messages.SnapshotPart(
            core.hard_state.group,
            core.hard_state.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            offset,
            len(snapshot.data),
            snapshot.data[offset : offset + SNAPSHOT_PART_BYTES],
            leadership.round,
        ),
    )


def _step_down_if_removed(core: _core.Core, now: float) -> None:
    """Step down once this keeper's removal is committed."""
    committed = core.log.membership_index <= core.commit_index
    if committed and not core.is_voter():
        core.become_follower(core.hard_state.term, None, now)
