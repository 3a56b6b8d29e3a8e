"""The relay's clock: monotonic time for all intervals, Unix time only where time stamps of others need it.

Monotonic time starts at the wall clock's time and goes on with a steady clock, so a step of the wall clock moves no
timer, no deadline and no evidence.  Steps are noticed and counted.  Time stamps of others (when a unit has started, in
Unix time) are converted once, by the wall clock of the moment when they are first seen.  A gap is a time in which
nothing ran: the process was stopped, or the machine slept.
"""

from collections.abc import Callable
from typing import Any

from ..time_limits import TENTHS_PER_SECOND

MIN_STEP_S = 0.2  # between two checks: a larger difference of the clocks is a step, a smaller one is followed
MIN_GAP_S = 2.0  # without a call: something runs each half second
# Without a call: what came meanwhile may have waited, if the process stood still.  Rules allow for shorter waits.
MIN_WAIT_S = 0.1
MAX_READ_TIME_S = 1.0  # after such a time, until all that came meanwhile has been read


class Clock:
    """Called, it gives monotonic time in whole tenths of a ms.

    `steady` and `wall` give seconds of the two clocks.  `on_gap` is called with the seconds of a gap before the caller
    that asked for the time goes on.
    """

    def __init__(
        self, steady: Callable[[], float], wall: Callable[[], float], on_gap: Callable[[float], Any] | None = None
    ) -> None:
        self.steady, self.wall, self.on_gap = steady, wall, on_gap
        # Whole tenths of a ms: a float of Unix time is too coarse to add to.
        self.start, self.base, self.last = steady(), int(wall() * TENTHS_PER_SECOND), 0
        self.ran = self.start  # when something last ran, as far as is known; seconds of the steady clock
        # The last time of MIN_WAIT_S or more without a call, in seconds of the steady clock.
        self.gap_began = self.gap_ended = self.start - MAX_READ_TIME_S
        self.ahead = 0.0  # seconds by which the wall clock is ahead of monotonic time

    def __call__(self) -> int:
        steady = self.steady()
        gap, self.ran = steady - self.ran, steady
        if gap >= MIN_WAIT_S:
            self.gap_began, self.gap_ended = steady - gap, steady
        self.last = max(self.last, self.base + int((steady - self.start) * TENTHS_PER_SECOND + 0.01))
        if gap > MIN_GAP_S and self.on_gap:
            self.on_gap(gap)
        return self.last

    def may_have_waited(self) -> bool:
        """Whether what is read now may have come in a time in which the process did not run."""
        return self.ran - self.gap_ended < MAX_READ_TIME_S

    def arrival(self, age: float) -> int:
        """When something came that has been here for so many seconds by the kernel's clock, and is read now.

        Without a time in which the process did not run it is read at once, so that is now.
        """
        now = self()
        waited = min(age, self.ran - self.gap_began)
        if waited < MIN_WAIT_S or self.ran - waited > self.gap_ended:
            return now
        return now - int(waited * TENTHS_PER_SECOND)

    def measure_step(self) -> float:
        """Compares the clocks: the seconds by which the wall clock has stepped ahead since the last call (below zero:
        back), 0 for no step.  Call it about once a second."""
        self()
        ahead = self.wall() - self.base / TENTHS_PER_SECOND - (self.ran - self.start)
        step, self.ahead = ahead - self.ahead, ahead
        return step if abs(step) > MIN_STEP_S else 0.0

    def from_unix(self, unix: int) -> int:
        """Converts Unix time to monotonic time, both in tenths of a ms; a time stamp ahead of now counts as now."""
        return min(unix - int(self.ahead * TENTHS_PER_SECOND), self())


class StartTimes:
    """For each unit, the start that it was first listed with (Unix time) and that start in monotonic time, which stays
    the same whatever the wall clock does later.

    Guards against a step of the wall clock that makes every unit of the next list look restarted.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.known: dict[int, tuple[int, int]] = {}  # unit -> its start in Unix and in monotonic time

    def start_time(self, unit: int, unix: int) -> int:
        """The unit's start in monotonic time, tenths of a ms; 0 (long ago) stays 0."""
        if not unix:
            return 0
        known = self.known.get(unit)
        if known is None or known[0] != unix:
            known = self.known[unit] = unix, max(1, self.clock.from_unix(unix))
        return known[1]

    def retain(self, units: set[int]) -> None:
        """Forgets all other units."""
        for unit in [unit for unit in self.known if unit not in units]:
            del self.known[unit]


def discard_evidence(relay: Any, now: int) -> None:
    """Discards evidence from before a gap: shots that were out were delayed here, so their outcomes say nothing about
    builds, units or load.  `relay` is a policy.Relay; `now` in tenths of a ms."""
    for invocation in relay.known.values():
        for shot in invocation.shots:
            shot.group = None  # the shot counts for no group
    relay.admission.limit_cut_at = now
    for unit in relay.units.values():
        # Connections that failed during the gap do not count against their unit: their count starts at -2.
        unit.silent_since, unit.connection_failures = now, min(unit.connection_failures, -2)
