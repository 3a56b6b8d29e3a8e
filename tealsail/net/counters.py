"""Counts of what is taken in, sent and answered, and one log line for each connection that ends."""

from collections import Counter
from time import monotonic

from loguru import logger

LINES_A_SECOND = 50  # of ended connections; the rest of a second is only counted


class Counters:
    """What on-call staff may ask for; names and codes are listed in docs/on-call.md."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.second, self.lines, self.left_out = 0, 0, 0

    def add(self, name: str, many: int = 1) -> None:
        self.counts[name] += many

    def ended(self, side: str, code: str, peer: str, note: str = "") -> None:
        """A connection of that side has ended, for the reason that the code names."""
        self.counts[f"{side}.ended.{code}"] += 1
        second = int(monotonic())
        if second != self.second:
            if self.left_out:
                logger.info("ended lines left out: {}", self.left_out)
            self.second, self.lines, self.left_out = second, 0, 0
        self.lines += 1
        if self.lines > LINES_A_SECOND:
            self.left_out += 1
        else:
            logger.info("ended {} {} {} {}", side, code, peer, note)

    def show(self) -> str:
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
