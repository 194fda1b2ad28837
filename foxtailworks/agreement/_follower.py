"""Handling of entries and snapshots by a follower."""

import dataclasses

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _core
from foxtailworks.agreement import _log
from foxtailworks.agreement import _messages
from foxtailworks import ids

MAX_SNAPSHOT_BYTES = 64 << 20
"""Largest snapshot accepted, in bytes."""


def on_append(
    core: _core.Core, src: ids.KeeperId, msg: _messages.Append, now: float
) -> None:
    """Append entries, or answer where the logs may still match."""
    if not _accept_leader(core, src, msg.term, now):
        _send_answer(core, src, msg, False, 0)
        return
    if not _matches(core, msg):
        _send_answer(
            core, src, msg, False, _last_possible_match(core, msg.prev_index)
        )
        return
    _append_missing(core, msg.entries)
    end = max(msg.prev_index + len(msg.entries), core.log.base_index)
    core.advance_commit(min(msg.commit, end))
    _send_answer(core, src, msg, True, end)


def on_snapshot_part(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.SnapshotPart,
    now: float,
) -> None:
    """Add a snapshot part; install the snapshot once it is complete."""
    if not _accept_leader(core, src, msg.term, now):
        _send_part_answer(core, src, msg, 0, False)
        return
    if msg.index <= core.commit_index:
        _send_part_answer(core, src, msg, msg.total, True)
        return
    received = _add_part(core, msg)
    done = received == msg.total
    if done:
        _install(core, msg)
    _send_part_answer(core, src, msg, received, done)


def _accept_leader(
    core: _core.Core, src: ids.KeeperId, term: int, now: float
) -> bool:
    """Follow ``src`` and return true, unless its term has passed."""
    if term < core.hard_state.term:
        return False
    core.check(
        term > core.hard_state.term or core.role is not _actions.Role.LEADER,
        "two leaders in one term",
    )
    core.check(
        term > core.hard_state.term or core.leader in (None, src),
        "two leaders seen in one term",
    )
    core.become_follower(term, src, now)
    core.last_contact_at = now
    return True


def _matches(core: _core.Core, msg: _messages.Append) -> bool:
    """Tell whether the log has the leader's entry at ``prev_index``."""
    if msg.prev_index < core.log.base_index:
        return True
    own = core.log.term_at(msg.prev_index)
    core.check(
        own == msg.prev_term or msg.prev_index > core.commit_index,
        "committed entry differs from the leader's",
    )
    return own == msg.prev_term


def _last_possible_match(core: _core.Core, prev_index: int) -> int:
    """Return the last index that may match the leader's log."""
    if prev_index > core.log.last_index:
        return core.log.last_index
    return max(core.log.first_of_term(prev_index) - 1, core.commit_index)


def _append_missing(
    core: _core.Core, entries: tuple[_messages.Entry, ...]
) -> None:
    """Append the missing entries; they replace a conflicting tail."""
    for position, item in enumerate(entries):
        if item.index <= core.log.base_index:
            continue
        if core.log.term_at(item.index) == item.term:
            continue
        core.check(
            item.index > core.commit_index, "a leader lacks a committed entry"
        )
        core.persist(entries[position:])
        return


def _add_part(core: _core.Core, msg: _messages.SnapshotPart) -> int:
    """Add a part if it is the next one; return the bytes received."""
    incoming = core.incoming_snapshot
    if incoming is None or (incoming.index, incoming.term) != (
        msg.index,
        msg.term,
    ):
        incoming = _core.IncomingSnapshot(msg.index, msg.term, bytearray())
        core.incoming_snapshot = incoming
    fits = len(incoming.data) + len(msg.data) <= MAX_SNAPSHOT_BYTES
    if msg.offset == len(incoming.data) and fits:
        incoming.data.extend(msg.data)
    return len(incoming.data)


def _install(core: _core.Core, msg: _messages.SnapshotPart) -> None:
    """Replace state and log by the complete snapshot."""
    assert core.incoming_snapshot is not None
    data = bytes(core.incoming_snapshot.data)
    core.incoming_snapshot = None
    core.snapshot = _messages.Snapshot(
        msg.index, msg.index_term, msg.membership, data
    )
    if core.log.term_at(msg.index) == msg.index_term:
        core.log.drop_up_to(msg.index)
    else:
        core.log = _log.Log(
            msg.index, msg.index_term, msg.membership, msg.index
        )
    core.commit_index = msg.index
    core.persist_snapshot()
    core.emit(_actions.Restore(core.snapshot))


def _send_answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.Append,
    matched: bool,
    index: int,
) -> None:
    """Answer an append once its entries are on disk."""
    core.send(
        src,
        _messages.AppendAnswer(
            msg.group, core.hard_state.term, matched, index, msg.round
        ),
    )


def _send_part_answer(
    core: _core.Core,
    src: ids.KeeperId,
    msg: _messages.SnapshotPart,
    received: int,
    done: bool,
) -> None:
    """Answer a snapshot part, after any write that it caused is on disk."""
    core.send(
        src,
        _messages.SnapshotAnswer(
            msg.group,
            core.hard_state.term,
            msg.index,
            received,
            done,
            msg.round,
        ),
    )


def adopt_group(core: _core.Core, group: str) -> None:
    """Join ``group`` and write that to disk."""
    core.hard_state = dataclasses.replace(core.hard_state, group=group)
    core.persist()
