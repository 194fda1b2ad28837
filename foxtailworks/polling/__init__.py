"""Messages with which edge hosts poll coordinators."""

from foxtailworks.polling._messages import CODEC
from foxtailworks.polling._messages import MESSAGES
from foxtailworks.polling._messages import Poll
from foxtailworks.polling._messages import PollAnswer

__all__ = ["CODEC", "MESSAGES", "Poll", "PollAnswer"]
