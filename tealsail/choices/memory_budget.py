"""How much of its memory a process may use for what, and when it is short of memory.

What hundreds of connections may hold in one process is bounded for all of them together: a bound for each connection
adds up.
"""

from enum import Enum

SHORT_SHARE = 0.85  # of the limit, from which on memory is short


class MemoryLevel(Enum):
    """What is left of the memory that a process may use."""

    NORMAL = "normal"
    SHORT = "short"


def memory_level(used: int, limit: int) -> MemoryLevel:
    """The level of a process that uses so many of its `limit` bytes."""
    return MemoryLevel.SHORT if used > SHORT_SHARE * limit else MemoryLevel.NORMAL
