"""What every part of a trial knows: the day, a clock, and where to tell what happens."""

import time
from collections.abc import Callable
from typing import Any

from ...record.lines import Line
from ..scenario import Scenario
from .addresses import Addresses


class TrialSetup:
    """`tell` takes lines of the record, `wrong` what a relay did that no rule has a name for, `say` words to the director
    (process_messages.py).  All processes of a trial read one clock, CLOCK_MONOTONIC, as seconds of their reactors."""

    def __init__(
        self,
        reactor: Any,
        scenario: Scenario,
        seed: int,
        port: int,
        tell: Callable[[Line], None],
        wrong: Callable[[str], None],
        say: Callable[[Any], None],
    ) -> None:
        self.reactor, self.scenario, self.seed, self.tell, self.wrong, self.say = (
            reactor,
            scenario,
            seed,
            tell,
            wrong,
            say,
        )
        self.relays = scenario.fleet.relays
        self.addresses = Addresses(port)
        self.workloads = {each.name: place for place, each in enumerate(scenario.workload)}
        self.whose = [each.name for each in scenario.customer] or [""]
        self.zero, self.begun = 0.0, False  # the record's zero; it begins once all relays are up

    def begin(self, zero: float) -> None:
        self.zero, self.begun = zero, True

    def now(self) -> int:
        """Tenths of a ms of the day; zero until it begins."""
        return max(0, int((self.reactor.seconds() - self.zero) * 10_000)) if self.begun else 0

    def seconds(self, at: int) -> float:
        """The reactor's time of a time of the day."""
        return self.zero + at / 10_000

    def wait(self, at: int) -> float:
        """Seconds from now until a time of the day, none for what is past."""
        return max(0.0, self.seconds(at) - self.reactor.seconds())

    def unix_ms(self, at: int) -> int:
        """In the system's time."""
        zero = self.zero if self.begun else self.reactor.seconds()
        return int((zero + at / 10_000 + time.time() - time.monotonic()) * 1000)


def steady(reactor: Any) -> Any:
    """The reactor, on the clock that all processes of a machine share."""
    reactor.seconds = time.monotonic
    return reactor
