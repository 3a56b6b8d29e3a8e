"""One trial: real relay processes, and the world behind sockets round them, in real time; `python -m` it.

This is the director: it drives the day, keeps the list and the platform, and does to relays what the script says.  Units,
clients and notes are parts (process_group.py): in this process for a few relays, in processes of their own for many.
"""

import heapq
import json
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from ...record.files import Writer, read
from ...record.lines import VERSION, Close as Closed, Head, Line, Shot
from ...world.day import Day
from ...world.rules import Slack
from ..figures import Result
from ..runs import Judged
from ..scenario import Scenario, convert
from ..traffic import clients_of
from .addresses import LIST, PLATFORM, Taken
from .control_plane import PING, DiscoveryService, PlatformService
from .process_fleet import ProcessFleet
from .process_group import LocalMember, ProcessMember, widen
from .process_messages import (
    AllAnswered,
    ArrivalsOver,
    BackendCrashed,
    BackendState,
    DayBegin,
    FinalReport,
    Message,
    NetworkState,
    RelayStates,
    Stop,
    Violation,
)
from .trial_setup import TrialSetup, use_shared_clock

READY, EACH = 30.0, 0.25  # seconds for relays to come up, and more for each of them
GRACE, END = 10.0, 25.0  # for answers; for the end
LEAD = 2_000  # tenths of a ms between the last relay's coming up and the day
LATE, LATE_PART = 100, 0.01  # tenths of a ms; more arrivals than this share so late: void
FEW = 24  # relays up to which all parts fit in one process
SLACK = Slack(time=1_500, shots=2, part=0.04)
NEAR = 10_000  # tenths of a ms: what is lost so near a kill is lost by it


