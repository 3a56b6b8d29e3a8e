"""One day of everything that is not a relay: units, their list, the platform, clients, the network and faults, as one
state machine without I/O.

The driver calls `wake` at `due` and then takes what `left` returns: lines for the record, units whose outcomes and
`due` may have changed, versions of the list to publish, and commands for the relays' processes.  `rollout_changed` says
that the platform's state has to be sent, again or for the first time.  `roles` returns the relays that act for the
fleet in a role such as `keeper`; the driver reads that from the relays' logs, and it is asked when a line of the script
is carried out.
"""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple

from ..record.lines import FaultInjected, StageChanged, Vote
from .builds import Build
from .clients import ClientBehaviour, Clients, Workload
from .faults import Fault
from .fleet import Fleet, FleetLayout
from .network import MessageFault, Network, NetworkPaths
from .platform import Platform, RolloutPlan
from .random_draws import SELECTION, QuantileTable, uniform
from .unit import NEVER, Unit, UnitKind
from .unit_list import UnitList

SECOND_PARTY_SALT = 1_000_000  # sets the draws of a cut's second party apart from those of its first
HOLD_PERIOD = 400  # tenths of a ms; a held relay runs for its share of each period


class DayParts(NamedTuple):
    """What a day is made of.  Times are tenths of a ms."""

    layout: FleetLayout
    kind: UnitKind
    builds: dict[int, Build]  # by number
    base: int  # the build that runs at the start
    works: list[QuantileTable]  # by workload
    workloads: list[Workload]
    customers: list[tuple[str, float]]  # name and share
    behaviour: ClientBehaviour
    plan: RolloutPlan
    paths: NetworkPaths
    relay_zones: list[str]  # by relay
    list_delay: tuple[int, int]  # range of the relays' delays of the unit list
    offers: list[tuple[int, int]]  # time and build
    faults: list[Fault]
    span: int  # length of the day


class RelayCommand(NamedTuple):
    """A command for a relay's process.

    `what` is down (kill it), up, restart, stop (nothing of it runs), on (it runs again), rate (its clocks run `amount`
    times as fast), step (its wall clock steps by `amount` seconds) or switch (restart it from the other checkout).
    """

    relay: int
    what: str
    amount: float = 0.0


class DayOutput(NamedTuple):
    """What the driver has to carry out."""

    lines: list[Any]  # for the record
    changed_units: list[Unit]
    list_versions: list[int]  # to publish to relays
    relays: list[RelayCommand]


