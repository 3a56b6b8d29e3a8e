"""The real state of the units: which run on which machine, launches and drains that the platform orders, crashes and
restarts.

A machine runs one unit, or two while one replaces the other.  What happens is kept in `changes` (for the unit list),
`lines` (for the record) and `ended` (units whose connections break).  The fleet has timers of its own, with `due` and
`wake`.
"""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple

from ..record.lines import UnitEvent
from . import random_draws
from .builds import Build
from .random_draws import QuantileTable, uniform
from .unit import NEVER, Unit, UnitKind
from .unit_list import Entry


class FleetLayout(NamedTuple):
    """What the fleet is like.  Times are tenths of a ms."""

    machines: int = 12
    zones: tuple[str, ...] = ("a",)
    cells: int = 1
    speeds: float = 0.1  # machines' speeds are spread evenly over 1 minus this to 1 plus this
    start: tuple[int, int] = (8_000, 20_000)  # range of the time from a launch until the unit runs
    drain: int = 20_000  # a draining unit is gone after this time
    notice: int = 30_000  # a dead unit leaves the list after this time
    beside: bool = False  # units of earlier builds stay until the release


class Machine:
    """A machine of the fleet."""

    def __init__(self, number: int, zone: str, cell: int) -> None:
        self.number, self.zone, self.cell = number, zone, cell
        self.unit: Unit | None = None  # that serves on it
        self.launching: tuple[int, int] | None = None  # build and number of a launch that has not ended


