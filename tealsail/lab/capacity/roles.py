"""Forecasts from measured slopes what one process of each role of a fleet costs, term by term."""

from enum import StrEnum
from math import hypot
from typing import NamedTuple

import msgspec

from ...policy import MAX_EXTRA_TURNS, RELAYS_PER_TURN
from .points import Activity, Axis, Column, Cost, Side
from .slopes import Slope, Slopes

MESSAGES_PER_REQUEST = 3  # to the load tracker: shot sent, question, shot ended (policy.py, LoadTracking)
MAX_COUNT_MESSAGES = 2  # from one relay in a second: all cells of three request classes


class Role(StrEnum):
    """What a process does for the fleet; a judge and a load tracker are also relays in the path."""

    RELAY = "relay in the path"
    JUDGE = "judge and voter"
    TRACKER = "load tracker"


class FleetSize(msgspec.Struct, frozen=True):
    """The size of a fleet and the rates of its events; rates are a second, and of the whole fleet unless noted."""

    relays: int
    units: int
    requests_per_second: float
    tenants: int = 1
    list_changes_per_second: float = 0.0  # changed entries, each of which is sent to each relay
    settings_changes_per_second: float = 0.0  # each of which each relay takes
    whole_lists_per_second: float = 0.0  # sent to one relay
    tracker_is_asked: bool = True


class Term(msgspec.Struct, frozen=True):
    """One part of a role's cost, for one process: memory in MB, other costs a second.

    `error` is half the width of the 95% interval of the fit, `slope` names the slope and the size that the value comes
    from.
    """

    name: str
    side: Side
    cost: Cost
    value: float
    error: float
    slope: str
    is_extrapolated: bool = False  # the size is above the largest one measured
    is_missing: bool = False  # not measured: the value means nothing


class RoleCost(msgspec.Struct, frozen=True):
    """What one process of a role costs, with its work as a relay in the path.

    Milliseconds of processor time, bytes and datagrams are those of a second; memory is in MB.
    """

    role: Role
    terms: list[Term]

    def total(self, cost: Cost, side: Side | None = None) -> tuple[float, float]:
        """The sum of the measured terms of one cost, for all sides if none is given, and its error."""
        chosen = [
            term for term in self.terms if term.cost == cost and side in (None, term.side) and not term.is_missing
        ]
        return sum(term.value for term in chosen), hypot(*(term.error for term in chosen))

    def core_part(self, side: Side | None = None) -> float:
        """The fraction of one core that is used."""
        return self.total(Cost.PROCESSOR, side)[0] / 1000

    def memory_mb(self) -> float:
        """The memory of the process."""
        return self.total(Cost.MEMORY)[0]


def forecast_role_costs(size: FleetSize, slopes: Slopes) -> list[RoleCost]:
    """What one process of each role costs in a fleet of that size."""
    relay = relay_terms(size, slopes)
    return [
        RoleCost(Role.RELAY, relay),
        RoleCost(Role.JUDGE, relay + judge_terms(size, slopes)),
        RoleCost(Role.TRACKER, relay + tracker_terms(size, slopes)),
    ]


class Estimate(NamedTuple):
    """The value of a slope at a size, and half the width of its 95% interval.

    `slope` names the source; `is_extrapolated` says that the size is above the largest one measured.
    """

    value: float
    error: float
    slope: str
    is_extrapolated: bool
    is_missing: bool = False

    def times(self, factor: float) -> "Estimate":
        """The value and its error, multiplied."""
        return self._replace(value=factor * self.value, error=factor * self.error)

    def minus(self, other: "Estimate") -> "Estimate":
        """The difference, never below zero."""
        is_missing = self.is_missing or other.is_missing
        value = max(0.0, self.value - other.value)
        text = f"{self.slope} minus {other.slope}"
        return Estimate(
            value, hypot(self.error, other.error), text, self.is_extrapolated or other.is_extrapolated, is_missing
        )

    def as_term(self, name: str, side: Side, cost: Cost) -> Term:
        """The estimate as a term of a role's cost."""
        return Term(name, side, cost, self.value, self.error, self.slope, self.is_extrapolated, self.is_missing)


