"""When a relay that starts accepts clients and a relay that ends may exit; when connections may be closed or reused.

Each rule allows for bytes that may still be on their way.
"""

from collections.abc import Sequence

from ..time_limits import MAX_HOLD_UP, TENTHS_PER_SECOND
from .backoff import FIRST_LIST_WAIT_S

# A supervisor may kill a process that it has told to stop once the longest deadline, counted as KILL_DEADLINE_LIMIT
# where it is longer, and KILL_GRACE have passed.  Tenths of a ms.
KILL_DEADLINE_LIMIT = 30_000
KILL_GRACE = 7_000
# Tenths of a ms before the kill by which all is answered: the process may be held up before it reads the
# signal, and again before it writes the answers.
KILL_MARGIN = 2 * MAX_HOLD_UP
# Tenths of a ms before the kill at which the client listener closes: a process that is held up just then
# still answers what is in the backlog.  Clients that were answered at KILL_MARGIN, and whose next query crossed the end
# of their connection, may connect again until then.
LISTEN_MARGIN = MAX_HOLD_UP
# Tenths of a ms before the kill at which connections without a query end.
END_MARGIN = 1_000
EXIT_MARGIN = 500  # tenths of a ms before the kill at which the relay exits, whatever is left
# Tenths of a ms within which the first query of a connection in the backlog arrives, at the least.
FIRST_QUERY_WAIT = 200
# Checks in a row without a client before a relay ends: at the first, a client whose idle connection it has just closed
# may be reconnecting.
EMPTY_CHECKS = 2
DRAIN_CHECK_S = 0.05  # between checks for remaining clients
LAST_CHECK_S = 0.005  # the same once only queries that have arrived are awaited
# Tenths of a ms within which a new client sends its first query; idle connections are kept as long when it is crowded.
IDLE_GRACE = 3_000
ANSWER_REST_S = 0.02  # nothing that belongs to an answer comes later than this after it
MAX_IDLE_CHECK_S = 1.0  # longest time between checks of the idle connections to units
MIN_IDLE_CHECK_S = 0.01  # shortest time between these checks
# Delays before a half-written file is read again: all within the 4 s in which the former addresses may still answer.
REREAD_DELAYS_S = 0.1, 0.2, 0.4, 0.8, 1.6


def earliest_kill(stopped_at: int, deadlines: Sequence[int]) -> int:
    """When a process that was told to stop at `stopped_at` may be killed.

    `deadlines`: how long the clients of each workload wait at the most.  All in tenths of a ms.
    """
    longest = max(deadlines, default=0) or KILL_DEADLINE_LIMIT
    return stopped_at + min(longest, KILL_DEADLINE_LIMIT) + KILL_GRACE


def answer_deadline(stopped_at: int, deadlines: Sequence[int]) -> int:
    """By when a relay that was told to stop at `stopped_at` answers all that it has taken, before it may be killed.

    Arguments as for `earliest_kill`.
    """
    return earliest_kill(stopped_at, deadlines) - KILL_MARGIN


class ShutdownWatch:
    """Decides from repeated checks when a relay that ends closes its client listener, when it ends connections without
    a query, and when it may exit.  All times are tenths of a ms.

    The listener closes first, so that from then on the connections left are a bounded set.  Each of them gets the
    answer to what has arrived over it, also where the process was held up in between and all these times have passed.
    """

    def __init__(self, stopped_at: int, deadlines: Sequence[int]) -> None:
        """Arguments as for `earliest_kill`."""
        kill_at = earliest_kill(stopped_at, deadlines)
        self.listen_until, self.end_at, self.exit_at = (
            kill_at - margin for margin in (LISTEN_MARGIN, END_MARGIN, EXIT_MARGIN)
        )
        self.closed_at: int | None = None  # when the client listener closed
        self.empty_checks = 0  # in a row

    def may_accept(self, now: int, clients: int) -> bool:
        """Whether clients may still connect after this check, which found `clients` connections."""
        self.empty_checks = 0 if clients else self.empty_checks + 1
        return now < self.listen_until and self.empty_checks < EMPTY_CHECKS

    def listener_closed(self, now: int) -> None:
        """No client can connect any more."""
        self.closed_at = now if self.closed_at is None else self.closed_at

    def ends_idle_at(self) -> int:
        """From when on connections are ended over which no query has arrived."""
        first_queries_until = (self.listen_until if self.closed_at is None else self.closed_at) + FIRST_QUERY_WAIT
        return max(self.end_at, first_queries_until)

    def is_over(self, now: int, clients: int) -> bool:
        """Whether the relay may exit; `clients` is the number of connections left."""
        return now >= self.exit_at or (self.closed_at is not None and not clients)

    def check_delay(self, now: int) -> float:
        """The time until the next check, in seconds."""
        if now >= self.ends_idle_at():
            return LAST_CHECK_S
        next_limit = min(at for at in (self.listen_until, self.ends_idle_at()) if at > now)
        return max(LAST_CHECK_S, min(DRAIN_CHECK_S, (next_limit - now) / TENTHS_PER_SECOND))


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
