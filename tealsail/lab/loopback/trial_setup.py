"""What the coordinator and each member of a trial's process group share: the scenario, a clock, addresses, and where
lines of the record and messages go.
"""

import time
from collections.abc import Callable
from typing import Any

from ...record.lines import Line
from ...time_limits import TENTHS_PER_SECOND
from ..scenario import Scenario
from .addresses import Addresses
from .process_messages import Message


class TrialSetup:
    """One trial as seen from one process.

    `record_line` takes lines of the record, `report_violation` a sentence on what a relay did that no rule has a name
    for, `send` messages to the coordinator (process_messages.py).  All processes of a trial read one clock,
    CLOCK_MONOTONIC, as seconds of their reactors."""

    def __init__(
        self,
        reactor: Any,
        scenario: Scenario,
        seed: int,
        port: int,
        record_line: Callable[[Line], None],
        report_violation: Callable[[str], None],
        send: Callable[[Message], None],
    ) -> None:
        self.reactor, self.scenario, self.seed = reactor, scenario, seed
        self.record_line, self.report_violation, self.send = record_line, report_violation, send
        self.relays = scenario.fleet.relays
        self.addresses = Addresses(port)
        self.class_numbers = {each.name: place for place, each in enumerate(scenario.workload)}
        self.tenants = [each.name for each in scenario.customer] or [""]
        self.start, self.has_begun = (
            0.0,
            False,
        )  # the record's zero in seconds of the reactor; whether the day has begun

    def begin(self, start: float) -> None:
        """Let the day start at that time of the reactors, in seconds; called once all relays are up."""
        self.start, self.has_begun = start, True

    def now(self) -> int:
        """Time of the day in tenths of a ms; zero until it begins."""
        return max(0, int((self.reactor.seconds() - self.start) * TENTHS_PER_SECOND)) if self.has_begun else 0

    def reactor_time(self, at: int) -> float:
        """The reactor's time in seconds of a time of the day in tenths of a ms."""
        return self.start + at / TENTHS_PER_SECOND

    def seconds_until(self, at: int) -> float:
        """Seconds from now until a time of the day in tenths of a ms, 0 for a time that is past."""
        return max(0.0, self.reactor_time(at) - self.reactor.seconds())

    def unix_ms(self, at: int) -> int:
        """A time of the day (tenths of a ms) in Unix time (ms)."""
        start = self.start if self.has_begun else self.reactor.seconds()
        return int((start + at / TENTHS_PER_SECOND + time.time() - time.monotonic()) * 1000)


def use_shared_clock(reactor: Any) -> Any:
    """Set the reactor to the clock that all processes of a machine share, and return it."""
    reactor.seconds = time.monotonic
    return reactor
