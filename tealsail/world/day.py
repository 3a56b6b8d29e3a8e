"""One day of the world: units, their list, the platform and what goes wrong, as one machine.

Whoever drives it calls `wake` at `due` and then takes up what it left: `lines` for the record, `touched` units whose
`said` and `due` may have changed, `rounds` (a version of the list to tell relays of), `moved` (the platform's state has
changed, or is to be told anew) and `relays` (numbers of relays that go down, come up, or restart in order).
"""
import heapq
from typing import Any, Callable, NamedTuple

from ..record.lines import Fault as FaultLine, Stage, Vote
from .builds import Build
from .clients import Clients, Habits, Workload
from .desk import Desk, Plan
from .draws import Table
from .faults import Fault
from .fleet import Fleet, Layout
from .network import Network, Paths
from .roster import Roster
from .unit import NEVER, Kind, Unit


class Parts(NamedTuple):
    """What a day is made of.  Times are tenths of a ms."""
    layout: Layout
    kind: Kind
    builds: dict[int, Build]
    base: int                                    # the build that runs at the start
    works: list[Table]                           # by workload
    workloads: list[Workload]
    customers: list[tuple[str, float]]           # name and share
    habits: Habits
    plan: Plan
    paths: Paths
    relay_zones: list[str]
    list_late: tuple[int, int]
    offers: list[tuple[int, int]]                # when, which build
    faults: list[Fault]
    span: int


class Left(NamedTuple):
    """What a day left to do for whoever drives it."""
    lines: list[Any]
    touched: list[Unit]
    rounds: list[int]
    relays: list[tuple[int, str]]


