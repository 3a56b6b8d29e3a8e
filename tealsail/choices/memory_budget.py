"""How much of its memory a process may use for what, and when it is short of memory.

What hundreds of connections hold is bounded for all of them together: bounds of single connections add up.  All sizes
are in bytes.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

BYTES_PER_MB = 1 << 20
DEFAULT_MEMORY = 192 * BYTES_PER_MB  # that a process may use, where the configuration does not say
USED_AT_REST = 30 * BYTES_PER_MB  # of a process, where nobody reads what it uses
MIN_ROOM = 4 * BYTES_PER_MB  # that is shared out even where less is left
REQUEST_SHARE = 1 / 3  # of the room
ANSWER_SHARE = 0.25  # of the room
LARGE_SHARE = 0.75  # of what requests may take: the rest is for small ones alone
SHORT_LARGE_SHARE = 0.4  # the same while memory is short
LIST_COPIES = 8  # of a list's bytes: as they came and decoded
MIN_LIST = 2 * BYTES_PER_MB  # that a list may have in any process, four times what 3,200 units take
MAX_LIST = 8 * BYTES_PER_MB
SHORT_SHARE = 0.75  # of the room, above which memory is short
REQUEST_COPIES = 3  # of a request's text: as it came, as a statement, and on its way to a unit
REQUEST_OVERHEAD = 2048  # of a request besides its text
ANSWER_COPIES = 2  # of an answer's row: as it came, and as it is written to the client
SMALL_MESSAGE = 4096  # messages up to this size need no room in advance
UNREAD_GRACE = 10_000  # tenths of a ms for which a client may leave its answer unread, where answers have no room
DISPLACE_AFTER = 5_000  # tenths of a ms; usual clients write a request at once


class MemoryLevel(Enum):
    """What is left of the memory that a process may use."""

    NORMAL = "normal"
    SHORT = "short"


class MemoryShares(NamedTuple):
    """What is shared out.

    `requests` is for those of all clients, incomplete, waiting or in progress; `answers` for those that units send or
    that wait for an earlier one or for their client.
    """

    requests: int
    answers: int
    list_bytes: int  # that one reply of discovery may have
    short_above: int  # used by the process


def share_out(limit: int, used: int) -> MemoryShares:
    """The shares of a process that may use `limit`, and uses so much at rest (0: not known)."""
    used = used or USED_AT_REST
    room = max(MIN_ROOM, limit - used)
    list_bytes = min(MAX_LIST, max(MIN_LIST, room // LIST_COPIES))
    return MemoryShares(int(REQUEST_SHARE * room), int(ANSWER_SHARE * room), list_bytes, used + int(SHORT_SHARE * room))


def memory_level(used: int, shares: MemoryShares) -> MemoryLevel:
    """The level of a process that uses so much."""
    return MemoryLevel.SHORT if used > shares.short_above else MemoryLevel.NORMAL


def large_share(level: MemoryLevel) -> float:
    """The part of what requests may take that is open to large ones."""
    return SHORT_LARGE_SHARE if level == MemoryLevel.SHORT else LARGE_SHARE


def request_cost(length: int) -> int:
    """What a request of that length counts."""
    return REQUEST_OVERHEAD + REQUEST_COPIES * length


def answer_cost(length: int) -> int:
    """What an answer whose largest message has that length counts, until it is written to the client."""
    return ANSWER_COPIES * length


def may_abort_unread(age: int) -> bool:
    """Whether a client that has left answers unread for so long (tenths of a ms) may be dropped for lack of room."""
    return age >= UNREAD_GRACE


def may_displace(age: int) -> bool:
    """Whether a message that has been incomplete for so long (tenths of a ms) may lose its room to another one."""
    return age >= DISPLACE_AFTER


class ByteBudget:
    """Bytes that are held for one purpose, against a capacity; `on_freed` is called when some are given up."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.used = capacity, 0
        self.on_freed: Callable[[], None] = lambda: None

    def has_room(self, amount: int, share: float = 1.0) -> bool:
        """Whether that much may be added, by one that may use this share of the capacity."""
        return self.used + amount <= share * self.capacity

    def add(self, amount: int) -> None:
        """Count more, also beyond the capacity: what is held already has to be counted."""
        self.used += amount

    def remove(self, amount: int) -> None:
        """Count less."""
        self.used -= amount
        if amount > 0:
            self.on_freed()
