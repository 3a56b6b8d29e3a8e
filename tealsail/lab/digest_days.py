"""Load digests against other ways to choose a backend, on the same arrivals, work and backends.

Plain choosers as in baselines.py: no request goes through the program, but the digests are the real machine
(tealsail/choices/load_digests.py), with its messages late, lost, cut or held up at a stopped owner.
All of it is simulated.
"""

import heapq
from array import array
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

import numpy

from ..choices.load_digests import LoadDigests
from ..parts import RandomGenerator, stable_hash
from ..record.lines import Head, ShotAnswered, ShotStarted
from ..world.evenness import Evenness
from ..world.fleet import Fleet
from ..world.unit import NEVER, IncomingShot, Unit
from .bars import Bar, Difference, bars, differences
from .runs import day_seed
from .scenario import Scenario
from .traffic import clients_of

SECOND = 10_000  # tenths of a ms
BEAT = SECOND // 2  # between a relay's beats
FEW = 4  # units in use, as the program begins (tealsail/policy.py, Choice)
OFFERED = 8  # units offered to the asked tracker
SUBSET = 32  # units of a fixed subset of each relay
WAITING = 256  # messages that wait at a stopped owner; more are lost
BEGINS = 4 * SECOND  # of a trouble
SPANS = {"none": 0, "lost": 8 * SECOND, "cut": 8 * SECOND, "stopped": 5 * SECOND}
ASKED = "the asked tracker"
NAMES = ("even draws", "two, seen exactly", ASKED, "few, no messages", "subset, no messages", "subset, digests")
AGAINST, OURS = NAMES[-2:]
SHOWN = ("p50_ms", "p99_ms", "waste", "herd", "herd_chance", "even_99th", "even_least", "bytes_s", "most_bytes_s")


