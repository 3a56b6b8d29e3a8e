"""Runs a Python module on slow clocks: `python slow_clock.py RATE START MODULE ARGUMENTS...`.

A run that needs more processor time than the machine has is played slower: in each of its processes a second lasts
1 / RATE true ones from START of CLOCK_MONOTONIC on, so that all of them share one slow clock.  A process's waits are
stretched in the same way; its computing is not, and so takes RATE times as long by this clock as by a true one.
Nothing of tealsail is imported here: the clocks have to be replaced before anything else is loaded.
"""

import os
import runpy
import select
import sys
import time
from typing import Any

SLOWED_CLOCKS = (time.CLOCK_REALTIME, time.CLOCK_MONOTONIC, time.CLOCK_BOOTTIME)


class SlowClock:
    """Steady and wall time of the slow clock, in seconds.

    `rate`: its seconds in a true one; `start`: the time of CLOCK_MONOTONIC at which both show the same."""

    def __init__(self, rate: float, start: float) -> None:
        self.rate, self.start = rate, start
        self.true_monotonic, self.true_wall, self.true_gettime = time.monotonic, time.time, time.clock_gettime

    def monotonic(self) -> float:
        return self.start + (self.true_monotonic() - self.start) * self.rate

    def wall(self) -> float:
        return self.true_wall() - self.true_monotonic() + self.monotonic()

    def gettime(self, clock: int) -> float:
        """The time of any system clock; relays take steady time from CLOCK_BOOTTIME.  Processor time stays true."""
        if clock not in SLOWED_CLOCKS:
            return self.true_gettime(clock)
        return self.true_gettime(clock) - self.true_monotonic() + self.monotonic()

    def true_seconds(self, seconds: float) -> float:
        """How many true seconds a wait of `seconds` by the slow clock lasts."""
        return seconds / self.rate


class SlowPoll:
    """The system's epoll object, with its waits stretched."""

    def __init__(self, clock: SlowClock, inner: Any) -> None:
        self.clock, self.inner = clock, inner

    def poll(self, timeout: float = -1, maxevents: int = -1) -> Any:
        return self.inner.poll(timeout if timeout <= 0 else self.clock.true_seconds(timeout), maxevents)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


def install(clock: SlowClock) -> None:
    """Replace the system's clocks; to be called before anything that keeps time is imported."""
    true_epoll = select.epoll
    time.monotonic = clock.monotonic
    time.time = clock.wall
    time.clock_gettime = clock.gettime
    select.epoll = lambda *arguments: SlowPoll(clock, true_epoll(*arguments))


if __name__ == "__main__":
    install(SlowClock(float(sys.argv[1]), float(sys.argv[2])))
    sys.path[0] = os.getcwd()
    sys.argv = sys.argv[3:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
