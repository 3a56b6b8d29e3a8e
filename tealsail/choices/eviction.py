"""Which idle connection of a client makes room for a new one."""

from enum import IntEnum

from .connection_lifetimes import IDLE_GRACE
from .memory_budget import may_displace

FIRST_QUERY_TIMEOUT = 5_000  # tenths of a ms within which a client is expected to send its first query


class EvictionRank(IntEnum):
    """How soon an idle connection makes room; the lowest goes first."""

    OVERDUE = 0  # its first query, or the rest of a message, should have come by now
    RESTED = 1
    EXPECTED = 2  # it may be about to send
    SENDING = 3  # part of a message has just come


def eviction_rank(idle: int, partial: int | None, has_queried: bool) -> EvictionRank:
    """The rank of a connection that has been idle for so long, with part of a message for `partial` of that (None:
    with none); `has_queried` tells whether a query has ever come.  Times in tenths of a ms."""
    if partial is not None:
        return EvictionRank.OVERDUE if may_displace(partial) else EvictionRank.SENDING
    if not has_queried:
        return EvictionRank.OVERDUE if idle >= FIRST_QUERY_TIMEOUT else EvictionRank.EXPECTED
    return EvictionRank.RESTED if idle > IDLE_GRACE else EvictionRank.EXPECTED
