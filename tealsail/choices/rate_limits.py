"""Rate limits on messages from other relays: so many a second from each sender, and from all together.

A message costs a judge some tens of microseconds.  One faulty relay must neither take the time in which the judge
serves requests nor displace what others report; where all senders together exceed the limit, those that sent least
within the second come first.
"""

from typing import NamedTuple

from ..time_limits import SECOND

CELLS_PER_MESSAGE = 30  # a full message of counts holds at least so many cells (tealsail/peer_messages.py)


class MessageLimits(NamedTuple):
    """Messages accepted a second: from each sender, and from all together."""

    each: int
    all: int


MESSAGES_PER_SHOT = 3  # a question, a beginning, an end; a third as many go back to the asker
MAX_SHOTS_PER_SECOND = 1_000  # of one relay: more than one process serves on a whole core
# Small messages about single shots.
SHOT_MESSAGE_LIMITS = MessageLimits(MESSAGES_PER_SHOT * MAX_SHOTS_PER_SECOND, 12_000)


def count_message_limits(cells: int, most: int = 4_000) -> MessageLimits:
    """Limits on messages of counts, where all counts have `cells` cells; `most` is the least limit on all senders.

    A relay in order sends all its cells at most twice a second, and a few other messages.
    """
    messages = max(1, -(-cells // CELLS_PER_MESSAGE))
    return MessageLimits(4 * messages + 20, max(most, 40 * messages))


class RateLimiter:
    """Decides for each message whether it is accepted.  `counts` (sender -> messages accepted) is emptied each second,
    so it holds at most one entry for each known sender."""

    def __init__(self, count_message_limits: MessageLimits) -> None:
        self.count_message_limits = count_message_limits
        self.second, self.accepted = -1, 0
        self.counts: dict[int, int] = {}

    def allows(self, sender: int, now: int) -> bool:
        """Whether a message that `sender` sent is accepted, which counts it; `now` in tenths of a ms."""
        second = now // SECOND
        if second != self.second:
            self.second, self.accepted, self.counts = second, 0, {}
        count = self.counts.get(sender, 0)
        # Past half of the limit on all, a sender may have an equal part of it; past the whole, only a first message.
        crowded = 2 * self.accepted >= self.count_message_limits.all and count > self.count_message_limits.all // (
            2 * max(1, len(self.counts))
        )
        if (
            count >= self.count_message_limits.each
            or crowded
            or (self.accepted >= self.count_message_limits.all and count)
        ):
            return False
        self.counts[sender] = count + 1
        self.accepted += 1
        return True
