"""How edge hosts and coordinators keep in touch: messages and schedule.

A host polls a few coordinators, which notify it of changes in between::

    schedule = polling.Schedule(host, seeds, rng, now)
    for due in schedule.due(now, polling.Need.CHANGES):
        send(poll_of(due), due.address)
    schedule.on_answer(address, answer.is_current, now)

A coordinator remembers who follows it::

    followers = polling.Followers()
    followers.on_poll(src, poll.is_follower, now)
    for address in followers.to_notify((version, revision), now):
        send(notice, address)
"""

from foxtailworks.polling._followers import Followers
from foxtailworks.polling._messages import CODEC
from foxtailworks.polling._messages import MESSAGES
from foxtailworks.polling._messages import Notice
from foxtailworks.polling._messages import Poll
from foxtailworks.polling._messages import PollAnswer
from foxtailworks.polling._schedule import DuePoll
from foxtailworks.polling._schedule import LOST_S
from foxtailworks.polling._schedule import Need
from foxtailworks.polling._schedule import Schedule

__all__ = [
    "CODEC",
    "LOST_S",
    "MESSAGES",
    "DuePoll",
    "Followers",
    "Need",
    "Notice",
    "Poll",
    "PollAnswer",
    "Schedule",
]
