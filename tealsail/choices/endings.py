"""When a relay's door opens, and when a relay, a client's connection and a kept connection to a unit may end or be used
again: what may still be on its way."""

from collections.abc import Sequence

from .backoff import FIRST_LIST_WAIT_S

ENOUGH = 30_000  # tenths of a ms behind the end of idle connections, or the longest deadline if that is later
LOOKS_WITH_NOBODY = 2  # in a row, then nobody is left: one who crossed an end of ours may be on the way between two
IDLE_GRACE = 3_000  # within which one that was just welcomed asks, or connections may be idle in a crowd
ANSWER_REST_S = 0.02  # seconds: nothing that belongs to an answer comes later than that behind it
LOOK, SOONEST = 1.0, 0.01  # seconds, most and least, between looks at unused connections to units
REREAD_DELAYS_S = (
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
)  # seconds to the next looks at a file that is half written: within the 4 s in which
# the former addresses may still answer


def enough(now: int, deadlines: Sequence[int]) -> int:
    """The time, in tenths of a ms, after which a relay that ends waits for nobody who does not read or end its half."""
    return now + max(ENOUGH, *deadlines)


class ShutdownWatch:
    """Looks of a relay that ends at who is left among its clients; `deadlines` in tenths of a ms, as all times here."""

    def __init__(self, now: int, deadlines: Sequence[int]) -> None:
        self.until = enough(now, deadlines)
        self.with_nobody = 0  # looks in a row

    def late(self, now: int) -> bool:
        """Whether nobody is waited for any longer."""
        return now > self.until

    def over(self, now: int, clients: int) -> bool:
        """Whether this look, which found so many, is the last."""
        self.with_nobody = 0 if clients else self.with_nobody + 1
        return self.with_nobody >= (1 if self.late(now) else LOOKS_WITH_NOBODY)


def accept_delay(question: float | None) -> float | None:
    """Seconds for which a new process holds its door at most, where it asks for the list after `question` seconds, or
    at once (None).  What is asked for at once counts as told from the process's first moment, so whoever comes before
    it waits in the kernel, for some ms; where nothing comes, or not soon, the old copy has to do.  None: not at all."""
    return FIRST_LIST_WAIT_S if question is None else None


def may_close_idle(new: bool, idle: int, half: bool) -> bool:
    """Whether an idle connection of a relay that ends may end: not over half a query, nor while one that was only just
    welcomed, `idle` tenths of a ms ago, is about to ask."""
    return not half and not (new and idle < IDLE_GRACE)


def unused(idle: float) -> tuple[float, float]:
    """How long a kept connection may stand unused, and between looks at that, in seconds, where the unit's machine
    ends it after `idle` seconds: with both together it is never used in the last quarter, or second, of them."""
    look = min(LOOK, max(SOONEST, 0.25 * idle))
    return max(0.5 * idle, idle - 2 * look), look


def choose_idle_connection(answered: Sequence[float], now: float) -> int | None:
    """Which of the idle connections, the one used last standing last, takes the next shot; `answered` is when each
    was last answered, in seconds.  A second answer to the same query may come some ms behind the first, and would be
    taken for the next one's: measured 0.9 to 3.4 ms (docs/results.md)."""
    return next((place for place in range(len(answered) - 1, -1, -1) if answered[place] <= now - ANSWER_REST_S), None)