class Trouble(NamedTuple):
    """What goes wrong with messages from `start` to `end`, in tenths of a ms."""

    kind: str = ""  # lost, cut (between halves of the relays), stopped
    start: int = 0
    end: int = 0
    stopped: int = 0  # relays whose messages wait

    @classmethod
    def named(cls, kind: str, relays: int) -> "Trouble":
        """The standard ones: all messages lost or halves cut for 8 s, or a fifth of the owners stopped for 5 s."""
        if kind not in SPANS:
            raise ValueError(f"--trouble={kind}: not one of {', '.join(SPANS)}")
        return cls(kind, BEGINS, BEGINS + SPANS[kind], relays // 5)

    def acts(self, now: int) -> bool:
        return self.start <= now < self.end


class Known:
    """What a relay knows of a unit by itself, as the program does: attempts out, and answers' times over the usual."""

    __slots__ = ("out", "pace")

    def __init__(self) -> None:
        self.out, self.pace = 0, 1.0


CALM = Trouble()


class RelayStandIn:
    """One relay: its own order of units, what it knows, and its digest machine if it has one."""

    def __init__(self, number: int, units: Sequence[Unit], seed: int, relays: int, has_digests: bool) -> None:
        self.number, self.chance = number, RandomGenerator(stable_hash(seed, number, 23))
        self.order = (
            sorted(units, key=lambda unit: stable_hash(number, unit.identity))
            if len(units) < 1_000
            else self.some(units)
        )
        self.known: dict[str, Known] = {}
        self.few = float(FEW)
        self.usual = 0.0  # ms that an answer takes
        self.digests = (
            LoadDigests(number, relays, 0, RandomGenerator(stable_hash(seed, number, 29))) if has_digests else None
        )
        self.bytes = 0

    def some(self, units: Sequence[Unit]) -> list[Unit]:
        """The first of its order, drawn: to sort 12,000 for each of 1,300 relays takes too long."""
        found: dict[str, Unit] = {}
        while len(found) < 64:
            unit = self.chance.pick(units)
            found[unit.name] = unit
        return list(found.values())

    def of(self, unit: Unit) -> Known:
        known = self.known.get(unit.name)
        if known is None:
            known = self.known[unit.name] = Known()
        return known

    def beat(self) -> None:
        self.few = max(FEW, 0.99 * self.few)
        for known in self.known.values():
            known.pace += 0.03 * (1 - known.pace)

    def near(self) -> list[Unit]:
        """The units in use: one more whenever all are busy."""
        near = self.order[: int(self.few)]
        if all(self.of(unit).out for unit in near):
            self.few = min(len(self.order), self.few + 1)
            near = self.order[: int(self.few)]
        return near

    def subset(self) -> list[Unit]:
        return self.order[:SUBSET]

    def sent(self, unit: Unit, now: int) -> None:
        self.of(unit).out += 1
        if self.digests:
            self.digests.sent(unit.identity, now)

    def ended(self, unit: Unit, now: int, latency: int) -> None:
        known = self.of(unit)
        known.out -= 1
        self.usual += 0.05 * (latency - self.usual) if self.usual else latency
        known.pace += 0.1 * (min(8.0, latency / self.usual) - known.pace)
        if self.digests:
            self.digests.ended(unit.identity, now)


class Tracker:
    """The asked tracker, plain: told of each attempt after a message's time, asked before each."""

    def __init__(self) -> None:
        self.out: Counter[str] = Counter()

    def least(self, units: Sequence[Unit], chance: RandomGenerator) -> Unit:
        lowest = min(self.out[unit.name] for unit in units)
        return chance.pick([unit for unit in units if self.out[unit.name] == lowest])


class Day:
    """A day of one chooser."""

    def __init__(self, scenario: Scenario, seed: int, name: str, trouble: Trouble = CALM) -> None:
        parts = scenario.parts()
        self.scenario, self.name, self.trouble = scenario, name, trouble
        self.fleet = Fleet(parts.layout, parts.kind, parts.builds, parts.works, parts.base, seed)
        self.units = list(self.fleet.units.values())
        self.way, self.chance = parts.paths.near, RandomGenerator(stable_hash(seed, 31))
        least, most = scenario.network.notes_ms
        self.note_least, self.note_span = int(least * 10), int((most - least) * 10)
        count = scenario.fleet.relays
        has_digests = name == "subset, digests"
        self.relays = [RelayStandIn(each, self.units, seed, count, has_digests) for each in range(count)]
        self.tracker, self.clients, self.evenness = Tracker(), clients_of(scenario, seed), Evenness()
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = self.now = 0
        self.held: list[tuple[RelayStandIn, int, bytes]] = []
        self.began: dict[tuple[int, int], int] = {}
        self.served, self.ways = array("q"), array("q")
        self.choosers: dict[str, Callable[[RelayStandIn], Unit]] = {
            "even draws": lambda relay: self.chance.pick(self.units),
            "two, seen exactly": lambda relay: self.least_of_two(self.units, lambda unit: len(unit.jobs)),
            "few, no messages": lambda relay: self.least_of_two(relay.near(), lambda unit: self.own_cost(relay, unit)),
            "subset, no messages": lambda relay: min(relay.subset(), key=lambda unit: self.own_cost(relay, unit)),
            "subset, digests": lambda relay: min(relay.subset(), key=lambda unit: self.cost(relay, unit)),
        }

    # choices
    def least_of_two(self, units: Sequence[Unit], cost: Callable[[Unit], float]) -> Unit:
        if len(units) == 1:
            return units[0]
        first = int(self.chance.share() * len(units))
        second = int(self.chance.share() * (len(units) - 1))
        one, two = units[first], units[second + (second >= first)]
        return one if cost(one) <= cost(two) else two

    def own_cost(self, relay: RelayStandIn, unit: Unit) -> float:
        known = relay.of(unit)
        return (known.out + self.chance.share()) * known.pace

    def cost(self, relay: RelayStandIn, unit: Unit) -> float:
        known = relay.of(unit)
        return (known.out + relay.digests.others(unit.identity, self.now) + self.chance.share()) * known.pace

    # time
    def later(self, at: int, call: Callable[..., None], *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, call, what))

    def note(self) -> int:
        """When a message that goes out now comes in."""
        return self.now + self.note_least + int(self.chance.share() * self.note_span)

    def play(self) -> dict[str, float]:
        self.evenness(Head(0, 1, "import", self.scenario.name, 0, {}, self.scenario.plain()))
        for line in self.fleet.lines:
            self.evenness(line)
        for relay in self.relays:
            self.later(int(self.chance.share() * BEAT), self.beat, relay)
            if relay.digests:
                self.later(relay.digests.due, self.tick, relay)
        if self.trouble.kind == "stopped":
            self.later(self.trouble.end, self.release)
        clients, heap = self.clients, self.heap
        while True:
            due = clients.due
            if heap and (due is None or heap[0][0] <= due):
                self.now, _, call, what = heapq.heappop(heap)
                call(*what)
            elif due is not None:
                self.now = due
                self.arrive(clients.next())
            if due is None and not self.began:
                return self.figures()

    def beat(self, relay: RelayStandIn) -> None:
        relay.beat()
        self.later(self.now + BEAT, self.beat, relay)

    # requests
    def arrive(self, arrival: Any) -> None:
        relay = self.relays[arrival.relay]
        self.began[arrival.relay, arrival.number] = self.now
        if self.name == ASKED:
            self.later(self.note(), self.ask, relay, arrival)
            return
        self.attempt(relay, arrival, self.choosers[self.name](relay))

    def ask(self, relay: RelayStandIn, arrival: Any) -> None:
        offered = relay.near()
        if len(offered) < OFFERED:
            offered = relay.order[:OFFERED]
        unit = self.tracker.least(offered, self.chance)
        self.tracker.out[unit.name] += 1
        self.later(self.note(), self.attempt, relay, arrival, unit)

    def attempt(self, relay: RelayStandIn, arrival: Any, unit: Unit) -> None:
        relay.sent(unit, self.now)
        unit.take(self.now, IncomingShot((arrival, self.now), arrival.first, arrival.workload))
        self.after(unit)

    def wake(self, unit: Unit, at: int) -> None:
        if unit.wake_at == at:
            unit.wake_at = NEVER
            unit.wake(self.now)
            self.after(unit)

    def after(self, unit: Unit) -> None:
        for (arrival, _), work in unit.taken:
            self.evenness(ShotStarted(self.now, arrival.relay, arrival.number, 0, unit.name, work))
        unit.taken.clear()
        outcomes, unit.outcomes = unit.outcomes, []
        for (arrival, sent), outcome in outcomes:
            self.evenness(ShotAnswered(self.now, arrival.relay, arrival.number, 0, unit.name, outcome))
            relay = self.relays[arrival.relay]
            relay.ended(unit, self.now, self.now - sent)
            began = self.began.pop((arrival.relay, arrival.number))
            if outcome == "served":
                self.served.append(self.now - began + 2 * self.way)
            if self.name == ASKED:
                self.later(self.note(), self.told, unit)
        if unit.due < NEVER and unit.due != unit.wake_at:
            unit.wake_at = unit.due
            self.later(unit.due, self.wake, unit, unit.due)

    def told(self, unit: Unit) -> None:
        self.tracker.out[unit.name] -= 1

    # digests
    def tick(self, relay: RelayStandIn) -> None:
        if self.is_stopped(relay.number):
            self.later(self.trouble.end, self.tick, relay)
            return
        self.send(relay, relay.digests.tick(self.now))
        self.later(max(self.now + 1, relay.digests.due), self.tick, relay)

    def is_stopped(self, number: int) -> bool:
        return self.trouble.kind == "stopped" and number < self.trouble.stopped and self.trouble.acts(self.now)

    def is_lost(self, sender: int, to: int) -> bool:
        if not self.trouble.acts(self.now):
            return False
        return self.trouble.kind == "lost" or self.trouble.kind == "cut" and sender % 2 != to % 2

    def send(self, relay: RelayStandIn, sends: Sequence[Any]) -> None:
        for to, data in sends:
            if not self.is_lost(relay.number, to):
                self.later(self.note(), self.receive, self.relays[to], relay.number, data)

    def receive(self, relay: RelayStandIn, sender: int, data: bytes) -> None:
        if self.is_stopped(relay.number):
            if len(self.held) < WAITING * self.trouble.stopped:
                self.held.append((relay, sender, data))
            return
        self.send(relay, relay.digests.received(sender, data, self.now))

    def release(self) -> None:
        """Stopped owners go on; what waited comes at once."""
        held, self.held = self.held, []
        for relay, sender, data in held:
            self.receive(relay, sender, data)

    def figures(self) -> dict[str, float]:
        self.evenness.close()
        p50, p99 = numpy.quantile(numpy.frombuffer(self.served, dtype=numpy.int64), (0.5, 0.99)) / 10
        found = {"p50_ms": float(p50), "p99_ms": float(p99)} | self.evenness.figures()
        if self.relays[0].digests:
            moved = [each.digests.counts["bytes_out"] + each.digests.counts["bytes_in"] for each in self.relays]
            found["bytes_s"] = sum(moved) / len(moved) / (self.now / SECOND)
            found["most_bytes_s"] = max(moved) / (self.now / SECOND)
        return found


