"""The clock of the program, and when its process began; imported before anything that is slow to import."""

import time
from collections.abc import Callable


def steady_clock() -> Callable[[], float]:
    """Returns a clock in seconds that never steps.

    Where the system has CLOCK_BOOTTIME it is that one, which goes on while the machine is suspended.
    """
    try:
        boot_clock = time.CLOCK_BOOTTIME
        time.clock_gettime(boot_clock)
    except (AttributeError, OSError):
        return time.monotonic
    return lambda: time.clock_gettime(boot_clock)


PROCESS_STARTED_S = steady_clock()()  # in seconds of that clock
