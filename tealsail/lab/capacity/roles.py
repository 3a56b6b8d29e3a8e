"""The roles of a fleet sized from measured slopes: what each process that holds one costs, term by term."""

from enum import StrEnum
from math import hypot
from typing import NamedTuple

import msgspec

from ...policy import MAX_EXTRA_TURNS, RELAYS_PER_TURN
from .points import Axis, Column, Cost, Name, Side
from .slopes import Slope, Slopes

MESSAGES_OF_A_REQUEST = 3  # to the load tracker: began, which is best, ended (policy.py, Guide)
MESSAGES_OF_COUNTS = 2  # all cells of three request classes (notes.py, count_notes), the most that a second brings


class Role(StrEnum):
    """What a process does for the fleet."""

    RELAY = "relay in the path"
    JUDGE = "judge and voter"
    TRACKER = "load tracker"


class FleetSize(msgspec.Struct, frozen=True):
    """How large a fleet is, and what happens in it; rates are those of the whole fleet a second."""

    relays: int
    units: int
    requests_per_second: float
    tenants: int = 1
    list_changes_per_second: float = 0.0  # entries that change; each relay is sent each
    settings_changes_per_second: float = 0.0  # each relay takes each
    whole_lists_per_second: float = 0.0  # that one relay is sent
    tracker_is_asked: bool = True


class Term(msgspec.Struct, frozen=True):
    """One part of a role's cost, for one process and second (memory: as it stands).

    `error` is half the width of the 95% interval of the fit; `beyond`: the size is more than what was measured.
    """

    name: str
    side: Side
    cost: Cost
    value: float
    error: float
    slope: str
    beyond: bool = False
    missing: bool = False  # not measured: the value stands for nothing


class RoleCost(msgspec.Struct, frozen=True):
    """What one process of a role costs, its work as a relay in the path included.

    Milliseconds of processor time, bytes and datagrams are those of a second; memory is megabytes.
    """

    role: Role
    terms: list[Term]

    def total(self, cost: Cost, side: Side | None = None) -> tuple[float, float]:
        """The sum over terms of one cost, of both sides if none is given, and its error."""
        chosen = [term for term in self.terms if term.cost == cost and side in (None, term.side) and not term.missing]
        return sum(term.value for term in chosen), hypot(*(term.error for term in chosen))

    def core_part(self, side: Side | None = None) -> float:
        """Of one core, 1.0 for all of it."""
        return self.total(Cost.PROCESSOR, side)[0] / 1000

    def memory_mb(self) -> float:
        return self.total(Cost.MEMORY)[0]


def foretell(size: FleetSize, slopes: Slopes) -> list[RoleCost]:
    """What one process of each role costs in a fleet of that size."""
    path = relay_terms(size, slopes)
    return [
        RoleCost(Role.RELAY, path),
        RoleCost(Role.JUDGE, path + judge_terms(size, slopes)),
        RoleCost(Role.TRACKER, path + tracker_terms(size, slopes)),
    ]


class Extent(NamedTuple):
    """A slope at a size: the value, its error, their source, and whether the size is beyond what was measured."""

    value: float
    error: float
    slope: str
    beyond: bool
    missing: bool = False

    def times(self, factor: float) -> "Extent":
        return self._replace(value=factor * self.value, error=factor * self.error)

    def less(self, other: "Extent") -> "Extent":
        """What is left without the other's part, never under zero."""
        missing = self.missing or other.missing
        value = max(0.0, self.value - other.value)
        text = f"{self.slope} less {other.slope}"
        return Extent(value, hypot(self.error, other.error), text, self.beyond or other.beyond, missing)

    def term(self, name: str, side: Side, cost: Cost) -> Term:
        return Term(name, side, cost, self.value, self.error, self.slope, self.beyond, self.missing)


def name_of(slope: Slope, x: float) -> str:
    column = "" if slope.column == Column.PROCESS else f" ({slope.column})"
    size = f"{x:.4g}" if x < 1000 else f"{x:,.0f}"
    return f"{slope.name}, {slope.axis} = {size}{column}"


def extent(
    slopes: Slopes,
    name: Name,
    axis: Axis,
    cost: Cost,
    x: float,
    column: Column = Column.PROCESS,
    side: Side | None = None,
) -> Extent:
    """What that slope says for that size."""
    slope = slopes.find(name, axis, cost, column, side)
    if slope is None:
        return Extent(0.0, 0.0, "not measured", False, True)
    value, error = slope.at(x)
    return Extent(value, error, name_of(slope, x), x > slope.measured_to())


def more(slopes: Slopes, name: Name, axis: Axis, cost: Cost, x: float) -> Extent:
    """By how much it exceeds the base, at which the other slopes of that cost were measured."""
    slope = slopes.find(name, axis, cost)
    if slope is None:
        return Extent(0.0, 0.0, "not measured", False, True)
    value, error = slope.more(x)
    return Extent(value, error, f"{name_of(slope, x)} over {slope.base:g}", x > slope.measured_to())


def relay_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """A relay that only serves."""
    return [
        *standing_terms(size, slopes),
        *event_terms(size, slopes),
        *request_terms(size, slopes),
    ]


