"""Load digests compared with other ways to choose a backend (a unit), on the same arrivals, work and backends.

As in baselines.py, choosers are simple and no request goes through the program, but the digests are those of the
program (tealsail/choices/load_digests.py), whose messages may be late, lost, cut off, or held up at a stopped relay.
Everything is simulated.
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
from ..time_limits import SECOND
from ..world.evenness import Evenness
from ..world.fleet import Fleet
from ..world.unit import NEVER, IncomingShot, Unit
from .bars import Bar, Difference, bars, differences
from .runs import day_seed
from .scenario import Scenario
from .traffic import create_clients

BEAT = SECOND // 2  # interval of a relay's beats
MIN_UNITS_IN_USE = 4  # as the program begins (tealsail/policy.py, Choice)
UNITS_OFFERED = 8  # to the load tracker that is asked
SUBSET_SIZE = 32  # units of a fixed subset of each relay
MAX_WAITING = 256  # messages that wait, for each stopped relay; more are lost
TROUBLE_START = 4 * SECOND
TROUBLE_SPANS = {"none": 0, "lost": 8 * SECOND, "cut": 8 * SECOND, "stopped": 5 * SECOND}
ASKED = "the asked tracker"
CHOOSERS = ("even draws", "two, seen exactly", ASKED, "few, no messages", "subset, no messages", "subset, digests")
WITHOUT_DIGESTS, WITH_DIGESTS = CHOOSERS[-2:]
SHOWN_FIGURES = (
    "p50_ms",
    "p99_ms",
    "waste",
    "herd",
    "herd_chance",
    "even_99th",
    "even_least",
    "bytes_s",
    "most_bytes_s",
)


class Trouble(NamedTuple):
    """A fault of messages from `start` to `end`, in tenths of a ms."""

    kind: str = ""  # none, lost, cut (between two halves of the relays) or stopped
    start: int = 0
    end: int = 0
    stopped: int = 0  # number of relays that are stopped, so that their messages wait

    @classmethod
    def of_kind(cls, kind: str, relays: int) -> "Trouble":
        """The standard troubles: all messages lost or halves of the relays cut off from each other for 8 s, or a fifth
        of the relays stopped for 5 s.  Raises ValueError for any other kind."""
        if kind not in TROUBLE_SPANS:
            raise ValueError(f"--trouble={kind}: not one of {', '.join(TROUBLE_SPANS)}")
        return cls(kind, TROUBLE_START, TROUBLE_START + TROUBLE_SPANS[kind], relays // 5)

    def is_active(self, now: int) -> bool:
        """Whether it acts at that time."""
        return self.start <= now < self.end


class UnitKnowledge:
    """What a relay knows of a unit by itself, as in the program: its attempts in flight there (`out`), and its
    latency over the usual one, smoothed (`pace`)."""

    __slots__ = ("out", "pace")

    def __init__(self) -> None:
        self.out, self.pace = 0, 1.0


NO_TROUBLE = Trouble()


class RelayStandIn:
    """One relay: its own order of units, what it knows of them, and its load digests if it has them."""

    def __init__(self, number: int, units: Sequence[Unit], seed: int, relays: int, has_digests: bool) -> None:
        self.number, self.chance = number, RandomGenerator(stable_hash(seed, number, 23))
        self.order = (
            sorted(units, key=lambda unit: stable_hash(number, unit.identity))
            if len(units) < 1_000
            else self.sample(units)
        )
        self.knowledge_by_unit: dict[str, UnitKnowledge] = {}
        self.in_use_count = float(MIN_UNITS_IN_USE)
        self.mean_latency = 0.0  # tenths of a ms
        self.digests = (
            LoadDigests(number, relays, 0, RandomGenerator(stable_hash(seed, number, 29))) if has_digests else None
        )
        self.bytes = 0

    def sample(self, units: Sequence[Unit]) -> list[Unit]:
        """64 random units in place of the whole order: to sort 12,000 units for each of 1,300 relays takes too long."""
        found: dict[str, Unit] = {}
        while len(found) < 64:
            unit = self.chance.pick(units)
            found[unit.name] = unit
        return list(found.values())

    def knowledge_of(self, unit: Unit) -> UnitKnowledge:
        knowledge = self.knowledge_by_unit.get(unit.name)
        if knowledge is None:
            knowledge = self.knowledge_by_unit[unit.name] = UnitKnowledge()
        return knowledge

    def beat(self) -> None:
        """Lets its knowledge fade: fewer units in use, and paces nearer to 1."""
        self.in_use_count = max(MIN_UNITS_IN_USE, 0.99 * self.in_use_count)
        for knowledge in self.knowledge_by_unit.values():
            knowledge.pace += 0.03 * (1 - knowledge.pace)

    def units_in_use(self) -> list[Unit]:
        """The first units of its order; one more is added whenever all are busy."""
        in_use = self.order[: int(self.in_use_count)]
        if all(self.knowledge_of(unit).out for unit in in_use):
            self.in_use_count = min(len(self.order), self.in_use_count + 1)
            in_use = self.order[: int(self.in_use_count)]
        return in_use

    def subset(self) -> list[Unit]:
        """Its fixed subset of the units."""
        return self.order[:SUBSET_SIZE]

    def sent(self, unit: Unit, now: int) -> None:
        """Notes an attempt at a unit."""
        self.knowledge_of(unit).out += 1
        if self.digests:
            self.digests.sent(unit.identity, now)

    def ended(self, unit: Unit, now: int, latency: int) -> None:
        """Notes the end of an attempt and its latency, in tenths of a ms."""
        knowledge = self.knowledge_of(unit)
        knowledge.out -= 1
        self.mean_latency += 0.05 * (latency - self.mean_latency) if self.mean_latency else latency
        knowledge.pace += 0.1 * (min(8.0, latency / self.mean_latency) - knowledge.pace)
        if self.digests:
            self.digests.ended(unit.identity, now)


class Tracker:
    """A simple load tracker that is asked before each attempt and learns its end with the delay of a message."""

    def __init__(self) -> None:
        self.out: Counter[str] = Counter()

    def least(self, units: Sequence[Unit], chance: RandomGenerator) -> Unit:
        """The unit with the fewest attempts in flight, a random one of several."""
        lowest = min(self.out[unit.name] for unit in units)
        return chance.pick([unit for unit in units if self.out[unit.name] == lowest])


class Day:
    """A day with one chooser."""

    def __init__(self, scenario: Scenario, seed: int, name: str, trouble: Trouble = NO_TROUBLE) -> None:
        parts = scenario.parts()
        self.scenario, self.name, self.trouble = scenario, name, trouble
        self.fleet = Fleet(parts.layout, parts.kind, parts.builds, parts.works, parts.base, seed)
        self.units = list(self.fleet.units.values())
        self.one_way, self.chance = parts.paths.near, RandomGenerator(stable_hash(seed, 31))
        least, most = scenario.network.notes_ms
        self.least_delay, self.delay_span = int(least * 10), int((most - least) * 10)
        count = scenario.fleet.relays
        has_digests = name == "subset, digests"
        self.relays = [RelayStandIn(each, self.units, seed, count, has_digests) for each in range(count)]
        self.tracker, self.clients, self.evenness = Tracker(), create_clients(scenario, seed), Evenness()
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = self.now = 0
        self.held: list[tuple[RelayStandIn, int, bytes]] = []
        self.started_at: dict[tuple[int, int], int] = {}
        self.served, self.ways = array("q"), array("q")
        self.choosers: dict[str, Callable[[RelayStandIn], Unit]] = {
            "even draws": lambda relay: self.chance.pick(self.units),
            "two, seen exactly": lambda relay: self.least_of_two(self.units, lambda unit: len(unit.jobs)),
            "few, no messages": lambda relay: self.least_of_two(
                relay.units_in_use(), lambda unit: self.own_cost(relay, unit)
            ),
            "subset, no messages": lambda relay: min(relay.subset(), key=lambda unit: self.own_cost(relay, unit)),
            "subset, digests": lambda relay: min(relay.subset(), key=lambda unit: self.cost(relay, unit)),
        }

    # choices
    def least_of_two(self, units: Sequence[Unit], cost: Callable[[Unit], float]) -> Unit:
        """The cheaper of two different random units."""
        if len(units) == 1:
            return units[0]
        first_index = int(self.chance.share() * len(units))
        second_index = int(self.chance.share() * (len(units) - 1))
        first_unit, second_unit = units[first_index], units[second_index + (second_index >= first_index)]
        return first_unit if cost(first_unit) <= cost(second_unit) else second_unit

    def own_cost(self, relay: RelayStandIn, unit: Unit) -> float:
        """By what the relay knows itself; a random part below one attempt decides between equals."""
        knowledge = relay.knowledge_of(unit)
        return (knowledge.out + self.chance.share()) * knowledge.pace

    def cost(self, relay: RelayStandIn, unit: Unit) -> float:
        """As `own_cost`, with the attempts of other relays by their digests."""
        knowledge = relay.knowledge_of(unit)
        return (knowledge.out + relay.digests.others(unit.identity, self.now) + self.chance.share()) * knowledge.pace

    # time
    def call_at(self, at: int, call: Callable[..., None], *what: Any) -> None:
        """Schedules a call at a time."""
        self.sequence += 1
        heapq.heappush(self.heap, (at, self.sequence, call, what))

    def message_arrival(self) -> int:
        """When a message that is sent now arrives."""
        return self.now + self.least_delay + int(self.chance.share() * self.delay_span)

    def play(self) -> dict[str, float]:
        """Plays the day until all requests are answered; returns its figures."""
        self.evenness(Head(0, 1, "import", self.scenario.name, 0, {}, self.scenario.plain()))
        for line in self.fleet.lines:
            self.evenness(line)
        for relay in self.relays:
            self.call_at(int(self.chance.share() * BEAT), self.beat, relay)
            if relay.digests:
                self.call_at(relay.digests.due, self.tick, relay)
        if self.trouble.kind == "stopped":
            self.call_at(self.trouble.end, self.release)
        clients, heap = self.clients, self.heap
        while True:
            due = clients.due
            if heap and (due is None or heap[0][0] <= due):
                self.now, _, call, what = heapq.heappop(heap)
                call(*what)
            elif due is not None:
                self.now = due
                self.arrive(clients.next())
            if due is None and not self.started_at:
                return self.figures()

    def beat(self, relay: RelayStandIn) -> None:
        relay.beat()
        self.call_at(self.now + BEAT, self.beat, relay)

    # requests
    def arrive(self, arrival: Any) -> None:
        relay = self.relays[arrival.relay]
        self.started_at[arrival.relay, arrival.number] = self.now
        if self.name == ASKED:
            self.call_at(self.message_arrival(), self.ask, relay, arrival)
            return
        self.send_attempt(relay, arrival, self.choosers[self.name](relay))

    def ask(self, relay: RelayStandIn, arrival: Any) -> None:
        """The tracker chooses among units that the relay offers."""
        offered = relay.units_in_use()
        if len(offered) < UNITS_OFFERED:
            offered = relay.order[:UNITS_OFFERED]
        unit = self.tracker.least(offered, self.chance)
        self.tracker.out[unit.name] += 1
        self.call_at(self.message_arrival(), self.send_attempt, relay, arrival, unit)

    def send_attempt(self, relay: RelayStandIn, arrival: Any, unit: Unit) -> None:
        relay.sent(unit, self.now)
        unit.take(self.now, IncomingShot((arrival, self.now), arrival.first, arrival.workload))
        self.collect(unit)

    def wake(self, unit: Unit, at: int) -> None:
        if unit.wake_at == at:
            unit.wake_at = NEVER
            unit.wake(self.now)
            self.collect(unit)

    def collect(self, unit: Unit) -> None:
        """Takes a unit's new outcomes, and sets a timer for when it is due."""
        for (arrival, _), work in unit.taken:
            self.evenness(ShotStarted(self.now, arrival.relay, arrival.number, 0, unit.name, work))
        unit.taken.clear()
        outcomes, unit.outcomes = unit.outcomes, []
        for (arrival, sent), outcome in outcomes:
            self.evenness(ShotAnswered(self.now, arrival.relay, arrival.number, 0, unit.name, outcome))
            relay = self.relays[arrival.relay]
            relay.ended(unit, self.now, self.now - sent)
            started_at = self.started_at.pop((arrival.relay, arrival.number))
            if outcome == "served":
                self.served.append(self.now - started_at + 2 * self.one_way)
            if self.name == ASKED:
                self.call_at(self.message_arrival(), self.attempt_ended, unit)
        if unit.due < NEVER and unit.due != unit.wake_at:
            unit.wake_at = unit.due
            self.call_at(unit.due, self.wake, unit, unit.due)

    def attempt_ended(self, unit: Unit) -> None:
        self.tracker.out[unit.name] -= 1

    # digests
    def tick(self, relay: RelayStandIn) -> None:
        """Runs a relay's digests when they are due."""
        if self.is_stopped(relay.number):
            self.call_at(self.trouble.end, self.tick, relay)
            return
        self.send(relay, relay.digests.tick(self.now))
        self.call_at(max(self.now + 1, relay.digests.due), self.tick, relay)

    def is_stopped(self, number: int) -> bool:
        """Whether that relay is stopped now."""
        return self.trouble.kind == "stopped" and number < self.trouble.stopped and self.trouble.is_active(self.now)

    def is_lost(self, sender: int, to: int) -> bool:
        """Whether a message between these relays is lost now."""
        if not self.trouble.is_active(self.now):
            return False
        return self.trouble.kind == "lost" or self.trouble.kind == "cut" and sender % 2 != to % 2

    def send(self, relay: RelayStandIn, sends: Sequence[Any]) -> None:
        for to, data in sends:
            if not self.is_lost(relay.number, to):
                self.call_at(self.message_arrival(), self.receive, self.relays[to], relay.number, data)

    def receive(self, relay: RelayStandIn, sender: int, data: bytes) -> None:
        if self.is_stopped(relay.number):
            if len(self.held) < MAX_WAITING * self.trouble.stopped:
                self.held.append((relay, sender, data))
            return
        self.send(relay, relay.digests.received(sender, data, self.now))

    def release(self) -> None:
        """Stopped relays run again; the messages that waited arrive at once."""
        held, self.held = self.held, []
        for relay, sender, data in held:
            self.receive(relay, sender, data)

    def figures(self) -> dict[str, float]:
        """Latency in ms, evenness and, with digests, bytes a second of a relay's messages: mean and largest."""
        self.evenness.close()
        p50, p99 = numpy.quantile(numpy.frombuffer(self.served, dtype=numpy.int64), (0.5, 0.99)) / 10
        found = {"p50_ms": float(p50), "p99_ms": float(p99)} | self.evenness.figures()
        if self.relays[0].digests:
            moved = [each.digests.counts["bytes_out"] + each.digests.counts["bytes_in"] for each in self.relays]
            found["bytes_s"] = sum(moved) / len(moved) / (self.now / SECOND)
            found["most_bytes_s"] = max(moved) / (self.now / SECOND)
        return found


