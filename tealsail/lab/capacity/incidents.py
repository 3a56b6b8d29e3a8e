"""What ordinary trouble sets off at the planned size: bursts of list changes, connections, cold units and messages."""

from typing import NamedTuple

from ...policy import DEFAULTS, JUDGE_TIMEOUT, SECOND, UnitChoice
from .points import Axis, Cost, Name, Side
from .roles import Extent, extent
from .sizing import DAY, MINUTE, Plan
from .slopes import Slopes

WARM_UP = DEFAULTS["warm_up"] / SECOND  # seconds, where the platform's settings say nothing
REST = UnitChoice.MAX_EJECTION_TIME / SECOND  # seconds until a unit that failed is tried again, at the most
SILENT = JUDGE_TIMEOUT / SECOND  # seconds until a silent judge's next in line takes over
HOUR = 3600  # seconds


class Incident(NamedTuple):
    """One event, and what it means for one relay (processor time) and for all together (the rest)."""

    name: str
    entries: float  # of the list that change
    within: str
    one_by_one_ms: Extent  # processor time of a relay, each entry in an answer of its own
    at_once_ms: Extent  # all in one answer
    bytes_to_all: Extent
    connections: float  # to units, lost and made anew
    cold: float  # units at a time
    as_before_s: float
    why: str


class Prices(NamedTuple):
    """A changed entry at that size, and what one more of the same answer adds."""

    alone: Extent
    further: Extent
    bytes_each: Extent


def prices(plan: Plan, slopes: Slopes) -> Prices:
    units = plan.fleet.units
    alone = extent(slopes, Name.CHANGE, Axis.UNITS, Cost.PROCESSOR, units)
    whole = extent(slopes, Name.WHOLE, Axis.UNITS, Cost.PROCESSOR, units)
    size = extent(slopes, Name.CHANGE, Axis.UNITS, Cost.BYTES_IN, units, side=Side.CONTROL)
    return Prices(alone, whole.times(1 / units), size)


def incident(
    plan: Plan, price: Prices, name: str, units: float, entries: float, within: str, cold: float, span: float, why: str
) -> Incident:
    fleet, assumed = plan.fleet, plan.assumed
    used = fleet.relays * assumed.units_used_by_relay / fleet.units  # connections of a unit
    further = price.further.times(max(0.0, entries - 1))
    at_once = Extent(
        price.alone.value + further.value,
        price.alone.error + further.error,
        f"{price.alone.slope}, and {further.slope} for each further entry",
        price.alone.beyond or further.beyond,
        price.alone.missing or further.missing,
    )
    return Incident(
        name,
        entries,
        within,
        price.alone.times(entries),
        at_once,
        price.bytes_each.times(entries * fleet.relays),
        used * units,
        cold,
        span,
        why,
    )


def incidents(plan: Plan, slopes: Slopes) -> list[Incident]:
    """In the order of the operators' list."""
    fleet, assumed, price = plan.fleet, plan.assumed, prices(plan, slopes)
    restarts, rack = fleet.machines_restarted_per_day, float(assumed.units_per_rack)
    zone, region = fleet.units / fleet.zones, fleet.units / fleet.regions
    roll = MINUTE * assumed.rollout_minutes
    day_entries = plan.list_changes_per_second() * DAY
    roll_entries = plan.rollout_changes_per_second() * roll
    lost = f"rests of at most {REST:g} s; back, its units are cold for {WARM_UP:g} s"
    judges = f"{lost}; a judge among them is replaced after {SILENT:g} s"
    rest = REST + WARM_UP
    rows = (
        ("a rack or switch", rack, 2 * rack, "at once, and back", rack, rest, lost),
        ("a zone", zone, 2 * zone, "at once, and back", zone, rest, judges),
        ("a region cut for an hour", region, 2 * region, "at once, and back", region, HOUR + rest, judges),
        ("restarts of a day", restarts, day_entries, "a day", restarts * WARM_UP / DAY, WARM_UP, "each by itself"),
        (
            "the same as a roll-out",
            restarts,
            roll_entries,
            f"{roll / MINUTE:g} min",
            restarts * WARM_UP / roll,
            roll,
            lost,
        ),
    )
    return [incident(plan, price, *row) for row in rows]
