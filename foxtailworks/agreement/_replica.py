"""One keeper's replica of the log: events in, actions out."""

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
    """The agreement of one keeper, without any input or output.

    The adapter carries out actions in their order.  It may collect several
    ``Persist`` actions, write them with one sync (group commit), and call
    :meth:`on_persisted` with the last number.

    :param keeper: identity on the disk
    :param restored: what the disk gave back
    :param rng: randomises election times
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
        """Identity on the disk."""
        return self._core.keeper

    @property
    def group(self) -> str:
        """Identity of the group; empty before the first membership."""
        return self._core.state.group

    @property
    def role(self) -> _actions.Role:
        """Current role."""
        return self._core.role

    @property
    def term(self) -> int:
        """Current term."""
        return self._core.state.term

    @property
    def leader(self) -> ids.KeeperId | None:
        """Who leads, as far as is known."""
        return self._core.leader

    @property
    def commit_index(self) -> int:
        """Last entry that was handed to the state machine."""
        return self._core.commit

    @property
    def last_index(self) -> int:
        """Last entry of the log, committed or not."""
        return self._core.log.last_index

    @property
    def base_index(self) -> int:
        """Entry before the first one held."""
        return self._core.log.base_index

    @property
    def membership(self) -> _messages.Membership:
        """Newest membership in the log."""
        return self._core.log.membership

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; ``None`` when it isn't held."""
        return self._core.log.term_at(index)

    def match_index_of(self, keeper: ids.KeeperId) -> int:
        """Return the last entry that a leader knows on a keeper's disk."""
        if self._core.lead is None or keeper == self.keeper:
            return self._core.durable
        known = self._core.lead.progress.get(keeper)
        return known.match_index if known else 0

    def bootstrap(
        self, group: str, membership: _messages.Membership, now: float
    ) -> Actions:
        """Create the group; only on a disk that belongs to none."""
        core = self._core
        core.check(not core.state.group, "the group exists already")
        core.state = _messages.HardState(group, 1, None)
        data = _messages.encode_membership(membership)
        kind = _messages.EntryKind.MEMBERSHIP
        core.persist((_messages.Entry(1, 1, kind, data),))
        core.election_at = now
        return core.drain()

    def on_message(
        self, src: ids.KeeperId, msg: _messages.Message, now: float
    ) -> Actions:
        """Take a message of another keeper."""
        core = self._core
        if core.state.group and msg.group != core.state.group:
            return ()
        if not core.state.group:
            if not isinstance(msg, _JOINING):
                return ()
            _follower.adopt_group(core, msg.group)
        _handle(msg, core, src, now)
        return core.drain()

    def on_tick(self, now: float) -> Actions:
        """Let time pass; call several times within a heartbeat."""
        core = self._core
        if core.lead is not None:
            _leader.tick(core, now)
        elif now >= core.election_at:
            _election.stand(core, now)
        return core.drain()

    def on_persisted(self, number: int, now: float) -> Actions:
        """Learn that all writes up to ``number`` are on the disk."""
        core = self._core
        core.on_persisted(number)
        _election.on_persisted(core, now)
        if core.lead is not None:
            _leader.try_commit(core, now)
        if core.lead is not None:
            _leader.confirm_reads(core)
            _leader.replicate(core)
        return core.drain()

    def propose(
        self, datas: tuple[bytes, ...], now: float
    ) -> tuple[int, Actions]:
        """Append commands; return the index of the last one.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        core = self._core
        _leader.require(core, now)
        waiting = core.log.last_index - core.commit
        if waiting + len(datas) > _leader.MAX_UNCOMMITTED:
            raise _busy()
        kind = _messages.EntryKind.COMMAND
        index = _leader.append(core, kind, datas)
        return index, core.drain()

    def propose_membership(
        self, membership: _messages.Membership, now: float
    ) -> tuple[int, Actions]:
        """Append a membership that differs in one keeper.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``,
            ``MEMBERSHIP_BUSY``, ``MEMBERSHIP_REFUSED``
        """
        core = self._core
        lead = _leader.require(core, now)
        _check_change(core, lead, membership)
        data = _messages.encode_membership(membership)
        kind = _messages.EntryKind.MEMBERSHIP
        index = _leader.append(core, kind, (data,))
        lead.track(core.others(), core.log.last_index)
        return index, core.drain()

    def read(self, now: float) -> tuple[int, Actions]:
        """Ask for a read that can't be stale; ``ReadReady`` follows.

        :raises FoxtailError: ``NOT_LEADER``, ``NO_QUORUM``, ``KEEPER_BUSY``
        """
        core = self._core
        lead = _leader.require(core, now)
        if len(lead.reads) >= _leader.MAX_READS:
            raise _busy()
        self._reads += 1
        index = max(core.commit, core.term_start)
        _leader.broadcast(core, now)
        lead.reads.append(_leadership.Read(self._reads, lead.round, index))
        _leader.confirm_reads(core)
        return self._reads, core.drain()

    def compact(self, index: int, data: bytes, keep: int) -> Actions:
        """Take over a snapshot of the state machine after ``index``.

        :param keep: entries before it that stay for slow followers
        """
        core = self._core
        core.check(index <= core.commit, "snapshot past the commit")
        term = core.log.term_at(index)
        core.check(term is not None, "snapshot before the log")
        if core.snapshot is not None and index <= core.snapshot.index:
            return ()
        membership = core.log.membership_at(index)
        core.snapshot = _messages.Snapshot(index, term or 0, membership, data)
        base = max(core.log.base_index, index - keep)
        core.log.drop_up_to(base)
        core.persist_snapshot()
        return core.drain()

    def transfer_leadership(self, now: float) -> Actions:
        """Hand the lead to a voter that has the whole log, if one does."""
        core = self._core
        if core.lead is None:
            return ()
        for item in core.log.membership.voters():
            progress = core.lead.progress.get(item)
            if progress and progress.match_index == core.log.last_index:
                group, term = core.state.group, core.state.term
                core.send(item, _messages.ElectNow(group, term))
                break
        return core.drain()


_JOINING = (_messages.VoteRequest, _messages.Append, _messages.SnapshotPart)


@functools.singledispatch
def _handle(
    msg: object, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    """Pass a message to the part that knows its type."""
    raise errors.FoxtailError(
        errors.Code.MESSAGE_MALFORMED, "not a message of the agreement"
    )


@_handle.register
def _(
    msg: _messages.VoteRequest,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _election.on_request(core, src, msg, now)


@_handle.register
def _(
    msg: _messages.VoteAnswer, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    _election.on_answer(core, src, msg, now)


@_handle.register
def _(
    msg: _messages.Append, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    _follower.on_append(core, src, msg, now)


@_handle.register
def _(
    msg: _messages.AppendAnswer,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _leader.on_append_answer(core, src, msg, now)


@_handle.register
def _(
    msg: _messages.SnapshotPart,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _follower.on_part(core, src, msg, now)


@_handle.register
def _(
    msg: _messages.SnapshotAnswer,
    core: _core.Core,
    src: ids.KeeperId,
    now: float,
) -> None:
    _leader.on_snapshot_answer(core, src, msg, now)


@_handle.register
def _(
    msg: _messages.ElectNow, core: _core.Core, src: ids.KeeperId, now: float
) -> None:
    _election.on_elect_now(core, src, msg, now)


def _busy() -> errors.FoxtailError:
    """Return the refusal of a keeper whose tables are full."""
    return errors.FoxtailError(
        errors.Code.KEEPER_BUSY, "too much waits for a majority"
    )


def _check_change(
    core: _core.Core,
    lead: _leadership.Leadership,
    membership: _messages.Membership,
) -> None:
    """Refuse a change before the last one is done, or of two keepers."""
    pending = core.log.membership_index > core.commit
    if pending or core.commit < core.term_start:
        raise errors.FoxtailError(
            errors.Code.MEMBERSHIP_BUSY, "another change is under way"
        )
    changed = set(core.log.membership.members) ^ set(membership.members)
    keepers = {item.keeper for item in changed}
    if len(keepers) != 1 or not membership.voters():
        raise errors.FoxtailError(
            errors.Code.MEMBERSHIP_REFUSED, "one keeper changes at a time"
        )
    _check_voter(core, lead, membership, keepers.pop())


def _check_voter(
    core: _core.Core,
    lead: _leadership.Leadership,
    membership: _messages.Membership,
    keeper: ids.KeeperId,
) -> None:
    """Let a keeper vote only when it holds all that is committed."""
    before = core.log.membership.find(keeper)
    after = membership.find(keeper)
    if after is None or not after.voter or (before and before.voter):
        return
    progress = lead.progress.get(keeper)
    if progress is None or progress.match_index < core.commit:
        raise errors.FoxtailError(
            errors.Code.MEMBERSHIP_REFUSED, "the learner isn't caught up"
        )