def source_name(slope: Slope, x: float) -> str:
    """The names of the slope and the size, as the page shows them."""
    column = "" if slope.column == Column.PROCESS else f" ({slope.column})"
    size = f"{x:.4g}" if x < 1000 else f"{x:,.0f}"
    return f"{slope.name}, {slope.axis} = {size}{column}"


def estimate(
    slopes: Slopes,
    name: Activity,
    axis: Axis,
    cost: Cost,
    x: float,
    column: Column = Column.PROCESS,
    side: Side | None = None,
) -> Estimate:
    """The estimate of a slope at size `x`; the slope of any side if none is given."""
    slope = slopes.find(name, axis, cost, column, side)
    if slope is None:
        return Estimate(0.0, 0.0, "not measured", False, True)
    value, error = slope.value_at(x)
    return Estimate(value, error, source_name(slope, x), x > slope.largest_size())


def estimate_over_base(slopes: Slopes, name: Activity, axis: Axis, cost: Cost, x: float) -> Estimate:
    """By how much a slope at size `x` exceeds the base, at which the slopes along other axes were measured."""
    slope = slopes.find(name, axis, cost)
    if slope is None:
        return Estimate(0.0, 0.0, "not measured", False, True)
    value, error = slope.increase_over_base(x)
    return Estimate(value, error, f"{source_name(slope, x)} over {slope.base:g}", x > slope.largest_size())


def relay_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """A relay that is neither judge nor load tracker."""
    return [
        *standing_terms(size, slopes),
        *event_terms(size, slopes),
        *request_terms(size, slopes),
    ]


def standing_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """Memory, and what a second without events costs."""
    processor, memory, control = Cost.PROCESSOR, Cost.MEMORY, Side.CONTROL
    without_units = estimate(slopes, Activity.STANDING_STATE, Axis.UNITS, memory, 0)
    terms = [
        without_units.as_term("the process itself", control, memory),
        estimate(slopes, Activity.STANDING_STATE, Axis.UNITS, memory, size.units)
        .minus(without_units)
        .as_term("units", control, memory),
        estimate_over_base(slopes, Activity.STANDING_STATE, Axis.TENANTS, memory, size.tenants).as_term(
            "tenants", control, memory
        ),
        estimate_over_base(slopes, Activity.STANDING_STATE, Axis.RELAYS, memory, size.relays).as_term(
            "relays", control, memory
        ),
        estimate(slopes, Activity.IDLE_SECOND, Axis.UNITS, processor, size.units).as_term("beats", control, processor),
        estimate_over_base(slopes, Activity.IDLE_SECOND, Axis.TENANTS, processor, size.tenants).as_term(
            "beats, tenants", control, processor
        ),
        estimate_over_base(slopes, Activity.IDLE_SECOND, Axis.RELAYS, processor, size.relays).as_term(
            "beats, relays", control, processor
        ),
    ]
    for cost in (Cost.BYTES_IN, Cost.BYTES_OUT):
        idle = estimate(slopes, Activity.IDLE_SECOND, Axis.UNITS, cost, size.units, side=control)
        terms.append(idle.as_term("platform's messages", control, cost))
    return terms


def event_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """Changed entries and whole lists of units, and changes of settings."""
    control = Side.CONTROL
    terms = []
    for cost in (Cost.PROCESSOR, Cost.BYTES_IN, Cost.BYTES_OUT):
        changed = estimate(slopes, Activity.CHANGED_ENTRY, Axis.UNITS, cost, size.units, side=control)
        whole = estimate(slopes, Activity.WHOLE_LIST, Axis.UNITS, cost, size.units, side=control)
        terms.append(changed.times(size.list_changes_per_second).as_term("changed entries", control, cost))
        terms.append(whole.times(size.whole_lists_per_second).as_term("whole lists", control, cost))
    settings = estimate(slopes, Activity.SETTINGS_CHANGE, Axis.TENANTS, Cost.PROCESSOR, size.tenants)
    settings_by_units = estimate_over_base(slopes, Activity.SETTINGS_CHANGE, Axis.UNITS, Cost.PROCESSOR, size.units)
    rate = size.settings_changes_per_second
    terms.append(settings.times(rate).as_term("settings changes", control, Cost.PROCESSOR))
    terms.append(settings_by_units.times(rate).as_term("settings changes, units", control, Cost.PROCESSOR))
    return terms