class Day:
    """All that is not a relay."""

    def __init__(self, parts: Parts, seed: int, clients: Clients) -> None:
        self.parts, self.seed, self.clients = parts, seed, clients
        self.fleet = Fleet(parts.layout, parts.kind, parts.builds, parts.works, parts.base, seed)
        self.roster = Roster(*parts.list_late, len(parts.relay_zones), seed)
        self.desk = Desk(parts.plan, parts.base)
        self.network = Network(parts.paths, parts.relay_zones, seed)
        self.lines: list[Any] = []
        self.touched: dict[Unit, None] = {}
        self.rounds: list[int] = []
        self.moved = False
        self.relays: list[tuple[int, str]] = []
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count, self.round_due = 0, NEVER
        for at, build in parts.offers:
            self.later(at, self.offer, build)
        for place, fault in enumerate(parts.faults):
            self.later(fault.at, self.begin, fault, place)
            if fault.kind == "surge":            # arrivals are drawn ahead
                names = [name for name, _ in parts.customers]
                self.clients.surge(names.index(fault.who) if fault.who else -1, fault.times, fault.at,
                                   fault.at + fault.span)
        self.settle(0)
        for relay in range(len(parts.relay_zones)):              # at the start all is known
            self.roster.told[relay] = self.roster.version
        self.rounds, self.round_due = [], NEVER

    # the machine
    def later(self, at: int, call: Callable[..., None], *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.timers, (at, self.count, call, what))

    @property
    def due(self) -> int:
        return min(self.timers[0][0] if self.timers else NEVER, self.fleet.due, self.desk.due, self.round_due)

    def wake(self, now: int) -> None:
        while self.timers and self.timers[0][0] <= now:
            _, _, call, what = heapq.heappop(self.timers)
            call(now, *what)
        self.fleet.wake(now)
        self.settle(now)
        if self.round_due <= now:
            self.round_due = NEVER
            self.rounds.append(self.roster.version)

    def vote(self, now: int, relay: int, build: int, stage: int, verdict: str) -> str:
        """A relay's vote has come in; returns the answer, `nothing` for none."""
        answer = self.desk.vote(now, relay, build, stage, verdict)
        self.lines.append(Vote(now, relay, build, stage, verdict, answer))
        self.settle(now)
        return answer

    def fallen(self, now: int, unit: Unit) -> None:
        """A unit fell over under what it was sent: the fleet learns of it."""
        self.fleet.kill(now, unit)
        self.settle(now)

    def left(self) -> Left:
        """Taken up once, all but `moved`: whether the news goes out depends on whether the platform is silent."""
        left = Left(self.lines, list(self.touched), self.rounds, self.relays)
        self.lines, self.touched, self.rounds, self.relays = [], {}, [], []
        return left

    def settle(self, now: int) -> None:
        """The platform's orders are carried out, and what the fleet did is listed, until nothing is left to do."""
        fleet, desk = self.fleet, self.desk
        while True:
            desk.running(now, desk.state.build, fleet.all_run(desk.state.build))
            if desk.state.phase == "going back" and not desk.orders and not fleet.left(desk.state.build):
                desk.gone_back(now, desk.state.build)
            desk.count(now)
            if not desk.orders:
                break
            for order, build, part in desk.orders:
                if order == "launch":
                    fleet.launch(now, build, part)
                elif order == "back":
                    fleet.back(now, build, desk.base)
                else:
                    fleet.release(now, build)
            desk.orders = []
        if desk.news:
            desk.news, self.moved = False, True
            self.lines.append(Stage(now, desk.state.build, desk.state.stage, desk.state.phase, desk.state.cap))
        for entry in fleet.changes:
            self.round_due = min(self.round_due, self.roster.change(now, entry))
        self.lines += fleet.lines
        self.touched.update(dict.fromkeys(fleet.ended))
        fleet.changes, fleet.lines, fleet.ended = [], [], []

    def offer(self, now: int, build: int) -> None:
        self.desk.offer(now, build)

    # faults
    def begin(self, now: int, fault: Fault, place: int) -> None:
        self.lines.append(FaultLine(now, fault.text))
        match fault.kind:
            case "kill" | "hang" | "silence" | "slow" | "fail" | "drain":
                units = self.fleet.chosen(fault.many, fault.part, fault.zone, fault.build, place)
                for unit in units:
                    self.strike(now, fault, unit)
                if fault.span and fault.kind in ("hang", "slow", "fail"):
                    self.later(now + fault.span, self.mend, fault, units)
            case "zone":
                for unit in self.fleet.chosen(0, 1.0, fault.zone, -1, place):
                    self.fleet.kill(now, unit, fault.span)
            case "list":
                self.round_due = self.roster.stale(now, fault.span)
            case "platform silent":
                self.desk.silence(now, fault.span)
                self.later(now + fault.span, self.heard_again)
            case "platform busy":
                self.desk.busy(now, fault.span)
            case "notes":
                self.network.lost_until, self.network.lost_part = now + fault.span, fault.times
            case "relay":
                self.relays.append((int(fault.who), "down"))
                if fault.span:
                    self.later(now + fault.span, self.up, int(fault.who))
            case "restart":
                self.relays.append((int(fault.who), "restart"))
            case "cut":
                until = now + fault.span if fault.span else NEVER
                for relay in range(len(self.parts.relay_zones)):
                    if fault.who in ("all", str(relay)):
                        self.network.cuts[relay, fault.zone] = until

    def strike(self, now: int, fault: Fault, unit: Unit) -> None:
        self.touched[unit] = None
        match fault.kind:
            case "kill":
                self.fleet.kill(now, unit, fault.span)
            case "hang":
                unit.hang(now)
                self.fleet.line(now, unit, "hangs")
            case "slow":
                unit.slow_down(now, fault.times)
                self.fleet.line(now, unit, "slows")
            case "fail":
                unit.errors = fault.times
                self.fleet.line(now, unit, "fails")
            case "silence":
                self.network.silent[unit.name] = now + fault.span if fault.span else NEVER
                self.fleet.line(now, unit, "silent")
            case "drain":
                self.fleet.drain(now, unit)

    def mend(self, now: int, fault: Fault, units: list[Unit]) -> None:
        for unit in units:
            if not unit.dead:
                unit.hang(now, False)
                unit.slow_down(now, 1.0)
                unit.errors = unit.kind.unsteady
                self.touched[unit] = None
                self.fleet.line(now, unit, "mends")

    def heard_again(self, now: int) -> None:
        self.moved = True

    def up(self, now: int, relay: int) -> None:
        self.relays.append((relay, "up"))