class Day:
    """The state machine; times are tenths of a ms."""

    def __init__(self, parts: DayParts, seed: int, clients: Clients) -> None:
        self.parts, self.seed, self.clients = parts, seed, clients
        self.fleet = Fleet(parts.layout, parts.kind, parts.builds, parts.works, parts.base, seed)
        self.roster = UnitList(*parts.list_delay, len(parts.relay_zones), seed)
        self.platform = Platform(parts.plan, parts.base)
        self.network = Network(parts.paths, parts.relay_zones, seed)
        self.lines: list[Any] = []
        self.changed_units: dict[Unit, None] = {}
        self.list_versions: list[int] = []
        self.rollout_changed = False
        self.commands: list[RelayCommand] = []
        self.roles: Callable[[str], list[int]] = lambda name: []  # relays that act in that role
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count, self.list_due = 0, NEVER  # timers set so far; when the list is published next
        for at, build in parts.offers:
            self.schedule(at, self.offer, build)
        for index, fault in enumerate(parts.faults):
            self.schedule(fault.at, self.begin_fault, fault, index)
            if fault.kind == "surge":  # streams of arrivals are created in advance
                names = [name for name, _ in parts.customers]
                self.clients.surge(
                    names.index(fault.who) if fault.who else -1, fault.times, fault.at, fault.at + fault.span
                )
        self.settle(0)
        for relay in range(len(parts.relay_zones)):  # at the start all relays know the whole list
            self.roster.agent_versions[relay] = self.roster.version
        self.list_versions, self.list_due = [], NEVER

    # time, input and output
    def schedule(self, at: int, call: Callable[..., None], *arguments: Any) -> None:
        """Sets a timer."""
        self.count += 1
        heapq.heappush(self.timers, (at, self.count, call, arguments))

    @property
    def due(self) -> int:
        """When to call `wake`."""
        return min(self.timers[0][0] if self.timers else NEVER, self.fleet.due, self.platform.due, self.list_due)

    def wake(self, now: int) -> None:
        """Does all that is due."""
        while self.timers and self.timers[0][0] <= now:
            _, _, call, arguments = heapq.heappop(self.timers)
            call(now, *arguments)
        self.fleet.wake(now)
        self.settle(now)
        if self.list_due <= now:
            self.list_due = NEVER
            self.list_versions.append(self.roster.version)

    def vote(self, now: int, relay: int, build: int, stage: int, verdict: str) -> str:
        """Takes a relay's vote; returns the platform's answer, `nothing` for none."""
        answer = self.platform.vote(now, relay, build, stage, verdict)
        self.lines.append(Vote(now, relay, build, stage, verdict, answer))
        self.settle(now)
        return answer

    def record_crash(self, now: int, unit: Unit) -> None:
        """A unit has crashed by overload, as its driver has seen."""
        self.fleet.kill(now, unit)
        self.settle(now)

    def left(self) -> DayOutput:
        """Returns the output so far and clears it.  `rollout_changed` is not part of it, since the driver keeps it
        while the platform is silent."""
        output = DayOutput(self.lines, list(self.changed_units), self.list_versions, self.commands)
        self.lines, self.changed_units, self.list_versions, self.commands = [], {}, [], []
        return output

    def settle(self, now: int) -> None:
        """Carries out the platform's orders until there are none, then lists and records what the fleet did."""
        fleet, platform = self.fleet, self.platform
        while True:
            platform.update_launch(now, platform.state.build, fleet.is_launched(platform.state.build))
            if (
                platform.state.phase == "going back"
                and not platform.orders
                and not fleet.has_build(platform.state.build)
            ):
                platform.complete_rollback(now, platform.state.build)
            platform.count(now)
            if not platform.orders:
                break
            for order, build, share in platform.orders:
                if order == "launch":
                    fleet.launch(now, build, share)
                elif order == "back":
                    fleet.roll_back(now, build, platform.base)
                else:
                    fleet.release(now, build)
            platform.orders = []
        if platform.state_changed:
            platform.state_changed, self.rollout_changed = False, True
            self.lines.append(
                StageChanged(now, platform.state.build, platform.state.stage, platform.state.phase, platform.state.cap)
            )
        for entry in fleet.changes:
            self.list_due = min(self.list_due, self.roster.change(now, entry))
        self.lines += fleet.lines
        self.changed_units.update(dict.fromkeys(fleet.ended))
        fleet.changes, fleet.lines, fleet.ended = [], [], []

    def offer(self, now: int, build: int) -> None:
        self.platform.offer(now, build)

    # faults
    def begin_fault(self, now: int, fault: Fault, index: int) -> None:
        """Carries out a line of the script; its number `index` sets its draws apart from those of other lines."""
        self.lines.append(FaultInjected(now, fault.text))
        match fault.kind:
            case "kill" | "hang" | "silence" | "slow" | "fail" | "drain":
                units = self.fleet.select(fault.many, fault.part, fault.zone, fault.build, index)
                for unit in units:
                    self.hit_unit(now, fault, unit)
                if fault.span and fault.kind in ("hang", "slow", "fail"):
                    self.schedule(now + fault.span, self.mend_units, fault, units)
            case "zone":
                for unit in self.fleet.select(0, 1.0, fault.zone, -1, index):
                    self.fleet.kill(now, unit, fault.span)
            case "list":
                self.list_due = self.roster.freeze(now, fault.span)
            case "platform silent":
                self.platform.silence(now, fault.span)
                self.schedule(now + fault.span, self.end_silence)
            case "platform busy":
                self.platform.make_busy(now, fault.span)
            case "notes":
                self.network.message_faults.append(MessageFault(fault.who, now + fault.span, fault.times, fault.far))
            case "cut":
                until = now + fault.span if fault.span else NEVER
                self.cut(now, fault, index, until)
            case "ring":  # each relay is cut off from its two neighbours by number
                relays = len(self.parts.relay_zones)
                for relay in range(relays):
                    self.network.relay_cuts[relay, (relay + 1) % relays] = now + fault.span
                    self.network.relay_cuts[(relay + 1) % relays, relay] = now + fault.span
            case _:
                for relay in self.select_relays(fault.who, fault.many, fault.part, fault.zone, index):
                    self.hit_relay(now, fault, relay)

    def select_relays(self, who: str, many: int, share: float, zone: str, salt: int) -> list[int]:
        """Relays that a fault hits: one by its number, those in a role, or `many` or a share of those of a zone ('':
        any)."""
        if who.isdigit():
            return [int(who)]
        if who:
            return self.roles(who)
        candidates = [relay for relay, own in enumerate(self.parts.relay_zones) if zone in ("", own)]
        candidates.sort(key=lambda relay: (uniform(self.seed, SELECTION, salt, relay, 2), relay))
        return sorted(candidates[: many if many else round(share * len(candidates)) or 1])

    def cut(self, now: int, fault: Fault, index: int, until: int) -> None:
        """Cuts relays off from the units of a zone, the list, the platform, or other relays (in both directions, or
        only what the first side sends)."""
        network, all_relays = self.network, range(len(self.parts.relay_zones))
        first_side = self.select_relays(fault.who, fault.many, fault.part, fault.zone, index)
        if fault.whom.startswith("zone"):
            network.zone_cuts.update({(relay, fault.whom[5:]): until for relay in first_side})
        elif fault.whom in ("list", "platform"):
            network.service_cuts.update({(relay, fault.whom): until for relay in first_side})
            self.schedule(until, self.end_service_cut)
        else:
            second_side = (
                all_relays if fault.whom == "others" else self.select_relays(*fault.party, index + SECOND_PARTY_SALT)
            )
            for relay in first_side:
                for other in second_side:
                    if other != relay and (fault.whom != "others" or other not in first_side):
                        network.relay_cuts[relay, other] = until
                        if not fault.one_way:
                            network.relay_cuts[other, relay] = until

    def hit_relay(self, now: int, fault: Fault, relay: int) -> None:
        """Carries out a fault on one relay's process."""
        match fault.kind:
            case "kill relays":
                self.commands.append(RelayCommand(relay, "down"))
                if fault.span:
                    self.schedule(now + fault.span, self.command, RelayCommand(relay, "up"))
            case "restart relays":
                self.commands.append(RelayCommand(relay, "restart"))
            case "switch relays":
                self.commands.append(RelayCommand(relay, "switch"))
            case "pause relays":
                self.commands.append(RelayCommand(relay, "stop"))
                if fault.span:
                    self.schedule(now + fault.span, self.command, RelayCommand(relay, "on"))
            case "hold relays":  # it gets a share of a core: stopped at the start of each period
                for start in range(now, now + fault.span, HOLD_PERIOD):
                    self.schedule(start, self.command, RelayCommand(relay, "stop"))
                    self.schedule(start + int((1 - fault.times) * HOLD_PERIOD), self.command, RelayCommand(relay, "on"))
            case "step clocks":
                self.commands.append(RelayCommand(relay, "step", fault.times))
            case "run clocks":
                self.commands.append(RelayCommand(relay, "rate", fault.times))
                if fault.span:
                    self.schedule(now + fault.span, self.command, RelayCommand(relay, "rate", 1.0))
            case "stale lists":
                self.roster.freeze_relay(relay, now + fault.span)
                self.schedule(now + fault.span, self.publish_list)

    def command(self, now: int, command: RelayCommand) -> None:
        self.commands.append(command)

    def publish_list(self, now: int) -> None:
        """Publishes the list now, for relays whose lists were frozen."""
        self.list_due = min(self.list_due, now)

    def end_service_cut(self, now: int) -> None:
        """Relays that were cut off receive the list and the platform's state."""
        self.rollout_changed = True
        self.publish_list(now)

    def hit_unit(self, now: int, fault: Fault, unit: Unit) -> None:
        """Carries out a fault on one unit."""
        self.changed_units[unit] = None
        match fault.kind:
            case "kill":
                self.fleet.kill(now, unit, fault.span)
            case "hang":
                unit.hang(now)
                self.fleet.record(now, unit, "hangs")
            case "slow":
                unit.set_slowdown(now, fault.times)
                self.fleet.record(now, unit, "slows")
            case "fail":
                unit.errors = fault.times
                self.fleet.record(now, unit, "fails")
            case "silence":
                self.network.silent_units[unit.name] = now + fault.span if fault.span else NEVER
                self.fleet.record(now, unit, "silent")
            case "drain":
                self.fleet.drain(now, unit)

    def mend_units(self, now: int, fault: Fault, units: list[Unit]) -> None:
        """Ends the faults hang, slow and fail of those units that are still alive."""
        for unit in units:
            if not unit.is_dead:
                unit.hang(now, False)
                unit.set_slowdown(now, 1.0)
                unit.errors = unit.kind.unsteady
                self.changed_units[unit] = None
                self.fleet.record(now, unit, "mends")

    def end_silence(self, now: int) -> None:
        """The platform sends its state again."""
        self.rollout_changed = True
