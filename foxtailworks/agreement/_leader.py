"""How a leader appends, sends, commits and confirms reads."""

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _core
from foxtailworks.agreement import _leadership
from foxtailworks.agreement import _messages
from foxtailworks import errors
from foxtailworks import ids

APPEND_BYTES = 256 << 10
"""Entries of one message, by their data."""
PART_BYTES = 256 << 10
"""Piece of a snapshot in one message."""
MAX_UNCOMMITTED = 4096
"""Entries that wait for a majority; more are refused."""
MAX_READS = 4096
"""Reads that wait for a majority; more are refused."""


def start(core: _core.Core, now: float) -> None:
    """Lead: open the term with an entry of its own."""
    core.check(core.log.last_index >= core.commit, "leader lacks entries")
    core.lead = _leadership.Leadership(core.keeper, now)
    core.change_role(_actions.Role.LEADER, core.keeper)
    core.lead.track(core.others(), core.log.last_index + 1)
    core.term_start = core.log.last_index + 1
    append(core, _messages.EntryKind.NOOP, (b"",))
    broadcast(core, now)


def append(
    core: _core.Core,
    kind: _messages.EntryKind,
    datas: tuple[bytes, ...],
) -> int:
    """Append to the own log and return the last index."""
    first = core.log.last_index + 1
    entries = tuple(
        _messages.Entry(first + n, core.state.term, kind, data)
        for n, data in enumerate(datas)
    )
    core.persist(entries)
    return entries[-1].index


def require(core: _core.Core, now: float) -> _leadership.Leadership:
    """Return the leadership, or refuse.

    :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``
    """
    if core.lead is not None and lease_over(core, now):
        core.follow(core.state.term, None, now)
        raise errors.FoxtailError(
            errors.Code.NO_QUORUM, "a majority of keepers is out of reach"
        )
    if core.lead is None:
        raise errors.FoxtailError(
            errors.Code.NOT_LEADER,
            "this keeper doesn't lead",
            leader=core.leader,
        )
    return core.lead


def lease_over(core: _core.Core, now: float) -> bool:
    """Tell whether a majority hasn't answered for the lease."""
    assert core.lead is not None
    voters = core.log.membership.voters()
    confirmed = core.lead.confirmed_at(voters, now)
    return now - confirmed > core.timing.lease_s


def tick(core: _core.Core, now: float) -> None:
    """Step down without a majority, else speak when it is time."""
    if lease_over(core, now):
        core.follow(core.state.term, None, now)
    elif now >= core.heartbeat_at:
        broadcast(core, now)


def broadcast(core: _core.Core, now: float) -> None:
    """Start a round and speak to every other member."""
    assert core.lead is not None
    core.heartbeat_at = now + core.timing.heartbeat_s
    core.lead.next_round(now)
    for item in core.others():
        _speak(core, core.lead, item)


def replicate(core: _core.Core) -> None:
    """Send new entries to everyone who waits for none."""
    assert core.lead is not None
    for keeper, progress in core.lead.progress.items():
        if not progress.waiting and progress.next_index <= core.log.last_index:
            _speak(core, core.lead, keeper)


def try_commit(core: _core.Core, now: float) -> None:
    """Commit what a majority holds, if it is of this term."""
    assert core.lead is not None
    voters = core.log.membership.voters()
    index = core.lead.majority_match(voters, core.durable)
    if index > core.commit and core.log.term_at(index) == core.state.term:
        core.advance_commit(index)
        _leave_if_removed(core, now)


def on_append_answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.AppendAnswer,
    now: float,
) -> None:
    """Note how far a follower is."""
    progress = _progress(core, src, msg.term, msg.round, now)
    if progress is None:
        return
    if msg.matched:
        core.check(
            msg.index <= core.log.last_index, "follower ahead of its leader"
        )
        progress.match_index = max(progress.match_index, msg.index)
        progress.next_index = progress.match_index + 1
    else:
        progress.next_index = max(msg.index, progress.match_index) + 1
    _go_on(core, src, progress, now)


def on_snapshot_answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.SnapshotAnswer,
    now: float,
) -> None:
    """Note how much of a snapshot a follower has."""
    progress = _progress(core, src, msg.term, msg.round, now)
    if progress is None:
        return
    if msg.done:
        progress.match_index = max(progress.match_index, msg.index)
        progress.next_index = progress.match_index + 1
    elif msg.index == progress.snapshot_index:
        progress.snapshot_offset = msg.received
    _go_on(core, src, progress, now)


def _progress(
    core: _core.Core, src: ids.KeeperId, term: int, round_: int, now: float
) -> _leadership.Progress | None:
    """Return the progress of a follower whose answer still counts."""
    if term > core.state.term:
        core.follow(term, None, now)
    if core.lead is None or term < core.state.term:
        return None
    progress = core.lead.progress.get(src)
    if progress is not None:
        progress.acked_round = max(progress.acked_round, round_)
        progress.waiting = False
    return progress


def _go_on(
    core: _core.Core,
    src: ids.KeeperId,
    progress: _leadership.Progress,
    now: float,
) -> None:
    """Commit, confirm reads and send what is left."""
    try_commit(core, now)
    if core.lead is None:
        return
    confirm_reads(core)
    if progress.next_index <= core.log.last_index:
        _speak(core, core.lead, src)


def confirm_reads(core: _core.Core) -> None:
    """Release the reads that a majority has confirmed."""
    assert core.lead is not None
    voters = core.log.membership.voters()
    for item in core.lead.take_confirmed_reads(voters, core.commit):
        core.emit(_actions.ReadReady(item.number))


def _speak(
    core: _core.Core, lead: _leadership.Leadership, to: ids.KeeperId
) -> None:
    """Send entries, a piece of a snapshot, or only a heartbeat."""
    progress = lead.progress[to]
    if progress.waiting:
        _send_append(core, lead, to, progress.next_index, ())
    elif progress.next_index <= core.log.base_index:
        progress.waiting = True
        _send_part(core, lead, to, progress)
    else:
        last = core.log.last_index
        entries = core.log.slice(progress.next_index, last, APPEND_BYTES)
        progress.waiting = bool(entries)
        _send_append(core, lead, to, progress.next_index, entries)


def _send_append(
    core: _core.Core,
    lead: _leadership.Leadership,
    to: ids.KeeperId,
    next_index: int,
    entries: tuple[_messages.Entry, ...],
) -> None:
    """Send entries that follow ``next_index - 1``."""
    prev = max(next_index - 1, core.log.base_index)
    prev_term = core.log.term_at(prev)
    assert prev_term is not None
    core.send(
        to,
        _messages.Append(
            core.state.group,
            core.state.term,
            prev,
            prev_term,
            entries,
            core.commit,
            lead.round,
        ),
    )


def _send_part(
    core: _core.Core,
    lead: _leadership.Leadership,
    to: ids.KeeperId,
    progress: _leadership.Progress,
) -> None:
    """Send the next piece of the newest snapshot."""
    snapshot = core.snapshot
    assert snapshot is not None
    if progress.snapshot_index != snapshot.index:
        progress.snapshot_index = snapshot.index
        progress.snapshot_offset = 0
    offset = progress.snapshot_offset
    core.send(
        to,
        _messages.SnapshotPart(
            core.state.group,
            core.state.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            offset,
            len(snapshot.data),
            snapshot.data[offset : offset + PART_BYTES],
            lead.round,
        ),
    )


def _leave_if_removed(core: _core.Core, now: float) -> None:
    """Step down once the own removal is committed."""
    committed = core.log.membership_index <= core.commit
    if committed and not core.is_voter():
        core.follow(core.state.term, None, now)