def standing_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """Memory, and what a second without any event costs."""
    processor, memory, control = Cost.PROCESSOR, Cost.MEMORY, Side.CONTROL
    bare = extent(slopes, Name.STANDING, Axis.UNITS, memory, 0)
    terms = [
        bare.term("the process itself", control, memory),
        extent(slopes, Name.STANDING, Axis.UNITS, memory, size.units).less(bare).term("units", control, memory),
        more(slopes, Name.STANDING, Axis.TENANTS, memory, size.tenants).term("tenants", control, memory),
        more(slopes, Name.STANDING, Axis.RELAYS, memory, size.relays).term("relays", control, memory),
        extent(slopes, Name.IDLE, Axis.UNITS, processor, size.units).term("beats", control, processor),
        more(slopes, Name.IDLE, Axis.TENANTS, processor, size.tenants).term("beats, tenants", control, processor),
        more(slopes, Name.IDLE, Axis.RELAYS, processor, size.relays).term("beats, relays", control, processor),
    ]
    for cost in (Cost.BYTES_IN, Cost.BYTES_OUT):
        standing = extent(slopes, Name.IDLE, Axis.UNITS, cost, size.units, side=control)
        terms.append(standing.term("platform's news", control, cost))
    return terms


def event_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """Changed entries, whole lists and changes of settings."""
    control = Side.CONTROL
    terms = []
    for cost in (Cost.PROCESSOR, Cost.BYTES_IN, Cost.BYTES_OUT):
        changed = extent(slopes, Name.CHANGE, Axis.UNITS, cost, size.units, side=control)
        whole = extent(slopes, Name.WHOLE, Axis.UNITS, cost, size.units, side=control)
        terms.append(changed.times(size.list_changes_per_second).term("changed entries", control, cost))
        terms.append(whole.times(size.whole_lists_per_second).term("whole lists", control, cost))
    settings = extent(slopes, Name.RELOAD, Axis.TENANTS, Cost.PROCESSOR, size.tenants)
    listed = more(slopes, Name.RELOAD, Axis.UNITS, Cost.PROCESSOR, size.units)
    rate = size.settings_changes_per_second
    terms.append(settings.times(rate).term("settings changes", control, Cost.PROCESSOR))
    terms.append(listed.times(rate).term("settings changes, units", control, Cost.PROCESSOR))
    return terms


def request_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """Requests at the mean rate of a relay, and the messages to a load tracker that is asked for each."""
    rate = size.requests_per_second / size.relays
    terms = []
    for cost in (Cost.PROCESSOR, Cost.BYTES_IN, Cost.BYTES_OUT):
        served = extent(slopes, Name.REQUESTS, Axis.REQUESTS, cost, rate, side=Side.SERVING)
        terms.append(served.term("requests", Side.SERVING, cost))
    if not size.tracker_is_asked:
        return terms
    total = extent(slopes, Name.ASKING, Axis.REQUESTS, Cost.PROCESSOR, rate)
    alone = extent(slopes, Name.REQUESTS, Axis.REQUESTS, Cost.PROCESSOR, rate)
    terms.append(total.less(alone).term("messages for requests", Side.CONTROL, Cost.PROCESSOR))
    for cost in (Cost.BYTES_IN, Cost.BYTES_OUT, Cost.DATAGRAMS_IN, Cost.DATAGRAMS_OUT):
        sent = extent(slopes, Name.ASKING, Axis.REQUESTS, cost, rate, side=Side.CONTROL)
        if cost in (Cost.BYTES_IN, Cost.BYTES_OUT):  # less the platform's, counted with the standing terms
            sent = sent.less(extent(slopes, Name.REQUESTS, Axis.REQUESTS, cost, rate, side=Side.CONTROL))
        terms.append(sent.term("messages for requests", Side.CONTROL, cost))
    return terms


def tellings(relays: int) -> float:
    """Messages of counts that a judge is sent in a second: all cells of each relay, in turns (Judge.tell)."""
    turns = 1 + min(MAX_EXTRA_TURNS, relays // RELAYS_PER_TURN)
    return MESSAGES_OF_COUNTS * (relays - 1) / turns


def judge_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """What judging adds: messages of all relays, a look at the pool each beat, and the pool."""
    control, rate = Side.CONTROL, tellings(size.relays)
    judging = extent(slopes, Name.JUDGING, Axis.RELAYS, Cost.PROCESSOR, size.relays)
    idle = extent(slopes, Name.IDLE, Axis.RELAYS, Cost.PROCESSOR, size.relays)
    pool = extent(slopes, Name.JUDGING, Axis.RELAYS, Cost.MEMORY, size.relays)
    standing = extent(slopes, Name.STANDING, Axis.RELAYS, Cost.MEMORY, size.relays)
    terms = [
        judging.less(idle).term("looks at the pool", control, Cost.PROCESSOR),
        pool.less(standing).term("pool of counts", control, Cost.MEMORY),
    ]
    for cost in (Cost.PROCESSOR, Cost.BYTES_IN, Cost.DATAGRAMS_IN):
        heard = extent(slopes, Name.COUNTS, Axis.MESSAGES, cost, rate, side=control)
        terms.append(heard.term("messages of counts", control, cost))
    return terms


def tracker_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """What tracking adds: the messages of all relays, if none is shed."""
    if not size.tracker_is_asked:
        return []
    control, rate = Side.CONTROL, MESSAGES_OF_A_REQUEST * size.requests_per_second
    costs = (Cost.PROCESSOR, Cost.BYTES_IN, Cost.BYTES_OUT, Cost.DATAGRAMS_IN, Cost.DATAGRAMS_OUT)
    return [
        extent(slopes, Name.TRACKING, Axis.MESSAGES, cost, rate, side=control).term("messages of loads", control, cost)
        for cost in costs
    ]
