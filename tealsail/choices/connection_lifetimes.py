"""When a relay that starts accepts clients and a relay that ends may exit; when connections may be closed or reused.

Each rule allows for bytes that may still be on their way.
"""

from collections.abc import Sequence

from .backoff import FIRST_LIST_WAIT_S

# Tenths of a ms for which a relay that ends waits for clients that do not close, if no deadline is longer.
SHUTDOWN_WAIT = 30_000
# A supervisor may kill a process that it has told to stop once the longest deadline, counted as KILL_DEADLINE_LIMIT
# where it is longer, and KILL_GRACE have passed.  Tenths of a ms.
KILL_DEADLINE_LIMIT = 30_000
KILL_GRACE = 7_000
# Tenths of a ms before the kill by which all is answered: the process may be held up for 0.15 s before it reads the
# signal, and again before it writes the answers.
KILL_MARGIN = 3_000
# Checks in a row without a client before a relay ends: at the first, a client whose idle connection it has just closed
# may be reconnecting.
EMPTY_CHECKS = 2
# Tenths of a ms within which a new client sends its first query; idle connections are kept as long when it is crowded.
IDLE_GRACE = 3_000
ANSWER_REST_S = 0.02  # nothing that belongs to an answer comes later than this after it
MAX_IDLE_CHECK_S = 1.0  # longest time between checks of the idle connections to units
MIN_IDLE_CHECK_S = 0.01  # shortest time between these checks
# Delays before a half-written file is read again: all within the 4 s in which the former addresses may still answer.
REREAD_DELAYS_S = 0.1, 0.2, 0.4, 0.8, 1.6


def shutdown_deadline(now: int, deadlines: Sequence[int]) -> int:
    """Until when a relay that ends waits for clients that neither read nor close: SHUTDOWN_WAIT from `now`, or the
    longest of the workloads' `deadlines`.  All in tenths of a ms."""
    return now + max(SHUTDOWN_WAIT, *deadlines)


def answer_deadline(stopped_at: int, deadlines: Sequence[int]) -> int:
    """By when a relay that was told to stop at `stopped_at` answers all that it has taken, before it may be killed.

    `deadlines`: how long the clients of each workload wait at the most.  All in tenths of a ms.
    """
    longest = max(deadlines, default=0) or KILL_DEADLINE_LIMIT
    return stopped_at + min(longest, KILL_DEADLINE_LIMIT) + KILL_GRACE - KILL_MARGIN


class ShutdownWatch:
    """Decides from repeated checks when a relay that ends has no clients left.  All times are tenths of a ms."""

    def __init__(self, now: int, deadlines: Sequence[int]) -> None:
        """`deadlines`: how long the clients of each workload wait at the most."""
        self.until = shutdown_deadline(now, deadlines)
        self.empty_checks = 0  # in a row

    def is_overdue(self, now: int) -> bool:
        """Whether the relay waits for no client any longer."""
        return now > self.until

    def is_over(self, now: int, clients: int) -> bool:
        """Whether this check, which found `clients` connections, is the last."""
        self.empty_checks = 0 if clients else self.empty_checks + 1
        return self.empty_checks >= (1 if self.is_overdue(now) else EMPTY_CHECKS)


def accept_delay(request_delay: float | None) -> float | None:
    """The longest time, in seconds, for which a new process accepts no clients, to have the list first; None: it
    accepts them at once.

    `request_delay` is the time until it asks for the list (None: it asks at once).  A relay that asks at once counts as
    having the list from the process's first moment, so clients wait in the kernel for the few ms until it has arrived.
    Where it asks later, or no list arrives, it starts with the old copy.
    """
    return FIRST_LIST_WAIT_S if request_delay is None else None


def may_close_idle(new: bool, idle: int, half: bool) -> bool:
    """Whether a relay that ends may close an idle client connection: not one that has sent half a query (`half`), nor
    one that was accepted only `idle` tenths of a ms ago and is `new`, since its first query may be on its way."""
    return not half and not (new and idle < IDLE_GRACE)


def idle_limits(idle: float) -> tuple[float, float]:
    """The longest time that a connection to a unit stays idle, and the time between checks of that, in seconds, where
    the unit's machine closes connections after `idle` seconds.

    With both together a connection is never used in the last quarter, or the last second, of that time.
    """
    check = min(MAX_IDLE_CHECK_S, max(MIN_IDLE_CHECK_S, 0.25 * idle))
    return max(0.5 * idle, idle - 2 * check), check


def choose_idle_connection(answered: Sequence[float], now: float) -> int | None:
    """The index of the idle connection that takes the next shot, None if none may yet.

    `answered` is when each was last answered, in seconds; the one used last comes last and is preferred.  A connection
    rests after an answer: a second answer to the same query may come some ms after the first and would be taken for the
    next query's.
    """
    return next((index for index in range(len(answered) - 1, -1, -1) if answered[index] <= now - ANSWER_REST_S), None)
