"""One trial: real relay processes, and the world behind sockets round them, in real time; `python -m` it."""
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ...record.files import Writer
from ...record.lines import VERSION, Head, Line
from ...world.day import Day
from ...world.unit import Unit
from ..figures import Figures
from ..scenario import Scenario, convert
from ..traffic import clients_of
from .addresses import Addresses
from .agents import PING, ListAgent, PlatformAgent
from .clients import Crowd
from .troupe import Notes, Troupe
from .units import Stalls

READY, GRACE, END = 30.0, 10.0, 20.0             # seconds for relays to come up; for answers; for the end
LEAD = 2_000                                     # tenths of a ms between the last relay's coming up and the day
LATE, LATE_PART = 100, 0.01                      # tenths of a ms; more arrivals than this share so late: void


class Theatre:
    """Drives a day's machines with a reactor; `wrong` notes what a relay did that no rule has a name for."""

    def __init__(self, reactor: Any, scenario: Scenario, seed: int, folder: Path,
                 listeners: list[Callable[[Line], Any]]) -> None:
        self.reactor, self.scenario, self.seed, self.listeners = reactor, scenario, seed, listeners
        self.relays = scenario.fleet.relays
        self.day = Day(scenario.parts(), seed, clients_of(scenario, seed))
        self.workloads = {each.name: place for place, each in enumerate(scenario.workload)}
        self.whose = [each.name for each in scenario.customer] or [""]
        self.addresses = Addresses(self.relays)
        self.zero = reactor.seconds()            # the record's zero; moved once all relays are up
        self.begun = self.over = False
        self.places: dict[int, int] = {}         # invocation -> its last shot's place
        self.problems: list[str] = []
        self.lost_alive: list[int] = []
        self.unit_numbers: dict[str, int] = {}
        self.crowd, self.stalls, self.notes = Crowd(self), Stalls(self), Notes(self)
        self.troupe = Troupe(self, folder)
        self.lists = [ListAgent(self, relay) for relay in range(self.relays)]
        self.platforms = [PlatformAgent(self, relay) for relay in range(self.relays)]
        self.timer: Any = None

    # time
    def now(self) -> int:
        """Tenths of a ms of the day; zero until it begins."""
        return int((self.reactor.seconds() - self.zero) * 10_000) if self.begun else 0

    def seconds(self, at: int) -> float:
        """The reactor's time of a time of the day."""
        return self.zero + at / 10_000

    def unix_ms(self, at: int) -> int:
        """The reactor's clock is the system's."""
        return int(self.seconds(at) * 1000)

    def tell(self, line: Line) -> None:
        for listener in self.listeners:
            listener(line)

    def wrong(self, text: str) -> None:
        if len(self.problems) < 100:
            self.problems.append(text)

    def unit_number(self, name: str) -> int:
        """For its address: one that comes back under its name finds its own again."""
        return self.unit_numbers.setdefault(name, len(self.unit_numbers))

    # the course of a trial
    def start(self) -> None:
        self.tell(Head(0, VERSION, "trial", self.scenario.name, self.seed, self.scenario.facts(0),
                       self.scenario.plain()))
        for relay in range(self.relays):
            for place, factory in ((self.addresses.list_of(relay), self.lists[relay]),
                                   (self.addresses.platform_of(relay), self.platforms[relay])):
                self.reactor.listenTCP(place.port, factory, 50, place.host)
        self.notes.open()
        self.took_up()
        self.stalls.follow()
        for relay in range(self.relays):
            self.troupe.start(relay)
        self.reactor.callLater(READY, self.unready)

    def unready(self) -> None:
        if not self.begun:
            self.wrong(f"not all relays were ready after {READY:.0f} s")
            self.finish()

    def came_up(self) -> None:
        if not self.begun and all(self.troupe.up(relay) for relay in range(self.relays)):
            self.zero, self.begun = self.reactor.seconds() + LEAD / 10_000, True
            self.crowd.begin()
            self.wake()
            self.ping()
            self.reactor.callLater(self.scenario.span / 10_000 + LEAD / 10_000, self.closing)

    def ping(self) -> None:
        for platform in self.platforms:
            platform.ping()
        if not self.over:
            self.reactor.callLater(PING, self.ping)

    def closing(self, since: float | None = None) -> None:
        """The last arrival has been: on until all is answered."""
        since = since or self.reactor.seconds()
        if self.crowd.open and self.reactor.seconds() < since + GRACE:
            self.reactor.callLater(0.05, self.closing, since)
        else:
            self.finish()

    def finish(self) -> None:
        if self.over:
            return
        self.over = True
        if not self.troupe.running:
            return self.done()
        self.troupe.end()
        self.reactor.callLater(END, self.done)

    def done(self) -> None:
        if self.reactor.running:
            self.reactor.stop()

    # the day
    def wake(self) -> None:
        if self.over:
            return
        if self.now() >= self.day.due:
            self.day.wake(self.now())
            self.took_up()
        else:
            self.plan()

    def plan(self) -> None:
        wait = min(max(0.0, self.seconds(self.day.due) - self.reactor.seconds()), 1.0)
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(wait, self.wake)

    def vote(self, relay: int, build: int, stage: int, verdict: str) -> str:
        answer = self.day.vote(self.now(), relay, build, stage, verdict)
        self.reactor.callLater(0, self.took_up)
        return answer

    def touch(self, unit: Unit) -> None:
        self.stalls.touch(unit)
        if unit.fell and not unit.told_fallen:
            unit.told_fallen = True
            self.day.fallen(self.now(), unit)
            self.took_up()

    def took_up(self) -> None:
        """Carries out what the day left to do."""
        day = self.day
        left = day.left()
        for line in left.lines:
            self.tell(line)
        for unit in left.touched:
            self.stalls.touch(unit)
        self.stalls.follow()
        self.stalls.mend()
        for version in left.rounds:
            for relay, lag in enumerate(day.roster.lag):
                self.reactor.callLater(lag / 10_000, self.lists[relay].news, version)
        if day.moved and self.now() >= day.desk.silent_until:
            day.moved = False
            for platform in self.platforms:
                platform.news()
        for relay, what in left.relays:
            {"down": self.troupe.kill, "up": self.troupe.start, "restart": self.troupe.restart}[what](relay)
        if self.begun and not self.over:
            self.plan()


