"""One day of the world: units, their list, the platform and what goes wrong, as one machine.

Whoever drives it calls `wake` at `due` and then takes up what it left: `lines` for the record, `touched` units whose
`said` and `due` may have changed, `rounds` (a version of the list to tell relays of), `moved` (the platform's state has
changed, or is to be told anew) and `relays` (what is done to processes of relays).  Who acts for the fleet (`the
keeper`) is asked of `roles` when a line of the script is carried out: the driver reads it from what relays log.
"""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple

from ..record.lines import Fault as FaultLine, StageChanged, Vote
from .builds import Build
from .clients import Clients, Habits, Workload
from .faults import Fault
from .fleet import Fleet, Layout
from .network import Network, Paths, Trouble
from .platform import Desk, Plan
from .random_draws import PICKS, Table, share
from .unit import NEVER, Kind, Unit
from .unit_list import Roster

OTHER = 1_000_000  # draws of a line's second party, apart from its first's
TURN = 400  # tenths of a ms: of a relay that has a share of a core


class Parts(NamedTuple):
    """What a day is made of.  Times are tenths of a ms."""

    layout: Layout
    kind: Kind
    builds: dict[int, Build]
    base: int  # the build that runs at the start
    works: list[Table]  # by workload
    workloads: list[Workload]
    customers: list[tuple[str, float]]  # name and share
    habits: Habits
    plan: Plan
    paths: Paths
    relay_zones: list[str]
    list_late: tuple[int, int]
    offers: list[tuple[int, int]]  # when, which build
    faults: list[Fault]
    span: int


class Order(NamedTuple):
    """To be done to a relay's process: down (killed), up, restart, stop (nothing of it runs), on (it runs again),
    rate (its clocks run so many times as fast), step (its wall clock steps by so many seconds), switch (restart, from
    the other checkout)."""

    relay: int
    what: str
    amount: float = 0.0


class Left(NamedTuple):
    """What a day left to do for whoever drives it."""

    lines: list[Any]
    touched: list[Unit]
    rounds: list[int]
    relays: list[Order]


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
        self.relays: list[Order] = []
        self.roles: Callable[[str], list[int]] = lambda name: []  # who acts for the fleet as that
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count, self.round_due = 0, NEVER
        for at, build in parts.offers:
            self.later(at, self.offer, build)
        for place, fault in enumerate(parts.faults):
            self.later(fault.at, self.begin, fault, place)
            if fault.kind == "surge":  # arrivals are drawn ahead
                names = [name for name, _ in parts.customers]
                self.clients.surge(
                    names.index(fault.who) if fault.who else -1, fault.times, fault.at, fault.at + fault.span
                )
        self.settle(0)
        for relay in range(len(parts.relay_zones)):  # at the start all is known
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
            self.lines.append(StageChanged(now, desk.state.build, desk.state.stage, desk.state.phase, desk.state.cap))
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
                self.network.troubles.append(Trouble(fault.who, now + fault.span, fault.times, fault.far))
            case "cut":
                until = now + fault.span if fault.span else NEVER
                self.cut(now, fault, place, until)
            case "ring":
                many = len(self.parts.relay_zones)
                for relay in range(many):
                    self.network.apart[relay, (relay + 1) % many] = now + fault.span
                    self.network.apart[(relay + 1) % many, relay] = now + fault.span
            case _:
                for relay in self.chosen(fault.who, fault.many, fault.part, fault.zone, place):
                    self.befall(now, fault, relay)

    def chosen(self, who: str, many: int, part: float, zone: str, salt: int) -> list[int]:
        """Relays that a fault hits: one by its number, by what it does for the fleet, so many, or that part of a
        zone's."""
        if who.isdigit():
            return [int(who)]
        if who:
            return self.roles(who)
        fit = [relay for relay, own in enumerate(self.parts.relay_zones) if zone in ("", own)]
        fit.sort(key=lambda relay: (share(self.seed, PICKS, salt, relay, 2), relay))
        return sorted(fit[: many if many else round(part * len(fit)) or 1])

    def cut(self, now: int, fault: Fault, place: int, until: int) -> None:
        """Relays from a zone's units, the list, the platform, or other relays (both ways, or what the first send)."""
        network, all_of_them = self.network, range(len(self.parts.relay_zones))
        ours = self.chosen(fault.who, fault.many, fault.part, fault.zone, place)
        if fault.whom.startswith("zone"):
            network.cuts.update({(relay, fault.whom[5:]): until for relay in ours})
        elif fault.whom in ("list", "platform"):
            network.away.update({(relay, fault.whom): until for relay in ours})
            self.later(until, self.reached_again)
        else:
            theirs = all_of_them if fault.whom == "others" else self.chosen(*fault.party, place + OTHER)
            for one in ours:
                for other in theirs:
                    if other != one and (fault.whom != "others" or other not in ours):
                        network.apart[one, other] = until
                        if not fault.one_way:
                            network.apart[other, one] = until

    def befall(self, now: int, fault: Fault, relay: int) -> None:
        """What is done to one relay's process."""
        match fault.kind:
            case "kill relays":
                self.relays.append(Order(relay, "down"))
                if fault.span:
                    self.later(now + fault.span, self.order, Order(relay, "up"))
            case "restart relays":
                self.relays.append(Order(relay, "restart"))
            case "switch relays":
                self.relays.append(Order(relay, "switch"))
            case "pause relays":
                self.relays.append(Order(relay, "stop"))
                if fault.span:
                    self.later(now + fault.span, self.order, Order(relay, "on"))
            case "hold relays":  # a share of a core: stopped for the rest of each turn
                for turn in range(now, now + fault.span, TURN):
                    self.later(turn, self.order, Order(relay, "stop"))
                    self.later(turn + int((1 - fault.times) * TURN), self.order, Order(relay, "on"))
            case "step clocks":
                self.relays.append(Order(relay, "step", fault.times))
            case "run clocks":
                self.relays.append(Order(relay, "rate", fault.times))
                if fault.span:
                    self.later(now + fault.span, self.order, Order(relay, "rate", 1.0))
            case "stale lists":
                self.roster.stale_at(relay, now + fault.span)
                self.later(now + fault.span, self.list_again)

    def order(self, now: int, order: Order) -> None:
        self.relays.append(order)

    def list_again(self, now: int) -> None:
        """Lists that stood still are told of what is new."""
        self.round_due = min(self.round_due, now)

    def reached_again(self, now: int) -> None:
        """Relays that were cut off hear of the list and of the platform anew."""
        self.moved = True
        self.list_again(now)

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
