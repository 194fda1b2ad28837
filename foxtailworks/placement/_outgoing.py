"""Flow assignments that are sent to another host."""

import collections
from collections import abc
import dataclasses

from foxtailworks.placement import _assignment
from foxtailworks.placement import _digest
from foxtailworks.placement import _messages

RESEND_S = 1.0
"""Seconds until the first retransmission; doubled for each further one."""
MAX_RESEND_S = 16.0
"""Maximum seconds between two retransmissions."""
MAX_UNACKED = 16
"""Maximum number of unacknowledged messages to one host."""
MAX_STALE_RATIO = 1.0
"""Ended flows per open one above which a new generation starts."""
MIN_STALE = 64
"""Ended flows that are allowed in any case."""
FULL_BATCH = 128
"""Number of default assignments that are sent without waiting."""
BATCH_WAIT_S = 20.0
"""Seconds after which fewer default assignments are sent, too."""

RecentChanges = tuple[
    tuple[_messages.DeadHost, ...], tuple[_messages.JoinedHost, ...]
]


@dataclasses.dataclass(slots=True)
class _Unacked:
    """A message that waits for its acknowledgement."""

    message: _messages.Digest | _messages.Synced
    resend_at: float
    wait_s: float


class Outgoing:
    """Sends one host the assignments of flows that it may take over.

    Overrides are sent at once.  Default assignments are sent in batches;
    they let the other host distinguish an old flow from a new one.

    :param epoch: incarnation of this host
    :param numbers: sequence numbers, shared by all hosts to be unique
    """

    def __init__(self, epoch: int, numbers: abc.Iterator[int]) -> None:
        self._epoch = epoch
        self._numbers = numbers
        self.to_epoch = 0
        """Incarnation of the other host, 0 until its handshake."""
        self.target_views: _assignment.ViewHashes | None = None
        """Views that the current generation refers to."""
        self.acked_views: _assignment.ViewHashes | None = None
        """Views that the other host has acknowledged last."""
        self._begin_generation()

    def _begin_generation(self) -> None:
        """Begin a generation, of which nothing has been sent yet."""
        self._generation = next(self._numbers)
        self._assignments: _assignment.Assignments = {}
        self._pending: dict[_assignment.Assignment, set[int]] = {}
        self._packed: collections.deque[
            tuple[_assignment.Assignment, bytes]
        ] = collections.deque()
        self._unacked: dict[int, _Unacked] = {}
        self._batch_due: float | None = None
        self._is_complete = False
        self._is_rejected = False

    def restart(self) -> None:
        """Discard all that was sent: the other host has restarted."""
        self._begin_generation()
        self.target_views = None
        self.acked_views = None

    @property
    def is_empty(self) -> bool:
        """Whether nothing is pending or unacknowledged."""
        return not (self._pending or self._packed or self._unacked)

    @property
    def is_done(self) -> bool:
        """Whether all assignments have been acknowledged."""
        return (
            self.is_empty
            and self._is_complete
            and self.target_views is not None
            and self.target_views == self.acked_views
        )

    @property
    def sent_count(self) -> int:
        """Number of flows whose assignments the other host is sent."""
        return len(self._assignments)

    def assignment_of(self, fingerprint: int) -> _assignment.Assignment | None:
        """Return the assignment of a flow that the other host is sent."""
        return self._assignments.get(fingerprint)

    def add(
        self, fingerprint: int, assignment: _assignment.Assignment
    ) -> None:
        """Queue the assignment of a flow unless it is unchanged."""
        before = self._assignments.get(fingerprint)
        if before == assignment:
            return
        if before in self._pending:
            self._pending[before].discard(fingerprint)
        self._assignments[fingerprint] = assignment
        self._pending.setdefault(assignment, set()).add(fingerprint)
        self._is_complete = False

    def set_all(
        self,
        assignments: _assignment.Assignments,
        target_views: _assignment.ViewHashes,
    ) -> None:
        """Queue ``assignments``, the complete set for ``target_views``."""
        ended = sum(
            1
            for fingerprint in self._assignments
            if fingerprint not in assignments
        )
        if ended > MIN_STALE + MAX_STALE_RATIO * len(assignments):
            self._begin_generation()
        self._is_rejected = False
        for fingerprint, assignment in assignments.items():
            self.add(fingerprint, assignment)
        self.target_views = target_views

    def acknowledge(self, seqs: abc.Iterable[int]) -> None:
        """Remove messages that the other host has acknowledged."""
        for seq in seqs:
            unacked = self._unacked.pop(seq, None)
            if unacked and isinstance(unacked.message, _messages.Synced):
                msg = unacked.message
                self.acked_views = _assignment.ViewHashes(
                    msg.hosts_hash, msg.upstreams_hash
                )
                self._is_complete = msg.is_complete and self._is_all_sent()

    def reject(self, seqs: abc.Iterable[int]) -> None:
        """Remove assignments that the other host can't resolve."""
        for seq in seqs:
            unacked = self._unacked.pop(seq, None)
            if unacked is None or not isinstance(
                unacked.message, _messages.Digest
            ):
                continue
            self._is_rejected = True
            self._is_complete = False
            for fingerprint in _digest.unpack(unacked.message.flows):
                assignment = self._assignments.get(fingerprint)
                if assignment is not None and not assignment.upstream:
                    del self._assignments[fingerprint]

    def messages(
        self,
        now: float,
        recent_changes: RecentChanges,
        may_sync: bool,
        skip_batching: bool,
    ) -> abc.Iterator[_messages.Message]:
        """Yield the messages to send now, the most urgent first.

        :param recent_changes: deaths and joins for a host that starts
        :param may_sync: whether a generation may be declared complete
        :param skip_batching: whether to send batches before they are full
        """
        for unacked in list(self._unacked.values()):
            if unacked.resend_at <= now:
                unacked.wait_s = min(2 * unacked.wait_s, MAX_RESEND_S)
                unacked.resend_at = now + unacked.wait_s
                yield unacked.message
        while len(self._unacked) < MAX_UNACKED:
            if not self._packed and not self._pack_next(now, skip_batching):
                break
            yield self._track(self._next_digest(), now)
        if may_sync and self.target_views is not None and self._should_sync():
            yield self._track(
                self._synced(self.target_views, recent_changes), now
            )

    def _pack_next(self, now: float, skip_batching: bool) -> bool:
        """Pack the next group of assignments that is due.

        :returns: whether there was one
        """
        for assignment in list(self._pending):
            if not self._pending[assignment]:
                del self._pending[assignment]
            elif assignment.upstream:
                self._pack(assignment)
                return True
        if not self._pending:
            self._batch_due = None
            return False
        if self._batch_due is None:
            self._batch_due = now + BATCH_WAIT_S
        assignment, fingerprints = next(iter(self._pending.items()))
        if (
            len(fingerprints) < FULL_BATCH
            and now < self._batch_due
            and not skip_batching
        ):
            return False
        self._pack(assignment)
        return True

    def _pack(self, assignment: _assignment.Assignment) -> None:
        """Pack all pending flows with the same assignment."""
        fingerprints = self._pending.pop(assignment)
        for flows in _digest.pack(
            fingerprints, _messages.MAX_FINGERPRINT_BYTES
        ):
            self._packed.append((assignment, flows))

    def _next_digest(self) -> _messages.Digest:
        """Return a digest of the next packed flows."""
        assignment, flows = self._packed.popleft()
        return _messages.Digest(
            self._epoch,
            self.to_epoch,
            self._generation,
            next(self._numbers),
            assignment.upstream,
            assignment.upstreams_hash,
            assignment.is_indirect,
            flows,
        )

    def _should_sync(self) -> bool:
        """Return whether to send :class:`Synced` now.

        All overrides must have been acknowledged.  Default assignments may
        lag behind; after they are acknowledged it is sent once more.
        """
        if self._packed or self._unacked:
            return False
        if any(assignment.upstream for assignment in self._pending):
            return False
        if self.target_views != self.acked_views:
            return True
        return self._is_all_sent() and not self._is_complete

    def _is_all_sent(self) -> bool:
        """Return whether no assignment is pending or was rejected."""
        return not self._pending and not self._is_rejected

    def _synced(
        self,
        target_views: _assignment.ViewHashes,
        recent_changes: RecentChanges,
    ) -> _messages.Synced:
        """Return the message that declares the generation as synced."""
        return _messages.Synced(
            self._epoch,
            self.to_epoch,
            self._generation,
            next(self._numbers),
            target_views.hosts_hash,
            target_views.upstreams_hash,
            self._is_all_sent(),
            *recent_changes,
        )

    def _track(
        self, message: _messages.Digest | _messages.Synced, now: float
    ) -> _messages.Message:
        """Add ``message`` to the unacknowledged ones and return it."""
        self._unacked[message.seq] = _Unacked(
            message, now + RESEND_S, RESEND_S
        )
        return message
