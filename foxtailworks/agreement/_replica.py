"""A keeper's replica of the log: takes events, returns actions."""

import functools
import random

from foxtailworks.agreement import _actions
from foxtailworks.agreement import _core
from foxtailworks.agreement import _election
from foxtailworks.agreement import _follower
from foxtailworks.agreement import _leader
from foxtailworks.agreement import _leadership
from foxtailworks.agreement import _messages
from foxtailworks import errors
from foxtailworks import ids

Actions = tuple[_actions.Action, ...]


class Replica:
    """A Raft replica that performs no I/O itself.

    The adapter carries out the returned actions in their order.  It may
    collect several ``Persist`` actions, write them with one sync (group
    commit), and call :meth:`on_persisted` with the last number.

    :param keeper: identity stored on the disk
    :param restored: state read from the disk
    :param rng: draws the election timeouts
    :param now: monotonic seconds, as in all methods
    """

    def __init__(
        self,
        keeper: ids.KeeperId,
        restored: _core.RestoredState,
        rng: random.Random,
        now: float,
        timing: _core.Timing | None = None,
    ) -> None:
        self._core = _core.Core(
            keeper, restored, timing or _core.Timing(), rng, now
        )
        self._reads = 0

    @property
    def keeper(self) -> ids.KeeperId:
        """Identity of this keeper, as stored on its disk."""
        return self._core.keeper

    @property
    def group(self) -> str:
        """Identity of the group; empty until the keeper joins one."""
        return self._core.hard_state.group

    @property
    def role(self) -> _actions.Role:
        """Role of this keeper in the current term."""
        return self._core.role

    @property
    def term(self) -> int:
        """Largest term that this keeper has seen."""
        return self._core.hard_state.term

    @property
    def leader(self) -> ids.KeeperId | None:
        """Leader of the current term, or None while unknown."""
        return self._core.leader

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry; ``Apply`` was returned for it."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log, committed or not."""
        return self._core.log.last_index

    @property
    def base_index(self) -> int:
        """Index of the entry before the first one in memory."""
        return self._core.log.base_index

    @property
    def membership(self) -> _messages.Membership:
        """Newest membership in the log, committed or not."""
        return self._core.log.membership

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it isn't in memory."""
        return self._core.log.term_at(index)

    def match_index_of(self, keeper: ids.KeeperId) -> int:
        """Return the last entry that a keeper is known to have stored.

        On a replica that doesn't lead: that of its own disk.
        """
        if self._core.leadership is None or keeper == self.keeper:
            return self._core.durable_index
        known = self._core.leadership.progress.get(keeper)
        return known.match_index if known else 0

    def bootstrap(
        self, group: str, membership: _messages.Membership, now: float
    ) -> Actions:
        """Create the group; valid only on a keeper that belongs to none."""
        core = self._core
        core.check(not core.hard_state.group, "the group exists already")
        core.hard_state = _messages.HardState(group, 1, None)
        data = _messages.encode_membership(membership)
        kind = _messages.EntryKind.MEMBERSHIP
        core.persist((_messages.Entry(1, 1, kind, data),))
        core.election_due_at = now
        return core.take_actions()

    def on_message(
        self, src: ids.KeeperId, msg: _messages.Message, now: float
    ) -> Actions:
        """Handle a message from another keeper."""
        core = self._core
        if core.hard_state.group and msg.group != core.hard_state.group:
            return ()
        if not core.hard_state.group:
            if not isinstance(msg, _JOIN_MESSAGES):
                return ()
            _follower.adopt_group(core, msg.group)
        _dispatch(msg, core, src, now)
        return core.take_actions()

    def on_tick(self, now: float) -> Actions:
        """Handle due timeouts; call several times within a heartbeat."""
        core = self._core
        if core.leadership is not None:
            _leader.on_tick(core, now)
        elif now >= core.election_due_at:
            _election.start_pre_vote(core, now)
        return core.take_actions()

    def on_persisted(self, number: int, now: float) -> Actions:
        """Continue after all writes up to ``number`` are on disk."""
        core = self._core
        core.on_persisted(number)
        _election.on_persisted(core, now)
        if core.leadership is not None:
            _leader.try_commit(core, now)
        if core.leadership is not None:
            _leader.confirm_reads(core)
            _leader.replicate(core)
        return core.take_actions()

    def propose(
        self, payloads: tuple[bytes, ...], now: float
    ) -> tuple[int, Actions]:
        """Append commands to the log and return the index of the last one.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        core = self._core
        _leader.require_leadership(core, now)
        waiting = core.log.last_index - core.commit_index
        if waiting + len(payloads) > _leader.MAX_UNCOMMITTED:
            raise _busy()
        kind = _messages.EntryKind.COMMAND
        index = _leader.append(core, kind, payloads)
        return index, core.take_actions()

    def propose_membership(
        self, membership: _messages.Membership, now: float
    ) -> tuple[int, Actions]:
        """Append a membership that differs from the last in one keeper.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``,
            ``MEMBERSHIP_BUSY``, ``MEMBERSHIP_REFUSED``
        """
        core = self._core
        leadership = _leader.require_leadership(core, now)
        _check_change(core, leadership, membership)
        data = _messages.encode_membership(membership)
        kind = _messages.EntryKind.MEMBERSHIP
        index = _leader.append(core, kind, (data,))
        leadership.track(core.others(), core.log.last_index)
        return index, core.take_actions()

    def read(self, now: float) -> tuple[int, Actions]:
        """Start a linearizable read and return its number.

        ``ReadReady`` or ``ReadAborted`` follows.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        core = self._core
        leadership = _leader.require_leadership(core, now)
        if len(leadership.pending_reads) >= _leader.MAX_READS:
            raise _busy()
        self._reads += 1
        index = max(core.commit_index, core.term_start_index)
        _leader.broadcast(core, now)
        leadership.pending_reads.append(
            _leadership.PendingRead(self._reads, leadership.round, index)
        )
        _leader.confirm_reads(core)
        return self._reads, core.take_actions()

    def compact(self, index: int, data: bytes, keep: int) -> Actions:
        """Replace the log up to ``index`` by a snapshot.

        :param data: state of the state machine after ``index``
        :param keep: number of entries before ``index`` that stay in the log
            for slow followers
        """
        core = self._core
        core.check(index <= core.commit_index, "snapshot past the commit")
        term = core.log.term_at(index)
        core.check(term is not None, "snapshot before the log")
        if core.snapshot is not None and index <= core.snapshot.index:
            return ()
        membership = core.log.membership_at(index)
        core.snapshot = _messages.Snapshot(index, term or 0, membership, data)
        base = max(core.log.base_index, index - keep)
        core.log.drop_up_to(base)
        core.persist_snapshot()
        return core.take_actions()

    def transfer_leadership(self, now: float) -> Actions:
        """Transfer the leadership to a voter with the whole log, if any."""
        core = self._core
        if core.leadership is None:
            return ()
        for item in core.log.membership.voters():
            progress = core.leadership.progress.get(item)
            if progress and progress.match_index == core.log.last_index:
                group, term = core.hard_state.group, core.hard_state.term
                core.send(item, _messages.ElectNow(group, term))
                break
        return core.take_actions()


