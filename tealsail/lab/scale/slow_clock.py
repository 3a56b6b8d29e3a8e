"""Runs a Python module with its clocks at a part of their speed: `python slow_clock.py RATE ZERO MODULE ARGUMENTS...`.

A run that needs more processor time than the machine has is played slower: in every process of it a second lasts
1 / RATE true ones from ZERO of CLOCK_MONOTONIC on, so that all of them share one slow clock.  What a process waits for
is stretched as well; what it computes is not, and so takes RATE times as long on this clock as on a true one.  Nothing
of tealsail is imported here: the clocks have to be replaced before anything else is loaded.
"""

import os
import runpy
import select
import sys
import time
from typing import Any

EVEN_CLOCKS = (time.CLOCK_REALTIME, time.CLOCK_MONOTONIC, time.CLOCK_BOOTTIME)


class SlowClock:
    """Even and wall time, and how long true time is for a time on the slow clock."""

    def __init__(self, rate: float, zero: float) -> None:
        self.rate, self.zero = rate, zero
        self.true_monotonic, self.true_wall, self.true_gettime = time.monotonic, time.time, time.clock_gettime

    def monotonic(self) -> float:
        return self.zero + (self.true_monotonic() - self.zero) * self.rate

    def wall(self) -> float:
        return self.true_wall() - self.true_monotonic() + self.monotonic()

    def gettime(self, clock: int) -> float:
        """Any of the system's clocks (relays keep even time by CLOCK_BOOTTIME); those of processor time are true."""
        if clock not in EVEN_CLOCKS:
            return self.true_gettime(clock)
        return self.true_gettime(clock) - self.true_monotonic() + self.monotonic()

    def true_span(self, seconds: float) -> float:
        """A wait on the slow clock, in true seconds."""
        return seconds / self.rate


class SlowPoll:
    """The system's epoll object, with its waits stretched."""

    def __init__(self, clock: SlowClock, poll: Any) -> None:
        self.clock, self.inner = clock, poll

    def poll(self, timeout: float = -1, most: int = -1) -> Any:
        return self.inner.poll(timeout if timeout <= 0 else self.clock.true_span(timeout), most)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


def install(clock: SlowClock) -> None:
    """Before anything that keeps time is imported."""
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