def play_one(scenario: Scenario, seed: int, name: str, trouble: Trouble) -> dict[str, float]:
    """The figures to show of a day with a chooser."""
    figures = Day(scenario, seed, name, trouble).play()
    return {figure: figures[figure] for figure in SHOWN_FIGURES if figure in figures}


def table(
    scenario: Scenario,
    replicas: int,
    jobs: int,
    names: Sequence[str],
    trouble: str,
    progress: Callable[[int, int], None],
) -> tuple[dict[str, dict[str, Bar]], dict[str, Difference]]:
    """Bars by chooser and figure, and the subset's figures with digests minus those without, paired by day; all are
    played on the same days.  Raises ValueError for an unknown chooser or trouble."""
    unknown = [name for name in names if name not in CHOOSERS]
    if unknown:
        raise ValueError(f"--choosers: {unknown[0]!r} is not one of {'; '.join(CHOOSERS)}")
    standard_trouble = Trouble.of_kind(trouble, scenario.fleet.relays)
    work = [(name, day_seed(scenario, replica)) for replica in range(replicas) for name in names]
    found: dict[str, list[dict[str, float]]] = {name: [] for name in names}
    with ProcessPoolExecutor(jobs or None) as pool:
        futures = [(name, pool.submit(play_one, scenario, seed, name, standard_trouble)) for name, seed in work]
        for done, (name, future) in enumerate(futures, 1):
            found[name].append(future.result())
            progress(done, len(work))
    gaps = {}
    if WITHOUT_DIGESTS in found and WITH_DIGESTS in found:
        gaps = differences(found[WITHOUT_DIGESTS], found[WITH_DIGESTS])
    return {name: bars(figures) for name, figures in found.items()}, gaps
