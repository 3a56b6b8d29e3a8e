"""How many notes of other relays are taken: so many a second of each, and of all together.

A note costs a judge some tens of microseconds.  One relay gone mad must neither starve what the judge serves nor push
out what others tell; where all together tell too much, who has told least of late is heard first.
"""

from typing import NamedTuple

SECOND = 10_000  # tenths of a ms; all is counted by whole seconds
CELLS = 30  # of a note, at the least (tealsail/notes.py)


class MessageLimits(NamedTuple):
    """Notes a second."""

    each: int
    all: int


NOTES_OF_A_SHOT = 3  # a question, a beginning, an end; a third as many go back to the asker
MOST_SHOTS = 1_000  # a second of one relay: more than one process serves on a whole core
SHOT_MESSAGE_LIMITS = MessageLimits(NOTES_OF_A_SHOT * MOST_SHOTS, 12_000)  # small ones of shots


def count_message_limits(cells: int, most: int = 4_000) -> MessageLimits:
    """For counts of so many cells.  Honest relays tell all of them at most twice a second, and a few words besides."""
    parts = max(1, -(-cells // CELLS))
    return MessageLimits(4 * parts + 20, max(most, 40 * parts))


class RateLimiter:
    """`allows` says of each note whether it is taken; `counts` is emptied each second, so it has a place at most for
    each sender that is known."""

    def __init__(self, count_message_limits: MessageLimits) -> None:
        self.count_message_limits = count_message_limits
        self.second, self.taken = -1, 0
        self.counts: dict[int, int] = {}

    def allows(self, sender: int, now: int) -> bool:
        """`now` in tenths of a ms."""
        second = now // SECOND
        if second != self.second:
            self.second, self.taken, self.counts = second, 0, {}
        count = self.counts.get(sender, 0)
        # past the half of what all may have, a sender may have an even part; past the whole, a first note only
        crowded = 2 * self.taken >= self.count_message_limits.all and count > self.count_message_limits.all // (
            2 * max(1, len(self.counts))
        )
        if (
            count >= self.count_message_limits.each
            or crowded
            or (self.taken >= self.count_message_limits.all and count)
        ):
            return False
        self.counts[sender] = count + 1
        self.taken += 1
        return True
