"""Trial in a model: an append of an earlier term arrives late.

Not a case: no page names datagrams that overtake one another by seconds.
Run it with ``PYTHONPATH=. .venv/bin/python review/trials2/delayed_append.py``;
it exits with 1 if a replica that is cut off confirms a read.
"""

import random
import sys

from foxtailworks import agreement
from foxtailworks.agreement import _messages
from foxtailworks import ids

STEP_S = 0.02
KEEPERS = [ids.KeeperId(name) for name in ("a", "b", "c")]
LEADER = agreement.Role.LEADER


class Model:
    """Three replicas, with disks and a network that take no time."""

    def __init__(self) -> None:
        members = tuple(
            agreement.Member(keeper, keeper, ids.Address("127.0.0.1", n), True)
            for n, keeper in enumerate(KEEPERS, 1)
        )
        membership = agreement.Membership(members)
        data = _messages.encode_membership(membership)
        kind = agreement.EntryKind.MEMBERSHIP
        restored = agreement.RestoredState(
            agreement.HardState("group", 1, None),
            entries=(agreement.Entry(1, 1, kind, data),),
        )
        self.now = 0.0
        self.replicas = {
            keeper: agreement.Replica(keeper, restored, random.Random(n), 0.0)
            for n, keeper in enumerate(KEEPERS)
        }
        self.cut_off = None
        self.delayed = []
        self.delays_next_to = None
        self.confirmed = []
        self._messages = []

    def carry_out(self, keeper, actions):
        """Carry out the actions of a replica."""
        for item in actions:
            if isinstance(item, agreement.Persist):
                replica = self.replicas[keeper]
                later = replica.on_persisted(item.number, self.now)
                self.carry_out(keeper, later)
            elif isinstance(item, agreement.Send):
                self._messages.append((keeper, item.to, item.msg))
            elif isinstance(item, agreement.ReadReady):
                self.confirmed.append(keeper)

    def deliver(self, src, dst, msg):
        """Deliver one message."""
        replica = self.replicas[dst]
        self.carry_out(dst, replica.on_message(src, msg, self.now))

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for keeper, replica in self.replicas.items():
                self.carry_out(keeper, replica.on_tick(self.now))
            messages, self._messages = self._messages, []
            for src, dst, msg in messages:
                if dst == self.delays_next_to and isinstance(
                    msg, agreement.Append
                ):
                    self.delayed.append((src, dst, msg))
                    self.delays_next_to = None
                elif self.cut_off not in (src, dst):
                    self.deliver(src, dst, msg)

    def leader(self):
        """Return the leader of the highest term."""
        leaders = [i for i in self.replicas.values() if i.role is LEADER]
        return max(leaders, key=lambda item: item.term)

    def hand_over(self):
        """Transfer the leadership to another replica."""
        old = self.leader()
        self.carry_out(old.keeper, old.transfer_leadership(self.now))
        self.run(0.5)


def main() -> int:
    """Run the trial; return the exit code."""
    model = Model()
    model.run(30.0)
    first = model.leader()
    others = [i for i in KEEPERS if i != first.keeper]
    model.delays_next_to = others[0]
    model.run(0.3)
    print(f"{first.keeper} leads term {first.term}; one append is delayed")
    model.cut_off = first.keeper
    model.run(2.0)
    model.cut_off = None
    model.run(1.0)
    while model.leader() is not first:
        model.hand_over()
    print(f"{first.keeper} leads again, term {first.term}; it arrives")
    model.deliver(*model.delayed[0])
    model.run(0.1)
    model.cut_off = first.keeper
    model.run(1.5)
    for replica in model.replicas.values():
        print(f"{replica.keeper}: {replica.role.value}, term {replica.term}")
    if first.role is LEADER:
        _, actions = first.read(model.now)
        model.carry_out(first.keeper, actions)
    is_broken = first.keeper in model.confirmed
    print(f"the cut-off one confirms a read: {is_broken}")
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
