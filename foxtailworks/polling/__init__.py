"""How edge hosts and coordinators keep in touch: messages and schedule.

A host polls a few coordinators, which notify it of changes in between::

    schedule = polling.Schedule(host, seeds, rng, now)
    for due in schedule.due(now, polling.Need.CHANGES):
        send(poll_of(due), due.address)
    schedule.on_answer(address, answer.is_current, now)

A coordinator remembers who follows it::

    followers = polling.Followers()
    followers.on_poll(src, poll.is_follower, now)
    for address in followers.to_notify((version, revision, number), now):
        send(notice, address)

A host receives a large answer part by part (:class:`Transfers`), and a
coordinator keeps it until hosts have requested all parts
(:class:`LargeAnswers`).
"""

from foxtailworks.polling._copies import Copies
from foxtailworks.polling._followers import Followers
from foxtailworks.polling._large_answers import LargeAnswers
from foxtailworks.polling._load import LOAD_INTERVAL_S
from foxtailworks.polling._load import LoadReport
from foxtailworks.polling._load import LoadView
from foxtailworks.polling._load import MAX_LISTED
from foxtailworks.polling._load import pack_loads
from foxtailworks.polling._load import REPORT_AFTER_S
from foxtailworks.polling._load import unpack_loads
from foxtailworks.polling._messages import ALL_PARTS
from foxtailworks.polling._messages import CODEC
from foxtailworks.polling._messages import Evacuation
from foxtailworks.polling._messages import MESSAGES
from foxtailworks.polling._messages import Notice
from foxtailworks.polling._messages import PartRequest
from foxtailworks.polling._messages import PartsGone
from foxtailworks.polling._messages import Poll
from foxtailworks.polling._messages import PollAnswer
from foxtailworks.polling._messages import Summary
from foxtailworks.polling._schedule import DuePoll
from foxtailworks.polling._schedule import FOLLOWED
from foxtailworks.polling._schedule import LOST_S
from foxtailworks.polling._schedule import Need
from foxtailworks.polling._schedule import Schedule
from foxtailworks.polling._transfers import FIRST_PARTS
from foxtailworks.polling._transfers import MAX_OUTSTANDING
from foxtailworks.polling._transfers import MissingParts
from foxtailworks.polling._transfers import Transfers

__all__ = [
    "ALL_PARTS",
    "CODEC",
    "Copies",
    "FIRST_PARTS",
    "FOLLOWED",
    "LOAD_INTERVAL_S",
    "LOST_S",
    "MAX_LISTED",
    "MAX_OUTSTANDING",
    "MESSAGES",
    "DuePoll",
    "Evacuation",
    "Followers",
    "LargeAnswers",
    "LoadReport",
    "LoadView",
    "MissingParts",
    "Need",
    "Notice",
    "PartRequest",
    "PartsGone",
    "Poll",
    "PollAnswer",
    "REPORT_AFTER_S",
    "Schedule",
    "Summary",
    "Transfers",
    "pack_loads",
    "unpack_loads",
]