def main() -> None:
    """Reads {scenario, seed, folder, record} from standard input, plays, and writes the result there as JSON."""
    from twisted.internet import reactor

    import msgspec

    from ...world.rules import Rules, Slack
    from ..runs import judged, spill_of

    told = json.load(sys.stdin)
    scenario = convert(told["scenario"])
    figures, rules, spill = Figures(), Rules(Slack(time=1_500, shots=2, part=0.04)), spill_of(scenario.plain())
    writer = Writer(told["record"]) if told["record"] else None
    theatre = Theatre(reactor, scenario, told["seed"], Path(told["folder"]),
                      [each for each in (figures, rules, spill, writer) if each])
    reactor.callWhenRunning(theatre.start)
    reactor.run()
    lateness = sorted(theatre.crowd.lateness) or [0]
    late = lateness[int(0.99 * (len(lateness) - 1))]
    if writer:
        writer.close(late)
    result = judged(figures, rules, spill, late)
    counts = result.breaches
    if theatre.lost_alive:
        counts["lost"] = counts.get("lost", 0) + len(theatre.lost_alive)
    if theatre.problems:
        counts["problems"] = len(theatre.problems)
    void = sum(each > LATE for each in lateness) > LATE_PART * len(lateness)
    sys.stdout.buffer.write(msgspec.json.encode({
        "result": result, "breaches": [list(each) for each in rules.breaches],
        "problems": theatre.problems, "void": void}))


if __name__ == "__main__":
    main()
