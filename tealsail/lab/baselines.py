"""What could be had: plain ways to choose a unit, on the same arrivals, work and units as the program in the model.

No relay, note or delay is played, only who gets each first try at the moment when it comes; a chooser that sees all
units exactly is the bound.  The ideas are published (Mitzenmacher, The Power of Two Choices, 1996, and How Useful Is
Old Information, 2000); the code is our own.
"""

import heapq
from array import array
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import numpy

from ..parts import RandomGenerator, stable_hash
from ..record.lines import Head, ShotAnswered, ShotStarted
from ..world.evenness import Evenness
from ..world.fleet import Fleet
from ..world.unit import NEVER, IncomingShot, Unit
from .bars import Bar, bars
from .fits import drawn
from .runs import day_seed, play
from .scenario import Scenario
from .traffic import clients_of

FEW = 8  # units of a subset, and of the look at some
SHOWN = ("p50_ms", "p99_ms", "waste", "herd", "herd_chance", "idle", "idle_chance", "even_99th", "even_least")
Chooser = Callable[[int], Unit]  # of a relay's first try


class Choosers:
    """Each by its name; what a relay knows by itself is what it has out at each unit (`own`)."""

    def __init__(self, units: Sequence[Unit], relays: int, seed: int) -> None:
        self.units, self.chance = units, RandomGenerator(stable_hash(seed, 17))
        self.own = [Counter() for _ in range(relays)]
        self.turn = [int(self.chance.share() * len(units)) for _ in range(relays)]
        self.subsets = [self.some(FEW) for _ in range(relays)]
        self.named: dict[str, Chooser] = {
            "even draws": lambda relay: self.chance.pick(units),
            "round robin": self.robin,
            "two, by own counts": lambda relay: self.least(self.some(2), lambda unit: self.own[relay][unit.name]),
            "subset of eight, by own counts": lambda relay: self.least(
                self.subsets[relay], lambda unit: self.own[relay][unit.name]
            ),
            "two, seen exactly": lambda relay: self.least(self.some(2), lambda unit: len(unit.jobs)),
            "eight, seen exactly": lambda relay: self.least(self.some(FEW), lambda unit: len(unit.jobs)),
            "all, seen exactly": lambda relay: self.least(units, lambda unit: len(unit.jobs)),
        }

    def some(self, many: int) -> list[Unit]:
        """So many different ones by chance."""
        left, found = list(self.units), []
        while left and len(found) < many:
            found.append(left.pop(int(self.chance.share() * len(left))))
        return found

    def least(self, units: Sequence[Unit], cost: Callable[[Unit], int]) -> Unit:
        """The one that costs least; of several by chance."""
        lowest = min(cost(unit) for unit in units)
        return self.chance.pick([unit for unit in units if cost(unit) == lowest])

    def robin(self, relay: int) -> Unit:
        self.turn[relay] += 1
        return self.units[self.turn[relay] % len(self.units)]


def baseline(scenario: Scenario, seed: int, name: str) -> dict[str, float]:
    """A day of one chooser: latency of what was served, in ms, and how even the load was."""
    parts = scenario.parts()
    fleet = Fleet(parts.layout, parts.kind, parts.builds, parts.works, parts.base, seed)
    units = list(fleet.units.values())
    choosers, evenness, clients = Choosers(units, scenario.fleet.relays, seed), Evenness(), clients_of(scenario, seed)
    choose, way = choosers.named[name], parts.paths.near
    evenness(Head(0, 1, "import", scenario.name, seed, {}, scenario.plain()))
    for line in fleet.lines:
        evenness(line)
    served, heap, count = array("q"), [], 0
    while True:
        due = clients.due
        if heap and (due is None or heap[0][0] <= due):
            now, _, unit = heapq.heappop(heap)
            if unit.wake_at != now:
                continue
            unit.wake_at = NEVER
            unit.wake(now)
        elif due is not None:
            arrival, now = clients.next(), due
            unit = choose(arrival.relay)
            choosers.own[arrival.relay][unit.name] += 1
            unit.take(now, IncomingShot(arrival, arrival.first, arrival.workload))
        else:
            break
        for asked, work in unit.taken:
            evenness(ShotStarted(now, asked.relay, asked.number, 0, unit.name, work))
        unit.taken.clear()
        outcomes, unit.outcomes = unit.outcomes, []
        for asked, outcome in outcomes:
            evenness(ShotAnswered(now, asked.relay, asked.number, 0, unit.name, outcome))
            choosers.own[asked.relay][unit.name] -= 1
            if outcome == "served":
                served.append(now - asked.at + 2 * way)
        if unit.due < NEVER and unit.due != unit.wake_at:
            count += 1
            unit.wake_at = unit.due
            heapq.heappush(heap, (unit.due, count, unit))
    evenness.close()
    p50, p99 = numpy.quantile(numpy.frombuffer(served, dtype=numpy.int64), (0.5, 0.99)) / 10
    return {"p50_ms": float(p50), "p99_ms": float(p99)} | evenness.figures()


def one(scenario: Scenario, seed: int, name: str) -> dict[str, float]:
    return baseline(scenario, seed, name) if name else play(scenario, seed)[0].figures


def table(
    scenario: Scenario, replicas: int, jobs: int, progress: Callable[[int, int], None]
) -> dict[str, dict[str, Bar]]:
    """By chooser and figure, the program last; all on the same days."""
    names = [*Choosers([], 0, 0).named, ""]
    work = [
        (name, each, day_seed(each, replica))
        for replica, each in enumerate(drawn(scenario, replicas))
        for name in names
    ]
    found: dict[str, list[Any]] = {name: [] for name in names}
    with ProcessPoolExecutor(jobs or None) as pool:
        waiting = [(name, pool.submit(one, each, seed, name)) for name, each, seed in work]
        for done, (name, future) in enumerate(waiting, 1):
            found[name].append({figure: value for figure, value in future.result().items() if figure in SHOWN})
            progress(done, len(work))
    return {name or "the program": bars(figures) for name, figures in found.items()}
