"""How much of a query's end is held back from a unit, when it is checked again whether it may leave, and how long the
last byte may be on its way."""

from ..time_limits import MAX_HOLD_UP, TENTHS_PER_SECOND

# Under the smallest window of a Linux socket whose buffer is empty: it may be announced as half of the smallest buffer.
ALWAYS_ROOM_BYTES = 500
MAX_HELD_BYTES = ALWAYS_ROOM_BYTES  # of a query's end
UNREAD_CHECK_S = 0.02  # for which it counts that nothing was unread: less than what every rule allows from news on
MIN_ROOM_CHECK_S = 0.001  # shortest time between checks
MAX_ROOM_CHECK_S = 0.05  # longest time between checks
ROOM_CHECK_PART = 0.25  # of the time waited so far, until the next check
# From the sending of a last byte until it is acknowledged; others delay that by up to 0.05 s.
ARRIVAL_LIMIT_S = MAX_HOLD_UP / TENTHS_PER_SECOND
ARRIVAL_CHECK_S = 0.025  # between checks; with the limit less than a kernel waits before it sends a lost byte again


def may_tell(told_s: float) -> bool:
    """Whether a query may still tell its unit the time to wait that was left so many seconds ago."""
    return told_s * TENTHS_PER_SECOND <= MAX_HOLD_UP


def room_check_delay(waited_s: float) -> float:
    """Seconds until it is checked again whether a unit has room, after a wait of so many seconds."""
    return min(MAX_ROOM_CHECK_S, max(MIN_ROOM_CHECK_S, ROOM_CHECK_PART * waited_s))
