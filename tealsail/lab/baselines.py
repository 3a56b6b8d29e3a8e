"""Baselines: simple ways to choose a unit, on the same arrivals, work and units as the program has in the model.

Relays, messages and delays are not simulated, only the choice of a unit for each first try when it arrives; a chooser
that sees the exact load of all units is the bound.  The ideas are published (Mitzenmacher, The Power of Two Choices,
1996, and How Useful Is Old Information, 2000); the code is our own.
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
from .traffic import create_clients

SUBSET_SIZE = 8  # units of a relay's subset, and of the sample of "eight, seen exactly"
SHOWN_FIGURES = ("p50_ms", "p99_ms", "waste", "herd", "herd_chance", "idle", "idle_chance", "even_99th", "even_least")
Chooser = Callable[[int], Unit]  # the unit for a first try at that relay


class Choosers:
    """The choosers by name; a relay by itself knows only how many tries it has in flight at each unit (`own`)."""

    def __init__(self, units: Sequence[Unit], relays: int, seed: int) -> None:
        self.units, self.chance = units, RandomGenerator(stable_hash(seed, 17))
        self.own = [Counter() for _ in range(relays)]
        self.turn = [int(self.chance.share() * len(units)) for _ in range(relays)]
        self.subsets = [self.sample(SUBSET_SIZE) for _ in range(relays)]
        self.by_name: dict[str, Chooser] = {
            "even draws": lambda relay: self.chance.pick(units),
            "round robin": self.round_robin,
            "two, by own counts": lambda relay: self.least(self.sample(2), lambda unit: self.own[relay][unit.name]),
            "subset of eight, by own counts": lambda relay: self.least(
                self.subsets[relay], lambda unit: self.own[relay][unit.name]
            ),
            "two, seen exactly": lambda relay: self.least(self.sample(2), lambda unit: len(unit.jobs)),
            "eight, seen exactly": lambda relay: self.least(self.sample(SUBSET_SIZE), lambda unit: len(unit.jobs)),
            "all, seen exactly": lambda relay: self.least(units, lambda unit: len(unit.jobs)),
        }

    def sample(self, many: int) -> list[Unit]:
        """A random sample of different units, all of them if there are no more than `many`."""
        left, found = list(self.units), []
        while left and len(found) < many:
            found.append(left.pop(int(self.chance.share() * len(left))))
        return found

    def least(self, units: Sequence[Unit], cost: Callable[[Unit], int]) -> Unit:
        """The unit of least cost, a random one of several."""
        lowest = min(cost(unit) for unit in units)
        return self.chance.pick([unit for unit in units if cost(unit) == lowest])

    def round_robin(self, relay: int) -> Unit:
        """The next unit in turn; each relay starts at a random place."""
        self.turn[relay] += 1
        return self.units[self.turn[relay] % len(self.units)]


def play_baseline(scenario: Scenario, seed: int, name: str) -> dict[str, float]:
    """Plays a day with one chooser; returns latency quantiles of tries served, in ms, and how even the load was."""
    parts = scenario.parts()
    fleet = Fleet(parts.layout, parts.kind, parts.builds, parts.works, parts.base, seed)
    units = list(fleet.units.values())
    choosers, evenness, clients = (
        Choosers(units, scenario.fleet.relays, seed),
        Evenness(),
        create_clients(scenario, seed),
    )
    choose, one_way = choosers.by_name[name], parts.paths.near
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
                served.append(now - asked.at + 2 * one_way)
        if unit.due < NEVER and unit.due != unit.wake_at:
            count += 1
            unit.wake_at = unit.due
            heapq.heappush(heap, (unit.due, count, unit))
    evenness.close()
    p50, p99 = numpy.quantile(numpy.frombuffer(served, dtype=numpy.int64), (0.5, 0.99)) / 10
    return {"p50_ms": float(p50), "p99_ms": float(p99)} | evenness.figures()


def play_one(scenario: Scenario, seed: int, name: str) -> dict[str, float]:
    """Figures of a day with a chooser, or with the program if `name` is empty."""
    return play_baseline(scenario, seed, name) if name else play(scenario, seed)[0].figures


def table(
    scenario: Scenario, replicas: int, jobs: int, progress: Callable[[int, int], None]
) -> dict[str, dict[str, Bar]]:
    """Bars by chooser and figure, the program last; all are played on the same days."""
    names = [*Choosers([], 0, 0).by_name, ""]
    work = [
        (name, each, day_seed(each, replica))
        for replica, each in enumerate(drawn(scenario, replicas))
        for name in names
    ]
    found: dict[str, list[Any]] = {name: [] for name in names}
    with ProcessPoolExecutor(jobs or None) as pool:
        futures = [(name, pool.submit(play_one, each, seed, name)) for name, each, seed in work]
        for done, (name, future) in enumerate(futures, 1):
            found[name].append({figure: value for figure, value in future.result().items() if figure in SHOWN_FIGURES})
            progress(done, len(work))
    return {name or "the program": bars(figures) for name, figures in found.items()}
