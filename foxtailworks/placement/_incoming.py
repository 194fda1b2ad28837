"""Flow assignments received from other hosts."""

from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _assignment
from foxtailworks.placement import _digest
from foxtailworks.placement import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedAssignment:
    """Assignment of a flow as another host has sent it."""

    assignment: _assignment.Assignment
    """Upstream of the flow, explicit or by a table."""
    sender: ids.HostId
    """Host that has sent it."""
    epoch: int
    """Incarnation of the sender."""


@dataclasses.dataclass(slots=True, eq=False)
class _Generation:
    """Generation of digests, shared by all assignments in it."""

    sender: ids.HostId
    epoch: int
    valid: bool = True
    superseded_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Received:
    """Assignment by one host, shared by all flows of one message."""

    assignment: _assignment.Assignment
    generation: _Generation
    seq: int
    older: "_Received | None" = None

    def first_valid(self) -> "_Received | None":
        """Return the latest one whose generation is still valid."""
        item: _Received | None = self
        while item is not None and not item.generation.valid:
            item = item.older
        return item

    def merged_with(self, older: "_Received | None") -> "_Received":
        """Return this assignment, chained to that of another host.

        Of two by the same host the one that was sent later counts, not the
        one received later.  At most two are kept, indirect ones last.
        """
        if older is None:
            return self
        if older.generation.sender == self.generation.sender:
            return self if self.seq > older.seq else older
        first, second = self, older
        if self.assignment.is_indirect and not older.assignment.is_indirect:
            first, second = older, self
        second = dataclasses.replace(second, older=None)
        return dataclasses.replace(first, older=second)


@dataclasses.dataclass(slots=True)
class _SenderState:
    """State of the messages received from one host."""

    epoch: int
    generations: dict[tuple[int, int], _Generation]
    complete: tuple[int, int] = (0, 0)
    synced_seq: int = 0
    views: _assignment.ViewHashes | None = None
    complete_hosts_hash: int | None = None
    gone_at: float | None = None


class Incoming:
    """Assignments received from other hosts, by fingerprint.

    :param max_entries: maximum number of flows; more are dropped and counted
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._received: dict[int, _Received] = {}
        self._senders: dict[ids.HostId, _SenderState] = {}
        self.dropped = 0
        """Number of flows dropped because the maximum was reached."""

    def __len__(self) -> int:
        """Return the number of flows stored, including invalid ones."""
        return len(self._received)

    def lookup(self, fingerprint: int) -> abc.Iterator[ReceivedAssignment]:
        """Yield the possible assignments of a flow, the likeliest first."""
        item = self._received.get(fingerprint)
        while item is not None:
            generation = item.generation
            if generation.valid:
                yield ReceivedAssignment(
                    item.assignment, generation.sender, generation.epoch
                )
            item = item.older

    def views_of(self, sender: ids.HostId) -> _assignment.ViewHashes | None:
        """Return the views that the last :class:`Synced` refers to."""
        state = self._senders.get(sender)
        return state.views if state else None

    def is_complete(self, sender: ids.HostId, hosts_hash: int) -> bool:
        """Return whether a host has sent all flows for a view of hosts."""
        state = self._senders.get(sender)
        return state is not None and state.complete_hosts_hash == hosts_hash

    def forget_views(self) -> None:
        """Count no host as synced until it declares so again."""
        for state in self._senders.values():
            state.views = None
            state.complete_hosts_hash = None

    def on_digest(self, sender: ids.HostId, msg: _messages.Digest) -> bool:
        """Store the assignments in ``msg``.

        :returns: whether to acknowledge it
        """
        state = self._state_of(sender, msg.epoch)
        if state is None:
            return False
        key = (msg.epoch, msg.generation)
        if key < state.complete:
            return True
        if key not in state.generations:
            state.generations[key] = _Generation(sender, msg.epoch)
        assignment = _assignment.Assignment(
            msg.upstream, msg.upstreams_hash, msg.is_indirect
        )
        item = _Received(assignment, state.generations[key], msg.seq)
        for fingerprint in _digest.unpack(msg.flows):
            if (
                len(self._received) >= self._max_entries
                and fingerprint not in self._received
            ):
                self.dropped += 1
                continue
            older = self._received.get(fingerprint)
            if older is not None:
                older = older.first_valid()
            self._received[fingerprint] = item.merged_with(older)
        return True

    def on_synced(
        self, sender: ids.HostId, msg: _messages.Synced, now: float
    ) -> bool:
        """Invalidate generations older than the one that is complete.

        Those of an earlier incarnation stay valid for a while: it may have
        been the only host with the flows that were handed over here.

        :returns: whether to acknowledge it
        """
        state = self._state_of(sender, msg.epoch)
        if state is None:
            return False
        complete = (msg.epoch, msg.generation)
        if complete < state.complete or msg.seq < state.synced_seq:
            return True
        state.synced_seq = msg.seq
        state.views = _assignment.ViewHashes(
            msg.hosts_hash, msg.upstreams_hash
        )
        if msg.is_complete:
            state.complete = complete
            state.complete_hosts_hash = msg.hosts_hash
            self._supersede(state, now)
        return True

    def _supersede(self, state: _SenderState, now: float) -> None:
        """Invalidate the generations before the last complete one."""
        for key in [k for k in state.generations if k < state.complete]:
            generation = state.generations[key]
            if generation.epoch == state.epoch:
                generation.valid = False
                del state.generations[key]
            elif generation.superseded_at is None:
                generation.superseded_at = now

    def _state_of(self, sender: ids.HostId, epoch: int) -> _SenderState | None:
        """Return the state of a sender, or None for a late message."""
        state = self._senders.get(sender)
        if state is None:
            state = _SenderState(epoch, {})
            self._senders[sender] = state
        if epoch < state.epoch:
            return None
        if epoch > state.epoch:
            state.epoch = epoch
            state.views = None
            state.complete_hosts_hash = None
            state.synced_seq = 0
        return state

    def items(
        self,
    ) -> abc.Iterator[tuple[int, _assignment.Assignment, ids.HostId, int]]:
        """Yield fingerprint, assignment, sender and epoch of each flow."""
        for fingerprint, received in list(self._received.items()):
            item = received.first_valid()
            if item is not None:
                made = item.generation
                yield fingerprint, item.assignment, made.sender, made.epoch

    def discard_expired(
        self, present: abc.Container[ids.HostId], keep_s: float, now: float
    ) -> None:
        """Drop invalid assignments and those of hosts dead for ``keep_s``."""
        for host, state in list(self._senders.items()):
            self._end_superseded(state, now - keep_s)
            if host in present:
                state.gone_at = None
                continue
            if state.gone_at is None:
                state.gone_at = now
            if now - state.gone_at > keep_s:
                del self._senders[host]
                for generation in state.generations.values():
                    generation.valid = False
        ended = [m for m, i in self._received.items() if not i.first_valid()]
        for fingerprint in ended:
            del self._received[fingerprint]

    def _end_superseded(self, state: _SenderState, before: float) -> None:
        """Invalidate generations that were superseded before ``before``."""
        for key, generation in list(state.generations.items()):
            at = generation.superseded_at
            if at is not None and at < before:
                generation.valid = False
                del state.generations[key]
