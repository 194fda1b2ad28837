"""How a follower takes entries and snapshots."""

import dataclasses

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _core
from foxtailworks.agreement import _log
from foxtailworks.agreement import _messages
from foxtailworks import ids

MAX_SNAPSHOT_BYTES = 64 << 20
"""A larger snapshot is refused."""


def on_append(
    core: _core.Core, src: ids.KeeperId, msg: _messages.Append, now: float
) -> None:
    """Take entries, or tell the leader where the logs part."""
    if not _accept_leader(core, src, msg.term, now):
        _answer(core, src, msg, False, 0)
        return
    if not _matches(core, msg):
        _answer(core, src, msg, False, _hint(core, msg.prev_index))
        return
    _take(core, msg.entries)
    end = max(msg.prev_index + len(msg.entries), core.log.base_index)
    core.advance_commit(min(msg.commit, end))
    _answer(core, src, msg, True, end)


def on_part(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.SnapshotPart,
    now: float,
) -> None:
    """Collect a snapshot and install it when it is whole."""
    if not _accept_leader(core, src, msg.term, now):
        _answer_part(core, src, msg, 0, False)
        return
    if msg.index <= core.commit:
        _answer_part(core, src, msg, msg.total, True)
        return
    received = _collect(core, msg)
    done = received == msg.total
    if done:
        _install(core, msg)
    _answer_part(core, src, msg, received, done)


def _accept_leader(
    core: _core.Core, src: ids.KeeperId, term: int, now: float
) -> bool:
    """Follow ``src`` unless its term is over."""
    if term < core.state.term:
        return False
    core.check(
        term > core.state.term or core.role is not _actions.Role.LEADER,
        "two leaders in one term",
    )
    core.check(
        term > core.state.term or core.leader in (None, src),
        "two leaders seen in one term",
    )
    core.follow(term, src, now)
    core.heard_at = now
    return True


def _matches(core: _core.Core, msg: _messages.Append) -> bool:
    """Tell whether the entry before the new ones is the leader's."""
    if msg.prev_index < core.log.base_index:
        return True
    own = core.log.term_at(msg.prev_index)
    core.check(
        own == msg.prev_term or msg.prev_index > core.commit,
        "committed entry differs from the leader's",
    )
    return own == msg.prev_term


def _hint(core: _core.Core, prev_index: int) -> int:
    """Return the last entry that may match the leader's log."""
    if prev_index > core.log.last_index:
        return core.log.last_index
    return max(core.log.first_of_term(prev_index) - 1, core.commit)


def _take(core: _core.Core, entries: tuple[_messages.Entry, ...]) -> None:
    """Append what isn't held yet; cut off a tail that differs."""
    for position, item in enumerate(entries):
        if item.index <= core.log.base_index:
            continue
        if core.log.term_at(item.index) == item.term:
            continue
        core.check(
            item.index > core.commit, "a leader lacks a committed entry"
        )
        core.persist(entries[position:])
        return


def _collect(core: _core.Core, msg: _messages.SnapshotPart) -> int:
    """Add a part in order and return how much is held."""
    held = core.incoming
    if held is None or (held.index, held.term) != (msg.index, msg.term):
        held = _core.Incoming(msg.index, msg.term, bytearray())
        core.incoming = held
    fits = len(held.data) + len(msg.data) <= MAX_SNAPSHOT_BYTES
    if msg.offset == len(held.data) and fits:
        held.data.extend(msg.data)
    return len(held.data)


def _install(core: _core.Core, msg: _messages.SnapshotPart) -> None:
    """Replace state and log by a whole snapshot."""
    assert core.incoming is not None
    data = bytes(core.incoming.data)
    core.incoming = None
    core.snapshot = _messages.Snapshot(
        msg.index, msg.index_term, msg.membership, data
    )
    if core.log.term_at(msg.index) == msg.index_term:
        core.log.drop_up_to(msg.index)
    else:
        core.log = _log.Log(
            msg.index, msg.index_term, msg.membership, msg.index
        )
    core.commit = msg.index
    core.persist_snapshot()
    core.emit(_actions.Restore(core.snapshot))


def _answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.Append,
    matched: bool,
    index: int,
) -> None:
    """Answer once the entries are on the disk."""
    core.send(
        src,
        _messages.AppendAnswer(
            msg.group, core.state.term, matched, index, msg.round
        ),
    )


def _answer_part(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.SnapshotPart,
    received: int,
    done: bool,
) -> None:
    """Answer once a whole snapshot is on the disk."""
    core.send(
        src,
        _messages.SnapshotAnswer(
            msg.group,
            core.state.term,
            msg.index,
            received,
            done,
            msg.round,
        ),
    )


def adopt_group(core: _core.Core, group: str) -> None:
    """Belong to ``group`` from now on."""
    core.state = dataclasses.replace(core.state, group=group)
    core.persist()