class Fleet:
    """The units of one day.  Times are tenths of a ms."""

    def __init__(
        self,
        layout: FleetLayout,
        kind: UnitKind,
        builds: dict[int, Build],
        works: list[QuantileTable],
        base: int,
        seed: int,
    ) -> None:
        self.layout, self.kind, self.builds, self.seed = layout, kind, builds, seed
        self.works = works  # distribution of the work, by workload
        self.base = base  # the build that new machines run
        self.units: dict[str, Unit] = {}  # by name, without those that are gone
        self.changes: list[Entry] = []
        self.lines: list[Any] = []
        self.ended: list[Unit] = []
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = self.names = self.launches = 0  # timers set, names given and launches begun so far
        self.machines = [
            Machine(number, layout.zones[number % len(layout.zones)], number // len(layout.zones) % layout.cells)
            for number in range(layout.machines)
        ]
        for machine in self.machines:
            self.run(0, machine, base, 0)

    # timers
    @property
    def due(self) -> int:
        """When to call `wake`."""
        return self.timers[0][0] if self.timers else NEVER

    def wake(self, now: int) -> None:
        """Runs the timers that are due."""
        while self.timers and self.timers[0][0] <= now:
            _, _, call, arguments = heapq.heappop(self.timers)
            call(now, *arguments)

    def schedule(self, at: int, call: Callable[..., None], *arguments: Any) -> None:
        """Sets a timer."""
        self.count += 1
        heapq.heappush(self.timers, (at, self.count, call, arguments))

    # orders of the platform
    def launch(self, now: int, build: int, share: float) -> None:
        """Brings `build` to that share of the machines, each after a start time of its own."""
        order = sorted(
            self.machines, key=lambda machine: uniform(self.seed, random_draws.SELECTION, build, machine.number)
        )
        for machine in order[: max(1, round(share * len(order)))]:
            if not self.is_serving(machine, build) and not (machine.launching and machine.launching[0] == build):
                self.start(now, machine, build)

    def start(self, now: int, machine: Machine, build: int) -> None:
        """Begins a launch on one machine; a launch that had not ended there is called off."""
        least, most = self.layout.start
        self.launches += 1
        machine.launching = (build, self.launches)
        wait = least + int(uniform(self.seed, random_draws.DELAYS, build, machine.number, 1) * (most - least))
        self.schedule(now + wait, self.complete_launch, machine, build, self.launches)

    def complete_launch(self, now: int, machine: Machine, build: int, launch: int) -> None:
        """The new unit runs, unless its launch has been called off; the earlier one drains, or stays beside it until
        the release."""
        if machine.launching != (build, launch):
            return
        machine.launching, earlier = None, machine.unit
        self.run(now, machine, build, now)
        if earlier and not (self.layout.beside and build > earlier.build.number):
            self.drain(now, earlier)

    def roll_back(self, now: int, build: int, base: int) -> None:
        """Takes a build off: its launches are called off, and its units are replaced by units of `base`."""
        for machine in self.machines:
            if machine.launching and machine.launching[0] == build:
                machine.launching = None
            if self.is_serving(machine, build):
                earlier = next(
                    (
                        unit
                        for unit in self.units.values()
                        if unit.machine is machine
                        and unit.build.number == base
                        and not unit.is_draining
                        and not unit.is_dead
                    ),
                    None,
                )
                if earlier:
                    self.drain(now, machine.unit)
                    machine.unit = earlier
                else:
                    self.start(now, machine, base)
        self.base = base

    def release(self, now: int, build: int) -> None:
        """Drains all units of earlier builds."""
        self.base = build
        for unit in list(self.units.values()):
            if unit.build.number < build and not unit.is_draining:
                self.drain(now, unit)

    def is_serving(self, machine: Machine, build: int) -> bool:
        """Whether the machine serves with that build."""
        return bool(machine.unit and machine.unit.build.number == build and not machine.unit.is_draining)

    def is_launched(self, build: int) -> bool:
        """Whether all launches of the build have ended."""
        return not any(machine.launching and machine.launching[0] == build for machine in self.machines)

    def has_build(self, build: int) -> bool:
        """Whether any unit of the build is alive or being launched."""
        return any(
            unit.build.number == build and not unit.is_dead for unit in self.units.values()
        ) or not self.is_launched(build)

    # units
    def run(self, now: int, machine: Machine, build: int, started: int, name: str = "", speed: float = 0.0) -> Unit:
        """Runs a new unit on the machine, under a new name unless one is given; `started` 0: before the day."""
        if not name:
            self.names += 1
            name = f"u{self.names}"
        identity = self.names * 1_000_000 + machine.number
        speed = speed or 1 + self.layout.speeds * (
            2 * uniform(self.seed, random_draws.SPEED, machine.number, build) - 1
        )
        known_build = self.builds.get(build) or Build(build)
        unit = Unit(
            name, identity, known_build, self.kind, speed, machine.zone, machine.cell, started, self.works, self.seed
        )
        unit.machine = machine
        machine.unit = self.units[name] = unit
        self.list_unit(now, unit, "open")
        self.record(now, unit, "runs")
        return unit

    def drain(self, now: int, unit: Unit) -> None:
        """Drains a unit, which is gone after the drain time of the layout."""
        if not unit.is_draining and not unit.is_dead:
            unit.drain(now)
            self.list_unit(now, unit, "draining")
            self.record(now, unit, "drains")
            self.schedule(now + self.layout.drain, self.remove, unit)

    def remove(self, now: int, unit: Unit) -> None:
        """Removes a unit for good; shots that it still holds are reset."""
        if self.units.get(unit.name) is unit:
            del self.units[unit.name]
            unit.die(now)
            self.ended.append(unit)
            if unit.machine.unit is unit:
                unit.machine.unit = None
            self.list_unit(now, unit, "gone")
            self.record(now, unit, "gone")

    def kill(self, now: int, unit: Unit, span: int = 0) -> None:
        """Ends a unit's process; after `span` (0: never) another one starts cold under its name."""
        if unit.is_dead and not unit.crashed:
            return
        unit.die(now)
        self.ended.append(unit)
        self.record(now, unit, "fell" if unit.crashed else "dies")
        self.schedule(now + self.layout.notice, self.remove_dead, unit)
        if span:
            self.schedule(now + span, self.restart, unit)

    def remove_dead(self, now: int, unit: Unit) -> None:
        """A dead unit leaves the list, unless another process has started under its name."""
        if self.units.get(unit.name) is unit:
            del self.units[unit.name]
            self.list_unit(now, unit, "gone")
            self.record(now, unit, "gone")

    def restart(self, now: int, unit: Unit) -> None:
        """Starts a killed unit again, cold, with the same name and build, unless its machine has another unit."""
        machine = unit.machine
        if machine.unit is unit:
            self.run(now, machine, unit.build.number, now, unit.name, unit.speed)

    def list_unit(self, now: int, unit: Unit, state: str) -> None:
        """A change for the unit list."""
        self.changes.append(Entry(unit.name, unit.build.number, state, unit.zone, unit.cell, 1.0, unit.started))

    def record(self, now: int, unit: Unit, event: str) -> None:
        """A line for the record."""
        self.lines.append(
            UnitEvent(
                now,
                unit.name,
                unit.build.number,
                unit.zone,
                event,
                round(unit.kind.cores * unit.speed, 6),
                unit.kind.cold_from,
                unit.kind.warm_up,
            )
        )

    def select(self, many: int, share: float, zone: str, build: int, salt: int) -> list[Unit]:
        """Units that a fault hits: `many`, or a share, of those of a zone ('': any) and a build (-1: any); `salt`
        tells the draws of one fault from those of others."""
        candidates = [
            unit
            for unit in self.units.values()
            if not unit.is_dead
            and not unit.is_draining
            and zone in ("", unit.zone)
            and build in (-1, unit.build.number)
        ]
        candidates.sort(key=lambda unit: (uniform(self.seed, random_draws.SELECTION, salt, unit.identity), unit.name))
        return candidates[: many if many else round(share * len(candidates)) or (1 if share else 0)]