def parts_for(relays: int) -> dict[str, int]:
    """How many processes each part gets; none: the director's own."""
    if relays <= FEW:
        return {"units": 0, "clients": 0, "notes": 0}
    return {"units": 1 + relays // 200, "clients": 1 + relays // 200, "notes": 1}


class Trial:
    """Drives a day's machines with a reactor; `problems`: what relays did that no rule has a name for."""

    def __init__(self, reactor: Any, scenario: Scenario, seed: int, folder: Path) -> None:
        self.reactor, self.scenario, self.seed, self.folder = reactor, scenario, seed, folder
        self.relays = scenario.fleet.relays
        self.taken = Taken(self.relays)
        self.lines: list[Line] = []
        self.problems: list[str] = []
        self.setup = TrialSetup(reactor, scenario, seed, self.taken.port, self.lines.append, self.wrong, self.heard)
        self.day = Day(scenario.parts(), seed, clients_of(scenario, seed))
        self.numbers: dict[str, int] = {}
        self.processes = ProcessFleet(self.setup, self.day, folder, self.number, self.relays_changed, self.all_gone)
        self.day.roles = self.processes.acting
        self.list = DiscoveryService(self.setup, self.day, self.number)
        self.platform = PlatformService(self.setup, self.day, self.vote)
        self.members: dict[str, list[Any]] = {}
        self.stands: dict[str, BackendState] = {}  # what units' parts were last told of each
        self.net: list[Any] = []  # and of the network
        self.waiting = 0  # parts whose clients have no answer yet, or that have not ended
        self.overs: list[FinalReport] = []
        self.costs: dict[str, float] = {}
        self.closed = self.over = False
        self.timer: Any = None

    def wrong(self, text: str) -> None:
        if len(self.problems) < 100:
            self.problems.append(text)

    def number(self, name: str) -> int:
        """A unit's, for its port: one that comes back under its name finds its own again."""
        return self.numbers.setdefault(name, len(self.numbers))

    def tell(self, part: str, message: Message) -> None:
        for each in self.members[part]:
            each.tell(message)

    # the course of a trial
    def start(self) -> None:
        setup, port = self.setup, self.taken.port
        setup.record_line(
            Head(0, VERSION, "trial", self.scenario.name, self.seed, self.scenario.facts(0), self.scenario.plain())
        )
        self.reactor.listenTCP(port + LIST, self.list, 512)
        self.reactor.listenTCP(port + PLATFORM, self.platform, 512)
        for part, many in parts_for(self.relays).items():
            self.members[part] = [ProcessMember(setup, part, place, many, self.folder) for place in range(many)] or [
                LocalMember(setup, part)
            ]
        self.took_up()
        for relay in range(self.relays):
            self.processes.start(relay)
        self.reactor.callLater(READY + EACH * self.relays, self.unready)

    def unready(self) -> None:
        if not self.setup.has_begun and not self.over:
            self.wrong(f"{self.relays - len(self.processes.ready())} relays were not ready in time")
            self.finish()

    def relays_changed(self) -> None:
        if self.over:
            return
        self.tell("clients", RelayStates(self.processes.ready(), self.processes.ending()))
        if not self.setup.has_begun and len(self.processes.ready()) == self.relays:
            zero = self.reactor.seconds() + LEAD / 10_000
            self.setup.begin(zero)
            for part in self.members:
                self.tell(part, DayBegin(zero))
            self.wake()
            self.ping()
            self.reactor.callLater(self.scenario.span / 10_000 + LEAD / 10_000, self.closing)

    def ping(self) -> None:
        self.platform.ping()
        if not self.over:
            self.reactor.callLater(PING, self.ping)

    def closing(self) -> None:
        """The last arrival has been: on until all is answered."""
        self.waiting, self.closed = len(self.members["clients"]), True
        self.tell("clients", ArrivalsOver())
        self.reactor.callLater(GRACE, self.finish)

    def heard(self, message: Any) -> None:
        """What a part says."""
        match message:
            case AllAnswered() if self.closed:
                self.waiting -= 1
                if not self.waiting:
                    self.finish()
            case BackendCrashed(name):
                unit = self.day.fleet.units.get(name)
                if unit and not unit.dead:
                    unit.fell = unit.told_fallen = True
                    self.day.fallen(self.setup.now(), unit)
                    self.took_up()
            case Violation(text):
                self.wrong(text)
            case FinalReport():
                self.overs.append(message)
                if len(self.overs) == sum(len(each) for each in self.members.values()):
                    self.done()

    def finish(self) -> None:
        if not self.over:
            self.over = True
            self.costs = self.processes.costs()
            self.processes.end()
            self.reactor.callLater(END, self.done)

    def all_gone(self) -> None:
        """No relay is left: the parts end."""
        for part in self.members:
            self.tell(part, Stop())

    def done(self) -> None:
        if self.reactor.running:
            self.reactor.stop()

    # the day
    def wake(self) -> None:
        if self.over:
            return
        if self.setup.now() >= self.day.due:
            self.day.wake(self.setup.now())
            self.took_up()
        else:
            self.plan()

    def plan(self) -> None:
        wait = min(self.setup.seconds_until(self.day.due), 1.0)
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(wait, self.wake)

    def vote(self, relay: int, build: int, stage: int, verdict: str) -> str:
        answer = self.day.vote(self.setup.now(), relay, build, stage, verdict)
        self.reactor.callLater(0, self.took_up)
        return answer

    def stand(self, name: str, unit: Any) -> BackendState:
        return BackendState(
            name,
            self.number(name),
            unit.mark,
            unit.build.number,
            unit.speed,
            unit.zone,
            unit.cell,
            unit.started,
            unit.hung,
            unit.slow,
            unit.errors,
            unit.draining,
            unit.dead,
        )

    def tell_units(self) -> None:
        """What has changed of units since their parts were last told, and of the network."""
        units, many = self.day.fleet.units, len(self.members["units"])
        for name, before in list(self.stands.items()):
            if name not in units and not before.dead:
                self.change(msgspec.structs.replace(before, dead=True), many)
        for name, unit in units.items():
            now = self.stand(name, unit)
            if self.stands.get(name) != now:
                self.change(now, many)
        plain = self.day.network.plain()
        if plain != self.net:
            self.net = plain
            for part in ("units", "notes"):
                self.tell(part, NetworkState(plain))

    def change(self, stand: BackendState, many: int) -> None:
        self.stands[stand.name] = stand
        self.members["units"][stand.number % many].tell(stand)

    def took_up(self) -> None:
        """Carries out what the day left to do."""
        day, setup = self.day, self.setup
        left = day.left()
        for line in left.lines:
            setup.record_line(line)
        self.tell_units()
        for desk in (self.list, self.platform):
            desk.mend()
        for version in left.rounds:
            for relay, lag in enumerate(day.roster.lag):
                self.reactor.callLater(lag / 10_000, self.list.news, relay, version)
        if day.moved and setup.now() >= day.desk.silent_until:
            day.moved = False
            self.platform.news()
        for order in left.relays:
            self.processes.carry_out(order)
        if setup.has_begun and not self.over:
            self.plan()

    # what came of it
    def record(self) -> Iterator[Line]:
        """The lines of all parts in the order of their times."""
        files = [each.record for parts in self.members.values() for each in parts if isinstance(each, ProcessMember)]
        streams = [(line for line in read(path) if not isinstance(line, (Head, Closed))) for path in sorted(files)]
        return heapq.merge(self.lines, *streams, key=lambda line: line.at)

    def late(self) -> tuple[int, float]:
        """How late the 99th of a hundred arrivals was sent, in tenths of a ms, and the part that was too late."""
        many: dict[int, int] = {}
        for over in self.overs:
            for late, count in over.late.items():
                many[late] = many.get(late, 0) + count
        total, seen = sum(many.values()), 0
        for late, count in sorted(many.items()):
            seen += count
            if seen >= 0.99 * total:
                break
        else:
            late = 0
        return late, sum(count for each, count in many.items() if each > LATE) / (total or 1)

    def lost_alive(self) -> list[str]:
        """Invocations that a relay lost which nobody had killed, in words."""
        return [
            f"relay {relay}, which nobody had killed, lost an invocation at {at / 10_000:.3f}s"
            for over in self.overs
            for relay, at in over.lost_alive
            if not any(abs(at - down) < NEAR for down in self.processes.downs.get(relay, ()))
        ]


def judge(trial: Trial, path: str) -> tuple[Result, Judged, bool]:
    """Figures and broken rules from the record, which goes to `path` if there is one; and whether the trial is void."""
    late, late_part = trial.late()
    judged = Judged(trial.scenario.plain(), SLACK)
    writer = Writer(path) if path else None
    resent, taken = {tuple(each) for over in trial.overs for each in over.resent}, set()
    for line in trial.record():
        judged(line)
        if isinstance(line, Shot) and (line.relay, line.number) in resent:
            taken.add((line.relay, line.number))  # it had read it after all, and never answered
        if writer:
            writer(line)
    if writer:
        writer.close(late)
    result = judged.result(late)
    lost = trial.lost_alive() + [
        f"relay {relay} had sent {number} on and ended without an answer" for relay, number in sorted(taken)
    ]
    if lost:
        result.breaches["lost"] = result.breaches.get("lost", 0) + len(lost)
        trial.problems += lost[:10]
    if trial.problems:
        result.breaches["problems"] = len(trial.problems)
    own = time.process_time()
    result.figures.update(trial.costs, stand_ins_cpu=own + sum(over.cpu for over in trial.overs))
    return result, judged, late_part > LATE_PART


def main() -> None:
    """Reads {scenario, seed, folder, record} from standard input, plays, and writes the result there as JSON."""
    from twisted.internet import reactor

    told = json.load(sys.stdin)
    widen()
    trial = Trial(use_shared_clock(reactor), convert(told["scenario"]), told["seed"], Path(told["folder"]))
    reactor.callWhenRunning(trial.start)
    reactor.run()
    trial.processes.abandon()
    trial.taken.free()
    result, judged, void = judge(trial, told["record"])
    sys.stdout.buffer.write(
        msgspec.json.encode(
            {
                "result": result,
                "breaches": [list(each) for each in judged.breaches],
                "problems": trial.problems,
                "void": void,
            }
        )
    )


if __name__ == "__main__":
    main()
