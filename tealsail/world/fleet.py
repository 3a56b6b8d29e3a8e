"""The units' truth: which run where, launches and drains that the platform orders, deaths and returns.

A place holds one unit, or two while one replaces the other.  What happens is kept in `changes` (for the list), `lines`
(for the record) and `ended` (units whose connections break); timers are its own, `due` and `wake`.
"""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple

from ..record.lines import Unit as UnitLine
from . import draws
from .builds import Build
from .random_draws import Table, share
from .unit import NEVER, Kind, Unit
from .unit_list import Entry


class Layout(NamedTuple):
    """What the fleet is like.  Times are tenths of a ms."""

    places: int = 12
    zones: tuple[str, ...] = ("a",)
    cells: int = 1
    speeds: float = 0.1  # machines' speeds spread evenly over 1 by so much, both ways
    start: tuple[int, int] = (8_000, 20_000)  # from a launch until it runs
    drain: int = 20_000  # a draining one is gone after so long
    notice: int = 30_000  # a dead one leaves the list after so long
    beside: bool = False  # earlier units stay until the release


class Place:
    """Where one unit of the fleet runs."""

    def __init__(self, number: int, zone: str, cell: int) -> None:
        self.number, self.zone, self.cell = number, zone, cell
        self.unit: Unit | None = None  # what serves here
        self.coming: tuple[int, int] | None = None  # build and ticket of a launch