def request_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """Requests at the mean rate of a relay, and the messages to the load tracker if it is asked for each."""
    rate = size.requests_per_second / size.relays
    terms = []
    for cost in (Cost.PROCESSOR, Cost.BYTES_IN, Cost.BYTES_OUT):
        served = estimate(slopes, Activity.REQUEST_SECOND, Axis.REQUEST_RATE, cost, rate, side=Side.SERVING)
        terms.append(served.as_term("requests", Side.SERVING, cost))
    if not size.tracker_is_asked:
        return terms
    total = estimate(slopes, Activity.TRACKED_REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR, rate)
    alone = estimate(slopes, Activity.REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR, rate)
    terms.append(total.minus(alone).as_term("messages for requests", Side.CONTROL, Cost.PROCESSOR))
    for cost in (Cost.BYTES_IN, Cost.BYTES_OUT, Cost.DATAGRAMS_IN, Cost.DATAGRAMS_OUT):
        sent = estimate(slopes, Activity.TRACKED_REQUEST_SECOND, Axis.REQUEST_RATE, cost, rate, side=Side.CONTROL)
        if cost in (Cost.BYTES_IN, Cost.BYTES_OUT):  # without the platform's bytes, which are a standing term
            sent = sent.minus(
                estimate(slopes, Activity.REQUEST_SECOND, Axis.REQUEST_RATE, cost, rate, side=Side.CONTROL)
            )
        terms.append(sent.as_term("messages for requests", Side.CONTROL, cost))
    return terms


def judge_messages_per_second(relays: int) -> float:
    """The most messages with counts that a judge receives in a second: all cells of each relay.

    Relays of large fleets send in turns (policy.py, Judge.send_counts).
    """
    turns = 1 + min(MAX_EXTRA_TURNS, relays // RELAYS_PER_TURN)
    return MAX_COUNT_MESSAGES * (relays - 1) / turns


def judge_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """What judging adds: the messages of all relays, a test of the pooled counts each beat, and the pool's memory."""
    control, rate = Side.CONTROL, judge_messages_per_second(size.relays)
    judge_idle = estimate(slopes, Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.PROCESSOR, size.relays)
    idle = estimate(slopes, Activity.IDLE_SECOND, Axis.RELAYS, Cost.PROCESSOR, size.relays)
    pool = estimate(slopes, Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.MEMORY, size.relays)
    standing = estimate(slopes, Activity.STANDING_STATE, Axis.RELAYS, Cost.MEMORY, size.relays)
    terms = [
        judge_idle.minus(idle).as_term("tests of the pool", control, Cost.PROCESSOR),
        pool.minus(standing).as_term("pool of counts", control, Cost.MEMORY),
    ]
    for cost in (Cost.PROCESSOR, Cost.BYTES_IN, Cost.DATAGRAMS_IN):
        received = estimate(slopes, Activity.JUDGE_SECOND, Axis.MESSAGE_RATE, cost, rate, side=control)
        terms.append(received.as_term("messages of counts", control, cost))
    return terms


def tracker_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    """What load tracking adds: the messages of all relays, if none is dropped."""
    if not size.tracker_is_asked:
        return []
    control, rate = Side.CONTROL, MESSAGES_PER_REQUEST * size.requests_per_second
    costs = (Cost.PROCESSOR, Cost.BYTES_IN, Cost.BYTES_OUT, Cost.DATAGRAMS_IN, Cost.DATAGRAMS_OUT)
    return [
        estimate(slopes, Activity.TRACKER_SECOND, Axis.MESSAGE_RATE, cost, rate, side=control).as_term(
            "messages of loads", control, cost
        )
        for cost in costs
    ]
