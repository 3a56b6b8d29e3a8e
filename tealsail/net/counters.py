"""Counters of a relay's traffic and events, and one log line for each connection that ends."""

from collections import Counter
from time import monotonic

from loguru import logger

MAX_LINES_PER_SECOND = 50  # of ended connections; the others of that second are only counted


class Counters:
    """Counters by name, printed for operators; names and codes are listed in docs/on-call.md."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.second, self.lines, self.suppressed = 0, 0, 0  # the current second, its lines, those over the limit

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def keep_most(self, name: str, amount: int) -> None:
        """Keep the largest amount that was given under this name."""
        self.counts[name] = max(self.counts[name], amount)

    def connection_ended(self, side: str, code: str, peer: str, detail: str = "") -> None:
        """Count and log the end of a connection to `side` (client, unit, discovery, platform) for the reason `code`."""
        self.counts[f"{side}.ended.{code}"] += 1
        second = int(monotonic())
        if second != self.second:
            if self.suppressed:
                logger.info("ended lines suppressed: {}", self.suppressed)
            self.second, self.lines, self.suppressed = second, 0, 0
        self.lines += 1
        if self.lines > MAX_LINES_PER_SECOND:
            self.suppressed += 1
        else:
            logger.info("ended {} {} {} {}", side, code, peer, detail)

    def show(self) -> str:
        """All counters as `name=count`, sorted by name and separated by spaces."""
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
