"""Handling of signals from the start of the program: those that come too early are held until there are handlers."""

import signal
from collections.abc import Callable
from typing import Any


class Signals:
    """Holds early signals and delivers them once handlers are set.

    SIGHUP and SIGUSR1 end a process that has no handler for them, and a relay that is still starting would crash.
    """

    HELD = signal.SIGHUP, signal.SIGUSR1

    def __init__(self) -> None:
        self.early: dict[int, None] = {}  # signal number -> None: each once, in the order of arrival

    def hold_early(self) -> None:
        """Holds the signals of HELD from now on."""
        for number in self.HELD:
            signal.signal(number, lambda number, frame: self.early.setdefault(number))

    def set_handlers(
        self, handlers: dict[int, Callable[[], Any]], schedule: Callable[[Callable[[], Any]], Any]
    ) -> None:
        """Sets a handler for each signal, and calls those of the signals held so far.

        `handlers` maps signal numbers to handlers, among them all of HELD.  `schedule` has the event loop call one, and
        must be callable from a signal handler.
        """
        for number, handler in handlers.items():
            signal.signal(number, lambda number, frame, handler=handler: schedule(handler))
        early, self.early = self.early, {}
        for number in early:
            schedule(handlers[number])


SIGNALS = Signals()  # one for the process