_JOIN_MESSAGES = (
    _messages.VoteRequest,
    _messages.Append,
    _messages.SnapshotPart,
)


@functools.singledispatch
def _dispatch(
    msg: object, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    """Pass a message to the handler of its type."""
    raise errors.FoxtailError(
        errors.Code.MESSAGE_MALFORMED, "not a consensus message"
    )


@_dispatch.register
def _(
    msg: _messages.VoteRequest,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _election.on_request(core, src, msg, now)


@_dispatch.register
def _(
    msg: _messages.VoteAnswer, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    _election.on_answer(core, src, msg, now)


@_dispatch.register
def _(
    msg: _messages.Append, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    _follower.on_append(core, src, msg, now)


@_dispatch.register
def _(
    msg: _messages.AppendAnswer,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _leader.on_append_answer(core, src, msg, now)


@_dispatch.register
def _(
    msg: _messages.SnapshotPart,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _follower.on_snapshot_part(core, src, msg, now)


@_dispatch.register
def _(
    msg: _messages.SnapshotAnswer,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _leader.on_snapshot_answer(core, src, msg, now)


@_dispatch.register
def _(
    msg: _messages.ElectNow, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    _election.on_elect_now(core, src, msg, now)


def _busy() -> errors.FoxtailError:
    """Return the error for a keeper with too many pending entries or reads."""
    return errors.FoxtailError(
        errors.Code.KEEPER_BUSY,
        "too many entries or reads wait for a majority",
    )


def _check_change(
    core: _core.Core,
    leadership: _leadership.Leadership,
    membership: _messages.Membership,
) -> None:
    """Check that no change is pending and that this one is a single step.

    :raises FoxtailError: ``MEMBERSHIP_BUSY``, ``MEMBERSHIP_REFUSED``
    """
    pending = core.log.membership_index > core.commit_index
    if pending or core.commit_index < core.term_start_index:
        raise errors.FoxtailError(
            errors.Code.MEMBERSHIP_BUSY, "another membership change is pending"
        )
    changed = set(core.log.membership.members) ^ set(membership.members)
    keepers = {item.keeper for item in changed}
    if len(keepers) != 1 or not membership.voters():
        raise errors.FoxtailError(
            errors.Code.MEMBERSHIP_REFUSED,
            "a change must affect exactly one keeper and leave a voter",
        )
    _check_voter(core, leadership, membership, keepers.pop())


def _check_voter(
    core: _core.Core,
    leadership: _leadership.Leadership,
    membership: _messages.Membership,
    keeper: ids.KeeperId,
) -> None:
    """Check that a new voter has stored all committed entries.

    :raises FoxtailError: ``MEMBERSHIP_REFUSED``
    """
    before = core.log.membership.find(keeper)
    after = membership.find(keeper)
    if after is None or not after.voter or (before and before.voter):
        return
    progress = leadership.progress.get(keeper)
    if progress is None or progress.match_index < core.commit_index:
        raise errors.FoxtailError(
            errors.Code.MEMBERSHIP_REFUSED,
            "the learner hasn't stored all committed entries",
        )
