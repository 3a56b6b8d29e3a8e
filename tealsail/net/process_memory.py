"""The memory of this process against its limit: read each half second, logged when its level changes, and counted."""

import resource
from collections.abc import Callable
from typing import Any

from loguru import logger

from ..choices.memory_budget import BYTES_PER_MB, MemoryLevel, MemoryShares, memory_level
from .connections import cancel
from .counters import Counters

CHECK_INTERVAL_S = 0.5


def resident_bytes() -> int:
    """The resident memory of this process; 0 where the system does not tell it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0


class ProcessMemory:
    """Follows the memory of a process; `read` gives the bytes that it has in use, 0 for unknown.

    `on_level` is called with each new level.
    """

    def __init__(
        self,
        reactor: Any,
        shares: MemoryShares,
        read: Callable[[], int],
        counters: Counters,
        on_level: Callable[[MemoryLevel], Any],
    ) -> None:
        self.reactor, self.shares, self.read, self.counters, self.on_level = reactor, shares, read, counters, on_level
        self.level = MemoryLevel.NORMAL
        self.timer: Any = None

    def check(self) -> None:
        """Read the memory, act on its level, and call again after CHECK_INTERVAL_S."""
        used = self.read()
        self.counters.keep_most("memory.most_mb", used // BYTES_PER_MB)
        level = memory_level(used, self.shares)
        if level != self.level:
            self.level = level
            self.counters.add(f"memory.{level.value}")
            logger.info(
                "memory level={} used={:.1f} short_above={:.1f} (MB)",
                level.value,
                used / BYTES_PER_MB,
                self.shares.short_above / BYTES_PER_MB,
            )
            self.on_level(level)
        self.timer = self.reactor.callLater(CHECK_INTERVAL_S, self.check)

    def stop(self) -> None:
        cancel(self.timer)
