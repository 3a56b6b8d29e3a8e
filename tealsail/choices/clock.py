"""What time it is taken for: even time for all intervals, Unix time only where stamps of others need it.

Even time starts at the wall clock's and then goes on with a steady one, so a step of the wall clock moves no timer, no
deadline and no evidence.  Steps are noticed and counted, and stamps of others (when a unit has started, in Unix time)
are turned into even time by the wall clock of the moment when they were first seen.  A gap is a time in which nothing
ran: a process that was stopped, a machine that slept.
"""

from collections.abc import Callable
from typing import Any

TENTHS_PER_SECOND = 10_000  # in a second
STEP = 0.2  # seconds between two looks: more is a step, less is followed
MIN_GAP_S = 2.0  # seconds in which nothing ran, though something runs each half second


class Clock:
    """`steady` and `wall` give seconds; called, it gives even time in tenths of a ms.  `woke` is told of a gap, in
    seconds, before whoever asked for the time goes on."""

    def __init__(
        self, steady: Callable[[], float], wall: Callable[[], float], woke: Callable[[float], Any] | None = None
    ) -> None:
        self.steady, self.wall, self.woke = steady, wall, woke
        self.zero, self.base, self.last = (
            steady(),
            int(wall() * TENTHS_PER_SECOND),
            0,
        )  # a float of Unix time is too coarse to add to
        self.ran = self.zero  # when something last ran, for all that is known
        self.ahead = 0.0  # of the wall clock over even time, in seconds

    def __call__(self) -> int:
        steady = self.steady()
        gap, self.ran = steady - self.ran, steady
        self.last = max(self.last, self.base + int((steady - self.zero) * TENTHS_PER_SECOND + 0.01))
        if gap > MIN_GAP_S and self.woke:
            self.woke(gap)
        return self.last

    def look(self) -> float:
        """By how many seconds the wall clock has stepped ahead since the last look (below zero: back), 0 for not;
        call it about once a second."""
        self()
        ahead = self.wall() - self.base / TENTHS_PER_SECOND - (self.ran - self.zero)
        step, self.ahead = ahead - self.ahead, ahead
        return step if abs(step) > STEP else 0.0

    def even(self, unix: int) -> int:
        """A stamp in Unix time, in tenths of a ms, as even time; nothing that is told of lies ahead of now."""
        return min(unix - int(self.ahead * TENTHS_PER_SECOND), self())


class StartTimes:
    """Of each unit the stamp it was listed with and the even time that it was taken for: it stays, whatever the wall
    clock does later.  Guards against a step that makes every unit of the next list look started anew."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.known: dict[int, tuple[int, int]] = {}

    def start_time(self, unit: int, unix: int) -> int:
        """0 (long ago) stays 0."""
        if not unix:
            return 0
        known = self.known.get(unit)
        if known is None or known[0] != unix:
            known = self.known[unit] = unix, max(1, self.clock.even(unix))
        return known[1]

    def retain(self, units: set[int]) -> None:
        """Forgets the others."""
        for unit in [unit for unit in self.known if unit not in units]:
            del self.known[unit]


def discard_evidence(relay: Any, now: int) -> None:
    """Nothing ran for a while: what is out now was held up here, and what comes of it says nothing of builds, units
    or load. `relay` is the module's (tealsail/policy.py); `now` in tenths of a ms."""
    for invocation in relay.known.values():
        for shot in invocation.shots:
            shot.group = None  # no evidence
    relay.admission.limit_cut_at = now
    for unit in relay.units.values():
        unit.silent_since, unit.connection_failures = (
            now,
            min(unit.connection_failures, -2),
        )  # a connection that failed meanwhile is no news