class Fleet:
    """Runs the units of one day."""

    def __init__(
        self, layout: Layout, kind: Kind, builds: dict[int, Build], works: list[Table], base: int, seed: int
    ) -> None:
        self.layout, self.kind, self.builds, self.works, self.seed = layout, kind, builds, works, seed
        self.base = base  # the build that new places run
        self.units: dict[str, Unit] = {}  # all that run or drain, by name
        self.changes: list[Entry] = []
        self.lines: list[Any] = []
        self.ended: list[Unit] = []
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = self.names = self.tickets = 0
        self.places = [
            Place(number, layout.zones[number % len(layout.zones)], number // len(layout.zones) % layout.cells)
            for number in range(layout.places)
        ]
        for place in self.places:
            self.run(0, place, base, 0)

    # the machine
    @property
    def due(self) -> int:
        return self.timers[0][0] if self.timers else NEVER

    def wake(self, now: int) -> None:
        while self.timers and self.timers[0][0] <= now:
            _, _, call, what = heapq.heappop(self.timers)
            call(now, *what)

    def later(self, at: int, call: Callable[..., None], *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.timers, (at, self.count, call, what))

    # orders of the platform
    def launch(self, now: int, build: int, part: float) -> None:
        """Brings `build` to that part of the places; machines start at times of their own."""
        order = sorted(self.places, key=lambda place: share(self.seed, draws.PICKS, build, place.number))
        for place in order[: max(1, round(part * len(order)))]:
            if not self.runs(place, build) and not (place.coming and place.coming[0] == build):
                self.start(now, place, build)

    def start(self, now: int, place: Place, build: int) -> None:
        least, most = self.layout.start
        self.tickets += 1
        place.coming = (build, self.tickets)
        wait = least + int(share(self.seed, draws.LIST, build, place.number, 1) * (most - least))
        self.later(now + wait, self.started, place, build, self.tickets)

    def started(self, now: int, place: Place, build: int, ticket: int) -> None:
        if place.coming != (build, ticket):  # called back since
            return
        place.coming, earlier = None, place.unit
        self.run(now, place, build, now)
        if earlier and not (self.layout.beside and build > earlier.build.number):
            self.drain(now, earlier)  # else it stays until the release, beside this one

    def back(self, now: int, build: int, base: int) -> None:
        """Takes a build off: its launches are called off, and what runs it is replaced by the earlier build."""
        for place in self.places:
            if place.coming and place.coming[0] == build:
                place.coming = None
            if self.runs(place, build):
                stays = next(
                    (
                        unit
                        for unit in self.units.values()
                        if unit.place is place and unit.build.number == base and not unit.draining and not unit.dead
                    ),
                    None,
                )
                if stays:
                    self.drain(now, place.unit)
                    place.unit = stays
                else:
                    self.start(now, place, base)
        self.base = base

    def release(self, now: int, build: int) -> None:
        """What earlier builds still run drains."""
        self.base = build
        for unit in list(self.units.values()):
            if unit.build.number < build and not unit.draining:
                self.drain(now, unit)

    def runs(self, place: Place, build: int) -> bool:
        return bool(place.unit and place.unit.build.number == build and not place.unit.draining)

    def all_run(self, build: int) -> bool:
        """Whether no launch of it is out."""
        return not any(place.coming and place.coming[0] == build for place in self.places)

    def left(self, build: int) -> bool:
        """Whether any unit of it is there or coming."""
        return any(unit.build.number == build and not unit.dead for unit in self.units.values()) or not self.all_run(
            build
        )

    # units
    def run(self, now: int, place: Place, build: int, started: int, name: str = "", speed: float = 0.0) -> Unit:
        """A machine runs at that place from now on; `started` 0: long ago."""
        if not name:
            self.names += 1
            name = f"u{self.names}"
        mark = self.names * 1_000_000 + place.number
        speed = speed or 1 + self.layout.speeds * (2 * share(self.seed, draws.SPEED, place.number, build) - 1)
        kept = self.builds.get(build) or Build(build)
        unit = Unit(name, mark, kept, self.kind, speed, place.zone, place.cell, started, self.works, self.seed)
        unit.place = place
        place.unit = self.units[name] = unit
        self.tell(now, unit, "open")
        self.line(now, unit, "runs")
        return unit

    def drain(self, now: int, unit: Unit) -> None:
        if not unit.draining and not unit.dead:
            unit.drain(now)
            self.tell(now, unit, "draining")
            self.line(now, unit, "drains")
            self.later(now + self.layout.drain, self.gone, unit)

    def gone(self, now: int, unit: Unit) -> None:
        """It leaves the fleet for good; what it still holds is reset."""
        if self.units.get(unit.name) is unit:
            del self.units[unit.name]
            unit.die(now)
            self.ended.append(unit)
            if unit.place.unit is unit:
                unit.place.unit = None
            self.tell(now, unit, "gone")
            self.line(now, unit, "gone")

    def kill(self, now: int, unit: Unit, span: int = 0) -> None:
        """Its process ends, and after `span` (0: never) another one comes up cold under its name."""
        if unit.dead and not unit.fell:
            return
        unit.die(now)
        self.ended.append(unit)
        self.line(now, unit, "fell" if unit.fell else "dies")
        self.later(now + self.layout.notice, self.noticed, unit)
        if span:
            self.later(now + span, self.returns, unit)

    def noticed(self, now: int, unit: Unit) -> None:
        if self.units.get(unit.name) is unit:  # else it is back already
            del self.units[unit.name]
            self.tell(now, unit, "gone")
            self.line(now, unit, "gone")

    def returns(self, now: int, unit: Unit) -> None:
        """Cold, with the same name, and the build of its place as it is now."""
        place = unit.place
        if place.unit is unit:
            self.run(now, place, unit.build.number, now, unit.name, unit.speed)

    def tell(self, now: int, unit: Unit, state: str) -> None:
        self.changes.append(Entry(unit.name, unit.build.number, state, unit.zone, unit.cell, 1.0, unit.started))

    def line(self, now: int, unit: Unit, event: str) -> None:
        self.lines.append(
            UnitLine(
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

    def chosen(self, many: int, part: float, zone: str, build: int, salt: int) -> list[Unit]:
        """Units that a fault hits: so many, or that part, of a zone ('': any) and a build (-1: any)."""
        fit = [
            unit
            for unit in self.units.values()
            if not unit.dead and not unit.draining and zone in ("", unit.zone) and build in (-1, unit.build.number)
        ]
        fit.sort(key=lambda unit: (share(self.seed, draws.PICKS, salt, unit.mark), unit.name))
        return fit[: many if many else round(part * len(fit)) or (1 if part else 0)]