def one(scenario: Scenario, seed: int, name: str, trouble: Trouble) -> dict[str, float]:
    found = Day(scenario, seed, name, trouble).play()
    return {figure: found[figure] for figure in SHOWN if figure in found}


def table(
    scenario: Scenario,
    replicas: int,
    jobs: int,
    names: Sequence[str],
    trouble: str,
    progress: Callable[[int, int], None],
) -> tuple[dict[str, dict[str, Bar]], dict[str, Difference]]:
    """By chooser and figure, and the digests less no messages, day by day; all on the same days.
    Raises ValueError for a chooser or a trouble that there is not."""
    unknown = [name for name in names if name not in NAMES]
    if unknown:
        raise ValueError(f"--choosers: {unknown[0]!r} is none of {'; '.join(NAMES)}")
    kind = Trouble.named(trouble, scenario.fleet.relays)
    work = [(name, day_seed(scenario, replica)) for replica in range(replicas) for name in names]
    found: dict[str, list[dict[str, float]]] = {name: [] for name in names}
    with ProcessPoolExecutor(jobs or None) as pool:
        waiting = [(name, pool.submit(one, scenario, seed, name, kind)) for name, seed in work]
        for done, (name, future) in enumerate(waiting, 1):
            found[name].append(future.result())
            progress(done, len(work))
    differ = {}
    if AGAINST in found and OURS in found:
        differ = differences(found[AGAINST], found[OURS])
    return {name: bars(figures) for name, figures in found.items()}, differ
