"""A relay whose clocks have an offset that the script sets.

`python clock_offset.py FILE serve ...` runs the program of the current folder, with `time` reading a file that the
trial writes.  It needs no library loaded ahead and nothing of the program is changed; it imports nothing of tealsail,
so that the program of another checkout can be run with it.

FILE holds the same four doubles twice: rate, since (CLOCK_MONOTONIC), lead and step.  A steady clock shows
real + lead + (real - since) * (rate - 1); the wall clock has the same offset, and `step` in addition.  Waits of the
system itself (a time-out of epoll) do not change, so a relay with a fast clock is late for its own timers by that part.
"""

import mmap
import os
import runpy
import struct
import sys
import time

CLOCK_FILE = struct.Struct("=dddd")  # rate, since, lead and step


class ClockOffset:
    """The rate and offset of the clocks, from the file."""

    def __init__(self, path: str) -> None:
        with open(path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), 2 * CLOCK_FILE.size)
        self.monotonic = time.monotonic

    def read(self) -> tuple[float, float, float, float]:
        """Rate, since, lead and step; waits until both copies are the same, since otherwise one is being written."""
        while True:
            first, second = self.memory[: CLOCK_FILE.size], self.memory[CLOCK_FILE.size : 2 * CLOCK_FILE.size]
            if first == second:
                return CLOCK_FILE.unpack(first)

    def ahead(self) -> float:
        """Seconds that steady clocks are ahead of CLOCK_MONOTONIC."""
        rate, since, lead, _ = self.read()
        return lead + (self.monotonic() - since) * (rate - 1)


def take_over(offset: ClockOffset) -> None:
    """Replace the clocks of `time` by ones with that offset; to be called before the program is imported."""
    monotonic, wall, gettime = time.monotonic, time.time, time.clock_gettime
    time.monotonic = lambda: monotonic() + offset.ahead()
    time.time = lambda: wall() + offset.ahead() + offset.read()[3]
    time.clock_gettime = lambda clock: (
        gettime(clock) + offset.ahead() + (offset.read()[3] if clock == time.CLOCK_REALTIME else 0.0)
    )


if __name__ == "__main__":
    take_over(ClockOffset(sys.argv[1]))
    sys.path[0] = os.getcwd()
    sys.argv = ["tealsail", *sys.argv[2:]]
    runpy.run_module("tealsail", run_name="__main__", alter_sys=True)
