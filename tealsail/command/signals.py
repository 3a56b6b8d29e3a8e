"""Signals from the program's first line on: what comes before there is anything to act on it is kept until there is."""

import signal
from collections.abc import Callable
from typing import Any


class Signals:
    """SIGHUP and SIGUSR1 end a process that has no handler, which would be a crash of a relay that only starts."""

    KEPT = signal.SIGHUP, signal.SIGUSR1

    def __init__(self) -> None:
        self.early: dict[int, None] = {}  # each once, in the order of their coming

    def keep(self) -> None:
        for number in self.KEPT:
            signal.signal(number, lambda number, frame: self.early.setdefault(number))

    def act(self, acts: dict[int, Callable[[], Any]], later: Callable[[Callable[[], Any]], Any]) -> None:
        """From now on each has its act, which `later` hands to the loop; first of all for those that were kept."""
        for number, act in acts.items():
            signal.signal(number, lambda number, frame, act=act: later(act))
        early, self.early = self.early, {}
        for number in early:
            later(acts[number])


SIGNALS = Signals()  # the process has one of each
